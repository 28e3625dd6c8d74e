package ingress_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/link"
)

// TestTruncatedReplyLooksTruncated guards against a reply that broke off and that its caller takes for complete, also if it
// has no chunks by which to tell.
func TestTruncatedReplyLooksTruncated(t *testing.T) {
	ends := map[string]error{"complete": io.EOF, "early end": io.ErrUnexpectedEOF, "broke off": errors.New("connection lost")}
	for name, end := range ends {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+", "+protocol, func(t *testing.T) {
				// The chunk is longer than what net/http holds back.
				chunks := [][]byte{make([]byte, 100_000)}
				in, _ := newIngress(t, &fakeLinks{all: answers, rest: func() ([]byte, error) {
					if len(chunks) == 0 {
						return nil, end
					}
					chunk := chunks[0]
					chunks = chunks[1:]
					return chunk, nil
				}})
				callers := httptest.NewServer(in)
				t.Cleanup(callers.Close)
				conn, err := net.Dial("tcp", strings.TrimPrefix(callers.URL, "http://"))
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
				_, err = fmt.Fprintf(conn, "GET /prices/1 %s\r\nHost: h\r\n\r\n", protocol)
				assert.NilError(t, err)
				// A reset may come before the status is read.
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					defer func() { _ = response.Body.Close() }()
					_, err = io.ReadAll(response.Body)
				}
				assert.Equal(t, err == nil, errors.Is(end, io.EOF), "%v", err)
			})
		}
	}
}

// TestEndedIngressTruncatesVisibly guards against a reply without a length that appears complete to a caller with HTTP/1.0 although
// the end of the process cut it off.
func TestEndedIngressTruncatesVisibly(t *testing.T) {
	chunk := make([]byte, 100_000)
	in, _ := newIngress(t, &fakeLinks{all: answers, rest: func() ([]byte, error) { return chunk, nil }})
	callers := httptest.NewUnstartedServer(in)
	callers.Config.ConnContext = link.ConnContext
	callers.Start()
	t.Cleanup(callers.Close)
	conn, err := net.Dial("tcp", strings.TrimPrefix(callers.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprint(conn, "GET /prices/1 HTTP/1.0\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, callers.Config.Close())
	n, err := io.Copy(io.Discard, conn)
	assert.Assert(t, err != nil, "%d bytes appear complete", n)
}
