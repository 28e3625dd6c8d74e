package backend

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSecondAnswerInBody checks that a body without a stated length that contains another answer fails while it is read,
// wherever its parts are divided, and that other bodies pass unchanged.
func TestSecondAnswerInBody(t *testing.T) {
	const idLine = "Request-Id: id-1\r\n"
	const own = "HTTP/1.1 200 OK\r\n" + idLine + "Server-Stamp: s\r\n\r\n"
	tests := map[string]struct {
		body   string
		second bool
	}{
		"a copy":                       {"body" + own + "body", true},
		"a copy of the head":           {own, true},
		"behind a line":                {"body\n" + own + "body", true},
		"of another request":           {"body" + strings.Replace(own, "id-1", "other", 1) + "other", true},
		"a rejection":                  {"body" + "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nRequest-Id: other\r\n\r\n", true},
		"without ID":                   {"body" + strings.Replace(own, idLine, "", 1) + "body", true},
		"HTTP/1.0":                     {"body" + strings.Replace(own, "1.1", "1.0", 1), true},
		"without a reason":             {"body" + strings.Replace(own, " OK", "", 1), true},
		"line feeds only":              {"body" + strings.ReplaceAll(own, "\r\n", "\n"), true},
		"another spelling":             {"body" + strings.Replace(own, "Request-Id", "request-ID", 1), true},
		"continued field":              {"bodyHTTP/1.1 200 OK\r\nA: b\r\n c\r\n" + idLine + "\r\n", true},
		"long field before":            {"bodyHTTP/1.1 200 OK\r\n" + strings.Repeat("A", 100) + ": b\r\n" + idLine + "\r\n", true},
		"behind what looks like one":   {"HTTP/1.1 200 no fields\nHHTTP/1.1 2 HTTP/1.1 200 OK\r\n" + idLine + "\r\n", true},
		"an interim answer before":     {"HTTP/1.1 103 Early Hints\r\n\r\n" + own, true},
		"cut off behind the ID's name": {"body" + "HTTP/1.1 200 OK\r\nRequest-Id:", true},
		"blanks behind the names":      {"body" + strings.ReplaceAll(own, ":", " :"), true},
		"a blank within a name before": {"bodyHTTP/1.1 200 OK\r\nA b: c\r\n" + idLine + "\r\n", true},
		"no other":                     {"long enough!", false},
		"empty":                        {"", false},
		"a status line":                {"see HTTP/1.1 200 OK", false},
		"a head without ID":            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nRequest-Id: a", false},
		"no fields":                    {"HTTP/1.1 200 OK\r\nsome text\r\nRequest-Id: a", false},
		"field without status line":    {"HTTP/1.1 OK\r\nRequest-Id: a\r\n\r\n", false},
		"ID in a value":                {"HTTP/1.1 200 OK\r\nA: Request-Id: a\r\n\r\n", false},
		"longer name":                  {"HTTP/1.1 200 OK\r\nRequest-Ids: a\r\n\r\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for cut := range len(test.body) + 1 {
				found := 0
				parts := io.MultiReader(strings.NewReader(test.body[:cut]), strings.NewReader(test.body[cut:]))
				body, err := io.ReadAll(newUnframedBody(io.NopCloser(parts), func() { found++ }, "Request-Id", "Server-Stamp"))
				if test.second {
					assert.ErrorIs(t, err, ErrMalformedAnswer, "divided at %d: %q", cut, body)
					assert.Equal(t, found, 1)
					continue
				}
				assert.NilError(t, err, "divided at %d", cut)
				assert.Equal(t, found, 0)
				assert.Equal(t, string(body), test.body, "divided at %d", cut)
			}
		})
	}
}

// TestSecondAnswerStaysAnError checks that a body goes on to fail after a second answer was found in it.
func TestSecondAnswerStaysAnError(t *testing.T) {
	body := newUnframedBody(io.NopCloser(strings.NewReader("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\nbody")), func() {}, "Server-Stamp")
	_, err := io.ReadAll(body)
	assert.ErrorIs(t, err, ErrMalformedAnswer)
	n, err := body.Read(make([]byte, 32))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, ErrMalformedAnswer)
}
