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

// chunkBytes is the maximum size of one chunk of an answer.
const chunkBytes = 64 << 10

// bufferedBytes is how much of an answer is read before its head is sent, so that
// an answer that breaks off within it is reported as a failure instead of a
// truncated answer.
const bufferedBytes = 1 << 20

// defaultRetryAfter is used where no better value is known.
const defaultRetryAfter = time.Second

// Send sends one part of a reply to the ingress.
type Send func(*slatewindv1.RunReply) error

// run is one attempt being handled by the sidecar.
type run struct {
	sidecar  *Sidecar
	server   *localServer
	request  *slatewindv1.RunRequest
	send     Send
	deadline time.Time
	item     admission.Item
	// record is the once-record that is running for the attempt, or nil.
	record *once.ID
	// digest identifies the request for the quarantine. trial reports that the
	// attempt is a trial of a quarantined request. began is when the server could
	// first receive the request.
	digest func() quarantine.Digest
	trial  bool
	began  time.Time
}

// Run checks one attempt, runs it at the server and sends the reply. An error
// means only that the reply could not be sent completely.
func (s *Sidecar) Run(ctx context.Context, request *slatewindv1.RunRequest, send Send) error {
	now := time.Now()
	r := &run{
		sidecar:  s,
		request:  request,
		send:     send,
		deadline: now.Add(time.Duration(request.GetRemainingNanos())),
		digest:   sync.OnceValue(contentOf(request).Digest),
	}
	r.server = s.server(request.GetServer())
	if r.server == nil {
		return r.refuse(&refusal{reason: "the server does not belong to this VM"})
	}
	switch refused := r.server.admit(now, request.GetAttemptId(), request.GetIncarnation()); refused {
	case attempt.Admitted:
	case attempt.RefusedDuplicate:
		return r.sendOutcome(slatewind.OutcomeUnknown, string(refused), 0)
	case attempt.RefusedStale:
		// The ingress sends the attempt again with the current incarnation, so its
		// key must not be revoked.
		return r.refuse(&refusal{reason: string(refused)})
	default:
		if request.GetOnce() != nil {
			s.settleUnstarted(onceRequest(r.server, request.GetOnce()))
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

// runOnce runs an attempt of a once-request as its record allows.
func (r *run) runOnce(ctx context.Context) error {
	id := onceRequest(r.server, r.request.GetOnce())
	id.Attempt = r.request.GetAttemptId()
	for {
		verdict, ended := r.sidecar.beginOnce(id)
		switch verdict.Action {
		case once.ActionRun:
			r.record = &id.ID
			// The run continues if the ingress disconnects, since its answer is kept
			// in the record for retries.
			return r.runInSlot(context.WithoutCancel(ctx))
		case once.ActionReplay:
			r.server.refuseAttempt(r.request.GetAttemptId())
			return r.replay(verdict.Answer)
		case once.ActionJoin:
			select {
			case <-ended:
			case <-ctx.Done():
				r.server.refuseAttempt(r.request.GetAttemptId())
				return r.sendOutcome(slatewind.OutcomeUnknown, "the request is still running", 0)
			}
		default:
			r.server.refuseAttempt(r.request.GetAttemptId())
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

// beginOnce returns the verdict on a once-request and, if the request is running,
// a channel that is closed at its end.
func (s *Sidecar) beginOnce(request once.Request) (once.Verdict, <-chan struct{}) {
	s.onceMu.Lock()
	defer s.onceMu.Unlock()
	verdict := s.records.Begin(time.Now(), request)
	if verdict.Action == once.ActionRun {
		s.waiting[request.ID] = make(chan struct{})
	}
	return verdict, s.waiting[request.ID]
}

// endOnce applies change to a record that is running for an attempt and wakes the
// attempts that joined it. It does nothing if the record no longer runs for the
// attempt.
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
		// Aborting a once-request gains nothing: it counts as run.
		stop = nil
	}
	if refused := r.checkQuarantine(time.Now()); refused != nil {
		r.server.release(time.Now(), r.item)
		r.revoke()
		return r.refuse(refused)
	}
	if refused := r.server.begin(time.Now(), r.item.ID, outlier.Class(r.request.GetRoute()), r.deadline, stop); refused != nil {
		r.server.release(time.Now(), r.item)
		r.revoke()
		return r.refuse(refused)
	}
	return r.callServer(ctx)
}

// waitForSlot waits for a slot; it returns nil if the attempt was granted one.
func (r *run) waitForSlot(ctx context.Context) *refusal {
	decision := r.server.offer(time.Now(), r.item)
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	select {
	case d := <-decision:
		return asRefusal(d)
	case <-ctx.Done():
	}
	if r.server.abandon(r.item.ID) {
		return &refusal{reason: "timed out or cancelled while waiting for a slot", retryAfter: defaultRetryAfter}
	}
	return asRefusal(<-decision)
}

func asRefusal(d admission.Decision) *refusal {
	if d.Action == admission.ActionStart {
		return nil
	}
	return &refusal{reason: d.Reason, retryAfter: d.RetryAfter}
}

// callServer sends a started attempt to the server and returns its answer to the
// ingress.
func (r *run) callServer(ctx context.Context) error {
	r.began = time.Now()
	answer, started, err := r.sidecar.caller.Call(ctx, r.server.serverAddress(), r.request)
	if err != nil {
		return r.finishWithoutAnswer(ctx, started, err)
	}
	defer answer.Close()
	if answer.Draining {
		r.server.drain(time.Now())
	}
	body, whole, err := answer.ReadUpTo(bufferedBytes)
	if err != nil {
		return r.finishWithoutAnswer(ctx, true, err)
	}
	if !whole {
		return r.stream(ctx, answer, body)
	}
	// The connection must be free before the slot is: the next attempt would open another one.
	answer.Close()
	kept := &slatewind.Answer{Status: answer.Status, Headers: answer.Headers, Body: body}
	r.finish(kept)
	return r.sendAnswer(kept, false)
}

// finishWithoutAnswer ends an attempt without a complete answer.
func (r *run) finishWithoutAnswer(ctx context.Context, started bool, err error) error {
	r.server.end(time.Now(), r.item, failureResult(ctx))
	r.sidecar.recordDropped(r.server, err)
	r.recordCrash(ctx, started, err)
	if !started {
		r.revoke()
		return r.sendOutcome(slatewind.OutcomeNotRun, "the server cannot be reached: "+err.Error(), defaultRetryAfter)
	}
	r.recordLost()
	return r.sendOutcome(slatewind.OutcomeUnknown, "the server gave no complete answer: "+err.Error(), 0)
}

// recordDropped records in the journal that err dropped an answer that belongs to
// another attempt.
func (s *Sidecar) recordDropped(ls *localServer, err error) {
	var foreign *foreignAnswer
	if !errors.As(err, &foreign) {
		return
	}
	s.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: slatewind.DecisionDropReply, Service: ls.service, Server: ls.name,
		Reason: foreign.Error(), Evidence: foreign.evidence(),
	})
}

// failureResult distinguishes a cancelled request from a failure of the server.
func failureResult(ctx context.Context) slatewind.Result {
	if ctx.Err() != nil {
		return slatewind.ResultCancelled
	}
	return slatewind.ResultError
}

// finish ends an attempt with a complete answer.
func (r *run) finish(answer *slatewind.Answer) {
	r.server.end(time.Now(), r.item, resultOf(answer.Status))
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

func (r *run) recordLost() {
	r.endRecord(func(records *once.Store, id once.ID) { records.MarkLost(time.Now(), id) })
}

// endRecord applies change to the record that is running for this attempt, if any.
func (r *run) endRecord(change func(*once.Store, once.ID)) {
	if r.record != nil {
		r.sidecar.endOnce(*r.record, r.request.GetAttemptId(), change)
	}
}

func (r *run) refuse(refused *refusal) error {
	return r.sendOutcome(slatewind.OutcomeNotRun, refused.reason, refused.retryAfter)
}

// head returns the head of a reply with the fields common to all replies.
func (r *run) head(outcome slatewind.Outcome) *slatewindv1.RunHead {
	head := &slatewindv1.RunHead{
		AttemptId: r.request.GetAttemptId(),
		Outcome:   string(outcome),
		Version:   r.sidecar.store.Version().ToAPI(),
	}
	if r.server != nil {
		head.Incarnation = r.server.incarnation()
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

// sendParts sends a complete reply: head, chunks and end.
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
	if r.server != nil {
		end.Digest = r.server.digest(r.sidecar.allowOutcomes())
		// The ingress knows the service and the server, so they are not sent.
		end.Digest.Service, end.Digest.Server = "", ""
	}
	return r.send(&slatewindv1.RunReply{Part: &slatewindv1.RunReply_End{End: end}})
}

// stream forwards a long answer while it is received. If the answer breaks off,
// no end is sent, so that it cannot pass for a complete one. A once-request with
// such a long answer is recorded as having run, without the answer.
func (r *run) stream(ctx context.Context, answer *ServerAnswer, first []byte) error {
	head := r.head(slatewind.OutcomeAnswer)
	head.Status = int32(answer.Status)
	head.Headers = apiHeaders(answer.Headers)
	if err := r.sendHead(head); err != nil {
		r.finishTruncated(ctx)
		return errors.Join(errTruncated, err)
	}
	w := newChunkWriter(r.send)
	_, err := w.Write(first)
	if err == nil {
		_, err = io.Copy(w, answer.body)
	}
	if err != nil {
		r.finishTruncated(ctx)
		return errors.Join(errTruncated, err)
	}
	r.finish(&slatewind.Answer{Status: answer.Status, Headers: answer.Headers, BodyOmitted: true})
	return r.sendEnd(w)
}

// finishTruncated ends an attempt whose answer broke off after its head was sent.
func (r *run) finishTruncated(ctx context.Context) {
	r.server.end(time.Now(), r.item, failureResult(ctx))
	r.recordLost()
}

// chunkWriter sends the data written to it as chunks and maintains their checksum.
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
		list[i] = &slatewindv1.Header{Name: h.Name, Value: []byte(h.Value)}
	}
	return list
}
