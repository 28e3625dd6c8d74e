package headcheck_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/headcheck"
)

// TestResponse checks which answers are refused, by their heads or at the end of their bodies.
func TestResponse(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	tests := map[string]struct {
		fields, rest string
		head, body   string
	}{
		"no field":               {},
		"valid":                  {fields: "X-A: b\r\n!#$%&'*+.^_`|~0: c\r\n"},
		"blank behind":           {fields: "X-A: b\r\nX-B : c\r\n", head: `the name "X-B " of a field is invalid`},
		"blank within":           {fields: "X A: b\r\n", head: `the name "X A" of a field is invalid`},
		"long":                   {fields: strings.Repeat("a", 100) + " : b\r\n", head: "is invalid"},
		"valid trailer":          {fields: chunked, rest: "4\r\nbody\r\n0\r\nX-A: b\r\n\r\n"},
		"no trailer":             {fields: chunked, rest: "4\r\nbody\r\n0\r\n\r\n"},
		"blank in a trailer":     {fields: chunked, rest: "4\r\nbody\r\n0\r\nX A: b\r\n\r\n", body: "is invalid"},
		"announced, not in form": {fields: chunked + "Trailer: X-A\r\n", rest: "0\r\nX-A : b\r\n\r\n", body: "is invalid"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\n" + test.fields + "\r\n" + test.rest
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			err = headcheck.Response(response)
			if test.head != "" {
				assert.ErrorContains(t, err, test.head)
				return
			}
			assert.NilError(t, err)
			_, err = io.ReadAll(response.Body)
			if test.body != "" {
				assert.ErrorContains(t, err, test.body)
				return
			}
			assert.NilError(t, err)
		})
	}
}
