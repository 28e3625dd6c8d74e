package inbound

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/link"
)

const (
	// maxBody bounds a request's body in bytes, whatever the sender says.
	maxBody = 64 << 20
)

// use is one reservation on its way.
type use struct {
	in          *Inbound
	stream      link.UseStream
	reservation *slatewindv1.Reservation
	item        admission.Item
	deadline    time.Time
	granted     time.Time
}

func (u *use) serve() error {
	granted, err := u.reserve()
	if !granted || err != nil {
		return err
	}
	request, body, err := u.receive()
	if err != nil {
		u.release()
		if errors.Is(err, errTooLate) {
			return u.refuse(CauseLate, "the granted slot was not used in time")
		}
		return err
	}
	return u.run(request, body)
}

// reserve waits for a slot. granted says that one is held.
func (u *use) reserve() (granted bool, err error) {
	now := time.Now()
	u.deadline = now.Add(time.Duration(u.reservation.GetRemainingNanos()))
	item, refusal, decision := u.in.offer(now, u.reservation)
	if refusal != nil {
		return false, u.sendRefusal(refusal)
	}
	u.item = item
	select {
	case d := <-decision:
		return u.decided(d)
	default:
	}
	if err := u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Queued{Queued: u.state()}}); err != nil {
		u.in.abandon(item, decision)
		return false, err
	}
	select {
	case d := <-decision:
		return u.decided(d)
	case <-u.stream.Context().Done():
		u.in.abandon(item, decision)
		return false, u.stream.Context().Err()
	}
}

// decided tells the sender what became of its reservation. While it waited the
// server may have become sick.
func (u *use) decided(d admission.Decision) (granted bool, err error) {
	if d.Action != admission.ActionStart {
		return false, u.refuseFull(d)
	}
	u.granted = time.Now()
	u.in.mu.Lock()
	refusal := u.in.refuses(u.granted, u.reservation)
	if refusal != nil {
		u.in.release(u.granted, u.item)
	} else {
		u.in.breaker.Start(u.granted, u.item.ID, u.reservation.GetRoute())
	}
	u.in.mu.Unlock()
	if refusal != nil {
		return false, u.sendRefusal(refusal)
	}
	err = u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Granted{Granted: u.state()}})
	if err != nil {
		u.release()
	}
	return err == nil, err
}

// release gives back a slot that was granted and not used.
func (u *use) release() {
	now := time.Now()
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.in.breaker.End(now, u.item.ID, breaker.ResultNone)
	u.in.release(now, u.item)
}

func (u *use) state() *slatewindv1.SlotState {
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	return u.in.state()
}

func (u *use) send(reply *slatewindv1.UseReply) error {
	return u.stream.Send(reply)
}

func (u *use) sendRefusal(refusal *slatewindv1.Refusal) error {
	return u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Refusal{Refusal: refusal}})
}

func (u *use) refuse(cause Cause, reason string) error {
	u.in.mu.Lock()
	refusal := u.in.refusal(cause, reason, 0)
	u.in.mu.Unlock()
	return u.sendRefusal(refusal)
}

func (u *use) refuseFull(d admission.Decision) error {
	cause := CauseFull
	u.in.mu.Lock()
	if u.in.away != "" || u.in.stopping != "" {
		cause = CauseLeaving
	}
	refusal := u.in.refusal(cause, d.Reason, d.RetryAfter)
	u.in.mu.Unlock()
	return u.sendRefusal(refusal)
}

// errTooLate: the request came too long after its slot was granted.
var errTooLate = Error.New("the request came too late")

// receive waits for the request that uses the slot.
func (u *use) receive() (*slatewindv1.SlotRequest, []byte, error) {
	type received struct {
		request *slatewindv1.SlotRequest
		body    []byte
		err     error
	}
	result := make(chan received, 1)
	go func() {
		request, body, err := u.read()
		result <- received{request, body, err}
	}()
	timeout := time.NewTimer(grantTime)
	defer timeout.Stop()
	select {
	case r := <-result:
		if r.err == nil && time.Since(u.granted) > grantTime {
			return nil, nil, errTooLate
		}
		return r.request, r.body, r.err
	case <-timeout.C:
		return nil, nil, errTooLate
	}
}

func (u *use) read() (*slatewindv1.SlotRequest, []byte, error) {
	message, err := u.stream.Recv()
	if err != nil {
		return nil, nil, err
	}
	request := message.GetRequest()
	if request == nil || request.GetBodyLength() > maxBody {
		return nil, nil, Error.New("a granted reservation is followed by a request of at most %d bytes", maxBody)
	}
	body := request.GetBody()
	for int64(len(body)) < request.GetBodyLength() {
		message, err := u.stream.Recv()
		if err != nil {
			return nil, nil, err
		}
		body = append(body, message.GetChunk()...)
	}
	return request, body, nil
}

// run has the server run the request.
func (u *use) run(request *slatewindv1.SlotRequest, body []byte) error {
	now := time.Now()
	remaining := min(time.Duration(request.GetRemainingNanos()), u.deadline.Sub(now))
	if remaining <= 0 {
		u.release()
		return u.refuse(CauseLate, "its time was over before the start")
	}
	ctx, cancel := u.context(remaining)
	defer cancel()
	answer, sent, err := u.in.pool.Do(ctx, u.request(ctx, request, body, remaining))
	if err != nil {
		return u.fail(ctx, sent, err)
	}
	defer answer.Close()
	return u.pass(ctx, answer)
}

// serverSlack is how long after the request's own time a server may still
// answer that the time is over.
const serverSlack = 100 * time.Millisecond

// context ends a request that may be repeated when its sender leaves. One that
// may not is left to run: breaking it off gains nothing, it counts as run.
func (u *use) context(remaining time.Duration) (context.Context, context.CancelFunc) {
	ctx := u.stream.Context()
	if slatewind.Kind(u.reservation.GetKind()) != slatewind.KindRepeatable {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, remaining+serverSlack)
}

// request builds the server's request. Its target is sent as it came.
func (u *use) request(ctx context.Context, from *slatewindv1.SlotRequest, body []byte, remaining time.Duration) *http.Request {
	dialect := u.in.server.Dialect
	header := http.Header{"User-Agent": {""}}
	for _, h := range from.GetHeaders() {
		header[h.GetName()] = append(header[h.GetName()], h.GetValue())
	}
	header.Set(dialect.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if expected := u.in.expected(u.reservation); expected != "" {
		header.Set(dialect.Expect, expected)
	}
	r := &http.Request{
		Method: from.GetMethod(), URL: &url.URL{Opaque: from.GetTarget()}, Host: from.GetHost(), Header: header,
		ContentLength: int64(len(body)),
	}
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	if values := header["User-Agent"]; len(values) > 1 {
		header["User-Agent"] = values[1:]
	}
	return r.WithContext(ctx)
}

// fail ends a request that got no answer.
func (u *use) fail(ctx context.Context, sent bool, err error) error {
	result := breaker.ResultBroken
	outcome := slatewind.OutcomeUnknown
	if !sent {
		outcome = slatewind.OutcomeNotRun
	}
	if ctx.Err() != nil {
		result = breaker.ResultNone
	}
	u.end(result, "no answer: "+err.Error())
	return u.sendFailure(outcome, err.Error())
}

func (u *use) sendFailure(outcome slatewind.Outcome, reason string) error {
	failure := &slatewindv1.Failure{Outcome: string(outcome), Reason: reason, State: u.state()}
	return u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Failure{Failure: failure}})
}

// end notes the outcome of a run and gives the slot back.
func (u *use) end(result breaker.Result, why string) {
	now := time.Now()
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	if u.in.breaker.End(now, u.item.ID, result) {
		u.in.noteBreaker(now, why)
	}
	u.in.deliver(u.in.slots.Done(now, u.item, now.Sub(u.granted)))
}

// pass gives the server's answer to the sender.
func (u *use) pass(ctx context.Context, answer *backend.Answer) error {
	u.learnSlots(answer.Header.Get(u.in.server.Dialect.Load))
	if answer.Header.Get(u.in.server.Dialect.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest {
		return u.notExecuted(answer)
	}
	// An answer that breaks off while it is still held is a plain failure and
	// not half an answer, since its head was not sent yet.
	body, err := io.ReadAll(io.LimitReader(answer.Body, link.MaxHeld+1))
	if err != nil {
		return u.fail(ctx, true, err)
	}
	head := &slatewindv1.AnswerHead{Status: int32(answer.StatusCode), Headers: link.AllHeaders(answer.Header)}
	if len(body) <= link.MaxHeld {
		answer.Close()
		u.end(resultOf(answer.StatusCode), "an error answer")
		return u.sendAnswer(head, body, nil)
	}
	if err := u.sendAnswer(head, body, answer.Body); err != nil {
		u.end(breaker.ResultBroken, "a long answer broke off")
		return errors.Join(errBrokenOff, err)
	}
	u.end(resultOf(answer.StatusCode), "an error answer")
	return nil
}

// errBrokenOff ends a reply whose answer broke off.
var errBrokenOff = Error.New("the answer broke off")

// notExecuted ends a request that the server says it did not run.
func (u *use) notExecuted(answer *backend.Answer) error {
	result := breaker.ResultShed
	reason := "the server rejected it with status " + strconv.Itoa(answer.StatusCode)
	if answer.StatusCode == http.StatusMisdirectedRequest {
		result = breaker.ResultNone
		u.in.mu.Lock()
		u.in.rename(time.Now(), answer.Header.Get(u.in.server.Dialect.Identity))
		u.in.mu.Unlock()
	}
	if time.Now().After(u.deadline) {
		result = breaker.ResultNone
	}
	answer.Close()
	u.end(result, reason)
	return u.sendFailure(slatewind.OutcomeNotRun, reason)
}

// learnSlots takes the third figure of a load report: running, waiting, slots.
func (u *use) learnSlots(report string) {
	parts := strings.Split(report, ",")
	if len(parts) != 3 {
		return
	}
	if slots, err := strconv.Atoi(strings.TrimSpace(parts[2])); err == nil {
		u.in.mu.Lock()
		u.in.setSlots(slots)
		u.in.mu.Unlock()
	}
}

func resultOf(status int) breaker.Result {
	if status >= slatewind.FirstServerError {
		return breaker.ResultError
	}
	return breaker.ResultOK
}

// sendAnswer sends head, chunks and end: first the held part of the body, then
// the rest, which may be nil. A body that breaks off gets no end.
func (u *use) sendAnswer(head *slatewindv1.AnswerHead, held []byte, rest io.Reader) error {
	if err := u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Head{Head: head}}); err != nil {
		return err
	}
	w := &chunkSender{use: u, sum: xxhash.New()}
	for part := range slices.Chunk(held, link.ChunkBytes) {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	if rest != nil {
		if _, err := io.CopyBuffer(w, onlyReader{rest}, make([]byte, link.ChunkBytes)); err != nil {
			return err
		}
	}
	return u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_End{End: &slatewindv1.AnswerEnd{
		Length: w.length, Checksum: w.sum.Sum64(), State: u.state(),
	}}})
}

// onlyReader hides WriteTo, so that copies are made in chunks.
type onlyReader struct{ io.Reader }

// chunkSender sends what is written to it and keeps length and checksum.
type chunkSender struct {
	use    *use
	sum    *xxhash.Digest
	length int64
}

// Write implements io.Writer.
func (w *chunkSender) Write(p []byte) (int, error) {
	_, _ = w.sum.Write(p)
	w.length += int64(len(p))
	err := w.use.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Chunk{Chunk: bytes.Clone(p)}})
	return len(p), err
}
