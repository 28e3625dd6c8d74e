package sidecar_test

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
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/sidecar"
)

// answerText returns an answer with a length and with header fields.
func answerText(body string, fields ...string) string {
	var head strings.Builder
	for _, field := range fields {
		head.WriteString(field + "\r\n")
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head.String(), len(body), body)
}

// echo returns the field with which a server echoes the ID of an attempt.
func echo(id string) string { return sidecar.HeaderAttempt + ": " + id }

// ownAnswer answers with the ID of the attempt in the body.
func ownAnswer(r *http.Request) string { return answerText(r.Header.Get(sidecar.HeaderAttempt)) }

// ownEchoedAnswer answers with the ID of the attempt in the body and in its field.
func ownEchoedAnswer(r *http.Request) string {
	id := r.Header.Get(sidecar.HeaderAttempt)
	return answerText(id, echo(id))
}

// echoesOnce returns a server's answers of which only the first is echoed.
func echoesOnce() func(*http.Request) string {
	var answers atomic.Int32
	return func(r *http.Request) string {
		if answers.Add(1) == 1 {
			return ownEchoedAnswer(r)
		}
		return ownAnswer(r)
	}
}

// callFor sends an attempt and returns the body of its answer.
func callFor(ctx context.Context, caller *sidecar.HTTPCaller, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	answer, _, err := caller.Call(ctx, address, &slatewindv1.RunRequest{AttemptId: id, Method: http.MethodPost, Target: []byte("/x"), Body: []byte("b")})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, _, err := answer.ReadUpTo(1 << 20)
	return string(body), err
}

// received is what an attempt got from a server.
type received string

const (
	receivedOwn     received = "own answer"
	receivedForeign received = "another attempt's answer"
	receivedNone    received = "no answer"
)

// receive sends an attempt to a server whose answers carry the ID of their attempt in the body.
func receive(ctx context.Context, caller *sidecar.HTTPCaller, address, id string) received {
	body, err := callFor(ctx, caller, address, id)
	switch {
	case err != nil:
		return receivedNone
	case body == id:
		return receivedOwn
	}
	return receivedForeign
}

// TestAnswersOfOtherAttempts checks that no attempt gets the answer of another one, and that a copied answer
// costs no more than the attempt that reads it.
func TestAnswersOfOtherAttempts(t *testing.T) {
	const attempts = 20
	echoed := func(last string, next *http.Request) string {
		id := last[strings.LastIndexByte(last, '\n')+1:]
		return answerText(id, echo(next.Header.Get(sidecar.HeaderAttempt)), echo(id))
	}
	tests := map[string]struct {
		answer func(*http.Request) string
		copied func(last string, next *http.Request) string
		// own is the least number of attempts that get their own answers.
		own int
	}{
		"no echo":                       {ownAnswer, standin.SameAnswer, attempts},
		"empty echo":                    {func(r *http.Request) string { return answerText(r.Header.Get(sidecar.HeaderAttempt), echo("")) }, standin.SameAnswer, attempts},
		"copy with echo":                {ownEchoedAnswer, standin.SameAnswer, attempts - 1},
		"copy without echo":             {ownEchoedAnswer, func(string, *http.Request) string { return answerText("copy") }, attempts - 1},
		"copy with echo, empty body":    {ownEchoedAnswer, func(string, *http.Request) string { return answerText("", echo("nobody")) }, attempts - 1},
		"copy without echo, empty body": {ownEchoedAnswer, func(string, *http.Request) string { return answerText("") }, attempts - 1},
		"copy without a body": {ownEchoedAnswer, func(string, *http.Request) string {
			return "HTTP/1.1 204 No Content\r\n" + echo("nobody") + "\r\n\r\n"
		}, attempts - 1},
		"copy with the echoes of both":       {ownEchoedAnswer, echoed, attempts - 1},
		"replaced by a server without echo":  {echoesOnce(), standin.SameAnswer, attempts - 1},
		"answers twice before the next read": {func(r *http.Request) string { return ownAnswer(r) + ownAnswer(r) }, standin.SameAnswer, attempts},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRepeater("127.0.0.1:0", tt.answer, tt.copied)
			assert.NilError(t, err)
			defer server.Close()
			caller := sidecar.NewHTTPCaller()
			defer caller.CloseIdle()
			got := map[received]int{}
			for n := range attempts {
				got[receive(t.Context(), caller, server.Address(), fmt.Sprint("a-", n))]++
			}
			t.Log(got)
			assert.Equal(t, got[receivedForeign], 0)
			assert.Assert(t, got[receivedOwn] >= tt.own, "%d attempts got their own answers, want %d", got[receivedOwn], tt.own)
		})
	}
}

// TestAnswersOfOtherAttemptsInParallel checks that no attempt gets the answer of another one if several use the
// connections to a server.
func TestAnswersOfOtherAttemptsInParallel(t *testing.T) {
	const callers, attempts = 8, 30
	tests := map[string]func(*http.Request) string{"echo": ownEchoedAnswer, "no echo": ownAnswer}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRepeater("127.0.0.1:0", answer, standin.SameAnswer)
			assert.NilError(t, err)
			defer server.Close()
			caller := sidecar.NewHTTPCaller()
			defer caller.CloseIdle()
			var foreign, own atomic.Int32
			var group sync.WaitGroup
			for c := range callers {
				group.Go(func() {
					for n := range attempts {
						switch receive(t.Context(), caller, server.Address(), fmt.Sprintf("a-%d-%d", c, n)) {
						case receivedForeign:
							foreign.Add(1)
						case receivedOwn:
							own.Add(1)
						}
					}
				})
			}
			group.Wait()
			assert.Equal(t, foreign.Load(), int32(0))
			// Each connection that is kept fails one attempt.
			assert.Assert(t, own.Load() >= callers*attempts-callers, "%d attempts got their own answers", own.Load())
		})
	}
}

// BenchmarkCall measures calls of servers that echo the ID of the attempt and of servers that do not.
func BenchmarkCall(b *testing.B) {
	for name, echoes := range map[string]bool{"echo": true, "no echo": false} {
		b.Run(name, func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if echoes {
					w.Header().Set(sidecar.HeaderAttempt, r.Header.Get(sidecar.HeaderAttempt))
				}
				_, _ = io.WriteString(w, "answer")
			}))
			defer server.Close()
			caller := sidecar.NewHTTPCaller()
			defer caller.CloseIdle()
			address := strings.TrimPrefix(server.URL, "http://")
			var attempts atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_, err := callFor(b.Context(), caller, address, fmt.Sprint("a-", attempts.Add(1)))
					assert.Check(b, err)
				}
			})
		})
	}
}

// TestProbesAndAttemptsAreNotCrossed checks that no copy of an attempt's answer is taken for the result of a probe, nor
// the other way around.
func TestProbesAndAttemptsAreNotCrossed(t *testing.T) {
	const healthPath = "/health"
	fields := map[string]func(id string) []string{
		"no echo": func(string) []string { return nil },
		"echo":    func(id string) []string { return []string{echo(id)} },
	}
	draining := sidecar.HeaderDraining + ": true"
	tests := map[string]struct {
		drainingPath string
		probeFirst   bool
	}{
		"draining answer, probe":        {drainingPath: "/x"},
		"answer, draining probe":        {drainingPath: healthPath},
		"probe, draining answer, probe": {drainingPath: "/x", probeFirst: true},
		"draining probe, answer, probe": {drainingPath: healthPath, probeFirst: true},
	}
	for name, tt := range tests {
		for server, fieldsOf := range fields {
			t.Run(name+", "+server, func(t *testing.T) {
				server, err := standin.NewRepeater("127.0.0.1:0", func(r *http.Request) string {
					id := r.Header.Get(sidecar.HeaderAttempt)
					list := fieldsOf(id)
					if r.URL.Path == tt.drainingPath {
						list = append(list, draining)
					}
					return answerText(id, list...)
				}, standin.SameAnswer)
				assert.NilError(t, err)
				defer server.Close()
				caller := sidecar.NewHTTPCaller()
				defer caller.CloseIdle()
				probe := func() {
					got, err := caller.Probe(t.Context(), server.Address(), healthPath)
					assert.NilError(t, err)
					assert.Equal(t, got, tt.drainingPath == healthPath)
				}
				if tt.probeFirst {
					probe()
				}
				assert.Equal(t, receive(t.Context(), caller, server.Address(), "a-1"), receivedOwn)
				probe()
			})
		}
	}
}

// TestDroppedAnswersAreRecorded checks that the journal tells of an answer that was dropped to which attempt it came, which
// IDs it carried, its status and whether its connection had been used before.
func TestDroppedAnswersAreRecorded(t *testing.T) {
	tests := map[string]struct {
		copied   func(last string, next *http.Request) string
		evidence string
	}{
		"with echo":    {standin.SameAnswer, `attempt=attempt-2 echoed="attempt-1" status=200 reused=true`},
		"without echo": {func(string, *http.Request) string { return answerText("copy") }, `attempt=attempt-2 echoed="" status=200 reused=true`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRepeater("127.0.0.1:0", ownEchoedAnswer, tt.copied)
			assert.NilError(t, err)
			defer server.Close()
			f := newFixture(t, 5, nil)
			f.offer(2, server.Address())
			assert.Equal(t, f.outcome(f.request("", "")), slatewind.OutcomeAnswer)
			assert.Equal(t, f.outcome(f.request("", "")), slatewind.OutcomeUnknown)
			assert.Equal(t, f.outcome(f.request("", "")), slatewind.OutcomeAnswer)
			dropped := f.journal.Find(history.Filter{Server: "s"})
			assert.Equal(t, len(dropped), 1)
			assert.Equal(t, dropped[0].Kind, slatewind.DecisionDropReply)
			assert.Equal(t, dropped[0].Evidence, tt.evidence)
		})
	}
}
