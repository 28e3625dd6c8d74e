package outbound

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/link"
)

// answer is a server's answer.
type answer struct {
	head *slatewindv1.AnswerHead
	body []byte
	// rest reads what follows body where the answer was too long to hold. It
	// returns io.EOF only after a whole answer.
	rest func() ([]byte, error)
	// close ends the reservation and frees what belongs to the request.
	close func()
}

// attempt looks for a slot and runs the request in it.
func (o *Outbound) attempt(ctx context.Context, rq *request, to aim) result {
	slot, refused := o.acquire(ctx, rq, to, o.lastStart(rq, rq.patience(time.Now(), to.again)))
	if slot == nil {
		return result{final: *refused}
	}
	to.sent(slot.server.Name)
	began := time.Now()
	r := o.run(rq, slot)
	if r.answer != nil && r.answer.rest == nil {
		o.suspects.Answered(time.Now(), rq.digest())
	}
	rq.shard.update(func(c *choice.Service) {
		c.Ended(slot.server.ID())
		if r.served() {
			c.Succeeded(time.Now(), slot.server.ID())
			rq.shard.learn(rq.route.GetName(), len(rq.body)+len(r.answer.body), time.Since(began))
		}
	})
	return r
}

// unknownAt is the result of a request that was sent into a slot, as long as
// nothing more is known of it.
func unknownAt(slot *held) result {
	return result{final: final{outcome: slatewind.OutcomeUnknown, server: slot.server.Name}, arrived: true}
}

// run sends the request to the process that holds a slot for it and reads the
// reply.
func (o *Outbound) run(rq *request, slot *held) result {
	r := unknownAt(slot)
	if err := rq.send(slot); err != nil {
		slot.cancel()
		r.reason = "the request could not be sent whole: " + err.Error()
		return r
	}
	reply, err := slot.use.Recv()
	if err == nil && reply.GetHead() != nil {
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
		o.hearSuspect(failure.GetSuspect())
		r.timedOut = time.Now().After(rq.deadline)
		o.hear(rq, slot, failure.GetState())
	case reply.GetRefusal() != nil:
		r.outcome, r.reason = slatewind.OutcomeNotRun, reasonOf(reply.GetRefusal())
		r.retryAfter = time.Duration(reply.GetRefusal().GetRetryAfterMs()) * time.Millisecond
		o.hearSuspect(reply.GetRefusal().GetSuspect())
		o.hear(rq, slot, reply.GetRefusal().GetState())
	default:
		r.reason = "a reply that is none"
	}
	return r
}

// send sends the request and its body.
func (rq *request) send(slot *held) error {
	first := rq.body[:min(len(rq.body), link.ChunkBytes)]
	err := slot.use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Request{Request: &slatewindv1.SlotRequest{
		RemainingNanos: int64(rq.remaining(time.Now())), Server: slot.server.Name, Method: rq.method, Target: rq.target, Host: rq.host,
		Headers: rq.headers, Body: first, BodyLength: int64(len(rq.body)),
	}}})
	for rest := rq.body[len(first):]; err == nil && len(rest) > 0; {
		n := min(len(rest), link.ChunkBytes)
		err = slot.use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Chunk{Chunk: rest[:n]}})
		rest = rest[n:]
	}
	return err
}

// hear takes a server's state that came with a reply, if any did.
func (o *Outbound) hear(rq *request, slot *held, state *slatewindv1.SlotState) {
	if state == nil {
		return
	}
	rq.shard.update(func(c *choice.Service) { c.Heard(time.Now(), slot.server.ID(), toldOf(state)) })
}

// errBroken: an answer ended early, or its length or checksum is wrong.
var errBroken = Error.New("the answer is not whole")

// read reads the answer that follows a head.
func (o *Outbound) read(rq *request, slot *held, head *slatewindv1.AnswerHead) result {
	r := unknownAt(slot)
	sum := xxhash.New()
	length := int64(0)
	next := func() ([]byte, error) {
		reply, err := slot.use.Recv()
		if err != nil {
			return nil, errors.Join(errBroken, err)
		}
		if end := reply.GetEnd(); end != nil {
			if end.GetLength() != length || end.GetChecksum() != sum.Sum64() {
				return nil, errBroken
			}
			o.hear(rq, slot, end.GetState())
			return nil, io.EOF
		}
		chunk := reply.GetChunk()
		_, _ = sum.Write(chunk)
		length += int64(len(chunk))
		return chunk, nil
	}
	a := &answer{head: head, close: slot.cancel}
	for len(a.body) <= link.MaxHeld {
		chunk, err := next()
		if errors.Is(err, io.EOF) && !errors.Is(err, errBroken) {
			r.outcome, r.answer = slatewind.OutcomeAnswer, a
			return r
		}
		if err != nil {
			slot.cancel()
			r.reason = err.Error()
			return r
		}
		a.body = append(a.body, chunk...)
	}
	a.rest = next
	r.outcome, r.answer = slatewind.OutcomeAnswer, a
	return r
}
