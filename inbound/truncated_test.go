package inbound_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/platform"
)

// replies is a stream of a reservation that grants and sends a request, and records the replies.
type replies struct {
	ctx     context.Context
	request []*slatewindv1.UseRequest
	// failAfter is the number of replies after which sending fails; 0 means never.
	failAfter int
	onChunk   func()
	sent      []*slatewindv1.UseReply
}

// Context implements link.UseStream.
func (r *replies) Context() context.Context { return r.ctx }

// Recv implements link.UseStream.
func (r *replies) Recv() (*slatewindv1.UseRequest, error) {
	if len(r.request) == 0 {
		<-r.ctx.Done()
		return nil, r.ctx.Err()
	}
	next := r.request[0]
	r.request = r.request[1:]
	return next, nil
}

// Send implements link.UseStream.
func (r *replies) Send(reply *slatewindv1.UseReply) error {
	if err := r.ctx.Err(); err != nil {
		return err
	}
	if r.failAfter > 0 && len(r.sent) >= r.failAfter {
		return io.EOF
	}
	r.sent = append(r.sent, reply)
	if reply.GetChunk() != nil && r.onChunk != nil {
		r.onChunk()
	}
	return nil
}

// TestStreamOfTruncatedAnswer guards against the stream of an answer that broke off and ends like that of a complete one,
// whatever broke it off.
func TestStreamOfTruncatedAnswer(t *testing.T) {
	const size = 3 * link.MaxBufferedBytes
	// send writes part of a body whose length is stated, and waits for the end of the request if it is not all.
	send := func(written int, after func(http.ResponseWriter)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			names := platform.Servers()
			w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
			w.Header().Set(names.Stamp, "stamp")
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, written))
			_ = http.NewResponseController(w).Flush()
			if written < size && after == nil {
				<-r.Context().Done()
			}
			if after != nil {
				after(w)
			}
		}
	}
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	tests := map[string]struct {
		server http.HandlerFunc
		// prepare sets what ends the answer.
		prepare func(p *fixture, r *replies, cancel func())
		whole   bool
		// timed reports that the end of the request's time is what ends the answer.
		timed bool
	}{
		"nothing":                        {send(size, nil), func(*fixture, *replies, func()) {}, true, false},
		"the server":                     {send(size*2/3, abort), func(*fixture, *replies, func()) {}, false, false},
		"a second answer in its body":    {sendTwice(strings.Repeat("b", size)), func(*fixture, *replies, func()) {}, false, false},
		"the time of the request":        {send(size*2/3, nil), func(*fixture, *replies, func()) {}, false, true},
		"the end of the process":         {send(size*2/3, nil), func(p *fixture, r *replies, _ func()) { r.onChunk = p.End }, false, false},
		"the sender":                     {send(size, nil), func(_ *fixture, r *replies, cancel func()) { r.onChunk = cancel }, false, false},
		"the stream, after the head":     {send(size, nil), func(_ *fixture, r *replies, _ func()) { r.failAfter = 2 }, false, false},
		"the stream, at the end message": {send(size, nil), func(_ *fixture, r *replies, _ func()) { r.failAfter = 2 + size/link.ChunkBytes }, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixtureFor(t, test.server)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			within := 20 * time.Second
			if test.timed {
				within = 700 * time.Millisecond
			}
			long := reservation()
			long.RemainingMs = uint32(within.Milliseconds())
			r := &replies{ctx: ctx, request: []*slatewindv1.UseRequest{
				{Part: &slatewindv1.UseRequest_Reservation{Reservation: long}},
				{Part: &slatewindv1.UseRequest_Request{Request: &slatewindv1.SlotRequest{
					RemainingNanos: int64(within), Server: "s-1", Method: "GET", Target: []byte("/x"), Host: "h",
					Headers: []*slatewindv1.Header{{Name: platform.Servers().RequestID, Value: []byte("id")}},
				}}},
			}}
			test.prepare(p, r, cancel)
			err := p.Serve(r)
			ended := r.sent[len(r.sent)-1].GetEnd() != nil
			assert.Equal(t, ended, test.whole)
			assert.Equal(t, err == nil, test.whole, "%v", err)
			assert.Assert(t, errors.Is(err, io.EOF) == (r.failAfter > 0))
		})
	}
}
