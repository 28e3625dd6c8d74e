package outbound_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/platform"
)

// TestRequestWithSeveralIDs checks that a request that states more than one id is rejected before it is sent to a server, with the
// field in the reason.
func TestRequestWithSeveralIDs(t *testing.T) {
	names := platform.Callers()
	for name, ids := range map[string][]string{"different": {"a", "b"}, "the same": {"a", "a"}, "empty": {"", ""}} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, "s")
			r, err := http.NewRequest(http.MethodPost, m.callers.URL+"/pay/1", http.NoBody)
			assert.NilError(t, err)
			r.Host = "h.example"
			r.Header[names.RequestID] = ids
			response, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusBadRequest)
			assert.Assert(t, strings.Contains(string(body), names.RequestID), "%s", body)
			assert.Equal(t, len(m.servers["s"].Runs()), 0)
		})
	}
}
