package outbound

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/explore"
	"slatewind.example/slatewind/quarantine"
)

// The model: one request at an ingress, which begins three attempts at most, and two
// servers, each with the process beside it. Every process and every message may be slow: what happens
// next is whatever may happen at all, so that a frozen process is one that takes no step
// while others do and time runs out. What the ingress does with an attempt's result is the
// real code (dispatch.take, learn, hedge and ended). The rest stands in code with input
// and output and is written again; each step names the function that it stands for.
const (
	modelServers  = 2
	modelAttempts = 3
	// routeAttempts is to how many servers the request may be sent.
	routeAttempts = 2
)

// attemptPhase is how far an attempt of the ingress has come.
type attemptPhase uint8

const (
	attemptNone attemptPhase = iota
	// attemptSearching: reservations are made (search.round).
	attemptSearching
	// attemptSent: the request was sent into a granted slot (Outbound.run).
	attemptSent
	attemptOver
)

// sidePhase is how far a reservation has come at the process beside the server.
type sidePhase uint8

const (
	sideNone sidePhase = iota
	// sideAsked: the reservation is on its way, or just came.
	sideAsked
	sideQueued
	sideGranted
	// sideRunning: the request was taken and is to be written to the server (use.run).
	sideRunning
	// sideWritten: the answer is awaited (Pool.Do).
	sideWritten
	sideClosed
)

// serverPhase is how far the request has come at the server.
type serverPhase uint8

const (
	serverNone serverPhase = iota
	// serverHas: its bytes are in the server's buffers.
	serverHas
	serverRuns
	serverAnswered
	serverFailed
	serverRejected
)

// modelReply is a reply of the process beside the server.
type modelReply uint8

const (
	replyNone modelReply = iota
	replyGranted
	replyRefused
	// replyNotRun and replyUnknown are failures with that outcome.
	replyNotRun
	replyUnknown
	replyAnswer
	// replyError is a server's own error answer.
	replyError
	// replyBroken: the stream broke.
	replyBroken
)

// modelReservation is one reservation, and the request that follows it.
type modelReservation struct {
	side   sidePhase
	server serverPhase
	// open says that the ingress has not closed it, sent that the request is on its way.
	open, sent bool
	// expired says that more than grantTime has passed since the grant.
	expired bool
	// late says that it was closed because of that.
	late bool
	// replies are those that the ingress has not read, oldest first.
	replies [2]modelReply
	// runs counts how often the server began to run the request.
	runs uint8
}

// modelDispatch is the part of a dispatch by which it decides.
type modelDispatch struct {
	active, tries, arrivals uint8
	mayHaveRun, best        bool
}

// modelState is one state of the model.
type modelState struct {
	dispatch     modelDispatch
	attempts     [modelAttempts]attemptPhase
	reservations [modelAttempts][modelServers]modelReservation
	// left says that the caller has left, over that the request's time is over, ending
	// that the dispatch has noticed it.
	left, over, ending bool
	// outcome is what the caller was told; empty before.
	outcome slatewind.Outcome
	// leaving says that the process beside a server has heard that the server leaves.
	leaving [modelServers]bool
	// sentLeft and ranLeaving note a request that was sent for a caller that had left,
	// or given to a server that was leaving.
	sentLeft, ranLeaving bool
}

// safeguard names one that a variant of the model leaves out.
type safeguard string

const (
	// allSafeguards leaves none out.
	allSafeguards       safeguard = ""
	proofBeforeRepeat   safeguard = "a single request is repeated only with a proof"
	silenceIsNoProof    safeguard = "no reply is no proof"
	requestAfterGrant   safeguard = "a request follows only a grant"
	oneGrantIsUsed      safeguard = "one grant is used and the other reservations are closed"
	lateIsNotRun        safeguard = "a request that came too late for its slot is not run"
	writtenIsSent       safeguard = "a byte that was written is no proof of not run"
	clientRepeatsNot    safeguard = "the client to the server repeats nothing"
	errorIsNoRejection  safeguard = "a server's own error is no rejection"
	doubtIsKept         safeguard = "a refused second attempt proves nothing of the first"
	endWaits            safeguard = "the end of the request's time waits for its attempts"
	leavingCheckedAgain safeguard = "a leaving server is looked at again when the request comes"
	callerLookedAt      safeguard = "a slot is given back when its caller has left"
)

// reservationModel is the model under one variant.
type reservationModel struct {
	kind    slatewind.Kind
	without safeguard
	// leaves and quits allow servers to leave and the caller to leave.
	leaves, quits bool
	// only is the one property that is looked at; nil means all.
	only      error
	decisions map[decisionKey]decision
}

// push adds a reply.
func (r *modelReservation) push(reply modelReply) {
	if !r.open {
		return
	}
	if r.replies[0] == replyNone {
		r.replies[0] = reply
		return
	}
	r.replies[1] = reply
}

// pop takes the oldest reply.
func (r *modelReservation) pop() modelReply {
	reply := r.replies[0]
	r.replies = [2]modelReply{r.replies[1]}
	return reply
}

// shut closes the ingress's end. The other end notices it at some time.
func (r *modelReservation) shut() {
	r.open = false
	r.replies = [2]modelReply{}
	if r.side == sideNone {
		*r = modelReservation{}
	}
}

// finish ends a reservation at the process beside the server with a reply.
func (r *modelReservation) finish(reply modelReply) {
	r.side = sideClosed
	r.expired = false
	r.push(reply)
}

// next lets each event happen that may.
func (m *reservationModel) next(s modelState, step func(string, modelState)) {
	m.ingress(s, step)
	for a := range s.reservations {
		for i := range s.reservations[a] {
			if s.reservations[a][i].side == sideNone {
				continue
			}
			m.side(s, a, i, step)
			m.server(s, a, i, step)
		}
	}
	for i := range s.leaving {
		if m.leaves && !s.leaving[i] {
			to := s
			to.leaving[i] = true
			step("a server begins to leave", to)
		}
	}
}

// ingress lets the ingress, its caller and the request's time go on.
func (m *reservationModel) ingress(s modelState, step func(string, modelState)) {
	if s.outcome != "" {
		return
	}
	if m.quits && !s.left {
		to := s
		to.left = true
		step("the caller leaves", to)
	}
	if !s.over {
		to := s
		to.over = true
		step("the request's time is over", to)
	}
	if s.over && !s.ending {
		to := s
		to.ending = true
		m.end(&to, result{}, false)
		step("the ingress notices that the time is over", to)
	}
	m.hedge(s, step)
	for a, phase := range s.attempts {
		switch phase {
		case attemptSearching:
			m.search(s, a, step)
		case attemptSent:
			m.await(s, a, step)
		case attemptNone, attemptOver:
		}
	}
}

// search asks servers for a slot and reads their replies (search.ask, search.take).
func (m *reservationModel) search(s modelState, a int, step func(string, modelState)) {
	for i := range s.reservations[a] {
		r := &s.reservations[a][i]
		if r.side == sideNone && !s.tried(a, i) && (a > 0 || i == 0 || s.reservations[0][0].side != sideNone) {
			to := s
			asked := &to.reservations[a][i]
			asked.side, asked.open = sideAsked, true
			asked.sent = m.without == requestAfterGrant
			step("a server is asked for a slot", to)
		}
		if r.replies[0] != replyNone {
			m.hear(s, a, i, step)
		}
	}
	// Patience ends, no server is left, or the caller or the time is gone.
	to := s
	to.shut(a, modelServers)
	m.ended(&to, a, result{final: final{outcome: slatewind.OutcomeNotRun}})
	step("a search ends without a slot", to)
}

// tried reports whether an earlier attempt was sent to a server (dispatch.tried).
func (s *modelState) tried(a, i int) bool {
	for earlier := range a {
		if s.reservations[earlier][i].sent {
			return true
		}
	}
	return false
}

// shut closes the reservations of an attempt, but for one (search.close).
func (s *modelState) shut(a, but int) {
	for i := range s.reservations[a] {
		if i != but {
			s.reservations[a][i].shut()
		}
	}
}

// hear reads one reply of a search (search.take, Outbound.acquire).
func (m *reservationModel) hear(s modelState, a, i int, step func(string, modelState)) {
	r := &s.reservations[a][i]
	granted := r.pop() == replyGranted
	switch {
	case !granted:
		r.shut()
		step("a search hears of no slot", s)
	case s.left && m.without != callerLookedAt:
		s.shut(a, modelServers)
		m.ended(&s, a, result{final: final{outcome: slatewind.OutcomeNotRun}})
		step("a slot is given back, since its caller has left", s)
	default:
		s.sentLeft = s.sentLeft || s.left
		if m.without != oneGrantIsUsed {
			s.shut(a, i)
		}
		s.attempts[a] = attemptSent
		r.sent = true
		step("a granted slot gets the request", s)
	}
}

// await reads the reply to a request that was sent (Outbound.run).
func (m *reservationModel) await(s modelState, a int, step func(string, modelState)) {
	for i := range s.reservations[a] {
		r := &s.reservations[a][i]
		if !r.open {
			continue
		}
		if m.without == oneGrantIsUsed && r.replies[0] == replyGranted {
			to := s
			to.reservations[a][i].pop()
			to.reservations[a][i].sent = true
			step("a second granted slot gets the request", to)
			continue
		}
		if r.replies[0] != replyNone {
			to := s
			reply := to.reservations[a][i].pop()
			to.shut(a, modelServers)
			m.ended(&to, a, m.result(reply))
			step("the ingress reads the reply to its request", to)
		}
		if s.over {
			to := s
			to.shut(a, modelServers)
			m.ended(&to, a, m.result(replyBroken))
			step("no reply comes in the request's time", to)
		}
	}
}

// result is what a reply says of a request that was sent (Outbound.run, Outbound.read).
func (m *reservationModel) result(reply modelReply) result {
	r := result{final: final{outcome: slatewind.OutcomeUnknown}, arrived: true}
	switch reply {
	case replyRefused, replyNotRun:
		r.outcome = slatewind.OutcomeNotRun
	case replyAnswer:
		r.outcome, r.answer = slatewind.OutcomeAnswer, &answer{head: &slatewindv1.AnswerHead{Status: 200}}
	case replyError:
		r.outcome, r.answer = slatewind.OutcomeAnswer, &answer{head: &slatewindv1.AnswerHead{Status: slatewind.FirstServerError}}
	case replyNone, replyGranted, replyUnknown, replyBroken:
		if m.without == silenceIsNoProof && reply == replyBroken {
			r.outcome = slatewind.OutcomeNotRun
		}
	}
	return r
}

// ended gives an attempt's result to the dispatch (dispatch.run).
func (m *reservationModel) ended(s *modelState, a int, r result) {
	s.attempts[a] = attemptOver
	if s.ending {
		m.end(s, r, true)
		return
	}
	if m.without == doubtIsKept {
		s.dispatch.mayHaveRun = false
	}
	s.dispatch.active--
	d := m.decide(decisionKey{dispatch: s.dispatch, did: didTake, left: s.left, over: s.over}, r)
	if m.without == proofBeforeRepeat && r.arrived && r.answer == nil && d.done && s.dispatch.tries < modelAttempts {
		d.done = false
		d.after.active++
		d.after.tries++
	}
	m.apply(s, d)
}

// end goes on with a dispatch whose time is over (dispatch.ended): it waits for the results
// of all attempts. heard says that r is one.
func (m *reservationModel) end(s *modelState, r result, heard bool) {
	switch {
	case m.without == endWaits && !heard:
		s.dispatch.active = 0
		m.apply(s, m.decide(decisionKey{dispatch: s.dispatch, did: didEnd, left: s.left, over: true}, r))
	case heard && s.dispatch.active > 1 && r.answer == nil:
		s.dispatch.active--
		m.apply(s, m.decide(decisionKey{dispatch: s.dispatch, did: didLearn, left: s.left, over: true}, r))
	case heard || s.dispatch.active == 0:
		m.apply(s, m.decide(decisionKey{dispatch: s.dispatch, did: didEnd, left: s.left, over: true}, r))
	}
}

// hedge sends a repeatable request to a second server (dispatch.hedge). One hedge is
// enough: the next is like it.
func (m *reservationModel) hedge(s modelState, step func(string, modelState)) {
	if s.ending || s.attempts[0] != attemptSent || s.dispatch.tries > 1 {
		return
	}
	d := m.decide(decisionKey{dispatch: s.dispatch, did: didHedge, left: s.left, over: s.over}, result{})
	if d.after.tries > s.dispatch.tries {
		m.apply(&s, d)
		step("a second server is asked as well", s)
	}
}

// apply takes over what the dispatch decided.
func (m *reservationModel) apply(s *modelState, d decision) {
	if d.after.tries > s.dispatch.tries {
		s.attempts[d.after.tries-1] = attemptSearching
	}
	s.dispatch = d.after
	if !d.done {
		return
	}
	s.outcome = d.outcome
	for a := range s.attempts {
		s.shut(a, modelServers)
		if s.attempts[a] != attemptNone {
			s.attempts[a] = attemptOver
		}
	}
}

// side lets the process beside the server go on with a reservation.
func (m *reservationModel) side(s modelState, a, i int, step func(string, modelState)) {
	r := s.reservations[a][i]
	to := func(event string, change func(r *modelReservation)) {
		after := s
		change(&after.reservations[a][i])
		step(event, after)
	}
	m.stream(r, to)
	switch r.side {
	case sideAsked, sideQueued:
		m.offer(r, s.leaving[i], to)
	case sideGranted:
		m.granted(s, a, i, to, step)
	case sideRunning, sideWritten:
		m.running(r, to)
	case sideClosed:
		if m.without == lateIsNotRun && r.late && r.sent && r.server == serverNone {
			to("a late request is run", func(r *modelReservation) { r.side = sideRunning })
		}
	case sideNone:
	}
}

// stream lets the process notice that a reservation was closed (use.reserve,
// Inbound.abandon, use.release), or the stream break, by whatever cause: the end of the
// process is one.
func (m *reservationModel) stream(r modelReservation, to func(string, func(*modelReservation))) {
	if !r.open && r.side < sideRunning {
		to("a closed reservation is noticed", func(r *modelReservation) { r.side, r.expired = sideClosed, false })
	}
	if r.open && r.replies[1] == replyNone && r.replies[0] != replyBroken {
		to("a stream breaks", func(r *modelReservation) { r.push(replyBroken) })
	}
}

// offer decides about a reservation (Inbound.offer, Inbound.refuses, use.decided). Full,
// sick, stopping and over the bound on extra attempts are all the same here.
func (m *reservationModel) offer(r modelReservation, leaving bool, to func(string, func(*modelReservation))) {
	to("a reservation is refused", func(r *modelReservation) { r.finish(replyRefused) })
	if r.side == sideAsked {
		to("a reservation is queued", func(r *modelReservation) { r.side = sideQueued })
	}
	if !leaving {
		to("a slot is granted", func(r *modelReservation) { r.side = sideGranted; r.push(replyGranted) })
	}
}

// granted waits for the request that uses a slot (use.receive, use.run).
func (m *reservationModel) granted(s modelState, a, i int, to func(string, func(*modelReservation)), step func(string, modelState)) {
	r := s.reservations[a][i]
	if !r.expired {
		to("a granted slot runs out", func(r *modelReservation) { r.expired = true })
	} else {
		to("a granted slot is refused as too late", func(r *modelReservation) { r.finish(replyRefused); r.late = true })
	}
	if !r.sent || r.expired {
		return
	}
	// The request's time may be over, or its server may leave.
	to("a request is refused before the start", func(r *modelReservation) { r.finish(replyRefused) })
	if !s.leaving[i] || m.without == leavingCheckedAgain {
		s.ranLeaving = s.leaving[i]
		s.reservations[a][i].side = sideRunning
		step("a request is taken", s)
	}
}

// running passes the request to the server and waits for its answer (Pool.Do, use.fail,
// use.pass).
func (m *reservationModel) running(r modelReservation, to func(string, func(*modelReservation))) {
	finish := func(reply modelReply) func(*modelReservation) {
		return func(r *modelReservation) { r.finish(reply) }
	}
	if r.side == sideRunning {
		to("no connection to the server comes up", finish(replyNotRun))
		to("the request is written", func(r *modelReservation) { r.side, r.server = sideWritten, serverHas })
		return
	}
	broken := replyUnknown
	if m.without == writtenIsSent {
		broken = replyNotRun
	}
	to("the connection to the server breaks", finish(broken))
	if m.without == clientRepeatsNot && r.runs < 2 {
		to("the client sends the request again", func(r *modelReservation) { r.server = serverHas })
	}
	switch r.server {
	case serverAnswered:
		to("an answer is passed on", finish(replyAnswer))
	case serverFailed:
		failed := replyError
		if m.without == errorIsNoRejection {
			failed = replyNotRun
		}
		to("an error answer is passed on", finish(failed))
	case serverRejected:
		to("a rejection is passed on", finish(replyNotRun))
	case serverNone, serverHas, serverRuns:
	}
}

// server lets a server go on with a request, whether or not anyone waits for it.
func (m *reservationModel) server(s modelState, a, i int, step func(string, modelState)) {
	to := func(event string, phase serverPhase, runs uint8) {
		after := s
		r := &after.reservations[a][i]
		r.server = phase
		r.runs += runs
		step(event, after)
	}
	switch s.reservations[a][i].server {
	case serverHas:
		to("a server begins to run the request", serverRuns, 1)
		to("a server rejects the request", serverRejected, 0)
	case serverRuns:
		to("a server answers", serverAnswered, 0)
		to("a server answers with an error", serverFailed, 0)
	case serverNone, serverAnswered, serverFailed, serverRejected:
	}
}

// Errors of the properties.
var (
	errTwice   = errors.New("a single request ran twice")
	errRefused = errors.New("a request that was refused as not run has run")
	errReached = errors.New("a request reached more servers than its route allows")
	errLeaving = errors.New("a leaving server got a request")
	errLeft    = errors.New("a request was sent for a caller that had left")
)

// check returns which property a state breaks.
func (m *reservationModel) check(s modelState) error {
	runs, reached := uint8(0), 0
	for a := range s.reservations {
		for i := range s.reservations[a] {
			runs += s.reservations[a][i].runs
			if s.reservations[a][i].server != serverNone {
				reached++
			}
		}
	}
	broken := map[error]bool{
		errTwice:   m.kind == slatewind.KindSingle && runs > 1,
		errRefused: s.outcome == slatewind.OutcomeNotRun && runs > 0,
		errReached: reached > routeAttempts,
		errLeaving: s.ranLeaving,
		errLeft:    s.sentLeft,
	}
	for err, is := range broken {
		if is && (m.only == nil || errors.Is(err, m.only)) {
			return err
		}
	}
	return nil
}

// did names the function of the dispatch that decides.
type did uint8

const (
	didTake did = iota
	didLearn
	didEnd
	didHedge
)

// decisionKey is all that a decision of the real dispatch rests on.
type decisionKey struct {
	dispatch   modelDispatch
	did        did
	left, over bool
	outcome    slatewind.Outcome
	arrived    bool
	status     int32
}

// decision is what the real dispatch decided.
type decision struct {
	after   modelDispatch
	done    bool
	outcome slatewind.Outcome
}

// decide has the real dispatch decide, once for each case.
func (m *reservationModel) decide(key decisionKey, r result) decision {
	key.outcome, key.arrived = r.outcome, r.arrived
	if r.answer != nil {
		key.status = r.answer.head.GetStatus()
	}
	known, ok := m.decisions[key]
	if !ok {
		known = decideReally(m.kind, key, r)
		m.decisions[key] = known
	}
	return known
}

// decideReally drives the dispatch itself. Attempts that it starts find no server.
func decideReally(kind slatewind.Kind, key decisionKey, r result) decision {
	o := New(Self{}, slatewind.CallerDialect{}, nil, silent{}, nil, nil, silent{}, nil, nil, quarantine.NewTable(nil, nil))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if key.over {
		cancel()
	}
	left := make(chan struct{})
	if key.left {
		close(left)
	}
	rq := &request{
		route:   &slatewindv1.Route{Kind: string(kind), Attempts: routeAttempts},
		service: "svc", shard: o.shard("svc"), began: time.Now(), deadline: time.Now().Add(time.Hour), left: left,
	}
	d := &dispatch{
		o: o, rq: rq, ctx: ctx, results: make(chan result, maxTries), sent: make(chan string, maxTries), tried: map[string]bool{},
		active: int(key.dispatch.active), tries: int(key.dispatch.tries), arrivals: int(key.dispatch.arrivals), mayHaveRun: key.dispatch.mayHaveRun,
	}
	if key.dispatch.best {
		d.best = &final{outcome: slatewind.OutcomeAnswer}
	}
	f, done := d.doOne(key.did, r)
	after := modelDispatch{uint8(d.active), uint8(d.tries), uint8(d.arrivals), d.mayHaveRun, d.best != nil}
	cancel()
	for range d.tries - int(key.dispatch.tries) {
		<-d.results
	}
	return decision{after, done, f.outcome}
}

// doOne calls one function of the dispatch.
func (d *dispatch) doOne(what did, r result) (f final, done bool) {
	switch what {
	case didTake:
		return d.take(r)
	case didLearn:
		d.learn(r)
	case didHedge:
		d.hedge()
	case didEnd:
		if d.active > 0 {
			d.results <- r
		}
		return d.ended(), true
	}
	return final{}, false
}

// silent counts and writes nothing.
type silent struct{}

func (silent) Add(slatewind.Decision)                           {}
func (silent) Request(string, slatewind.Outcome, time.Duration) {}
func (silent) Workspace(string, Admission)                      {}
func (silent) Extra(_, _ string)                                {}
func (silent) Denied(_, _ string)                               {}
func (silent) Quarantined(string)                               {}

// explore visits all states.
func (m *reservationModel) explore() explore.Result {
	m.decisions = map[decisionKey]decision{}
	start := modelState{dispatch: modelDispatch{active: 1, tries: 1}}
	start.attempts[0] = attemptSearching
	return explore.Model[modelState, modelState]{
		Start: start, Key: func(s modelState) modelState { return s }, Next: m.next, Check: m.check, MaxStates: 3_000_000,
	}.Run()
}

// TestReservationsInAllStates: whatever is slow, lost, broken or over, a single request runs
// at most once, and one that was refused as not run never ran and never will.
func TestReservationsInAllStates(t *testing.T) {
	tests := map[string]reservationModel{
		"a single request":                        {kind: slatewind.KindSingle},
		"a single request while servers leave":    {kind: slatewind.KindSingle, leaves: true},
		"a single request whose caller may leave": {kind: slatewind.KindSingle, quits: true},
		"a repeatable request":                    {kind: slatewind.KindRepeatable},
		"all at once":                             {kind: slatewind.KindSingle, leaves: true, quits: true},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			result := m.explore()
			assert.NilError(t, result.Err, "%v", result)
			t.Logf("%d states, %d decisions, %s", result.States, len(m.decisions), time.Since(began))
		})
	}
}

// TestReservationsWithoutSafeguard: the exploration notices each safeguard that is left out.
func TestReservationsWithoutSafeguard(t *testing.T) {
	single := reservationModel{kind: slatewind.KindSingle}
	repeatable := reservationModel{kind: slatewind.KindRepeatable}
	leaving := reservationModel{kind: slatewind.KindSingle, leaves: true}
	quitting := reservationModel{kind: slatewind.KindSingle, quits: true}
	tests := map[string]struct {
		without safeguard
		model   reservationModel
		breaks  error
	}{
		"a single request is repeated without a proof": {proofBeforeRepeat, single, errTwice},
		"silence counts as a proof":                    {silenceIsNoProof, single, errRefused},
		"the request goes with its reservation":        {requestAfterGrant, single, errTwice},
		"two grants are used":                          {oneGrantIsUsed, single, errTwice},
		"a late request is run":                        {lateIsNotRun, single, errRefused},
		"a written request counts as not sent":         {writtenIsSent, single, errRefused},
		"the client repeats by itself":                 {clientRepeatsNot, single, errTwice},
		"an error answer counts as a rejection":        {errorIsNoRejection, single, errRefused},
		"a refusal clears the doubt of another":        {doubtIsKept, repeatable, errRefused},
		"the end does not wait":                        {endWaits, single, errRefused},
		"a leaving server is not looked at again":      {leavingCheckedAgain, leaving, errLeaving},
		"a caller that left is not looked at":          {callerLookedAt, quitting, errLeft},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := test.model
			m.without, m.only = test.without, test.breaks
			result := m.explore()
			assert.Assert(t, errors.Is(result.Err, test.breaks), "%v", result)
			t.Log(result)
		})
	}
}
