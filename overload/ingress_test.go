package overload

import (
	"fmt"
	"time"

	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/retry"
	"slatewind.example/slatewind/search"
)

// attempts is the number of servers to which a request may be sent.
const attempts = 2

// scarceMemory is how long after a denied extra attempt others are assumed to be denied too.
const scarceMemory = 2 * time.Second

// refusal is the reason why a reservation got no slot.
type refusal string

const (
	refusedUnhealthy refusal = "sick"
	refusedFull      refusal = "full"
	refusedBudget    refusal = "budget"
)

// ingress is one process's view of all servers.
type ingress struct {
	w          *simulation
	index      int
	dataCentre string
	service    *choice.Service
	// denied is when an extra attempt was last denied.
	denied time.Time
}

func newIngress(w *simulation, index int) *ingress {
	in := &ingress{w: w, index: index, dataCentre: fmt.Sprint("dc-", index%w.DataCentres)}
	in.service = choice.NewService(choice.Place{DataCentre: in.dataCentre, Regions: w.regions()}, w.random.Uint64())
	for _, s := range w.servers {
		in.service.Put(w.now, s.entry)
	}
	return in
}

// request is a request of a caller.
type request struct {
	from       *ingress
	sender     workspaceLoad
	repeatable bool
	began      time.Time
	deadline   time.Time
	// slotSearch chooses the servers to ask; open holds the reservations without a final reply.
	slotSearch *search.Search
	open       map[*reservation]bool
	// slot is the reservation that got a slot.
	slot     *reservation
	tried    map[string]bool
	arrivals int
	done     bool
	// counted reports that a server has counted the request as a first one.
	counted bool
}

// reservation is a reservation of a slot at one server.
type reservation struct {
	request *request
	planned *search.Reservation
	server  *server
	item    admission.Item
	granted bool
	// payment is how an extra arrival was paid for.
	payment retry.Payment
}

// constraints returns the constraints of the reservation, by the health of the server.
func (r *reservation) constraints() breaker.Constraints { return r.planned.Constraints }

// until returns when the request stops waiting for the reservation.
func (r *reservation) until() time.Time { return r.request.slotSearch.Until() }

// extra reports whether the reservation is for an extra arrival, which its server pays for.
func (r *reservation) extra() bool { return r.request.arrivals > 0 }

// accept starts a request of a caller.
func (in *ingress) accept() {
	now := in.w.now
	sender := in.w.sender()
	in.w.sent[sender.Name]++
	rq := &request{
		from: in, sender: sender, repeatable: in.w.random.Float64() < in.w.Repeatable, began: now, deadline: now.Add(in.w.Patience * 4), tried: map[string]bool{},
	}
	rq.startSearch(now.Add(in.w.Patience))
}

// choiceRequest returns the properties of the request by which a server is chosen.
func (rq *request) choiceRequest() choice.Request {
	return choice.Request{Constraints: rq.slotSearch.Constraints(), Extra: rq.arrivals > 0, Bytes: rq.from.w.Bytes}
}

// startSearch starts a search for a slot that ends at a time.
func (rq *request) startSearch(until time.Time) {
	w := rq.from.w
	rq.slotSearch = search.New(search.Request{
		Constraints: breaker.Constraints{Careful: !rq.repeatable || rq.arrivals > 0}, Extra: rq.arrivals > 0, Tried: rq.tried, Until: until,
		Scarce: w.now.Sub(rq.from.denied) < scarceMemory,
	})
	rq.open, rq.slot = map[*reservation]bool{}, nil
	rq.startRound()
	current := rq.slotSearch
	w.after(until.Sub(w.now), func() { rq.ifCurrent(current, rq.giveUp) })
}

// ifCurrent calls do unless the given search has ended.
func (rq *request) ifCurrent(current *search.Search, do func()) {
	if !rq.done && rq.slot == nil && rq.slotSearch == current {
		do()
	}
}

// startRound asks the servers in the order of their cost.
func (rq *request) startRound() {
	w, current := rq.from.w, rq.slotSearch
	current.Begin(rq.from.service.Order(w.now, rq.choiceRequest()))
	rq.continueRound(true)
	w.after(search.WidenAfter(w.Objective), func() { rq.ifCurrent(current, func() { rq.reserveNextIf(current.Widen()) }) })
}

// reserveNextIf asks the next server if the search requires it.
func (rq *request) reserveNextIf(more bool) {
	if more {
		rq.reserveNext()
	}
}

// continueRound asks the next server if the search requires it, and ends the round if no reply
// is outstanding.
func (rq *request) continueRound(more bool) {
	rq.reserveNextIf(more)
	if len(rq.open) == 0 {
		rq.endRound()
	}
}

// reserveNext asks the next server, if there is one.
func (rq *request) reserveNext() {
	w, current := rq.from.w, rq.slotSearch
	planned, left := current.Next(w.now, func(server choice.Candidate) bool {
		return rq.from.service.Skipped(w.now, server.ID(), rq.choiceRequest())
	})
	if !left {
		return
	}
	r := &reservation{request: rq, planned: planned, server: w.server(planned.Server.Name)}
	rq.open[r] = true
	w.reservations++
	rq.from.service.Reserved(w.now, planned.Server.ID())
	r.toServer(func() { r.server.reserve(r) })
	w.after(search.ReplyOverdueAfter, func() { rq.ifCurrent(current, func() { rq.reserveNextIf(current.ReplyOverdue(w.now)) }) })
}

// endRound gives the request up, or starts another round after a pause.
func (rq *request) endRound() {
	w, current := rq.from.w, rq.slotSearch
	pause, again := current.NextRound(w.now)
	if !again || current.TooManyDenials() {
		rq.giveUp()
		return
	}
	w.after(pause, func() { rq.ifCurrent(current, rq.startRound) })
}

// giveUp ends the request without an answer.
func (rq *request) giveUp() {
	rq.finish()
	rq.recordOutcome(false)
	w := rq.from.w
	if rq.arrivals > 0 {
		w.failed++
	} else {
		w.refused++
	}
	w.held = append(w.held, w.now.Sub(rq.began))
}

// finish cancels the open reservations of the request.
func (rq *request) finish() {
	rq.done = true
	rq.cancelOthers()
}

func (rq *request) cancelOthers() {
	for r := range rq.open {
		delete(rq.open, r)
		rq.from.service.Ended(r.server.entry.ID())
		if r != rq.slot {
			r.server.cancel(r)
		}
	}
}

// toServer delivers a message from the ingress to the sidecar, toIngress one in the other direction.
func (r *reservation) toServer(do func()) {
	w := r.request.from.w
	w.after(w.delay(r.request.from.dataCentre, r.server.entry.DataCentre)+w.drawLag(r.server.index), do)
}

func (r *reservation) toIngress(do func()) {
	w := r.request.from.w
	w.after(w.delay(r.server.entry.DataCentre, r.request.from.dataCentre)+w.drawLag(r.request.from.index), do)
}

// reply delivers a reply with the server's status to the ingress, and calls do if it is still awaited.
func (r *reservation) reply(status choice.Status, do func()) {
	in := r.request.from
	r.toIngress(func() {
		in.service.Replied(in.w.now, r.server.entry.ID(), status)
		if r.request.open[r] {
			r.request.slotSearch.Replied(r.planned)
			do()
		}
	})
}

// refuse replies that the reservation gets no slot.
func (r *reservation) refuse(cause refusal, after time.Duration) {
	rq := r.request
	rq.from.w.count(cause)
	r.reply(r.server.statusWith(cause, after), func() {
		delete(rq.open, r)
		rq.from.service.Ended(r.server.entry.ID())
		if cause == refusedBudget {
			rq.from.denied = rq.from.w.now
		}
		more := rq.slotSearch.Refused(r.planned, search.Refusal{Unhealthy: cause == refusedUnhealthy, Denied: cause == refusedBudget})
		if rq.slotSearch.TooManyDenials() {
			rq.giveUp()
			return
		}
		rq.continueRound(more)
	})
}

// queue replies that the reservation waits.
func (r *reservation) queue() {
	rq := r.request
	rq.from.w.queued++
	r.reply(r.server.status(), func() { rq.reserveNextIf(rq.slotSearch.Queued(r.planned)) })
}

// grant gives the reservation its slot.
func (r *reservation) grant() {
	rq := r.request
	r.granted = true
	in := rq.from
	r.toIngress(func() {
		in.service.Replied(in.w.now, r.server.entry.ID(), r.server.status())
		if rq.done || rq.slot != nil || !rq.open[r] {
			r.server.cancel(r)
			return
		}
		rq.slot = r
		rq.cancelOthers()
		r.toServer(func() { r.server.run(r) })
	})
}

// handleAnswer handles the result of the request at a server.
func (rq *request) handleAnswer(r *reservation, result breaker.Result, status choice.Status) {
	w, name := rq.from.w, r.server.entry.ID()
	rq.from.service.Replied(w.now, name, status)
	rq.arrivals++
	rq.tried[name] = true
	if w.region(r.server.entry.DataCentre) != w.region(rq.from.dataCentre) {
		w.abroad++
	}
	if result == breaker.ResultOK {
		rq.from.service.Succeeded(w.now, name)
		rq.done = true
		rq.recordOutcome(true)
		w.served++
		if w.now.Sub(rq.began) <= w.Objective {
			w.inTime++
		}
		w.answered[rq.sender.Name]++
		return
	}
	proof := result == breaker.ResultShed
	if (rq.repeatable || proof) && rq.arrivals < attempts && w.now.Before(rq.deadline) {
		rq.startSearch(w.now.Add(search.MaxSlotWait(rq.deadline.Sub(w.now), w.Objective, true)))
		return
	}
	rq.done = true
	rq.recordOutcome(false)
	w.failed++
}

// recordOutcome records the outcome of the request.
func (rq *request) recordOutcome(served bool) {
	rq.from.w.outcomes = append(rq.from.w.outcomes, outcome{rq.began, served})
}

// count counts a refused reservation.
func (t *tally) count(cause refusal) {
	switch cause {
	case refusedUnhealthy:
		t.unhealthy++
	case refusedFull:
		t.full++
	case refusedBudget:
		t.denied++
	}
}

// server returns a server by its name.
func (w *simulation) server(name string) *server {
	for _, s := range w.servers {
		if s.entry.Name == name {
			return s
		}
	}
	return nil
}
