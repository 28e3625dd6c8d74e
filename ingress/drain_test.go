package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/drain"
	"slatewind.example/slatewind/ingress"
)

// TestDrainRefusesWhatCannotBeFinished guards against requests being cut off at
// the end of a shutdown. Callers that keep sending requests prolong a shutdown
// to the end of its 60 s grace time, at which the last requests are aborted. A
// request whose timeout reaches beyond the time for completing requests is
// therefore refused before anything is sent (see package drain).
func TestDrainRefusesWhatCannotBeFinished(t *testing.T) {
	const grace = time.Minute
	tests := map[string]struct {
		// ago is how long ago the shutdown began.
		ago    time.Duration
		status int
	}{
		"just begun":      {0, http.StatusOK},
		"time is left":    {45 * time.Second, http.StatusOK},
		"no time is left": {49500 * time.Millisecond, http.StatusServiceUnavailable},
		"near the end":    {55 * time.Second, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			links := &fakeLinks{all: answers}
			in, _ := newIngress(t, links)
			in.Drain(drain.Schedule{Began: time.Now().Add(-test.ago), Grace: grace})
			w := httptest.NewRecorder()
			in.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/prices/1", nil))
			assert.Equal(t, w.Code, test.status)
			if test.status == http.StatusServiceUnavailable {
				assert.Equal(t, len(links.attempts), 0)
				assert.Equal(t, w.Header().Get(ingress.HeaderOutcome), string(slatewind.OutcomeNotRun))
				assert.Assert(t, w.Header().Get("Retry-After") != "")
			}
		})
	}
}
