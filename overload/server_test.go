package overload

import (
	"fmt"
	"math"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/retry"
)

const (
	// tick is how often the sidecar checks its queue and its breaker.
	tick = 50 * time.Millisecond
	// failTime is how long a rejection or a reset takes.
	failTime = time.Millisecond
	// errorTime is how long an error answer takes.
	errorTime = 15 * time.Millisecond
)

// server is a server with its sidecar.
type server struct {
	w       *simulation
	index   int
	entry   slatewind.ServerEntry
	slots   *admission.Server
	breaker *breaker.Breaker
	extras  *retry.Window
	// waiting holds the reservations that wait, by the id of their item.
	waiting map[string]*reservation
	nextID  int
	// arrivals holds the times of the requests that the server got; unread holds the ids of
	// those whose answers its sidecar has not read yet.
	arrivals []time.Time
	unread   map[string]bool
}

func newServer(w *simulation, index int) *server {
	s := &server{
		w: w, index: index, slots: admission.NewServer(w.Slots), breaker: breaker.New(),
		// The sidecar has run for long when the pattern begins.
		extras:  retry.NewWindow(w.now.Add(-time.Minute), w.Ratio, 10*time.Second),
		waiting: map[string]*reservation{}, unread: map[string]bool{},
		entry: slatewind.ServerEntry{
			Name: fmt.Sprint("s-", index), Service: "svc", DataCentre: fmt.Sprint("dc-", index%w.DataCentres), Slots: w.Slots,
		},
	}
	s.extras.SetShare(w.now.Add(-time.Minute), retry.Share{Slack: retry.Sharer{Servers: w.Servers, Rank: index}.Share(w.Slack)})
	w.after(tick, s.onTick)
	if w.ReportEvery > 0 {
		w.after(time.Duration(w.random.Float64()*float64(w.ReportEvery)), s.report)
	}
	return s
}

// onTick checks the queue and the breaker.
func (s *server) onTick() {
	s.deliver(s.slots.Advance(s.w.now))
	s.updateUnread()
	s.countOpening(s.breaker.Tick(s.w.now))
	if !s.w.over() || len(s.waiting) > 0 {
		s.w.after(tick, s.onTick)
	}
}

// updateUnread tells the breaker which requests are late because their answers are unread.
func (s *server) updateUnread() {
	for _, id := range s.breaker.LateRequests(s.w.now) {
		s.breaker.SetUnread(s.w.now, id, s.unread[id])
	}
}

// allows reports whether the breaker admits a reservation.
func (s *server) allows(r *reservation) bool {
	if s.breaker.Allow(s.w.now, r.constraints()) {
		return true
	}
	s.updateUnread()
	return s.breaker.Allow(s.w.now, r.constraints())
}

// countOpening counts an opening of the breaker while the server is healthy.
func (s *server) countOpening(changed bool) {
	if changed && s.breaker.State() == breaker.StateOpen && !s.w.isFaulty(s.index) {
		s.w.falseOpenings++
	}
}

// report reports an unhealthy server to the ingresses of its data centre.
func (s *server) report() {
	if s.w.over() {
		return
	}
	if status := s.status(); status.Unhealthy {
		status.TrialIn = s.breaker.TrialIn(s.w.now)
		status.TrialDue = status.TrialIn == 0
		at := s.w.now
		s.w.after(s.w.ReportEvery/2, func() {
			for _, ingress := range s.w.ingresses {
				if ingress.dataCentre == s.entry.DataCentre {
					ingress.service.Reported(at, s.entry.Name, status)
				}
			}
		})
	}
	s.w.after(s.w.ReportEvery, s.report)
}

// reserve handles a reservation.
func (s *server) reserve(r *reservation) {
	rq, now := r.request, s.w.now
	if !rq.counted {
		rq.counted = true
		s.extras.RecordFirst(now)
	}
	switch {
	case rq.slot != nil || rq.done:
		return
	case !s.allows(r):
		r.refuse(refusedUnhealthy, s.breaker.RetryAfter(now))
		return
	case r.extra() && !s.extras.Left(now):
		r.refuse(refusedBudget, 0)
		return
	case s.doubts(r):
		r.refuse(refusedUnhealthy, 0)
		return
	}
	s.nextID++
	r.item = admission.Item{
		ID: fmt.Sprint(s.nextID), Priority: slatewind.PriorityInteractive, Deadline: rq.deadline, StartBy: r.until(),
		Overcommit: rq.repeatable && s.breaker.Stuck(s.slots.Slots()), Customer: rq.sender.Name, Rank: rq.sender.Rank,
	}
	s.waiting[r.item.ID] = r
	decisions := s.slots.Offer(now, r.item)
	s.deliver(decisions)
	if s.waiting[r.item.ID] != nil {
		r.queue()
	}
}

// doubts reports whether a request that cannot be repeated should rather go to another server.
func (s *server) doubts(r *reservation) bool {
	c := r.constraints()
	return c.Careful && !c.LastResort && s.slots.InUse() < s.slots.Slots() && s.breaker.Doubtful(s.w.now)
}

// deliver sends the decisions to the reservations that wait.
func (s *server) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		r := s.waiting[d.Item.ID]
		if d.Action == admission.ActionQueue || r == nil {
			continue
		}
		delete(s.waiting, d.Item.ID)
		if d.Action == admission.ActionStart {
			if r.extra() {
				if r.payment = s.extras.Take(s.w.now); r.payment == retry.PaidNothing {
					r.refuse(refusedBudget, 0)
					s.deliver(s.slots.Done(s.w.now, r.item, s.slots.Mean()))
					continue
				}
			}
			s.breaker.Grant(s.w.now, d.Item.ID, "route", 3*s.w.Mean/2)
			r.grant()
			continue
		}
		r.refuse(refusedFull, d.RetryAfter)
	}
}

// cancel cancels a reservation that is not needed any more, since another server granted a slot.
func (s *server) cancel(r *reservation) {
	if s.waiting[r.item.ID] != nil {
		delete(s.waiting, r.item.ID)
		s.slots.Remove(r.item.ID)
		return
	}
	if r.granted {
		// The grant may still be on its way, and is cancelled again when it arrives.
		r.granted = false
		s.extras.Return(r.payment)
		s.releaseSlot(r, breaker.ResultNone, s.slots.Mean())
	}
}

// releaseSlot releases the slot of a reservation.
func (s *server) releaseSlot(r *reservation, result breaker.Result, took time.Duration) {
	s.countOpening(s.breaker.End(s.w.now, r.item.ID, result))
	s.deliver(s.slots.Done(s.w.now, r.item, took))
}

// workSpread is the standard deviation of the logarithm of a request's work.
const workSpread = 0.4

// drawWork draws how long a healthy server takes for a request.
func (w *simulation) drawWork() time.Duration {
	return time.Duration(float64(w.Mean) * math.Exp(workSpread*w.random.NormFloat64()-workSpread*workSpread/2))
}

// run runs a request at the server and sends its result to the ingress.
func (s *server) run(r *reservation) {
	rq := r.request
	s.breaker.Start(s.w.now, r.item.ID)
	if rq.arrivals == 0 {
		s.w.first++
	} else {
		s.w.extra++
		s.extras.Arrived(s.w.now, r.payment)
	}
	took, result := s.w.drawWork(), breaker.ResultOK
	if f, met := s.w.drawFault(s.index); met {
		switch f.Kind {
		case faultSlow:
			took = time.Duration(f.Times * float64(took))
		case faultHang:
			took = rq.deadline.Sub(s.w.now)
		case faultShed:
			took, result = failTime, breaker.ResultShed
		case faultReset:
			took, result = failTime, breaker.ResultBroken
		case faultError:
			took, result = errorTime, breaker.ResultError
		}
	}
	if left := rq.deadline.Sub(s.w.now); took >= left {
		took, result = left, breaker.ResultError
	}
	s.arrivals = append(s.arrivals, s.w.now)
	s.w.after(took, func() {
		s.unread[r.item.ID] = true
		s.w.after(s.w.drawLag(s.index), func() {
			delete(s.unread, r.item.ID)
			s.releaseSlot(r, result, took)
			status := s.status()
			r.toIngress(func() { rq.handleAnswer(r, result, status) })
		})
	})
}

// statusWith returns the status that comes with a refusal.
func (s *server) statusWith(cause refusal, after time.Duration) choice.Status {
	status := s.status()
	switch cause {
	case refusedUnhealthy:
		status.TrialIn = after
	case refusedFull:
		status.Full, status.SlotIn = true, after
	case refusedBudget:
		status.Spent = true
	}
	return status
}
