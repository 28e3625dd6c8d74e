package outbound

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/explore"
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
