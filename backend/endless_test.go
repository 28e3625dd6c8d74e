package backend_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/internal/standin"
)

// TestBytesWithoutEnd checks that an answer whose head, or what must be read before it, never ends fails soon after a
// bounded number of bytes, and that its error is short.
func TestBytesWithoutEnd(t *testing.T) {
	const maxTime, maxSent, maxText = 2 * time.Second, 16 << 20, 500
	same := standin.Same
	long := strings.Repeat("a", 1<<14)
	tests := map[string]struct {
		first string
		part  func(i int) string
		err   error
	}{
		"no answer":             {"", same(long), backend.ErrMalformedAnswer},
		"status line":           {"HTTP/1.1 200 ", same(long), backend.ErrMalformedAnswer},
		"one field":             {"HTTP/1.1 200 OK\r\nA: ", same(long), backend.ErrMalformedAnswer},
		"one field, continued":  {"HTTP/1.1 200 OK\r\nA: b", same("\r\n " + long), backend.ErrMalformedAnswer},
		"fields of one name":    {"HTTP/1.1 200 OK\r\n", same("A: b\r\n"), backend.ErrMalformedAnswer},
		"fields of many names":  {"HTTP/1.1 200 OK\r\n", func(i int) string { return fmt.Sprintf("A%d: b\r\n", i) }, backend.ErrMalformedAnswer},
		"interim answers":       {"", same("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"), backend.ErrForeignAnswer},
		"long interim answers":  {"", same("HTTP/1.1 103 Early Hints\r\nLink: " + long + "\r\n\r\n"), backend.ErrForeignAnswer},
		"a foreign answer":      {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", same("4000\r\n" + long + "\r\n"), backend.ErrForeignAnswer},
		"foreign answers":       {"", same("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n"), backend.ErrForeignAnswer},
		"long foreign answers":  {"", same("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nContent-Length: 16384\r\n\r\n" + long), backend.ErrForeignAnswer},
		"answers without ID":    {"", same("HTTP/1.1 500 Error\r\nContent-Length: 16384\r\n\r\n" + long), backend.ErrForeignAnswer},
		"zeros":                 {"", same(strings.Repeat("\x00", 1<<14)), backend.ErrMalformedAnswer},
		"line ends":             {"", same(strings.Repeat("\r\n", 1<<13)), backend.ErrMalformedAnswer},
		"a malformed long line": {"", same(strings.Repeat("b", 3<<14) + "\r\n"), backend.ErrMalformedAnswer},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewEndless("127.0.0.1:0", test.first, test.part)
			assert.NilError(t, err)
			defer server.Close()
			before := allocated()
			began := time.Now()
			_, _, err = do(backend.NewPool(server.Address(), dialect), "id-1")
			assert.ErrorIs(t, err, test.err)
			assert.Assert(t, time.Since(began) < maxTime, "took %s", time.Since(began))
			assert.Assert(t, server.Sent() < maxSent, "the server sent %d bytes", server.Sent())
			assert.Assert(t, allocated()-before < maxSent, "allocated %d bytes", allocated()-before)
			assert.Assert(t, len(err.Error()) < maxText, "%d bytes: %s", len(err.Error()), err)
		})
	}
}

// allocated returns the number of bytes that were allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// TestAnswerCutAnywhere checks that an answer that a server cuts off after any byte is never taken for a complete one. Without
// a stated length, the end of the connection is the end of the body, so there only cuts within the head count.
func TestAnswerCutAnywhere(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Stamp: s\r\n"
	tests := map[string]struct {
		answer string
		// until is the number of bytes below which the answer is incomplete; 0 means all.
		until int
	}{
		"length":        {answer: head + "Content-Length: 12\r\n\r\nlong enough!"},
		"empty body":    {answer: head + "Content-Length: 0\r\n\r\n"},
		"length at end": {answer: "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Stamp: s\r\nContent-Length: 12\r\n\r\nlong enough!"},
		"chunked":       {answer: head + "Transfer-Encoding: chunked\r\n\r\n6\r\nlong e\r\n6\r\nnough!\r\n0\r\n\r\n"},
		"trailers":      {answer: head + "Transfer-Encoding: chunked\r\n\r\n6\r\nlong e\r\n0\r\nA: b\r\n\r\n"},
		"no length":     {answer: head + "\r\nlong enough!", until: len(head) + 2},
		"HTTP/1.0":      {answer: strings.Replace(head, "1.1", "1.0", 1) + "\r\nlong enough!", until: len(head) + 2},
		"interim":       {answer: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"},
		"error":         {answer: "HTTP/1.1 500 Error\r\nRequest-Id: id-1\r\nContent-Length: 4\r\n\r\noops"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			until := test.until
			if until == 0 {
				until = len(test.answer)
			}
			for _, end := range []string{hangUp, reset} {
				for cut := range until {
					server := newFakeServer(t, script{test.answer[:cut] + "|" + end})
					body, _, err := do(backend.NewPool(server.address, dialect), "id-1")
					assert.Assert(t, err != nil, "cut after %d bytes (%q, %s): body %q", cut, test.answer[:cut], end, body)
				}
			}
			server := newFakeServer(t, script{test.answer + "|" + hangUp})
			_, _, err := do(backend.NewPool(server.address, dialect), "id-1")
			assert.NilError(t, err)
		})
	}
}
