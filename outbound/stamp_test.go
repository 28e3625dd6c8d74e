package outbound_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/platform"
)

// TestStampNamedByConnection guards against a success without the server's stamp or the request's ID, which were dropped since the
// server's Connection field names them.
func TestStampNamedByConnection(t *testing.T) {
	names := platform.Servers()
	for _, field := range []string{names.Stamp, names.RequestID} {
		t.Run(field, func(t *testing.T) {
			m := newMesh(t)
			m.addServer(t, "s", "svc", answerWith(200, "Connection: keep-alive, "+field+"\r\nContent-Length: 2\r\n\r\nok"))
			r, err := http.NewRequest(http.MethodPost, m.callers.URL+"/pay/1", http.NoBody)
			assert.NilError(t, err)
			r.Host = "h.example"
			r.Header.Set(platform.Callers().RequestID, "id")
			response, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, response.Header.Get(names.Stamp), "stamp")
			assert.Equal(t, response.Header.Get(names.RequestID), "id")
		})
	}
}
