package standin

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// answerID is the name of the header field with the ID of a request.
const answerID = "Answer-Id"

// TestCopies checks that every copy of an answer is a whole answer with the body of the first one, in its form.
func TestCopies(t *testing.T) {
	tests := map[CopyForm]struct {
		ids     []string
		chunked bool
	}{
		CopySame:      {ids: []string{"7"}},
		CopyUnframed:  {ids: []string{"7"}},
		CopyNoID:      {},
		CopyEmptyID:   {ids: []string{""}},
		CopyChunked:   {ids: []string{"7"}, chunked: true},
		CopyNoIDChunk: {chunked: true},
	}
	for form, test := range tests {
		for _, text := range []string{"body", ""} {
			for _, method := range []string{http.MethodGet, http.MethodHead} {
				t.Run(string(form)+" "+method+" "+text, func(t *testing.T) {
					w := httptest.NewRecorder()
					w.Header().Set(answerID, "7")
					w.WriteHeader(http.StatusInternalServerError)
					_, _ = io.WriteString(w, text)
					copies := copyPlan{form: form, count: maxCopies}.encode(recorded{method, w}, answerID)
					reader := bufio.NewReader(bytes.NewReader(copies))
					for range maxCopies {
						response, err := http.ReadResponse(reader, &http.Request{Method: method})
						assert.NilError(t, err)
						got, err := io.ReadAll(response.Body)
						assert.NilError(t, err)
						assert.NilError(t, response.Body.Close())
						want := text
						if method == http.MethodHead {
							want = ""
						}
						assert.Equal(t, string(got), want)
						assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
						assert.DeepEqual(t, response.Header.Values(answerID), test.ids)
						assert.Equal(t, len(response.TransferEncoding) > 0, test.chunked)
					}
					_, err := reader.ReadByte()
					assert.ErrorIs(t, err, io.EOF)
				})
			}
		}
	}
}

// TestStutterer checks that a server sends all its answers, and copies of some only while it stutters.
func TestStutterer(t *testing.T) {
	s := NewStutterer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(answerID, r.Header.Get(answerID))
	}), answerID)
	server := httptest.NewServer(s)
	defer server.Close()
	assert.Equal(t, countAnswers(t, server.Listener.Addr().String()), 1)
	s.Start(rand.New(rand.NewPCG(1, 1)), CopySame, CopyNoID, CopyUnframed)
	answers := 0
	const requests = 100
	for range requests {
		answers += countAnswers(t, server.Listener.Addr().String())
	}
	copies := 0
	for _, n := range s.Copies() {
		copies += n
	}
	assert.Assert(t, copies > 0)
	assert.Assert(t, answers > requests && answers <= requests+copies, "%d answers to %d requests, %d copies", answers, requests, copies)
	s.Stop()
	assert.Equal(t, countAnswers(t, server.Listener.Addr().String()), 1)
}

// countAnswers sends a request on a connection of its own and ends its side of it, and returns the number of answers that come
// until the server closes it.
func countAnswers(t *testing.T, address string) (answers int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+answerID+": 7\r\n\r\n")
	assert.NilError(t, err)
	tcp, ok := conn.(*net.TCPConn)
	assert.Assert(t, ok)
	assert.NilError(t, tcp.CloseWrite())
	all, err := io.ReadAll(conn)
	assert.NilError(t, err)
	return bytes.Count(all, []byte("HTTP/1.1 "))
}
