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

// run sends the request to the server and forwards the answer. It refuses the request if the server
// is leaving or not known, the deadline has passed or the request is quarantined.
func (u *use) run(request *slatewindv1.SlotRequest, body []byte) error {
	// The server may have started to leave since the slot was granted.
	if why := u.in.leaving(); why != "" {
		u.release()
		return u.refuse(CauseLeaving, why)
	}
	now := time.Now()
	allowed := min(time.Duration(request.GetRemainingNanos()), u.expires.Sub(u.in.clock.Now()))
	remaining := min(allowed, u.in.timeLeft(now))
	if remaining <= 0 {
		u.release()
		return u.refuse(CauseLate, "the deadline of the request passed before it was sent to the server")
	}
	if u.expected = u.in.expectedServer(request); u.expected == "" {
		u.release()
		return u.refuse(CauseLeaving, "no server is known here")
	}
	if verdict := u.quarantined(now, request, body); verdict.Refused {
		u.release()
		return u.refuseQuarantined(now, verdict)
	}
	ctx, cancel := u.context(allowed)
	defer cancel()
	toServer := u.serverRequest(ctx, request, body, remaining)
	u.parent = parent{item: u.item.ID, repeat: isExtraArrival(u.reservation), workspace: u.reservation.GetWorkspace()}
	u.id = toServer.Header.Get(u.in.server.Headers.RequestID)
	u.in.beginRun(u.id, &u.parent)
	u.chargeExtra(now)
	u.began, u.allowed = time.Now(), remaining
	answer, sent, err := u.in.pool.Do(ctx, toServer, func(unread func() bool) { u.in.beginServerTime(u.item.ID, unread) })
	if err != nil {
		return u.fail(ctx, sent, err)
	}
	defer answer.Close()
	return u.forwardAnswer(ctx, answer)
}

// chargeExtra charges an extra attempt to the budget before the request is sent, since the answer
// may come much later, in another window of the budget. An attempt that then cannot be sent is
// charged too.
func (u *use) chargeExtra(now time.Time) {
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.in.extras.Arrived(now, u.payment)
}

const (
	// nextAttemptTime is the time within which the next attempt at a failed request has to get its slot to be
	// paid for here.
	nextAttemptTime = 500 * time.Millisecond
	// loanTime is how long that payment counts: the attempt still has to arrive after its grant, and
	// both times are told by messages.
	loanTime = nextAttemptTime + 250*time.Millisecond
)

// payNext pays for the next attempt at a request that the server has failed, if another one may follow, the
// server is set aside and anything is left. Extra attempts seldom go to a server that is set aside, so its share
// is of little other use; a payment in advance keeps the bucket of a busy server from filling. It returns
// the time within which the attempt has to get its slot, in milliseconds, or 0.
func (u *use) payNext(outcome slatewind.Outcome) uint32 {
	mayFollow := u.reservation.GetMayRepeat() && (u.reservation.GetRepeatable() || outcome == slatewind.OutcomeNotRun)
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	if !mayFollow || u.in.breaker.State() == breaker.StateClosed || !u.in.extras.Lend(time.Now(), loanTime) {
		return 0
	}
	return uint32(nextAttemptTime.Milliseconds())
}

// serverSlack is how long after the request's deadline a server may still answer that the
// deadline was exceeded.
const serverSlack = 100 * time.Millisecond

// errExiting is the cause of the end of a run that outlasts this process.
var errExiting = Error.New("the process beside the server exits")

// context returns the context of the run of a request with the given time until its deadline. A
// repeatable request is cancelled when its sender disconnects. Any other request is left to run:
// cancelling it gains nothing, since it counts as run.
func (u *use) context(allowed time.Duration) (context.Context, context.CancelFunc) {
	ctx := u.stream.Context()
	if !u.reservation.GetRepeatable() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, allowed+serverSlack)
	ctx, exit := context.WithCancelCause(ctx)
	stop := context.AfterFunc(u.in.ended, func() { exit(errExiting) })
	return ctx, func() { stop(); cancel(); exit(nil) }
}

// serverRequest builds the request to the server. The target is sent unchanged.
func (u *use) serverRequest(ctx context.Context, from *slatewindv1.SlotRequest, body []byte, remaining time.Duration) *http.Request {
	names := u.in.server.Headers
	header := http.Header{"User-Agent": {""}}
	for _, h := range from.GetHeaders() {
		header[h.GetName()] = append(header[h.GetName()], string(h.GetValue()))
	}
	header.Set(names.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	header.Set(names.Expect, u.expected)
	r := &http.Request{
		Method: from.GetMethod(), URL: &url.URL{Opaque: string(from.GetTarget())}, Host: from.GetHost(), Header: header,
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
	if errors.Is(context.Cause(ctx), errExiting) {
		err = errExiting
	}
	suspect := u.recordServerExit(ctx, sent, err)
	u.endRun(result, "no answer: "+err.Error())
	if !sent && ctx.Err() == nil {
		u.in.connectFailed(errors.Is(err, syscall.ECONNREFUSED))
	}
	return u.sendFailure(outcome, err.Error(), suspect)
}

// connectFailed records that no connection to the server could be opened. If its address refuses
// connections during a shutdown of this process, the server also counts as leaving: when a VM is
// removed, the server exits before its sidecar, which has no slots to grant from then on.
func (in *Inbound) connectFailed(refused bool) {
	in.serverDown()
	in.mu.Lock()
	defer in.mu.Unlock()
	if refused && in.shutdown != nil {
		in.startLeaving(time.Now(), "its address accepts no connections while the process beside it stops")
	}
}

// serverDown records that the server does not run: it has to warm up when it answers again.
func (in *Inbound) serverDown() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.warmup.Down(time.Now())
}

func (u *use) sendFailure(outcome slatewind.Outcome, reason string, suspect *slatewindv1.Suspect) error {
	failure := &slatewindv1.Failure{Outcome: string(outcome), Reason: reason, State: u.state(), Suspect: suspect, NextPaidMs: u.payNext(outcome)}
	return u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Failure{Failure: failure}})
}

// endRun records the result of a run and releases the slot; why is the reason in the journal if the
// result opens the breaker.
func (u *use) endRun(result breaker.Result, why string) {
	now := time.Now()
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.held = false
	delete(u.in.parents, u.id)
	delete(u.in.unread, u.item.ID)
	if result == breaker.ResultError && u.parent.mayBeCallError() {
		result = breaker.ResultNone
	}
	if u.in.currentBreaker(now).End(now, u.item.ID, result) {
		u.in.recordBreaker(now, why)
	}
	u.in.deliver(u.in.slots.Done(now, u.item, now.Sub(u.granted)))
}
