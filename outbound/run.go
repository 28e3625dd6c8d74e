package outbound

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/headcheck"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/timer"
)

// answer is a server's response.
type answer struct {
	head *slatewindv1.AnswerHead
	body []byte
	// stated is the length that the head states, or -1.
	stated int
	// bodiless reports that the response has no body, whatever length it states.
	bodiless bool
	// rest reads the chunks after body if the response is too long to hold in memory; nil otherwise.
	rest *bodyReader
	// buffered is the memory of body until it is written.
	buffered *bodylimit.Lease
	// close ends the reservation and releases the resources of the request.
	close func()
}

// attempt searches for a slot and runs the request in it.
func (o *Outbound) attempt(ctx context.Context, rq *request, opts attemptOptions) attemptResult {
	slot, refused := o.acquire(ctx, rq, opts, o.lastStart(rq, rq.slotDeadline(time.Now(), opts.retry)))
	if slot == nil {
		return attemptResult{requestResult: *refused}
	}
	opts.onSent(slot.server.Name)
	began := time.Now()
	r := o.run(rq, slot)
	if r.answer != nil && r.answer.rest == nil {
		o.suspects.Answered(time.Now(), rq.digest())
	}
	rq.shard.update(func(c *choice.Service) {
		c.Ended(slot.server.ID())
		if r.served() {
			c.Succeeded(time.Now(), slot.server.ID())
			rq.shard.recordServed(rq.route.GetName(), len(rq.body)+len(r.answer.body), time.Since(began))
		}
	})
	return r
}

// unknownResult returns the result of a request that was sent into a slot, until more is known.
func unknownResult(slot *grantedSlot) attemptResult {
	return attemptResult{requestResult: requestResult{outcome: slatewind.OutcomeUnknown, server: slot.server.Name}, arrived: true}
}

// run sends the request to the process that granted the slot and reads the reply.
func (o *Outbound) run(rq *request, slot *grantedSlot) attemptResult {
	r := unknownResult(slot)
	if err := rq.send(slot); err != nil {
		slot.cancel()
		r.reason = "sending the request to the process beside the server failed: " + err.Error()
		return r
	}
	reply, err := slot.use.Recv()
	if err == nil && reply.GetHead() != nil {
		o.recordState(rq, slot, reply.GetHead().GetState())
		return o.read(rq, slot, reply.GetHead())
	}
	slot.cancel()
	switch {
	case err != nil:
		r.reason = "no reply from the process beside the server: " + err.Error()
		r.timedOut = errors.Is(err, context.DeadlineExceeded) || time.Now().After(rq.deadline)
	case reply.GetFailure() != nil:
		failure := reply.GetFailure()
		r.outcome, r.reason = slatewind.Outcome(failure.GetOutcome()), failure.GetReason()
		o.recordSuspect(failure.GetSuspect())
		r.timedOut = time.Now().After(rq.deadline)
		r.paidUntil = o.paidUntil(failure.GetNextPaidMs())
		o.recordState(rq, slot, failure.GetState())
	case reply.GetRefusal() != nil:
		r.outcome, r.reason = slatewind.OutcomeNotRun, refusalReason(reply.GetRefusal())
		r.retryAfter = time.Duration(reply.GetRefusal().GetRetryAfterMs()) * time.Millisecond
		o.recordSuspect(reply.GetRefusal().GetSuspect())
		o.recordState(rq, slot, reply.GetRefusal().GetState())
	default:
		r.reason = "unexpected reply from the process beside the server"
	}
	return r
}

// paidUntil returns the time until which an attempt is paid for, if it is for the given number of milliseconds from now.
func (o *Outbound) paidUntil(ms uint32) timer.Instant {
	return o.clock.Now().Add(time.Duration(ms) * time.Millisecond)
}

// send sends the request and its body, in as many messages as it needs. The body must not be changed afterwards: the
// process may pass it on without a copy.
func (rq *request) send(slot *grantedSlot) error {
	limit := link.MessageBytes(slot.use)
	first := rq.body[:min(len(rq.body), limit)]
	err := slot.use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Request{Request: &slatewindv1.SlotRequest{
		RemainingNanos: int64(rq.remaining(time.Now())), Server: slot.server.Name, Method: rq.method, Target: []byte(rq.target), Host: rq.host,
		Headers: rq.headers, Body: first, BodyLength: int64(len(rq.body)),
	}}})
	for rest := rq.body[len(first):]; err == nil && len(rest) > 0; {
		n := min(len(rest), limit)
		err = slot.use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Chunk{Chunk: rest[:n]}})
		rest = rest[n:]
	}
	return err
}

// recordState records the server state that came with a reply; state may be nil.
func (o *Outbound) recordState(rq *request, slot *grantedSlot, state *slatewindv1.SlotState) {
	if state == nil {
		return
	}
	rq.shard.update(func(c *choice.Service) { c.Replied(time.Now(), slot.server.ID(), stateOf(state)) })
}

// read reads the response that follows a head. At most link.MaxBufferedBytes bytes and two chunks are held in memory, and less
// while there is no memory for more; the rest of a longer response is read as it is forwarded.
func (o *Outbound) read(rq *request, slot *grantedSlot, head *slatewindv1.AnswerHead) attemptResult {
	r := unknownResult(slot)
	r.paidUntil = o.paidUntil(head.GetNextPaidMs())
	if err := o.checkOwner(rq, slot.server.Name, head); err != nil {
		slot.cancel()
		r.reason = err.Error()
		return r
	}
	stated, err := checkHead(head)
	if err != nil {
		slot.cancel()
		r.reason = err.Error()
		return r
	}
	buffered := o.memory.Buffers.Empty()
	a := &answer{head: head, stated: stated, bodiless: rq.bodiless(head.GetStatus()), buffered: buffered, close: func() { buffered.Release(); slot.cancel() }}
	body := newBodyReader(slot.use, a.bodyLength(), func(state *slatewindv1.SlotState) { o.recordState(rq, slot, state) })
	reserved := 0
	if length := a.bodyLength(); length > link.ChunkBytes && length <= link.MaxBufferedBytes && buffered.Grow(int64(length)) == nil {
		reserved = length
		a.body = make([]byte, 0, length)
	}
	for len(a.body) <= link.MaxBufferedBytes {
		chunk, done, err := body.next()
		if err != nil {
			a.close()
			r.reason = err.Error()
			return r
		}
		if done {
			r.outcome, r.answer = slatewind.OutcomeAnswer, a
			return r
		}
		noMemory := len(a.body) > 0 && len(a.body)+len(chunk) > reserved && buffered.Grow(int64(len(chunk))) != nil
		a.body = append(a.body, chunk...)
		if noMemory {
			break
		}
	}
	a.rest = body
	r.outcome, r.answer = slatewind.OutcomeAnswer, a
	return r
}

// bodiless reports whether a response with the given status has no body. The length that it states is that of
// another response.
func (rq *request) bodiless(status int32) bool {
	return rq.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// bodyLength returns the length that the body of the response must have, or -1 if that is not known.
func (a *answer) bodyLength() int {
	if a.bodiless {
		return 0
	}
	return a.stated
}

// errNoAnswer means that the head of a response is none that a server can have sent.
var errNoAnswer = Error.New("the answer has an invalid status, field or length")

// checkHead returns the length that the head of a response states, or -1 if it states none.
func checkHead(head *slatewindv1.AnswerHead) (stated int, err error) {
	if !slatewind.IsFinalStatus(int(head.GetStatus())) {
		return -1, errNoAnswer
	}
	stated = -1
	for _, h := range head.GetHeaders() {
		if headcheck.Name(h.GetName()) != nil {
			return -1, errNoAnswer
		}
		if h.GetName() != "Content-Length" {
			continue
		}
		length, err := strconv.ParseUint(string(h.GetValue()), 10, 63)
		if err != nil || stated >= 0 && int(length) != stated {
			return -1, errNoAnswer
		}
		stated = int(length)
	}
	return stated, nil
}
