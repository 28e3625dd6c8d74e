package sidecar_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/sidecar"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const incarnation = 1<<24 | 1

// fixture is a sidecar in front of one stand-in server.
type fixture struct {
	t       *testing.T
	sidecar *sidecar.Sidecar
	store   *config.Store
	server  *standin.Server
	journal *history.Journal
	slots   int
	next    int
}

func newFixture(t *testing.T, slots int, handler func(*standin.Server) http.Handler) *fixture {
	t.Helper()
	server := standin.NewServer("s", slots, time.Millisecond, 0)
	h := server.Handler()
	if handler != nil {
		h = handler(server)
	}
	listener := httptest.NewServer(h)
	f := &fixture{t: t, server: server, journal: history.New(0, nil), slots: slots}
	f.store = config.NewStore(history.New(0, nil))
	caller := sidecar.NewHTTPCaller()
	t.Cleanup(func() {
		caller.CloseIdle()
		listener.Close()
	})
	f.sidecar = sidecar.New("vm", incarnation, sidecar.Limits{}, f.store, f.journal, caller, quarantine.NewTable(nil, nil))
	f.offer(1, strings.TrimPrefix(listener.URL, "http://"))
	return f
}

func (f *fixture) offer(revision uint64, address string) {
	text := fmt.Sprintf(`
services:
  - {name: kassa, floor: 0, slots: %d, servers: [{name: s, vm: vm, address: "%s"}]}
routes:
  - {name: price, path_prefix: /, service: kassa, kind: repeatable}
`, f.slots, address)
	changed, err := f.store.Offer(time.Now(), "test", slatewind.Revision{Number: revision}, []byte(text))
	assert.NilError(f.t, err)
	assert.Assert(f.t, changed)
	f.sidecar.Update(time.Now(), f.store.Current())
}

func (f *fixture) request(key string, claim slatewind.Claim) *slatewindv1.RunRequest {
	f.next++
	r := &slatewindv1.RunRequest{
		AttemptId: fmt.Sprint("attempt-", f.next), Incarnation: incarnation, RemainingNanos: int64(5 * time.Second),
		Service: "kassa", Server: "s", Route: "price", Method: http.MethodPost, Target: []byte("/payments"), Host: "kassa",
	}
	if key != "" {
		r.Headers = []*slatewindv1.Header{{Name: "Idempotency-Key", Value: []byte(key)}}
		r.Once = &slatewindv1.Once{
			Key: key, Fingerprint: 1, Claim: string(claim), Home: true, Owners: f.store.Current().Owners["kassa"],
		}
	}
	return r
}

// run sends an attempt and assembles its reply.
func (f *fixture) run(r *slatewindv1.RunRequest) (*link.Reply, error) {
	var parts []*slatewindv1.RunReply
	sent := f.sidecar.Run(f.t.Context(), r, func(part *slatewindv1.RunReply) error {
		parts = append(parts, part)
		return nil
	})
	return link.ReadReply(r.GetAttemptId(), func() (*slatewindv1.RunReply, error) {
		if len(parts) == 0 {
			if sent != nil {
				return nil, sent
			}
			return nil, io.EOF
		}
		part := parts[0]
		parts = parts[1:]
		return part, nil
	})
}

func (f *fixture) outcome(r *slatewindv1.RunRequest) slatewind.Outcome {
	f.t.Helper()
	reply, err := f.run(r)
	assert.NilError(f.t, err)
	return slatewind.Outcome(reply.Head.GetOutcome())
}

// TestOnceIsNotRepeatedByTheHTTPClient guards against a second run of a
// once-request when the server closes a kept-alive connection after running it.
// Go's HTTP client resends a request with an idempotency key by itself in this
// case; the sidecar's client must not.
func TestOnceIsNotRepeatedByTheHTTPClient(t *testing.T) {
	f := newFixture(t, 5, nil)
	assert.Equal(t, f.outcome(f.request("warm", slatewind.ClaimFirst)), slatewind.OutcomeAnswer)
	f.server.SetFault(standin.FaultDropAnswer, 1)
	for n := range 5 {
		key := fmt.Sprint("key-", n)
		assert.Equal(t, f.outcome(f.request(key, slatewind.ClaimFirst)), slatewind.OutcomeUnknown)
		assert.Equal(t, f.server.Runs()[key], 1)
	}
}

// TestAnswersAreCompleteOrFailures checks that a truncated, foreign or missing
// answer of a server is never reported as a complete answer.
func TestAnswersAreCompleteOrFailures(t *testing.T) {
	tests := map[string]struct {
		fault standin.Fault
		pad   int
		// outcome is the outcome reported to the ingress; empty if the reply has no
		// end.
		outcome slatewind.Outcome
	}{
		"whole":           {outcome: slatewind.OutcomeAnswer},
		"whole and long":  {pad: 3 << 20, outcome: slatewind.OutcomeAnswer},
		"truncated":       {fault: standin.FaultTruncate, outcome: slatewind.OutcomeUnknown},
		"truncated, long": {fault: standin.FaultTruncate, pad: 4 << 20},
		"crossed":         {fault: standin.FaultCrossed, outcome: slatewind.OutcomeUnknown},
		"dropped":         {fault: standin.FaultDropAnswer, outcome: slatewind.OutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 5, nil)
			f.server.SetFault(tt.fault, 1)
			r := f.request("", "")
			r.Headers = []*slatewindv1.Header{{Name: standin.HeaderNonce, Value: []byte("own")}, {Name: standin.HeaderPad, Value: []byte(fmt.Sprint(tt.pad))}}
			reply, err := f.run(r)
			if err == nil {
				assert.Equal(t, slatewind.Outcome(reply.Head.GetOutcome()), orAnswer(tt.outcome))
			}
			body, whole := readRest(reply, err)
			assert.Equal(t, whole, tt.outcome != "")
			if tt.outcome == slatewind.OutcomeAnswer {
				assert.Assert(t, strings.Contains(body, "nonce=own ") && strings.HasSuffix(body, "end\n"))
				assert.Assert(t, len(body) > tt.pad)
			}
		})
	}
}

// orAnswer returns OutcomeAnswer for the empty outcome, since the head of a reply
// that breaks off later reports an answer.
func orAnswer(outcome slatewind.Outcome) slatewind.Outcome {
	if outcome == "" {
		return slatewind.OutcomeAnswer
	}
	return outcome
}

// readRest reads the rest of a long reply; whole reports that its end was received.
func readRest(reply *link.Reply, err error) (body string, whole bool) {
	if err != nil {
		return "", false
	}
	body = string(reply.Body)
	for reply.Rest != nil {
		chunk, err := reply.Rest()
		if errors.Is(err, io.EOF) {
			return body, true
		}
		if err != nil {
			return body, false
		}
		body += string(chunk)
	}
	return body, true
}

// TestRefusalsProveThatNothingRan checks for each way of refusing an attempt that
// the server did not receive the request.
func TestRefusalsProveThatNothingRan(t *testing.T) {
	tests := map[string]struct {
		prepare func(*fixture, *slatewindv1.RunRequest)
		outcome slatewind.Outcome
	}{
		"earlier incarnation": {
			prepare: func(_ *fixture, r *slatewindv1.RunRequest) { r.Incarnation = 1 },
			outcome: slatewind.OutcomeNotRun,
		},
		"cancelled before it arrived": {
			prepare: func(f *fixture, r *slatewindv1.RunRequest) {
				reply, err := f.sidecar.Cancel(f.t.Context(), &slatewindv1.CancelRequest{
					AttemptId: r.GetAttemptId(), Incarnation: incarnation, Service: "kassa", Server: "s", Once: r.GetOnce(),
				})
				assert.NilError(f.t, err)
				assert.Equal(f.t, slatewind.CancelState(reply.GetState()), slatewind.CancelNotStarted)
			},
			outcome: slatewind.OutcomeNotRun,
		},
		"leaving": {
			prepare: func(f *fixture, _ *slatewindv1.RunRequest) { f.sidecar.Leave(time.Now(), "test") },
			outcome: slatewind.OutcomeNotRun,
		},
		"no time left": {
			prepare: func(_ *fixture, r *slatewindv1.RunRequest) { r.RemainingNanos = 0 },
			outcome: slatewind.OutcomeNotRun,
		},
		"unknown server": {
			prepare: func(_ *fixture, r *slatewindv1.RunRequest) { r.Server = "other" },
			outcome: slatewind.OutcomeNotRun,
		},
		"server not listening": {
			prepare: func(f *fixture, _ *slatewindv1.RunRequest) { f.offer(2, "127.0.0.1:1") },
			outcome: slatewind.OutcomeNotRun,
		},
		"other servers in the ingress's settings": {
			prepare: func(_ *fixture, r *slatewindv1.RunRequest) { r.Once.Owners++ },
			outcome: slatewind.OutcomeNotRun,
		},
		"retry without a record": {
			prepare: func(_ *fixture, r *slatewindv1.RunRequest) { r.Once.Claim = string(slatewind.ClaimRetry) },
			outcome: slatewind.OutcomeUnknown,
		},
		"unnumbered, key older than the memory": {
			prepare: func(_ *fixture, r *slatewindv1.RunRequest) { r.Once.Claim = string(slatewind.ClaimUnnumbered) },
			outcome: slatewind.OutcomeUnknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 5, nil)
			r := f.request("key", slatewind.ClaimFirst)
			tt.prepare(f, r)
			assert.Equal(t, f.outcome(r), tt.outcome)
			assert.Equal(t, f.server.Total(), 0)
		})
	}
}

// TestKeyWithAnotherBodyIsRefused checks that another request with the same key
// does not get the stored answer of the first one.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	f := newFixture(t, 5, nil)
	assert.Equal(t, f.outcome(f.request("key", slatewind.ClaimFirst)), slatewind.OutcomeAnswer)
	other := f.request("key", slatewind.ClaimJoin)
	other.Once.Fingerprint = 2
	assert.Equal(t, f.outcome(other), slatewind.OutcomeMismatch)
	assert.Equal(t, f.server.Runs()["key"], 1)
}

// TestRetriesJoinAndReplay checks that concurrent attempts for one key cause one
// run and get the same answer.
func TestRetriesJoinAndReplay(t *testing.T) {
	f := newFixture(t, 5, nil)
	requests := make([]*slatewindv1.RunRequest, 10)
	for i := range requests {
		requests[i] = f.request("key", slatewind.ClaimFirst)
	}
	bodies := make([]string, len(requests))
	var group sync.WaitGroup
	for i, r := range requests {
		group.Go(func() {
			reply, err := f.run(r)
			assert.Check(t, err)
			bodies[i] = string(reply.Body)
		})
	}
	group.Wait()
	assert.Equal(t, f.server.Runs()["key"], 1)
	for _, body := range bodies {
		assert.Equal(t, body, bodies[0])
	}
}

// TestStaleIncarnationLeavesTheKeyFree checks that an attempt refused because of
// an outdated incarnation does not revoke its key: the ingress sends the attempt
// again with the current incarnation, and it runs.
func TestStaleIncarnationLeavesTheKeyFree(t *testing.T) {
	f := newFixture(t, 5, nil)
	stale := f.request("key", slatewind.ClaimFirst)
	stale.Incarnation = 0
	assert.Equal(t, f.outcome(stale), slatewind.OutcomeNotRun)
	assert.Equal(t, f.outcome(f.request("key", slatewind.ClaimFirst)), slatewind.OutcomeAnswer)
}

// TestDuplicateAttemptIsNotReportedNotRun checks that the second arrival of an
// attempt is answered as unknown, since the first one may have run.
func TestDuplicateAttemptIsNotReportedNotRun(t *testing.T) {
	f := newFixture(t, 5, nil)
	r := f.request("", "")
	assert.Equal(t, f.outcome(r), slatewind.OutcomeAnswer)
	assert.Equal(t, f.outcome(r), slatewind.OutcomeUnknown)
	assert.Equal(t, f.server.Total(), 1)
}

// TestDrainCutsOffNothing begins a drain while one request runs and another is
// queued. The running one gets its complete answer; the queued one is refused as
// not run.
func TestDrainCutsOffNothing(t *testing.T) {
	entered := make(chan struct{})
	proceed := make(chan struct{})
	f := newFixture(t, 1, func(s *standin.Server) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(entered)
			<-proceed
			s.Handler().ServeHTTP(w, r)
		})
	})
	running, waiting := f.request("", ""), f.request("", "")
	outcomes := make(chan slatewind.Outcome, 2)
	go func() { outcomes <- f.outcome(running) }()
	<-entered
	go func() { outcomes <- f.outcome(waiting) }()
	for f.sidecar.View().Servers[0].Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	f.sidecar.Leave(time.Now(), "test")
	assert.Equal(t, <-outcomes, slatewind.OutcomeNotRun)
	assert.Equal(t, f.sidecar.Running(), 1)
	close(proceed)
	assert.Equal(t, <-outcomes, slatewind.OutcomeAnswer)
}

// TestRecordsAreUsedWhileLeaving checks that a leaving sidecar still replays the
// answers of requests that it ran.
func TestRecordsAreUsedWhileLeaving(t *testing.T) {
	f := newFixture(t, 5, nil)
	assert.Equal(t, f.outcome(f.request("key", slatewind.ClaimFirst)), slatewind.OutcomeAnswer)
	f.sidecar.Leave(time.Now(), "test")
	assert.Equal(t, f.outcome(f.request("key", slatewind.ClaimJoin)), slatewind.OutcomeAnswer)
	assert.Equal(t, f.server.Runs()["key"], 1)
}

// TestOnceRunContinuesWithoutIngress checks that a once-request continues when the
// ingress disconnects, and that its answer is kept for the retry.
func TestOnceRunContinuesWithoutIngress(t *testing.T) {
	entered := make(chan struct{})
	proceed := make(chan struct{})
	f := newFixture(t, 5, func(s *standin.Server) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(entered)
			<-proceed
			s.Handler().ServeHTTP(w, r)
		})
	})
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan error)
	r := f.request("key", slatewind.ClaimFirst)
	go func() { ended <- f.sidecar.Run(ctx, r, func(*slatewindv1.RunReply) error { return ctx.Err() }) }()
	<-entered
	leave()
	close(proceed)
	assert.ErrorIs(t, <-ended, context.Canceled)
	assert.Equal(t, f.outcome(f.request("key", slatewind.ClaimJoin)), slatewind.OutcomeAnswer)
	assert.Equal(t, f.server.Runs()["key"], 1)
}
