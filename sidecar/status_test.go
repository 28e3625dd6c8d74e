package sidecar_test

import (
	"fmt"
	"net/http"
	"strings"
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

// TestNamesInAnswer checks that an answer with an invalid name of a field (RFC 9110, section 5.1) is none, and shows of no probe that
// the server is well.
func TestNamesInAnswer(t *testing.T) {
	tests := map[string]struct {
		before, fields, after string
		want                  slatewind.Outcome
	}{
		"valid":                          {fields: "X-A: b\r\nContent-Length: 4\r\n", after: "body", want: slatewind.OutcomeAnswer},
		"blank behind a name":            {fields: "X-A : b\r\nContent-Length: 4\r\n", after: "body", want: slatewind.OutcomeUnknown},
		"blank within a name":            {fields: "X A: b\r\nContent-Length: 4\r\n", after: "body", want: slatewind.OutcomeUnknown},
		"blank behind Content-Length":    {fields: "Content-Length : 4\r\n", after: "body", want: slatewind.OutcomeUnknown},
		"blank behind Transfer-Encoding": {fields: "Transfer-Encoding : chunked\r\n", after: "4\r\nbody\r\n0\r\n\r\n", want: slatewind.OutcomeUnknown},
		"second echo behind a blank":     {fields: sidecar.HeaderAttempt + " : other\r\nContent-Length: 4\r\n", after: "body", want: slatewind.OutcomeUnknown},
		"control byte":                   {fields: "X\x01: b\r\nContent-Length: 4\r\n", after: "body", want: slatewind.OutcomeUnknown},
		"tab":                            {fields: "X\t: b\r\nContent-Length: 4\r\n", after: "body", want: slatewind.OutcomeUnknown},
		"interim answer":                 {before: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", fields: "Content-Length: 4\r\n", after: "body", want: slatewind.OutcomeAnswer},
		"blank in an interim answer":     {before: "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n", fields: "Content-Length: 4\r\n", after: "body", want: slatewind.OutcomeUnknown},
		"trailer":                        {fields: "Transfer-Encoding: chunked\r\n", after: "4\r\nbody\r\n0\r\nX-A: b\r\n\r\n", want: slatewind.OutcomeAnswer},
		"blank in a trailer":             {fields: "Transfer-Encoding: chunked\r\n", after: "4\r\nbody\r\n0\r\nX A: b\r\n\r\n", want: slatewind.OutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewEarly("127.0.0.1:0", func(r *http.Request) string {
				return test.before + "HTTP/1.1 200 OK\r\n" + echo(r.Header.Get(sidecar.HeaderAttempt)) + "\r\n" + test.fields + "\r\n" + test.after
			}, standin.EndInOrder)
			assert.NilError(t, err)
			defer server.Close()
			f := newFixture(t, 5, nil)
			f.offer(2, server.Address())
			assert.Equal(t, f.outcome(f.request("", "")), test.want)
			_, err = sidecar.NewHTTPCaller().Probe(t.Context(), server.Address(), "/health")
			// A probe reads no body.
			assert.Equal(t, err == nil, test.want == slatewind.OutcomeAnswer || strings.HasSuffix(name, "trailer"), "%v", err)
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
