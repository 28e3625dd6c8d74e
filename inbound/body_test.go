package inbound_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/platform"
)

// sendBody sends a request with a stated body length, its first part and then further parts with a
// pause before each.
func sendBody(t *testing.T, p *fixture, stated int64, pause time.Duration, parts ...[]byte) *slatewindv1.UseReply {
	t.Helper()
	r := reservation()
	r.RemainingMs = 8000
	use, reply := p.reserve(t.Context(), r)
	assert.Assert(t, reply.GetGranted() != nil, reply)
	assert.NilError(t, use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Request{Request: &slatewindv1.SlotRequest{
		RemainingNanos: int64(8 * time.Second), Server: "s-1", Method: "POST", Target: []byte("/x"), Host: "h",
		Headers: []*slatewindv1.Header{{Name: platform.Servers().RequestID, Value: []byte("id")}}, Body: parts[0], BodyLength: stated,
	}}}))
	for _, part := range parts[1:] {
		time.Sleep(pause)
		assert.NilError(t, use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Chunk{Chunk: part}}))
	}
	reply, err := use.Recv()
	if err != nil {
		return nil
	}
	return reply
}

// TestSlowBody: a body may take longer than the time for which a granted slot is kept, as long as it
// keeps arriving. The slot of a body that stalls is released, and a request whose body is not
// complete never runs.
func TestSlowBody(t *testing.T) {
	part := bytes.Repeat([]byte("b"), 1000)
	parts := [][]byte{part, part, part, part, part}
	tests := map[string]struct {
		stated int64
		pause  time.Duration
		parts  [][]byte
		// status is the server's, 0 if the request must not run.
		status int32
		cause  inbound.Cause
	}{
		"at once":            {stated: 5000, parts: parts, status: http.StatusOK},
		"slowly":             {stated: 5000, pause: 400 * time.Millisecond, parts: parts, status: http.StatusOK},
		"stalls":             {stated: 6000, pause: 10 * time.Millisecond, parts: parts, cause: inbound.CauseLate},
		"longer than stated": {stated: 4500, parts: parts},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newFixture(t)
			reply := sendBody(t, p, test.stated, test.pause, test.parts...)
			assert.Equal(t, reply.GetHead().GetStatus(), test.status, reply)
			assert.Equal(t, reply.GetRefusal().GetCause(), string(test.cause))
			assert.Equal(t, p.server.Runs()["id"] > 0, test.status != 0)
			for deadline := time.Now().Add(time.Second); p.InUse() > 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, p.InUse(), 0, "the slot is released")
		})
	}
}

// TestBodiesWaitForMemory: the bodies that a process holds for its server never exceed their budget;
// those that do not fit wait for their turn.
func TestBodiesWaitForMemory(t *testing.T) {
	const size, budget = 4000, 10_000
	held := make(chan int64, 8)
	release := make(chan struct{})
	releaseAll := sync.OnceFunc(func() { close(release) })
	p := newFixtureWithMemory(t, bodylimit.NewBudget(budget), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		held <- int64(len(body))
		<-release
		w.Header().Set(platform.Servers().RequestID, r.Header.Get(platform.Servers().RequestID))
		w.Header().Set(platform.Servers().Stamp, "stamp")
	}))
	t.Cleanup(releaseAll)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: 4})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	results := make(chan int32, 4)
	for range 4 {
		go func() { results <- sendBody(t, p, size, 0, make([]byte, size)).GetHead().GetStatus() }()
	}
	for range 2 {
		assert.Equal(t, <-held, int64(size))
	}
	select {
	case <-held:
		t.Fatal("three bodies are held at once")
	case <-time.After(100 * time.Millisecond):
	}
	releaseAll()
	for range 4 {
		select {
		case status := <-results:
			assert.Equal(t, status, int32(http.StatusOK))
		case <-ctx.Done():
			t.Fatal("a request got no turn")
		}
	}
}
