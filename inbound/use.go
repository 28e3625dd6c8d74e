package inbound

import (
	"errors"
	"time"

	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/retry"
	"slatewind.example/slatewind/timer"
)

// maxBody bounds a request's body in bytes, whatever the sender says.
const maxBody = 64 << 20

// use is one reservation on its way.
type use struct {
	in          *Inbound
	stream      link.UseStream
	reservation *slatewindv1.Reservation
	item        admission.Item
	// expires is the end of the request's time and lapses that of its granted slot, also where the
	// VM was suspended meanwhile; granted is when it got that.
	expires, lapses timer.Instant
	granted         time.Time
	// early says that the slot was granted before a stop closed.
	early bool
	// id is the caller's id of the request, parent what its calls came to.
	id     string
	parent parent
	// payment is what an extra arrival was paid from.
	payment retry.Payment
	// digest stands for the request that is sent to the server, trial says that it is let
	// through to see whether servers end under it still.
	digest func() quarantine.Digest
	trial  bool
	// began is when the server could first see it.
	began time.Time
}

// serve takes the reservation through its steps. The error concerns the stream.
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
	u.expires = u.in.clock.Now().Add(time.Duration(u.reservation.GetRemainingMs()) * time.Millisecond)
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
	u.granted, u.lapses = time.Now(), u.in.clock.Now().Add(grantTime)
	u.in.mu.Lock()
	refusal := u.in.refuses(u.granted, u.reservation)
	if refusal != nil {
		u.in.release(u.granted, u.item)
	} else {
		u.noteGranted()
		if u.reservation.GetExtra() {
			u.payment = u.in.extras.Take(u.granted)
		}
		u.in.judge(u.granted).Grant(u.granted, u.item.ID, u.reservation.GetRoute(), expectedOf(u.reservation))
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
	u.in.judge(now).End(now, u.item.ID, breaker.ResultNone)
	u.in.extras.Return(u.payment)
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

// refuseFull passes on that no slot was free, or that none will be since the
// server is leaving.
func (u *use) refuseFull(d admission.Decision) error {
	cause, reason, after := CauseFull, "", d.RetryAfter
	u.in.mu.Lock()
	switch {
	case u.in.away != "":
		cause = CauseLeaving
	case d.Reason == stops:
		cause, reason, after = CauseStopping, stops, u.in.stop.BackIn(time.Now())
	}
	refusal := u.in.refusal(cause, reason, after)
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
		if r.err == nil && u.in.clock.Now().After(u.lapses) {
			return nil, nil, errTooLate
		}
		return r.request, r.body, r.err
	case <-timeout.C:
		return nil, nil, errTooLate
	}
}

// read reads the request and its body from the stream.
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
