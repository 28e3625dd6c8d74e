package outbound

import (
	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
)

// next reports every possible next state to step.
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

// ingress models steps of the ingress, its caller and the request's deadline.
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
		m.end(&to, attemptResult{}, false)
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

// search asks servers for a slot and reads their replies (slotSearch.reserveNext, handleReply).
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
			m.readReply(s, a, i, step)
		}
	}
	// The time to wait is over, no server is left, or the caller or the request's time is gone.
	to := s
	to.shut(a, modelServers)
	m.ended(&to, a, attemptResult{requestResult: requestResult{outcome: slatewind.OutcomeNotRun}})
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

// shut closes the reservations of an attempt, except for server but (slotSearch.close).
func (s *modelState) shut(a, but int) {
	for i := range s.reservations[a] {
		if i != but {
			s.reservations[a][i].shut()
		}
	}
}

// readReply reads one reply in a search (slotSearch.handleReply, Outbound.acquire).
func (m *reservationModel) readReply(s modelState, a, i int, step func(string, modelState)) {
	r := &s.reservations[a][i]
	granted := r.pop() == replyGranted
	switch {
	case !granted:
		r.shut()
		step("a reservation ends without a slot", s)
	case s.left && m.without != callerChecked:
		s.shut(a, modelServers)
		m.ended(&s, a, attemptResult{requestResult: requestResult{outcome: slatewind.OutcomeNotRun}})
		step("a slot is given back, since its caller has left", s)
	default:
		s.sentLeft = s.sentLeft || s.left
		if m.without != oneGrantUsed {
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
		if m.without == oneGrantUsed && r.replies[0] == replyGranted {
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

// result returns the attempt's result for a reply to a request that was sent (Outbound.run,
// Outbound.read).
func (m *reservationModel) result(reply modelReply) attemptResult {
	r := attemptResult{requestResult: requestResult{outcome: slatewind.OutcomeUnknown}, arrived: true}
	switch reply {
	case replyRefused, replyNotRun:
		r.outcome = slatewind.OutcomeNotRun
	case replyAnswer:
		r.outcome, r.answer = slatewind.OutcomeAnswer, &answer{head: &slatewindv1.AnswerHead{Status: 200}}
	case replyError:
		r.outcome, r.answer = slatewind.OutcomeAnswer, &answer{head: &slatewindv1.AnswerHead{Status: slatewind.MinServerErrorStatus}}
	case replyNone, replyGranted, replyUnknown, replyBroken:
		if m.without == noReplyIsNoProof && reply == replyBroken {
			r.outcome = slatewind.OutcomeNotRun
		}
	}
	return r
}

// ended passes an attempt's result to the dispatch (dispatch.run).
func (m *reservationModel) ended(s *modelState, a int, r attemptResult) {
	s.attempts[a] = attemptOver
	if s.ending {
		m.end(s, r, true)
		return
	}
	if m.without == uncertaintyKept {
		s.dispatch.mayHaveRun = false
	}
	s.dispatch.active--
	d := m.decide(decisionKey{dispatch: s.dispatch, call: callHandleResult, left: s.left, over: s.over}, r)
	if m.without == proofBeforeRepeat && r.arrived && r.answer == nil && d.done && s.dispatch.tries < modelAttempts {
		d.done = false
		d.after.active++
		d.after.tries++
	}
	m.apply(s, d)
}

// end continues a dispatch whose time is over (dispatch.finishOnDone): it waits for the results of
// all attempts. received states whether r is such a result.
func (m *reservationModel) end(s *modelState, r attemptResult, received bool) {
	switch {
	case m.without == waitsAtDeadline && !received:
		s.dispatch.active = 0
		m.apply(s, m.decide(decisionKey{dispatch: s.dispatch, call: callFinish, left: s.left, over: true}, r))
	case received && s.dispatch.active > 1 && r.answer == nil:
		s.dispatch.active--
		m.apply(s, m.decide(decisionKey{dispatch: s.dispatch, call: callRecordArrival, left: s.left, over: true}, r))
	case received || s.dispatch.active == 0:
		m.apply(s, m.decide(decisionKey{dispatch: s.dispatch, call: callFinish, left: s.left, over: true}, r))
	}
}

// hedge sends a repeatable request to a second server (dispatch.hedge). One hedge is sufficient,
// since any further one behaves in the same way.
func (m *reservationModel) hedge(s modelState, step func(string, modelState)) {
	if s.ending || s.attempts[0] != attemptSent || s.dispatch.tries > 1 {
		return
	}
	d := m.decide(decisionKey{dispatch: s.dispatch, call: callHedge, left: s.left, over: s.over}, attemptResult{})
	if d.after.tries > s.dispatch.tries {
		m.apply(&s, d)
		step("a second attempt starts as a hedge", s)
	}
}

// apply applies a decision of the dispatch to the state.
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

// side models steps of the process beside the server for one reservation.
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
		if m.without == lateRefused && r.late && r.sent && r.server == serverNone {
			to("a late request is run", func(r *modelReservation) { r.side = sideRunning })
		}
	case sideNone:
	}
}

// stream models that the process notices a closed reservation (use.reserve,
// Inbound.cancelReservation, use.release), and that the stream breaks for any cause, such as the end
// of the process.
func (m *reservationModel) stream(r modelReservation, to func(string, func(*modelReservation))) {
	if !r.open && r.side < sideRunning {
		to("a closed reservation is noticed", func(r *modelReservation) { r.side, r.expired = sideClosed, false })
	}
	if r.open && r.replies[1] == replyNone && r.replies[0] != replyBroken {
		to("a stream breaks", func(r *modelReservation) { r.push(replyBroken) })
	}
}

// offer decides on a reservation (Inbound.offer, Inbound.refusalFor, use.handleDecision). Refusals
// because the server is full, unhealthy or stopping, or because of the limit on extra attempts, are
// the same in the model.
func (m *reservationModel) offer(r modelReservation, leaving bool, to func(string, func(*modelReservation))) {
	to("a reservation is refused", func(r *modelReservation) { r.finish(replyRefused) })
	if r.side == sideAsked {
		to("a reservation is queued", func(r *modelReservation) { r.side = sideQueued })
	}
	if !leaving {
		to("a slot is granted", func(r *modelReservation) { r.side = sideGranted; r.push(replyGranted) })
	}
}

// granted waits for the request that uses a granted slot (use.receive, use.run).
func (m *reservationModel) granted(s modelState, a, i int, to func(string, func(*modelReservation)), step func(string, modelState)) {
	r := s.reservations[a][i]
	if !r.expired {
		to("a granted slot expires", func(r *modelReservation) { r.expired = true })
	} else {
		to("a granted slot is refused as too late", func(r *modelReservation) { r.finish(replyRefused); r.late = true })
	}
	if !r.sent || r.expired {
		return
	}
	// The request's time may be over, or its server may be leaving.
	to("a request is refused before the start", func(r *modelReservation) { r.finish(replyRefused) })
	if !s.leaving[i] || m.without == leavingRechecked {
		s.ranLeaving = s.leaving[i]
		s.reservations[a][i].side = sideRunning
		step("a request is taken", s)
	}
}

// running passes the request to the server and waits for the response (Pool.Do, use.fail,
// use.forwardAnswer).
func (m *reservationModel) running(r modelReservation, to func(string, func(*modelReservation))) {
	finish := func(reply modelReply) func(*modelReservation) {
		return func(r *modelReservation) { r.finish(reply) }
	}
	if r.side == sideRunning {
		to("no connection to the server is established", finish(replyNotRun))
		to("the request is written", func(r *modelReservation) { r.side, r.server = sideWritten, serverHas })
		return
	}
	broken := replyUnknown
	if m.without == writtenIsSent {
		broken = replyNotRun
	}
	to("the connection to the server breaks", finish(broken))
	if m.without == noClientRetries && r.runs < 2 {
		to("the client sends the request again", func(r *modelReservation) { r.server = serverHas })
	}
	switch r.server {
	case serverAnswered:
		to("an answer is passed on", finish(replyAnswer))
	case serverFailed:
		failed := replyError
		if m.without == errorIsNotRejection {
			failed = replyNotRun
		}
		to("an error answer is passed on", finish(failed))
	case serverRejected:
		to("a rejection is passed on", finish(replyNotRun))
	case serverNone, serverHas, serverRuns:
	}
}

// server models steps of a server that has a request, whether or not anyone waits for its response.
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
