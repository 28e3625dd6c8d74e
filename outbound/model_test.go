package outbound

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/explore"
)

// The model: an ingress handles one request with up to three attempts, and two servers, each with the
// process beside it. Any process and any message may be arbitrarily slow: each step is one
// event that may happen next, so a frozen process is one that makes no step while others do and time
// runs out. The decisions on an attempt's result are made by the real code (dispatch.handleResult,
// recordArrival, hedge and finishOnDone). The rest, which is code with input and output in the
// product, is modelled: each step names the function that it models.
const (
	modelServers  = 2
	modelAttempts = 3
	// routeAttempts is the maximum number of servers that may receive the request.
	routeAttempts = 2
)

// attemptPhase is the progress of an attempt at the ingress.
type attemptPhase uint8

const (
	attemptNone attemptPhase = iota
	// attemptSearching: reservations are being made (slotSearch.round).
	attemptSearching
	// attemptSent: the request was sent into a granted slot (Outbound.run).
	attemptSent
	attemptOver
)

// sidePhase is the progress of a reservation at the process beside the server.
type sidePhase uint8

const (
	sideNone sidePhase = iota
	// sideAsked: the reservation is in transit or has just arrived.
	sideAsked
	sideQueued
	sideGranted
	// sideRunning: the request was accepted and is about to be written to the server (use.run).
	sideRunning
	// sideWritten: waiting for the server's response (Pool.Do).
	sideWritten
	sideClosed
)

// serverPhase is the progress of the request at the server.
type serverPhase uint8

const (
	serverNone serverPhase = iota
	// serverHas: the request is in the server's buffers.
	serverHas
	serverRuns
	serverAnswered
	serverFailed
	serverRejected
)

// modelReply is a reply from the process beside the server.
type modelReply uint8

const (
	replyNone modelReply = iota
	replyGranted
	replyRefused
	// replyNotRun and replyUnknown are failures with these outcomes.
	replyNotRun
	replyUnknown
	replyAnswer
	// replyError is an error response of the server itself.
	replyError
	// replyBroken: the stream broke.
	replyBroken
)

// modelReservation is one reservation and the request that follows it.
type modelReservation struct {
	side   sidePhase
	server serverPhase
	// open: the ingress has not closed the reservation. sent: the request is on its way.
	open, sent bool
	// expired: more than grantTime has passed since the grant.
	expired bool
	// late: the reservation was closed because it expired.
	late bool
	// replies holds those that the ingress has not read, oldest first.
	replies [2]modelReply
	// runs counts how often the server started to run the request.
	runs uint8
}

// modelDispatch is the part of dispatch on which its decisions depend.
type modelDispatch struct {
	active, tries, arrivals uint8
	mayHaveRun, best        bool
}

// modelState is one state of the model.
type modelState struct {
	dispatch     modelDispatch
	attempts     [modelAttempts]attemptPhase
	reservations [modelAttempts][modelServers]modelReservation
	// left: the caller has disconnected. over: the request's time is over. ending: the dispatch
	// has noticed that the time is over.
	left, over, ending bool
	// outcome is the outcome that the caller received; empty before.
	outcome slatewind.Outcome
	// leaving: the process beside the server knows that the server is leaving.
	leaving [modelServers]bool
	// sentLeft: a request was sent although its caller had disconnected. ranLeaving: a request was
	// passed to a server that was leaving.
	sentLeft, ranLeaving bool
}

// safeguard names a safeguard that a variant of the model leaves out.
type safeguard string

const (
	// allSafeguards is the variant without omissions.
	allSafeguards       safeguard = ""
	proofBeforeRepeat   safeguard = "a single request is repeated only with a proof"
	noReplyIsNoProof    safeguard = "no reply is no proof"
	requestAfterGrant   safeguard = "a request follows only a grant"
	oneGrantUsed        safeguard = "one grant is used and the other reservations are closed"
	lateRefused         safeguard = "a request that came too late for its slot is not run"
	writtenIsSent       safeguard = "a byte that was written is no proof of not run"
	noClientRetries     safeguard = "the client to the server repeats nothing"
	errorIsNotRejection safeguard = "a server's own error is no rejection"
	uncertaintyKept     safeguard = "a refused second attempt proves nothing about the first"
	waitsAtDeadline     safeguard = "the end of the request's time waits for its attempts"
	leavingRechecked    safeguard = "whether the server is leaving is checked again when the request arrives"
	callerChecked       safeguard = "a slot is given back when its caller has left"
)

// reservationModel is one variant of the model.
type reservationModel struct {
	kind    slatewind.Kind
	without safeguard
	// leaves allows servers to leave, quits allows the caller to disconnect.
	leaves, quits bool
	// only is the one property that is checked; nil means all.
	only      error
	decisions map[decisionKey]decision
}

// push queues a reply for the ingress.
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

// pop removes and returns the oldest reply.
func (r *modelReservation) pop() modelReply {
	reply := r.replies[0]
	r.replies = [2]modelReply{r.replies[1]}
	return reply
}

// shut closes the ingress's end. The other end notices it at some later step.
func (r *modelReservation) shut() {
	r.open = false
	r.replies = [2]modelReply{}
	if r.side == sideNone {
		*r = modelReservation{}
	}
}

// finish ends a reservation at the process beside the server with the given reply.
func (r *modelReservation) finish(reply modelReply) {
	r.side = sideClosed
	r.expired = false
	r.push(reply)
}

// Violations of the properties.
var (
	errTwice   = errors.New("a single request ran twice")
	errRefused = errors.New("a request that was refused as not run has run")
	errReached = errors.New("a request reached more servers than its route allows")
	errLeaving = errors.New("a leaving server got a request")
	errLeft    = errors.New("a request was sent for a caller that had left")
)

// check returns the property that a state violates, if any.
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

// explore visits all reachable states.
func (m *reservationModel) explore() explore.Result {
	m.decisions = map[decisionKey]decision{}
	start := modelState{dispatch: modelDispatch{active: 1, tries: 1}}
	start.attempts[0] = attemptSearching
	return explore.Model[modelState, modelState]{
		Start: start, Key: func(s modelState) modelState { return s }, Next: m.next, Check: m.check, MaxStates: 3_000_000,
	}.Run()
}

// TestReservationsInAllStates checks that, whatever is slow, lost, broken or timed out, a single
// request runs at most once, and a request that was refused as not run never runs.
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

// TestReservationsWithoutSafeguard checks that the exploration finds the violation that follows from
// leaving out each safeguard.
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
		"a single request is repeated without a proof":     {proofBeforeRepeat, single, errTwice},
		"silence counts as a proof":                        {noReplyIsNoProof, single, errRefused},
		"the request goes with its reservation":            {requestAfterGrant, single, errTwice},
		"two grants are used":                              {oneGrantUsed, single, errTwice},
		"a late request is run":                            {lateRefused, single, errRefused},
		"a written request counts as not sent":             {writtenIsSent, single, errRefused},
		"the client repeats by itself":                     {noClientRetries, single, errTwice},
		"an error answer counts as a rejection":            {errorIsNotRejection, single, errRefused},
		"a refusal discards another attempt's uncertainty": {uncertaintyKept, repeatable, errRefused},
		"the end does not wait":                            {waitsAtDeadline, single, errRefused},
		"a leaving server is not checked again":            {leavingRechecked, leaving, errLeaving},
		"the caller is not checked before sending":         {callerChecked, quitting, errLeft},
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
