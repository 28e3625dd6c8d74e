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
	// tick is how often the process beside a server looks at its queue and its judgement.
	tick = 50 * time.Millisecond
	// promptly is how long a rejection or a reset takes.
	promptly = time.Millisecond
)

// server is a server with the decisions of the process beside it.
type server struct {
	w       *world
	index   int
	entry   slatewind.ServerEntry
	slots   *admission.Server
	breaker *breaker.Breaker
	extras  *retry.Window
	// waiting holds, by the item's id, the reservations that wait.
	waiting map[string]*reservation
	nextID  int
	// arrivals are when the server got requests, unread are those whose answers its process has
	// not read yet.
	arrivals []time.Time
	unread   map[string]bool
}

func newServer(w *world, index int) *server {
	s := &server{
		w: w, index: index, slots: admission.NewServer(w.Slots), breaker: breaker.New(),
		// The process has run for long when the pattern begins.
		extras:  retry.NewWindow(w.now.Add(-time.Minute), w.Ratio, 10*time.Second),
		waiting: map[string]*reservation{}, unread: map[string]bool{},
		entry: slatewind.ServerEntry{
			Name: fmt.Sprint("s-", index), Service: "svc", DataCentre: fmt.Sprint("dc-", index%w.DataCentres), Slots: w.Slots,
		},
	}
	s.extras.SetSlack(retry.Sharer{Servers: w.Servers, Rank: index}.Share(w.Slack))
	w.after(tick, s.onTick)
	if w.ReportEvery > 0 {
		w.after(time.Duration(w.random.Float64()*float64(w.ReportEvery)), s.report)
	}
	return s
}

// onTick looks at the queue and the judgement, as each tick does.
func (s *server) onTick() {
	s.deliver(s.slots.Advance(s.w.now))
	s.lookForAnswers()
	s.noteOpening(s.breaker.Tick(s.w.now))
	if !s.w.over() || len(s.waiting) > 0 {
		s.w.after(tick, s.onTick)
	}
}

// lookForAnswers tells the judgement which requests are late since their answers are not read yet.
func (s *server) lookForAnswers() {
	for _, id := range s.breaker.LateRequests(s.w.now) {
		s.breaker.SetUnread(s.w.now, id, s.unread[id])
	}
}

// allows reports whether the judgement lets a reservation through.
func (s *server) allows(r *reservation) bool {
	if s.breaker.Allow(s.w.now, r.ask()) {
		return true
	}
	s.lookForAnswers()
	return s.breaker.Allow(s.w.now, r.ask())
}

// noteOpening counts a server that is set aside while it is well.
func (s *server) noteOpening(changed bool) {
	if changed && s.breaker.State() == breaker.StateOpen && !s.w.fails(s.index) {
		s.w.setAside++
	}
}

// report tells the ingresses of the data centre that the server is sick.
func (s *server) report() {
	if s.w.over() {
		return
	}
	if told := s.told(); told.Unhealthy {
		told.TrialIn = s.breaker.TrialIn(s.w.now)
		told.TrialDue = told.TrialIn == 0
		at := s.w.now
		s.w.after(s.w.ReportEvery/2, func() {
			for _, ingress := range s.w.ingresses {
				if ingress.dataCentre == s.entry.DataCentre {
					ingress.service.Reported(at, s.entry.Name, told)
				}
			}
		})
	}
	s.w.after(s.w.ReportEvery, s.report)
}

// reserve decides about a reservation.
func (s *server) reserve(r *reservation) {
	rq, now := r.request, s.w.now
	if !rq.announced {
		rq.announced = true
		s.extras.RecordFirst(now)
	}
	switch {
	case rq.slot != nil || rq.done:
		return
	case !s.allows(r):
		r.refuse(refusedSick, s.breaker.RetryAfter(now))
		return
	case r.extra() && !s.extras.Left(now):
		r.refuse(refusedBudget, 0)
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

// deliver tells those that wait what was decided.
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

// leave takes a reservation back that another server's slot made needless.
func (s *server) leave(r *reservation) {
	if s.waiting[r.item.ID] != nil {
		delete(s.waiting, r.item.ID)
		s.slots.Remove(r.item.ID)
		return
	}
	if r.granted {
		// Its grant may be on its way still, and come back when it arrives.
		r.granted = false
		s.extras.Return(r.payment)
		s.end(r, breaker.ResultNone, s.slots.Mean())
	}
}

// end gives a slot back.
func (s *server) end(r *reservation, result breaker.Result, took time.Duration) {
	s.noteOpening(s.breaker.End(s.w.now, r.item.ID, result))
	s.deliver(s.slots.Done(s.w.now, r.item, took))
}

// spread is that of the logarithm of a request's work.
const spread = 0.4

// work draws how long a well server takes for a request.
func (w *world) work() time.Duration {
	return time.Duration(float64(w.Mean) * math.Exp(spread*w.random.NormFloat64()-spread*spread/2))
}

// run has the server run a request, and tells its ingress what came of it.
func (s *server) run(r *reservation) {
	rq := r.request
	s.breaker.Start(s.w.now, r.item.ID)
	if rq.arrivals == 0 {
		s.w.first++
	} else {
		s.w.extra++
		s.extras.Arrived(s.w.now, r.payment)
	}
	took, result := s.w.work(), breaker.ResultOK
	if f, met := s.w.meets(s.index); met {
		switch f.Kind {
		case faultSlow:
			took = time.Duration(f.Times * float64(took))
		case faultHang:
			took = rq.deadline.Sub(s.w.now)
		case faultShed:
			took, result = promptly, breaker.ResultShed
		case faultReset:
			took, result = promptly, breaker.ResultBroken
		}
	}
	if left := rq.deadline.Sub(s.w.now); took >= left {
		took, result = left, breaker.ResultError
	}
	s.arrivals = append(s.arrivals, s.w.now)
	s.w.after(took, func() {
		s.unread[r.item.ID] = true
		s.w.after(s.w.lag(s.index), func() {
			delete(s.unread, r.item.ID)
			s.end(r, result, took)
			told := s.told()
			r.toIngress(func() { rq.answered(r, result, told) })
		})
	})
}

// toldWith is the state that comes with a refusal.
func (s *server) toldWith(cause refusal, after time.Duration) choice.Status {
	told := s.told()
	switch cause {
	case refusedSick:
		told.TrialIn = after
	case refusedFull:
		told.Full, told.SlotIn = true, after
	case refusedBudget:
		told.Spent = true
	}
	return told
}
