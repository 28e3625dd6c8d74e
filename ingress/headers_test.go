package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/ingress"
)

// TestServerStatesFieldsOfFleet checks that a server cannot state for the fleet what became of a request: it may pass on the
// header of an answer that it got itself from the fleet, to another request.
func TestServerStatesFieldsOfFleet(t *testing.T) {
	const other = "other"
	links := &fakeLinks{all: answers}
	names := []string{ingress.HeaderOutcome, ingress.HeaderRequest, ingress.HeaderServer, ingress.HeaderReplayed}
	for _, name := range names {
		links.headers = append(links.headers, &slatewindv1.Header{Name: name, Value: []byte(other)})
	}
	links.headers = append(links.headers, &slatewindv1.Header{Name: "Retry-After", Value: []byte("1")})
	in, _ := newIngress(t, links)
	w := httptest.NewRecorder()
	in.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/prices/1", http.NoBody))
	assert.Equal(t, w.Code, http.StatusOK)
	for _, name := range names {
		for _, value := range w.Header().Values(name) {
			assert.Check(t, value != other, name)
		}
	}
	assert.Equal(t, len(w.Header().Values(ingress.HeaderRequest)), 1)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
}
