package inbound_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/platform"
)

// TestTimeoutAnswer checks the breaker of a server that answers requests with status 504: at the end of the time that it was
// handed, which may be shorter than its usual work, or at once.
func TestTimeoutAnswer(t *testing.T) {
	const allowed = 40 * time.Millisecond
	tests := map[string]struct {
		after time.Duration
		state breaker.State
	}{
		"when their time is over": {allowed + 5*time.Millisecond, breaker.StateClosed},
		"at once":                 {0, breaker.StateOpen},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixtureFor(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(platform.Servers().RequestID, r.Header.Get(platform.Servers().RequestID))
				time.Sleep(test.after)
				w.WriteHeader(http.StatusGatewayTimeout)
			}))
			for range 3 {
				r := reservation()
				r.RemainingMs = uint32(allowed.Milliseconds())
				p.run(r, "a")
			}
			assert.Equal(t, p.View().Breaker, test.state)
		})
	}
}
