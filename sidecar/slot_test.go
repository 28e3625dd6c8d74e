package sidecar_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/sidecar"
)

// TestConnectionIsFreeWithItsSlot checks that a server with one slot gets no second connection while the answer of an ended attempt is
// still being sent to the ingress.
func TestConnectionIsFreeWithItsSlot(t *testing.T) {
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(sidecar.HeaderAttempt, r.Header.Get(sidecar.HeaderAttempt))
		_, _ = io.WriteString(w, "answer")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	f := newFixture(t, 1, nil)
	f.offer(2, strings.TrimPrefix(server.URL, "http://"))
	blocked, release, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	first := f.request("", "")
	go func() {
		sent := false
		ended <- f.sidecar.Run(t.Context(), first, func(*slatewindv1.RunReply) error {
			if !sent {
				sent = true
				close(blocked)
				<-release
			}
			return nil
		})
	}()
	<-blocked
	before := conns.Load()
	assert.Equal(t, f.outcome(f.request("", "")), slatewind.OutcomeAnswer)
	after := conns.Load()
	close(release)
	assert.NilError(t, <-ended)
	assert.Equal(t, after, before, "connections to a server with one slot")
}
