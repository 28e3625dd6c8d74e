package sidecar_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/standin"
)

// TestRequestThatEndsServers checks that a request during which the server crashed
// twice is refused as not run the third time, with and without a key, and that
// other requests are still served.
func TestRequestThatEndsServers(t *testing.T) {
	deadly := func(f *fixture, key string) *slatewindv1.RunRequest {
		r := f.request(key, slatewind.ClaimFirst)
		r.Target = []byte("/deadly")
		return r
	}
	tests := map[string]func(n int) string{
		"repeatable": func(int) string { return "" },
		"keyed":      func(n int) string { return "key-" + strings.Repeat("x", n) },
	}
	for name, key := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			crasher, err := standin.NewCrasher("127.0.0.1:0", f.server.Handler(), func(r *http.Request) bool { return r.URL.Path == "/deadly" }, 20*time.Millisecond)
			assert.NilError(t, err)
			t.Cleanup(crasher.Close)
			f.offer(2, crasher.Address())
			for n := 1; n <= 2; n++ {
				reply, err := f.run(deadly(f, key(n)))
				assert.NilError(t, err)
				assert.Equal(t, reply.Head.GetOutcome(), string(slatewind.OutcomeUnknown))
				for {
					reply, err = f.run(f.request("", ""))
					assert.NilError(t, err)
					if reply.Head.GetOutcome() == string(slatewind.OutcomeAnswer) {
						break
					}
				}
			}
			reply, err := f.run(deadly(f, key(3)))
			assert.NilError(t, err)
			assert.Equal(t, reply.Head.GetOutcome(), string(slatewind.OutcomeNotRun))
			assert.Assert(t, strings.Contains(reply.Head.GetReason(), "quarantined: 2 servers"), reply.Head.GetReason())
			assert.Equal(t, len(crasher.Crashes()), 2)
		})
	}
}
