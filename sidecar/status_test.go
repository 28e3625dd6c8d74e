package sidecar_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/sidecar"
)

// TestStatusOfAnswer checks that an answer without a final status (RFC 9110, section 15) is none.
func TestStatusOfAnswer(t *testing.T) {
	tests := map[string]slatewind.Outcome{
		"000": slatewind.OutcomeUnknown,
		"099": slatewind.OutcomeUnknown,
		"101": slatewind.OutcomeUnknown,
		"200": slatewind.OutcomeAnswer,
		"418": slatewind.OutcomeAnswer,
		"599": slatewind.OutcomeAnswer,
		"600": slatewind.OutcomeUnknown,
		"700": slatewind.OutcomeUnknown,
		"999": slatewind.OutcomeUnknown,
	}
	for status, want := range tests {
		t.Run(status, func(t *testing.T) {
			server, err := standin.NewRepeater("127.0.0.1:0", func(r *http.Request) string {
				return fmt.Sprintf("HTTP/1.1 %s Text\r\n%s\r\nContent-Length: 0\r\n\r\n", status, echo(r.Header.Get(sidecar.HeaderAttempt)))
			}, standin.SameAnswer)
			assert.NilError(t, err)
			defer server.Close()
			f := newFixture(t, 5, nil)
			f.offer(2, server.Address())
			assert.Equal(t, f.outcome(f.request("", "")), want)
		})
	}
}

// TestStatusOfProbe checks which answers to a probe show that the server is well.
func TestStatusOfProbe(t *testing.T) {
	tests := map[string]bool{
		"000": false, "099": false, "101": false, "200": true, "404": true, "499": true, "500": false, "599": false, "600": false, "700": false,
	}
	for status, well := range tests {
		t.Run(status, func(t *testing.T) {
			server, err := standin.NewEarly("127.0.0.1:0", func(*http.Request) string {
				return "HTTP/1.1 " + status + " Text\r\nContent-Length: 0\r\n\r\n"
			}, standin.EndInOrder)
			assert.NilError(t, err)
			defer server.Close()
			_, err = sidecar.NewHTTPCaller().Probe(t.Context(), server.Address(), "/health")
			assert.Equal(t, err == nil, well, "%v", err)
		})
	}
}
