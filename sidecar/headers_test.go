package sidecar_test

import (
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/sidecar"
)

// TestFieldsOfConnectionStay checks that of the header of a server's answer only what is meant for the caller is passed on,
// and not what concerns the connection to the server.
func TestFieldsOfConnectionStay(t *testing.T) {
	tests := map[string]struct {
		fields []string
		want   []string
	}{
		"for the caller":          {[]string{"A: b", "A: c"}, []string{"A", "A"}},
		"named by Connection":     {[]string{"Connection: keep-alive, x-hop", "Connection: Other", "X-Hop: 1", "Other: 2", "A: b"}, []string{"A"}},
		"of the connection":       {[]string{"Keep-Alive: timeout=5", "Upgrade: h2c", "Trailer: T", "Proxy-Connection: close", "A: b"}, []string{"A"}},
		"read by the process":     {[]string{sidecar.HeaderDraining + ": true", "A: b"}, []string{"A"}},
		"Connection names length": {[]string{"Connection: Content-Length, A", "A: b"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRepeater("127.0.0.1:0", func(r *http.Request) string {
				id := r.Header.Get(sidecar.HeaderAttempt)
				return answerText(id, append([]string{echo(id)}, tt.fields...)...)
			}, standin.SameAnswer)
			assert.NilError(t, err)
			defer server.Close()
			f := newFixture(t, 5, nil)
			f.offer(2, server.Address())
			reply, err := f.run(f.request("", ""))
			assert.NilError(t, err)
			assert.Equal(t, string(reply.Body), "attempt-1")
			var names []string
			for _, h := range reply.Head.GetHeaders() {
				names = append(names, h.GetName())
			}
			slices.Sort(names)
			assert.DeepEqual(t, names, tt.want)
		})
	}
}
