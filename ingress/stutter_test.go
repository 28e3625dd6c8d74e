package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/ingress"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/sidecar"
)

// directLinks connects an ingress to one sidecar without a network.
type directLinks struct {
	side *sidecar.Sidecar
}

func (d directLinks) Run(ctx context.Context, _ string, request *slatewindv1.RunRequest) (*link.Reply, bool, error) {
	reply, err := runAt(ctx, d.side, request)
	return reply, true, err
}

func (d directLinks) Cancel(ctx context.Context, _ string, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error) {
	return d.side.Cancel(ctx, request)
}

func (d directLinks) Seal(ctx context.Context, _ string, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error) {
	return d.side.Seal(ctx, request)
}

// newIngressBefore returns an ingress and a sidecar before the server at an address.
func newIngressBefore(t *testing.T, address string) *ingress.Ingress {
	t.Helper()
	j := history.New(0, nil)
	store := config.NewStore(j)
	text := fmt.Sprintf(`
services:
  - {name: kassa, slots: 8, servers: [{name: kassa-0, vm: vm-0, address: "%s"}]}
routes:
  - {name: price, path_prefix: /prices, service: kassa, kind: repeatable, timeout: 5s}
  - {name: payment, path_prefix: /payments, service: kassa, kind: once, timeout: 5s}
`, address)
	_, err := store.Offer(time.Now(), "test", slatewind.Revision{Number: 1}, []byte(text))
	assert.NilError(t, err)
	caller := sidecar.NewHTTPCaller()
	t.Cleanup(caller.CloseIdle)
	suspects := quarantine.NewTable(nil, nil)
	side := sidecar.New("vm-0", 1, sidecar.Limits{}, store, j, caller, suspects)
	side.Update(time.Now(), store.Current())
	in := ingress.New("vm-0", "dc", store, j, directLinks{side}, fakeMembers{}, fakeMeter{}, fakeRecorder{}, fakeLimiter{}, suspects)
	in.Update(time.Now(), store.Current())
	return in
}

// TestAnswersOfStutteringServer checks at the callers that each answer is that to its own request, by head and body, where a
// server answers twice.
func TestAnswersOfStutteringServer(t *testing.T) {
	const callers, requests = 6, 25
	answer := func(r *http.Request, fields string) string {
		nonce := r.Header.Get(standin.HeaderNonce)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", standin.HeaderNonce, nonce, fields, len(nonce), nonce)
	}
	echoed := func(r *http.Request) string {
		return answer(r, fmt.Sprintf("%s: %s\r\n", sidecar.HeaderAttempt, r.Header.Get(sidecar.HeaderAttempt)))
	}
	unechoed := func(r *http.Request) string { return answer(r, "") }
	withoutEcho := func(last string, _ *http.Request) string {
		before, after, _ := strings.Cut(last, sidecar.HeaderAttempt)
		_, after, _ = strings.Cut(after, "\r\n")
		return before + after
	}
	tests := map[string]struct {
		answer func(*http.Request) string
		copied func(string, *http.Request) string
	}{
		"echo":              {echoed, standin.SameAnswer},
		"copy without echo": {echoed, withoutEcho},
		"no echo":           {unechoed, standin.SameAnswer},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRepeater("127.0.0.1:0", tt.answer, tt.copied)
			assert.NilError(t, err)
			defer server.Close()
			web := httptest.NewServer(newIngressBefore(t, server.Address()))
			defer web.Close()
			var own, foreign atomic.Int32
			var group sync.WaitGroup
			for c := range callers {
				group.Go(func() {
					for n := range requests {
						switch nonce := fmt.Sprintf("n-%d-%d", c, n); receive(t, web, nonce, n%2 == 0) {
						case "":
						case nonce:
							own.Add(1)
						default:
							foreign.Add(1)
						}
					}
				})
			}
			group.Wait()
			assert.Equal(t, foreign.Load(), int32(0))
			// Each connection that is kept when the server first answers twice fails one attempt.
			assert.Assert(t, own.Load() >= callers*requests-callers, "%d requests got their answers", own.Load())
		})
	}
}

// receive sends a request that runs at most once, or may be repeated, and returns the nonces in the head and the body of the
// answer, which are one if they are equal; it is empty if the server gave no answer.
func receive(t *testing.T, web *httptest.Server, nonce string, repeatable bool) string {
	method, path := http.MethodPost, "/payments"
	if repeatable {
		method, path = http.MethodGet, "/prices/1"
	}
	r, err := http.NewRequestWithContext(t.Context(), method, web.URL+path, http.NoBody)
	assert.Check(t, err)
	r.Header.Set(standin.HeaderNonce, nonce)
	response, err := web.Client().Do(r)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.Header.Get(ingress.HeaderServer) == "" {
		return ""
	}
	if head := response.Header.Get(standin.HeaderNonce); head != string(body) {
		return head + " with " + string(body)
	}
	return string(body)
}
