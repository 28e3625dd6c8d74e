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

// TestDrainRefusesWhatCannotBeFinished: a request whose time reaches beyond the wait of the
// stop for work in hand is refused unsent.
//
// Callers that keep on coming hold a stop up to its end, and what came last was cut off
// there, as in the other way of running (package drain). Here nothing bounded what a drain
// takes but the end of its 60 s.
func TestDrainRefusesWhatCannotBeFinished(t *testing.T) {
	const grace = time.Minute
	tests := map[string]struct {
		// ago is how long ago the stop began.
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
