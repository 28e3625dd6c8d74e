package ingress_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/ingress"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/workspace"
)

const settings = `
services:
  - name: kassa
    slots: 5
    servers:
      - {name: kassa-0, vm: vm-0, address: "127.0.0.1:1"}
      - {name: kassa-1, vm: vm-1, address: "127.0.0.1:2"}
      - {name: kassa-2, vm: vm-2, address: "127.0.0.1:3"}
routes:
  - {name: price, path_prefix: /prices, service: kassa, kind: repeatable, timeout: 1s}
  - {name: payment, path_prefix: /payments, service: kassa, kind: once, timeout: 2s}
`

// behaviour is how the fake sidecars treat attempts.
type behaviour string

const (
	answers    behaviour = "answers"
	refuses    behaviour = "refuses"
	fails      behaviour = "fails"
	loses      behaviour = "loses"
	crosses    behaviour = "crosses"
	unreached  behaviour = "unreached"
	neverStart behaviour = "never starts"
)

// fakeLinks simulates the sidecars.
type fakeLinks struct {
	mu       sync.Mutex
	all      behaviour
	attempts []string
	// last is the latest request received.
	last *slatewindv1.RunRequest
	// status is the status of each answer, 0 for 200.
	status int32
	// headers are the header fields of each answer.
	headers []*slatewindv1.Header
	// rest follows the body of each answer; nil if nothing does.
	rest func() ([]byte, error)
}

// header returns a header field of the latest request, or "".
func (f *fakeLinks) header(name string) string {
	for _, h := range f.last.GetHeaders() {
		if h.GetName() == name {
			return string(h.GetValue())
		}
	}
	return ""
}

func (f *fakeLinks) Run(ctx context.Context, address string, request *slatewindv1.RunRequest) (*link.Reply, bool, error) {
	f.mu.Lock()
	f.attempts = append(f.attempts, address)
	f.last = request
	f.mu.Unlock()
	head := &slatewindv1.RunHead{AttemptId: request.GetAttemptId(), EarlierExcluded: true, Headers: f.headers}
	switch f.all {
	case answers:
		time.Sleep(10 * time.Millisecond)
		head.Outcome, head.Status = string(slatewind.OutcomeAnswer), cmp.Or(f.status, http.StatusOK)
	case fails:
		head.Outcome, head.Status = string(slatewind.OutcomeAnswer), http.StatusInternalServerError
	case refuses:
		head.Outcome, head.Reason, head.RetryAfterNanos = string(slatewind.OutcomeNotRun), "the queue is full", int64(300*time.Millisecond)
	case crosses:
		return nil, true, link.ErrAttemptMismatch
	case unreached:
		return nil, false, errors.New("connection refused")
	default:
		<-ctx.Done()
		return nil, true, ctx.Err()
	}
	return &link.Reply{Head: head, Body: []byte("body"), Rest: f.rest}, true, nil
}

func (f *fakeLinks) Cancel(ctx context.Context, _ string, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error) {
	switch f.all {
	case neverStart:
		return &slatewindv1.CancelReply{AttemptId: request.GetAttemptId(), State: string(slatewind.CancelNotStarted)}, nil
	case crosses:
		return &slatewindv1.CancelReply{AttemptId: "another", State: string(slatewind.CancelNotStarted)}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (f *fakeLinks) Seal(context.Context, string, *slatewindv1.SealRequest) (*slatewindv1.SealReply, error) {
	return &slatewindv1.SealReply{State: string(slatewind.RecordNone)}, nil
}

// fakeMembers returns the name of a VM as its address.
type fakeMembers struct{}

func (fakeMembers) Address(vm string) string                 { return vm }
func (fakeMembers) DataCentre(string) string                 { return "dc" }
func (fakeMembers) Leaving(string) bool                      { return false }
func (fakeMembers) Hint(string, config.Version)              {}
func (fakeMembers) RefreshDigests(context.Context, []string) {}
func (fakeMembers) Relay([]*slatewindv1.Digest)              {}

type fakeMeter struct{}

func (fakeMeter) Request(string, slatewind.Outcome, time.Duration) {}
func (fakeMeter) Extra(string, string)                             {}
func (fakeMeter) Dropped(string, string)                           {}

type fakeRecorder struct{}

func (fakeRecorder) RecordDigest(time.Time, *slatewindv1.Digest) {}
func (fakeRecorder) RecordLostReply(time.Time, string, string)   {}

func newIngress(t *testing.T, links *fakeLinks) (*ingress.Ingress, *history.Journal) {
	t.Helper()
	return newIngressWith(t, links, settings)
}

// newIngressWith returns an ingress with the given settings.
func newIngressWith(t *testing.T, links *fakeLinks, settings string) (*ingress.Ingress, *history.Journal) {
	t.Helper()
	j := history.New(0, nil)
	store := config.NewStore(j)
	_, err := store.Offer(time.Now(), "test", slatewind.Revision{Number: 1}, []byte(settings))
	assert.NilError(t, err)
	in := ingress.New("vm-0", "dc", store, j, links, fakeMembers{}, fakeMeter{}, fakeRecorder{}, fakeLimiter{}, quarantine.NewTable(nil, nil))
	in.Update(time.Now(), store.Current())
	return in, j
}

// TestFinalAnswers checks the answer to callers, its delay and the number of
// attempts for each behaviour of the sidecars. Results that are known early are
// returned immediately; no request waits beyond its timeout.
func TestFinalAnswers(t *testing.T) {
	const price, payment = "/prices/1", "/payments"
	tests := map[string]struct {
		all      behaviour
		path     string
		header   http.Header
		status   int
		outcome  slatewind.Outcome
		atMost   time.Duration
		attempts int
	}{
		"answer":                    {all: answers, path: price, status: 200, atMost: 10 * time.Millisecond, attempts: 1},
		"refused everywhere":        {all: refuses, path: price, status: 503, outcome: slatewind.OutcomeNotRun, attempts: 3},
		"errors everywhere":         {all: fails, path: price, status: 500, attempts: 3},
		"connections refused":       {all: unreached, path: price, status: 503, outcome: slatewind.OutcomeNotRun, attempts: 3},
		"no reply":                  {all: loses, path: price, status: 504, outcome: slatewind.OutcomeUnknown, atMost: time.Second, attempts: 1},
		"no reply, never started":   {all: neverStart, path: price, status: 503, outcome: slatewind.OutcomeNotRun, atMost: time.Second, attempts: 1},
		"crossed replies":           {all: crosses, path: price, status: 504, outcome: slatewind.OutcomeUnknown, attempts: 3},
		"once: answer":              {all: answers, path: payment, status: 200, atMost: 10 * time.Millisecond, attempts: 1},
		"once: refused everywhere":  {all: refuses, path: payment, status: 503, outcome: slatewind.OutcomeNotRun, attempts: 3},
		"once: own error answer":    {all: fails, path: payment, status: 500, attempts: 1},
		"once: no reply":            {all: loses, path: payment, status: 504, outcome: slatewind.OutcomeUnknown, atMost: 2 * time.Second, attempts: 1},
		"once: crossed reply":       {all: crosses, path: payment, status: 504, outcome: slatewind.OutcomeUnknown, attempts: 1},
		"once: connections refused": {all: unreached, path: payment, status: 503, outcome: slatewind.OutcomeNotRun, attempts: 3},
		"once: retry, no record": {
			all: answers, path: payment, status: 504, outcome: slatewind.OutcomeUnknown,
			header: http.Header{ingress.HeaderKey: {"k"}, ingress.HeaderAttempt: {"2"}},
		},
		"once: unnumbered, home refuses": {
			all: refuses, path: payment, status: 503, outcome: slatewind.OutcomeNotRun, attempts: 1,
			header: http.Header{ingress.HeaderKey: {"k"}},
		},
		"once: unnumbered, home away": {
			all: unreached, path: payment, status: 504, outcome: slatewind.OutcomeUnknown, attempts: 1,
			header: http.Header{ingress.HeaderKey: {"k"}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				links := &fakeLinks{all: tt.all}
				in, j := newIngress(t, links)
				method := http.MethodGet
				if tt.path == payment {
					method = http.MethodPost
				}
				r := httptest.NewRequest(method, tt.path, strings.NewReader("sum=10"))
				for field, values := range tt.header {
					r.Header[field] = values
				}
				w := httptest.NewRecorder()
				start := time.Now()
				in.ServeHTTP(w, r)
				took := time.Since(start)
				// Abandoned attempts are still being cancelled in the background.
				time.Sleep(time.Minute)
				assert.Equal(t, w.Code, tt.status, w.Body.String())
				assert.Equal(t, w.Header().Get(ingress.HeaderOutcome), string(tt.outcome))
				assert.Assert(t, took <= tt.atMost+time.Millisecond/2 || tt.all == crosses && took <= time.Second, "took %s", took)
				assert.Equal(t, len(links.attempts), tt.attempts)
				if tt.outcome == "" {
					return
				}
				assert.Assert(t, w.Header().Get("Retry-After") != "")
				explained := j.Find(history.Filter{Request: w.Header().Get(ingress.HeaderRequest)})
				assert.Assert(t, len(explained) > 0, "the journal does not explain the refusal")
			})
		})
	}
}

// TestRetryBudget checks that extra attempts stay a bounded share of the first
// ones while every attempt is refused, so that retries do not amplify overload.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := &fakeLinks{all: refuses}
		in, _ := newIngress(t, links)
		const requests = 1000
		for i := range requests {
			in.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, fmt.Sprint("/prices/", i), nil))
		}
		assert.Assert(t, len(links.attempts) <= requests*12/10+10, "%d attempts", len(links.attempts))
	})
}

// fakeLimiter refuses the requests of all workspaces with a rate limit.
type fakeLimiter struct{}

// Admit implements slatewind.Limiter.
func (fakeLimiter) Admit(_ context.Context, limit slatewind.WorkspaceLimit) slatewind.LimitVerdict {
	if limit.Rate == 0 {
		return slatewind.LimitVerdict{Allowed: true}
	}
	return slatewind.LimitVerdict{OverLimit: true, RetryAfter: 1500 * time.Millisecond, Evidence: "tokens=0"}
}

// TestWorkspaces checks that a request needs the key of a workspace, is refused
// beyond the workspace's limit, and reaches servers with the workspace's name
// but without the key, which must not appear in the journal either.
func TestWorkspaces(t *testing.T) {
	workspaces := settings + `workspaces:
  - {name: free, key_digests: [` + workspace.DigestOf("free-key").String() + `]}
  - {name: limited, key_digests: [` + workspace.DigestOf("limited-key").String() + `], rate: 5, burst: 5}
`
	tests := map[string]struct {
		key       string
		status    int
		after     string
		forwarded string
	}{
		"a key":            {key: "free-key", status: http.StatusOK, forwarded: "free"},
		"over the limit":   {key: "limited-key", status: http.StatusTooManyRequests, after: "1500"},
		"an unknown key":   {key: "other-key", status: http.StatusUnauthorized},
		"no key at all":    {status: http.StatusUnauthorized},
		"a claimed digest": {key: workspace.DigestOf("free-key").String(), status: http.StatusUnauthorized},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				links := &fakeLinks{all: answers}
				in, j := newIngressWith(t, links, workspaces)
				r := httptest.NewRequest(http.MethodGet, "/prices/1", nil)
				if test.key != "" {
					r.Header.Set(ingress.HeaderWorkspaceKey, test.key)
				}
				r.Header.Set(ingress.HeaderWorkspace, "claimed")
				w := httptest.NewRecorder()
				in.ServeHTTP(w, r)
				time.Sleep(time.Minute)
				assert.Equal(t, w.Code, test.status, w.Body.String())
				assert.Equal(t, w.Header().Get(ingress.HeaderRetryAfterMs), test.after)
				assert.Equal(t, links.header(ingress.HeaderWorkspace), test.forwarded)
				assert.Equal(t, links.header(ingress.HeaderWorkspaceKey), "")
				if test.status != http.StatusOK {
					explained := j.Find(history.Filter{Request: w.Header().Get(ingress.HeaderRequest)})
					assert.Assert(t, len(explained) == 1, "the journal does not explain the refusal")
					assert.Assert(t, test.key == "" || !strings.Contains(fmt.Sprint(explained), test.key), "the key is in the journal")
				}
			})
		})
	}
}
