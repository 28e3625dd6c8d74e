package outbound

import (
	"context"
	"fmt"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/search"
)

// patience returns until when an attempt that begins now may wait for a slot.
func (rq *request) patience(now time.Time, again bool) time.Time {
	return now.Add(search.Patience(rq.remaining(now), rq.objective(), again || rq.call != nil))
}

// held is a granted slot.
type held struct {
	server choice.Candidate
	use    link.Use
	cancel context.CancelFunc
}

// aim says which servers an attempt may go to.
type aim struct {
	// tried are passed over.
	tried map[string]bool
	// ask says what the attempt may do to servers that look sick.
	ask breaker.Ask
	// extra says that a server has seen the request before, or may see it.
	extra bool
	// again says that a server has seen the request and gave no final answer.
	again bool
	// sent is called with the name of the server before the request goes there.
	sent func(server string)
}

// look is one look for a slot: it makes the reservations that a search decides about.
type look struct {
	o      *Outbound
	rq     *request
	aim    aim
	until  time.Time
	ctx    context.Context
	search *search.Search
	events chan event
	// open holds the reservations without a final reply.
	open map[*pending]bool
	// last says why the newest refused reservation was, and lastServer by which
	// server; retryAfter is the least time after which a slot may be free.
	last       string
	lastServer string
	retryAfter time.Duration
	// refusals counts the refused reservations by their cause.
	refusals map[inbound.Cause]int
}

// eventsHeld is how many replies to reservations wait for the look without holding those up
// who read them. More of them come seldom; their readers wait.
const eventsHeld = 8

// acquire looks for a slot for a request until a time. Where there is none, the
// outcome says why.
func (o *Outbound) acquire(ctx context.Context, rq *request, aim aim, until time.Time) (*held, *final) {
	l := &look{
		o: o, rq: rq, aim: aim, until: until, ctx: ctx, open: map[*pending]bool{}, refusals: map[inbound.Cause]int{},
		search: search.New(search.Request{
			Rank: rq.route.GetRank(), Ask: aim.ask, Extra: aim.extra, Tried: aim.tried, Until: until,
			Scarce: rq.shard.deniedWithin(time.Now(), scarceMemory),
		}),
	}
	defer l.close()
	patience := time.NewTimer(time.Until(until))
	defer patience.Stop()
	for {
		slot, over := l.round(patience.C)
		if slot != nil {
			why := l.noUse()
			if why == "" {
				return slot, nil
			}
			l.giveBack(slot)
			l.last, over = why, true
		}
		pause, again := l.search.Again(time.Now())
		if over || !again || !l.pause(pause) {
			return nil, l.refusal()
		}
	}
}

// pause waits; it reports false if the request ended or its caller left meanwhile.
func (l *look) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ctx.Done():
	case <-l.rq.left:
	}
	return false
}

// noUse says why a slot that was granted is not to be used, or nothing.
func (l *look) noUse() string {
	switch {
	case l.rq.abandoned():
		return "the caller left"
	case !l.o.mayStart(l.rq):
		return stops
	case l.rq.remaining(time.Now()) <= 0:
		return "its time was over before it was sent"
	case l.o.quarantined(time.Now(), l.rq):
		return string(inbound.CauseQuarantined)
	}
	return ""
}

// giveBack returns a slot that was granted and is not used.
func (l *look) giveBack(slot *held) {
	slot.cancel()
	l.rq.shard.update(func(c *choice.Service) { c.Ended(slot.server.ID()) })
}

// reason says why the look found no slot: the newest refusal, and how many there were of
// each cause.
func (l *look) reason() string {
	if len(l.refusals) == 0 {
		return l.last
	}
	return fmt.Sprintf("%s (of all refusals: %d full, %d sick, %d leaving, %d stopping, %d moved, %d budget)", l.last,
		l.refusals[inbound.CauseFull], l.refusals[inbound.CauseSick], l.refusals[inbound.CauseLeaving],
		l.refusals[inbound.CauseStopping], l.refusals[inbound.CauseMoved], l.refusals[inbound.CauseBudget])
}

// refusal is the outcome of a look without a slot.
func (l *look) refusal() *final {
	survey := l.rq.shard.survey(time.Now(), l.rq, l.aim, l.search.Asked())
	if l.last == "" {
		l.last = noReply(survey)
	}
	return &final{outcome: slatewind.OutcomeNotRun, reason: l.reason(), server: l.lastServer, retryAfter: l.retryAfter, survey: survey}
}

// noReply says why a look that no reply came to found no slot.
func noReply(survey choice.Survey) string {
	switch {
	case survey.Known == 0:
		return "no server of the service is known"
	case survey.Asked == 0:
		return "no known server of the service may be asked now"
	}
	return "no server that was asked replied in time"
}

// round asks one server after the other, in the order of their cost. over says that waiting
// longer is no use.
func (l *look) round(patience <-chan time.Time) (slot *held, over bool) {
	l.aim.ask = l.search.Ask()
	l.search.Begin(l.rq.shard.order(time.Now(), l.rq, l.aim))
	l.events = make(chan event, eventsHeld)
	l.ask()
	silent := time.NewTicker(search.SilentAfter)
	defer silent.Stop()
	widen := time.NewTimer(search.WidenAfter(l.rq.objective()))
	defer widen.Stop()
	for len(l.open) > 0 {
		select {
		case e := <-l.events:
			if slot := l.take(e); slot != nil {
				return slot, false
			}
			if l.search.DeniedEnough() {
				return nil, true
			}
		case <-silent.C:
			if !l.o.mayStart(l.rq) {
				l.last = stops
				return nil, true
			}
			l.askIf(l.search.Silent(time.Now()))
		case <-widen.C:
			l.askIf(l.search.Widen())
		case <-patience:
			return nil, true
		case <-l.rq.left:
			l.last = "the caller left"
			return nil, true
		case <-l.ctx.Done():
			return nil, true
		}
	}
	return nil, false
}

// askIf asks the next server where the search wants that.
func (l *look) askIf(more bool) {
	if more {
		l.ask()
	}
}

// take handles one reply. It returns the slot if one was granted.
func (l *look) take(e event) *held {
	if !l.open[e.of] {
		return nil
	}
	l.search.Heard(e.of.question)
	switch {
	case e.err != nil:
		l.unreached(e)
	case e.reply.GetGranted() != nil && !l.rq.shard.takes(e.of.server().ID()):
		// The process beside the server may be cut off and not know.
		l.left(e)
	case e.reply.GetGranted() != nil && l.o.outlasts(time.Now(), l.rq, e.reply.GetGranted()):
		l.endsBefore(e)
	case e.reply.GetGranted() != nil:
		delete(l.open, e.of)
		l.heard(e.of.server().ID(), toldOf(e.reply.GetGranted()))
		return &held{server: e.of.server(), use: e.use, cancel: e.of.cancel}
	case e.reply.GetQueued() != nil:
		l.heard(e.of.server().ID(), toldOf(e.reply.GetQueued()))
		l.askIf(l.search.Queued(e.of.question))
	default:
		l.refused(e)
	}
	return nil
}

// close ends all reservations but the one that was granted. Processes that
// never replied are avoided for a while.
func (l *look) close() {
	now := time.Now()
	for a := range l.open {
		l.end(a)
		if a.question.Unheard(now) {
			l.rq.shard.update(func(c *choice.Service) { c.Silent(now, a.server().ID()) })
		}
	}
}
