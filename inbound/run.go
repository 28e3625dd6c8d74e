package inbound

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/breaker"
)

// run has the server run the request.
func (u *use) run(request *slatewindv1.SlotRequest, body []byte) error {
	// The server may have begun to leave since the slot was granted.
	if why := u.in.leaving(); why != "" {
		u.release()
		return u.refuse(CauseLeaving, why)
	}
	now := time.Now()
	remaining := min(time.Duration(request.GetRemainingNanos()), u.expires.Sub(u.in.clock.Now()), u.in.timeLeft(now))
	if remaining <= 0 {
		u.release()
		return u.refuse(CauseLate, "its time was over before the start")
	}
	if verdict := u.quarantined(now, request, body); verdict.Refused {
		u.release()
		return u.refuseQuarantined(now, verdict)
	}
	ctx, cancel := u.context(remaining)
	defer cancel()
	toServer := u.request(ctx, request, body, remaining)
	u.parent = parent{item: u.item.ID, repeat: u.reservation.GetExtra() || u.reservation.GetRepeat(), workspace: u.reservation.GetWorkspace()}
	u.id = toServer.Header.Get(u.in.server.Dialect.RequestID)
	u.in.begin(u.id, &u.parent)
	u.arrive(now)
	u.began = time.Now()
	answer, sent, err := u.in.pool.Do(ctx, toServer, func(unread func() bool) { u.in.sending(u.item.ID, unread) })
	if err != nil {
		return u.fail(ctx, sent, err)
	}
	defer answer.Close()
	return u.pass(ctx, answer)
}

// arrive counts an extra arrival before the request goes to the server: its answer may come
// much later, in another window of the bound. One that cannot be sent then counts too.
func (u *use) arrive(now time.Time) {
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	switch r := u.reservation; {
	case r.GetExtra():
		u.in.extras.Arrived(now, u.payment)
	case r.GetRepeat():
		u.in.extras.Charge()
	}
}

// serverSlack is how long after the request's own time a server may still
// answer that the time is over.
const serverSlack = 100 * time.Millisecond

// context ends a request that may be repeated when its sender leaves. One that
// may not is left to run: breaking it off gains nothing, it counts as run.
func (u *use) context(remaining time.Duration) (context.Context, context.CancelFunc) {
	ctx := u.stream.Context()
	if !u.reservation.GetRepeatable() {
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
	if expected := u.in.expected(from); expected != "" {
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
	suspect := u.noteEnd(ctx, sent, err)
	u.end(result, "no answer: "+err.Error())
	if errors.Is(err, syscall.ECONNREFUSED) {
		u.in.ended()
	}
	return u.sendFailure(outcome, err.Error(), suspect)
}

// ended notes that nothing listens at the server's address. Where its VM is taken away the
// server ends before its process, which then has no slots to give.
func (in *Inbound) ended() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stop != nil {
		in.leave(time.Now(), "nothing listens at its address while its process stops")
	}
}

func (u *use) sendFailure(outcome slatewind.Outcome, reason string, suspect *slatewindv1.Suspect) error {
	failure := &slatewindv1.Failure{Outcome: string(outcome), Reason: reason, State: u.state(), Suspect: suspect}
	return u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Failure{Failure: failure}})
}

// end notes the outcome of a run and gives the slot back.
func (u *use) end(result breaker.Result, why string) {
	now := time.Now()
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	delete(u.in.parents, u.id)
	delete(u.in.unread, u.item.ID)
	if result == breaker.ResultError && u.parent.blameless() {
		result = breaker.ResultNone
	}
	if u.in.judge(now).End(now, u.item.ID, result) {
		u.in.noteBreaker(now, why)
	}
	u.in.deliver(u.in.slots.Done(now, u.item, now.Sub(u.granted)))
}
