package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/attempt"
	"slatewind.example/slatewind/once"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/quarantine"
)

// chunkBytes is the size of the parts in which an answer travels.
const chunkBytes = 64 << 10

// heldBytes is how much of an answer is read before its head is sent, so that
// an answer that breaks off early is a plain failure and not half an answer.
const heldBytes = 1 << 20

// defaultRetryAfter is told where nothing better is known.
const defaultRetryAfter = time.Second

// Send hands one part of a reply to the ingress.
type Send func(*slatewindv1.RunReply) error

// run is one attempt on its way through the sidecar.
type run struct {
	sidecar  *Sidecar
	door     *door
	request  *slatewindv1.RunRequest
	send     Send
	deadline time.Time
	item     admission.Item
	// record is set while a record of a once-request is running for it.
	record *once.ID
	// digest stands for the request, trial says that it is one of a request under which servers
	// ended, began is when the server could first see it.
	digest func() quarantine.Digest
	trial  bool
	began  time.Time
}

// Run takes one attempt through all checks to the server and back. The error,
// if any, concerns only the sending of the reply.
func (s *Sidecar) Run(ctx context.Context, request *slatewindv1.RunRequest, send Send) error {
	now := time.Now()
	r := &run{
		sidecar:  s,
		request:  request,
		send:     send,
		deadline: now.Add(time.Duration(request.GetRemainingNanos())),
		digest:   sync.OnceValue(contentOf(request).Digest),
	}
	r.door = s.door(request.GetServer())
	if r.door == nil {
		return r.refuse(&refusal{reason: "the server is not one of this VM's"})
	}
	switch refused := r.door.admit(now, request.GetAttemptId(), request.GetIncarnation()); refused {
	case attempt.Admitted:
	case attempt.RefusedDouble:
		return r.sendOutcome(slatewind.OutcomeUnknown, string(refused), 0)
	case attempt.RefusedStale:
		// The ingress addresses the attempt anew, so its key stays free.
		return r.refuse(&refusal{reason: string(refused)})
	default:
		if request.GetOnce() != nil {
			s.settleUnstarted(onceRequest(r.door, request.GetOnce()))
		}
		return r.refuse(&refusal{reason: string(refused)})
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if request.GetOnce() == nil {
		return r.runInSlot(ctx)
	}
	return r.runOnce(ctx)
}

// runOnce asks the records first.
func (r *run) runOnce(ctx context.Context) error {
	id := onceRequest(r.door, r.request.GetOnce())
	id.Attempt = r.request.GetAttemptId()
	for {
		verdict, ended := r.sidecar.beginOnce(id)
		switch verdict.Action {
		case once.ActionRun:
			r.record = &id.ID
			// The record, not the ingress, owns the run: its answer is kept
			// for retries even if this ingress goes away.
			return r.runInSlot(context.WithoutCancel(ctx))
		case once.ActionReplay:
			r.door.refuseAttempt(r.request.GetAttemptId())
			return r.replay(verdict.Answer)
		case once.ActionJoin:
			select {
			case <-ended:
			case <-ctx.Done():
				r.door.refuseAttempt(r.request.GetAttemptId())
				return r.sendOutcome(slatewind.OutcomeUnknown, "the request is still running", 0)
			}
		default:
			r.door.refuseAttempt(r.request.GetAttemptId())
			return r.sendVerdict(verdict)
		}
	}
}

func (r *run) sendVerdict(v once.Verdict) error {
	switch v.Action {
	case once.ActionMismatch:
		return r.sendOutcome(slatewind.OutcomeMismatch, v.Reason, 0)
	case once.ActionRefuse:
		return r.sendOutcome(slatewind.OutcomeNotRun, v.Reason, defaultRetryAfter)
	}
	return r.sendOutcome(slatewind.OutcomeUnknown, v.Reason, 0)
}

// beginOnce returns the verdict on a once-request and, where it is running,
// what is closed at its end.
func (s *Sidecar) beginOnce(request once.Request) (once.Verdict, <-chan struct{}) {
	s.onceMu.Lock()
	defer s.onceMu.Unlock()
	verdict := s.records.Begin(time.Now(), request)
	if verdict.Action == once.ActionRun {
		s.waiting[request.ID] = make(chan struct{})
	}
	return verdict, s.waiting[request.ID]
}

// endOnce changes a record that is running for an attempt and wakes those who
// joined it. It does nothing if the record is no longer the attempt's.
func (s *Sidecar) endOnce(id once.ID, attemptID string, change func(*once.Store, once.ID)) {
	s.onceMu.Lock()
	defer s.onceMu.Unlock()
	if !s.records.RunningFor(id, attemptID) {
		return
	}
	change(s.records, id)
	close(s.waiting[id])
	delete(s.waiting, id)
}

// runInSlot waits for a slot and runs the attempt in it.
func (r *run) runInSlot(ctx context.Context) error {
	r.item = admission.Item{
		ID:       r.request.GetAttemptId(),
		Priority: slatewind.Priority(r.request.GetPriority()),
		Customer: r.request.GetCustomer(),
		Deadline: r.deadline,
	}
	if refused := r.waitForSlot(ctx); refused != nil {
		r.revoke()
		return r.refuse(refused)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	stop := cancel
	if r.record != nil {
		// Breaking off a once-request gains nothing: it counts as run.
		stop = nil
	}
	if refused := r.quarantined(time.Now()); refused != nil {
		r.door.release(time.Now(), r.item)
		r.revoke()
		return r.refuse(refused)
	}
	if refused := r.door.begin(time.Now(), r.item.ID, outlier.Class(r.request.GetRoute()), r.deadline, stop); refused != nil {
		r.door.release(time.Now(), r.item)
		r.revoke()
		return r.refuse(refused)
	}
	return r.callServer(ctx)
}

// waitForSlot returns nil when the attempt has a slot.
func (r *run) waitForSlot(ctx context.Context) *refusal {
	decision := r.door.offer(time.Now(), r.item)
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	select {
	case d := <-decision:
		return asRefusal(d)
	case <-ctx.Done():
	}
	if r.door.abandon(r.item.ID) {
		return &refusal{reason: "given up while it waited for a slot", retryAfter: defaultRetryAfter}
	}
	return asRefusal(<-decision)
}

func asRefusal(d admission.Decision) *refusal {
	if d.Action == admission.ActionStart {
		return nil
	}
	return &refusal{reason: d.Reason, retryAfter: d.RetryAfter}
}

// callServer runs a started attempt at the server.
func (r *run) callServer(ctx context.Context) error {
	r.began = time.Now()
	answer, started, err := r.sidecar.caller.Call(ctx, r.door.serverAddress(), r.request)
	if err != nil {
		return r.fail(ctx, started, err)
	}
	defer answer.Close()
	if answer.Draining {
		r.door.leave(drainReason)
	}
	body, whole, err := answer.ReadUpTo(heldBytes)
	if err != nil {
		return r.fail(ctx, true, err)
	}
	if !whole {
		return r.stream(ctx, answer, body)
	}
	kept := &slatewind.Answer{Status: answer.Status, Headers: answer.Headers, Body: body}
	r.finish(kept)
	return r.sendAnswer(kept, false)
}

// fail ends an attempt that has no whole answer.
func (r *run) fail(ctx context.Context, started bool, err error) error {
	r.door.end(time.Now(), r.item, failureResult(ctx))
	r.noteEnd(ctx, started, err)
	if !started {
		r.revoke()
		return r.sendOutcome(slatewind.OutcomeNotRun, "the server cannot be reached: "+err.Error(), defaultRetryAfter)
	}
	r.lose()
	return r.sendOutcome(slatewind.OutcomeUnknown, "the server gave no whole answer: "+err.Error(), 0)
}

// failureResult tells a request that was given up from a server's failure.
func failureResult(ctx context.Context) slatewind.Result {
	if ctx.Err() != nil {
		return slatewind.ResultCancelled
	}
	return slatewind.ResultError
}

// finish ends an attempt with a whole answer.
func (r *run) finish(answer *slatewind.Answer) {
	r.door.end(time.Now(), r.item, resultOf(answer.Status))
	r.sidecar.suspects.Answered(time.Now(), r.digest())
	r.endRecord(func(records *once.Store, id once.ID) { records.Finish(time.Now(), id, answer) })
}

func resultOf(status int) slatewind.Result {
	if status >= slatewind.MinServerErrorStatus {
		return slatewind.ResultError
	}
	return slatewind.ResultOK
}

func (r *run) revoke() {
	claim := slatewind.Claim(r.request.GetOnce().GetClaim())
	r.endRecord(func(records *once.Store, id once.ID) { records.Revoke(time.Now(), id, claim) })
}

func (r *run) lose() {
	r.endRecord(func(records *once.Store, id once.ID) { records.Lose(time.Now(), id) })
}

// endRecord changes the record that is running for this attempt, if any.
func (r *run) endRecord(change func(*once.Store, once.ID)) {
	if r.record != nil {
		r.sidecar.endOnce(*r.record, r.request.GetAttemptId(), change)
	}
}

func (r *run) refuse(refused *refusal) error {
	return r.sendOutcome(slatewind.OutcomeNotRun, refused.reason, refused.retryAfter)
}

// head returns the head of a reply with what every reply tells.
func (r *run) head(outcome slatewind.Outcome) *slatewindv1.RunHead {
	head := &slatewindv1.RunHead{
		AttemptId: r.request.GetAttemptId(),
		Outcome:   string(outcome),
		Version:   r.sidecar.store.Version().ToAPI(),
	}
	if r.door != nil {
		head.Incarnation = r.door.incarnation()
	}
	return head
}

func (r *run) sendOutcome(outcome slatewind.Outcome, reason string, retryAfter time.Duration) error {
	head := r.head(outcome)
	head.Reason = reason
	head.EarlierExcluded = r.record != nil
	head.RetryAfterNanos = int64(retryAfter)
	return r.sendParts(head, nil)
}

func (r *run) replay(answer *slatewind.Answer) error {
	return r.sendAnswer(answer, true)
}

func (r *run) sendAnswer(answer *slatewind.Answer, replayed bool) error {
	head := r.head(slatewind.OutcomeAnswer)
	head.Status = int32(answer.Status)
	head.Headers = apiHeaders(answer.Headers)
	head.Replayed = replayed
	return r.sendParts(head, answer.Body)
}

// sendParts sends a whole reply: head, chunks and end.
func (r *run) sendParts(head *slatewindv1.RunHead, body []byte) error {
	if err := r.sendHead(head); err != nil {
		return err
	}
	w := newChunkWriter(r.send)
	if _, err := w.Write(body); err != nil {
		return err
	}
	return r.sendEnd(w)
}

func (r *run) sendHead(head *slatewindv1.RunHead) error {
	return r.send(&slatewindv1.RunReply{Part: &slatewindv1.RunReply_Head{Head: head}})
}

func (r *run) sendEnd(w *chunkWriter) error {
	end := &slatewindv1.RunEnd{AttemptId: r.request.GetAttemptId(), Length: w.length, Checksum: w.sum.Sum64()}
	if r.door != nil {
		end.Digest = r.door.digest(r.sidecar.spend())
		// The ingress knows whom it asked.
		end.Digest.Service, end.Digest.Server = "", ""
	}
	return r.send(&slatewindv1.RunReply{Part: &slatewindv1.RunReply_End{End: end}})
}

// stream passes a long answer on while it comes. An answer that breaks off gets
// no end, so that nobody takes it for whole. A once-request with so long an
// answer is remembered as having run, without the answer.
func (r *run) stream(ctx context.Context, answer *ServerAnswer, first []byte) error {
	head := r.head(slatewind.OutcomeAnswer)
	head.Status = int32(answer.Status)
	head.Headers = apiHeaders(answer.Headers)
	if err := r.sendHead(head); err != nil {
		r.breakOff(ctx)
		return errors.Join(errBrokenOff, err)
	}
	w := newChunkWriter(r.send)
	_, err := w.Write(first)
	if err == nil {
		_, err = io.Copy(w, answer.body)
	}
	if err != nil {
		r.breakOff(ctx)
		return errors.Join(errBrokenOff, err)
	}
	r.finish(&slatewind.Answer{Status: answer.Status, Headers: answer.Headers, BodyOmitted: true})
	return r.sendEnd(w)
}

// breakOff ends an attempt whose answer broke off after its head was sent.
func (r *run) breakOff(ctx context.Context) {
	r.door.end(time.Now(), r.item, failureResult(ctx))
	r.lose()
}

// chunkWriter sends what is written to it as chunks and keeps their checksum.
type chunkWriter struct {
	send   Send
	sum    *xxhash.Digest
	length int64
}

func newChunkWriter(send Send) *chunkWriter {
	return &chunkWriter{send: send, sum: xxhash.New()}
}

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0; {
		n := min(len(rest), chunkBytes)
		chunk := bytes.Clone(rest[:n])
		if err := w.send(&slatewindv1.RunReply{Part: &slatewindv1.RunReply_Chunk{Chunk: chunk}}); err != nil {
			return len(p) - len(rest), err
		}
		rest = rest[n:]
	}
	_, _ = w.sum.Write(p)
	w.length += int64(len(p))
	return len(p), nil
}

func apiHeaders(headers []slatewind.Header) []*slatewindv1.Header {
	list := make([]*slatewindv1.Header, len(headers))
	for i, h := range headers {
		list[i] = &slatewindv1.Header{Name: h.Name, Value: h.Value}
	}
	return list
}
