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

// attempts is to how many servers a request may be sent.
const attempts = 2

// scarceMemory is how long after a denied extra attempt these are taken to be scarce.
const scarceMemory = 2 * time.Second

// refusal is why a reservation got no slot.
type refusal string

const (
	refusedSick   refusal = "sick"
	refusedFull   refusal = "full"
	refusedBudget refusal = "budget"
)

// ingress is one process's view of all servers.
type ingress struct {
	w          *world
	index      int
	dataCentre string
	service    *choice.Service
	// denied is when an extra attempt was last denied.
	denied time.Time
}

func newIngress(w *world, index int) *ingress {
	in := &ingress{w: w, index: index, dataCentre: fmt.Sprint("dc-", index%w.DataCentres)}
	in.service = choice.NewService(in.dataCentre, w.random.Uint64())
	for _, s := range w.servers {
		in.service.Put(w.now, s.entry)
	}
	return in
}

// request is one caller's request.
type request struct {
	from       *ingress
	sender     workspaceLoad
	repeatable bool
	began      time.Time
	deadline   time.Time
	// look decides whom to ask; open holds the reservations without a final reply.
	look *search.Search
	open map[*reservation]bool
	// slot is the reservation that got one.
	slot     *reservation
	tried    map[string]bool
	arrivals int
	done     bool
	// announced says that a server has counted the request as a first one.
	announced bool
}

// reservation asks one server for a slot.
type reservation struct {
	request  *request
	question *search.Reservation
	server   *server
	item     admission.Item
	granted  bool
	// payment is what an extra arrival was paid from.
	payment retry.Payment
}

// ask says what the reservation may do to a server that looks sick.
func (r *reservation) ask() breaker.Constraints { return r.question.Constraints }

// until is when the reservation is not waited for any longer.
func (r *reservation) until() time.Time { return r.request.look.Until() }

// extra reports whether the reservation is for an extra arrival that its server pays for.
func (r *reservation) extra() bool { return r.request.arrivals > 0 }

// take begins a request.
func (in *ingress) take() {
	now := in.w.now
	sender := in.w.sender()
	in.w.sent[sender.Name]++
	rq := &request{
		from: in, sender: sender, repeatable: in.w.random.Float64() < in.w.Repeatable, began: now, deadline: now.Add(in.w.Patience * 4), tried: map[string]bool{},
	}
	rq.search(now.Add(in.w.Patience))
}

// want is what the request is like now.
func (rq *request) want() choice.Request {
	return choice.Request{Constraints: rq.look.Constraints(), Extra: rq.arrivals > 0}
}

// search begins to look for a slot until a time.
func (rq *request) search(until time.Time) {
	w := rq.from.w
	rq.look = search.New(search.Request{
		Constraints: breaker.Constraints{Careful: !rq.repeatable || rq.arrivals > 0}, Extra: rq.arrivals > 0, Tried: rq.tried, Until: until,
		Scarce: w.now.Sub(rq.from.denied) < scarceMemory,
	})
	rq.open, rq.slot = map[*reservation]bool{}, nil
	rq.round()
	look := rq.look
	w.after(until.Sub(w.now), func() { rq.in(look, rq.refused) })
}

// in does something unless the look that it belongs to is over.
func (rq *request) in(look *search.Search, do func()) {
	if !rq.done && rq.slot == nil && rq.look == look {
		do()
	}
}

// round asks the servers in the order of their cost.
func (rq *request) round() {
	w, look := rq.from.w, rq.look
	look.Begin(rq.from.service.Order(w.now, rq.want()))
	rq.goOn(true)
	w.after(search.WidenAfter(w.Objective), func() { rq.in(look, func() { rq.nextIf(look.Widen()) }) })
}

// nextIf asks the next server where the look wants that.
func (rq *request) nextIf(more bool) {
	if more {
		rq.next()
	}
}

// goOn asks the next server where the look wants that, or ends the round where no reply is
// awaited any more.
func (rq *request) goOn(more bool) {
	rq.nextIf(more)
	if len(rq.open) == 0 {
		rq.endRound()
	}
}

// next asks the next server, if there is one.
func (rq *request) next() {
	w, look := rq.from.w, rq.look
	question, left := look.Next(w.now, func(server choice.Candidate) bool { return rq.from.service.Skipped(w.now, server.ID(), rq.want()) })
	if !left {
		return
	}
	r := &reservation{request: rq, question: question, server: w.server(question.Server.Name)}
	rq.open[r] = true
	w.reservations++
	rq.from.service.Reserved(w.now, question.Server.ID())
	r.toServer(func() { r.server.reserve(r) })
	w.after(search.ReplyOverdueAfter, func() { rq.in(look, func() { rq.nextIf(look.ReplyOverdue(w.now)) }) })
}

// endRound refuses the request, or asks all once more after a pause.
func (rq *request) endRound() {
	w, look := rq.from.w, rq.look
	pause, again := look.NextRound(w.now)
	if !again || look.TooManyDenials() {
		rq.refused()
		return
	}
	w.after(pause, func() { rq.in(look, rq.round) })
}

// refused gives the request up.
func (rq *request) refused() {
	rq.end()
	rq.note(false)
	w := rq.from.w
	if rq.arrivals > 0 {
		w.failed++
	} else {
		w.refused++
	}
	w.held = append(w.held, w.now.Sub(rq.began))
}

// end takes back what the request still has open.
func (rq *request) end() {
	rq.done = true
	rq.leaveOthers()
}

func (rq *request) leaveOthers() {
	for r := range rq.open {
		delete(rq.open, r)
		rq.from.service.Ended(r.server.entry.ID())
		if r != rq.slot {
			r.server.leave(r)
		}
	}
}

// toServer has a message of the ingress come to the process beside the server, toIngress one back.
func (r *reservation) toServer(do func()) {
	w := r.request.from.w
	w.after(w.delay(r.request.from.dataCentre, r.server.entry.DataCentre)+w.lag(r.server.index), do)
}

func (r *reservation) toIngress(do func()) {
	w := r.request.from.w
	w.after(w.delay(r.server.entry.DataCentre, r.request.from.dataCentre)+w.lag(r.request.from.index), do)
}

// reply has something come to the request's ingress, with the server's state.
func (r *reservation) reply(told choice.Status, do func()) {
	in := r.request.from
	r.toIngress(func() {
		in.service.Replied(in.w.now, r.server.entry.ID(), told)
		if r.request.open[r] {
			r.request.look.Replied(r.question)
			do()
		}
	})
}

// refuse tells that the reservation gets no slot.
func (r *reservation) refuse(cause refusal, after time.Duration) {
	rq := r.request
	rq.from.w.count(cause)
	r.reply(r.server.toldWith(cause, after), func() {
		delete(rq.open, r)
		rq.from.service.Ended(r.server.entry.ID())
		if cause == refusedBudget {
			rq.from.denied = rq.from.w.now
		}
		more := rq.look.Refused(r.question, search.Refusal{Unhealthy: cause == refusedSick, Denied: cause == refusedBudget})
		if rq.look.TooManyDenials() {
			rq.refused()
			return
		}
		rq.goOn(more)
	})
}

// queue tells that the reservation waits.
func (r *reservation) queue() {
	rq := r.request
	rq.from.w.waits++
	r.reply(r.server.told(), func() { rq.nextIf(rq.look.Queued(r.question)) })
}

// grant gives the reservation its slot.
func (r *reservation) grant() {
	rq := r.request
	r.granted = true
	in := rq.from
	r.toIngress(func() {
		in.service.Replied(in.w.now, r.server.entry.ID(), r.server.told())
		if rq.done || rq.slot != nil || !rq.open[r] {
			r.server.leave(r)
			return
		}
		rq.slot = r
		rq.leaveOthers()
		r.toServer(func() { r.server.run(r) })
	})
}

// answered takes what came of the request at a server.
func (rq *request) answered(r *reservation, result breaker.Result, told choice.Status) {
	w, name := rq.from.w, r.server.entry.ID()
	rq.from.service.Replied(w.now, name, told)
	rq.arrivals++
	rq.tried[name] = true
	if result == breaker.ResultOK {
		rq.from.service.Succeeded(w.now, name)
		rq.done = true
		rq.note(true)
		w.served++
		if w.now.Sub(rq.began) <= w.Objective {
			w.inTime++
		}
		w.answered[rq.sender.Name]++
		return
	}
	proof := result == breaker.ResultShed
	if (rq.repeatable || proof) && rq.arrivals < attempts && w.now.Before(rq.deadline) {
		rq.search(w.now.Add(search.MaxSlotWait(rq.deadline.Sub(w.now), w.Objective, true)))
		return
	}
	rq.done = true
	rq.note(false)
	w.failed++
}

// note writes down what came of the request.
func (rq *request) note(served bool) {
	rq.from.w.outcomes = append(rq.from.w.outcomes, outcome{rq.began, served})
}

// count counts a refused reservation.
func (t *tally) count(cause refusal) {
	switch cause {
	case refusedSick:
		t.sick++
	case refusedFull:
		t.full++
	case refusedBudget:
		t.denied++
	}
}

// server returns a server by its name.
func (w *world) server(name string) *server {
	for _, s := range w.servers {
		if s.entry.Name == name {
			return s
		}
	}
	return nil
}
