package inbound

import (
	"context"
	"errors"
	"time"

	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/recovery"
	"slatewind.example/slatewind/retry"
	"slatewind.example/slatewind/timer"
)

// maxBody is the maximum size of a request's body in bytes, whatever length the sender states.
const maxBody = 64 << 20

// use handles one stream of the RPC Slots.Use: a reservation and the request that follows it.
type use struct {
	in          *Inbound
	stream      link.UseStream
	reservation *slatewindv1.Reservation
	item        admission.Item
	// expires is the deadline of the request and grantExpires that of its granted slot; both also
	// count the time during which the VM was suspended. granted is when the slot was granted.
	expires, grantExpires timer.Instant
	granted               time.Time
	// beforeClose reports that the slot was granted before a shutdown stopped admission.
	beforeClose bool
	// limited reports that the request was taken from the server's limit.
	limited bool
	// id is the caller's ID of the request, parent the state of its nested calls.
	id     string
	parent parent
	// held reports that the request holds a slot.
	held bool
	// expected is the name of the server that the request is addressed to.
	expected string
	// body is the memory of the request's body.
	body bodyLease
	// paidUntil is the time until which the process beside another server has paid for this extra attempt.
	paidUntil timer.Instant
	// payment is the part of the budget from which an extra attempt was paid.
	payment retry.Payment
	// digest returns the digest of the request for quarantine. trial reports that a quarantined
	// request was admitted to test whether servers still exit while running it.
	digest func() quarantine.Digest
	trial  bool
	// began is the earliest time at which the server can have received the request, allowed the time that it
	// was handed for it.
	began   time.Time
	allowed time.Duration
}

// serve handles the reservation and its request. A refusal or failure that was sent to the sender is
// not an error; an error means that the stream failed, that its messages were invalid or that the
// answer broke off.
func (u *use) serve() error {
	defer u.body.release()
	granted, err := u.reserve()
	if !granted || err != nil {
		return err
	}
	request, body, err := u.receive()
	if err != nil {
		u.release()
		if errors.Is(err, errGrantExpired) || errors.Is(err, bodylimit.ErrExhausted) {
			return u.refuse(CauseLate, err.Error())
		}
		return err
	}
	return u.run(request, body)
}

// reserve waits for a slot. granted reports that the reservation holds one.
func (u *use) reserve() (granted bool, err error) {
	now := time.Now()
	u.expires = u.in.clock.Now().Add(time.Duration(u.reservation.GetRemainingMs()) * time.Millisecond)
	u.paidUntil = u.in.clock.Now().Add(time.Duration(u.reservation.GetPaidMs()) * time.Millisecond)
	item, refusal, decision := u.in.offer(now, u.reservation)
	if refusal != nil {
		return false, u.sendRefusal(refusal)
	}
	u.item = item
	select {
	case d := <-decision:
		return u.handleDecision(d)
	default:
	}
	if err := u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Queued{Queued: u.state()}}); err != nil {
		u.in.cancelReservation(item, decision)
		return false, err
	}
	select {
	case d := <-decision:
		return u.handleDecision(d)
	case <-u.stream.Context().Done():
		u.in.cancelReservation(item, decision)
		return false, u.stream.Context().Err()
	}
}

// handleDecision reports the decision about the reservation to the sender. The server may have
// become unhealthy while the reservation was queued, so the checks are repeated.
func (u *use) handleDecision(d admission.Decision) (granted bool, err error) {
	if d.Action != admission.ActionStart {
		return false, u.refuseWithoutSlot(d)
	}
	u.granted, u.grantExpires = time.Now(), u.in.clock.Now().Add(grantTime)
	if !u.paidUntil.After(u.in.clock.Now()) {
		u.reservation.PaidMs = 0
	}
	u.in.mu.Lock()
	refusal := u.in.refusalFor(u.granted, u.reservation)
	if refusal != nil {
		u.in.release(u.granted, u.item)
	} else {
		u.held = true
		u.recordGrant()
		u.in.warmup.Admit(u.granted)
		u.limited = u.in.limit.Take(u.granted)
		u.payment = u.in.payExtra(u.granted, u.reservation)
		u.in.currentBreaker(u.granted).Grant(u.granted, u.item.ID, u.reservation.GetRoute(), expectedTime(u.reservation))
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

// releaseHeld returns a slot that is still held, which is so only after a panic.
func (u *use) releaseHeld() {
	if u.held {
		u.endRun(breaker.ResultNone, "")
	}
}

// release releases a granted slot that was not used.
func (u *use) release() {
	now := time.Now()
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.held = false
	u.in.currentBreaker(now).End(now, u.item.ID, breaker.ResultNone)
	u.in.extras.Return(u.payment)
	u.in.limit.Return(now, u.limited)
	u.in.idle.unused++
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

// refuseWithoutSlot refuses a reservation that got no slot, because none became free in time or
// because the server or this process accepts no further requests.
func (u *use) refuseWithoutSlot(d admission.Decision) error {
	cause, reason, after := CauseFull, "", d.RetryAfter
	u.in.mu.Lock()
	switch {
	case u.in.leavingReason != "":
		cause = CauseLeaving
	case d.Reason == stoppingReason:
		cause, reason, after = CauseStopping, stoppingReason, u.in.shutdown.RetryAfter(time.Now())
	}
	refusal := u.in.refusal(cause, reason, after)
	u.in.mu.Unlock()
	return u.sendRefusal(refusal)
}

// errGrantExpired is returned if a granted slot expires before its request has arrived.
var errGrantExpired = Error.New("the request did not arrive before its granted slot expired")

// received is a request with its body.
type received struct {
	request *slatewindv1.SlotRequest
	body    []byte
}

// receive waits for the request that uses the granted slot, and for its body. The request must begin
// to arrive within grantTime. Its body may take until the request's deadline, but is given up if
// nothing arrives for grantTime: a slot must not be held for a sender that has stopped, nor for a
// body for which there is no memory.
func (u *use) receive() (*slatewindv1.SlotRequest, []byte, error) {
	result := make(chan error, 1)
	progress := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(u.stream.Context())
	defer cancel()
	var r received
	go func() {
		result <- recovery.Call("body of a request", func() error { return u.read(ctx, &r, progress) })
	}()
	idle := time.NewTimer(grantTime)
	defer idle.Stop()
	for {
		select {
		case err := <-result:
			if err == nil && u.in.clock.Now().After(u.grantExpires) {
				err = errGrantExpired
			}
			return r.request, r.body, err
		case <-progress:
			if u.in.clock.Now().After(u.grantExpires) {
				return nil, nil, errGrantExpired
			}
			u.grantExpires = u.in.clock.Now().Add(grantTime)
			idle.Reset(grantTime)
		case <-idle.C:
			return nil, nil, errGrantExpired
		}
	}
}

// read reads the request and its body from the stream into r. It sends to progress whenever a part
// has arrived.
func (u *use) read(ctx context.Context, r *received, progress chan<- struct{}) error {
	message, err := u.stream.Recv()
	if err != nil {
		return err
	}
	request := message.GetRequest()
	if request == nil || request.GetBodyLength() > maxBody {
		return Error.New("invalid request after the grant: want a request with a body of at most %d bytes", maxBody)
	}
	if err := u.body.acquire(ctx, u.in.memory.Requests, request.GetBodyLength()); err != nil {
		return err
	}
	if int64(len(request.GetBody())) == request.GetBodyLength() {
		r.request, r.body = request, request.GetBody()
		return nil
	}
	body := bodylimit.Buffer(max(request.GetBodyLength(), int64(len(request.GetBody()))))
	body = append(body, request.GetBody()...)
	for int64(len(body)) < request.GetBodyLength() {
		message, err := u.stream.Recv()
		if err != nil {
			return err
		}
		body = append(body, message.GetChunk()...)
		reportProgress(progress)
	}
	if int64(len(body)) > request.GetBodyLength() {
		return Error.New("invalid request: its body is longer than the stated %d bytes", request.GetBodyLength())
	}
	r.request, r.body = request, body
	return nil
}

// reportProgress sends to progress unless a value is waiting there.
func reportProgress(progress chan<- struct{}) {
	select {
	case progress <- struct{}{}:
	default:
	}
}
