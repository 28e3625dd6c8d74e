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

// TestStatusOfAnswer checks that an answer without a final status (RFC 9110, section 15.2) is none.
func TestStatusOfAnswer(t *testing.T) {
	tests := map[string]slatewind.Outcome{
		"000": slatewind.OutcomeUnknown,
		"099": slatewind.OutcomeUnknown,
		"101": slatewind.OutcomeUnknown,
		"200": slatewind.OutcomeAnswer,
		"418": slatewind.OutcomeAnswer,
		"599": slatewind.OutcomeAnswer,
		"999": slatewind.OutcomeAnswer,
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
