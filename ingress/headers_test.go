package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/ingress"
)

// TestServerStatesFieldsOfFleet checks that a server cannot state for the fleet what became of a request: it may pass on the
// header of an answer that it got itself from the fleet, to another request.
func TestServerStatesFieldsOfFleet(t *testing.T) {
	const other = "other"
	links := &fakeLinks{all: answers}
	names := []string{ingress.HeaderOutcome, ingress.HeaderRequest, ingress.HeaderServer, ingress.HeaderReplayed}
	for _, name := range names {
		links.headers = append(links.headers, &slatewindv1.Header{Name: name, Value: []byte(other)})
	}
	links.headers = append(links.headers, &slatewindv1.Header{Name: "Retry-After", Value: []byte("1")})
	in, _ := newIngress(t, links)
	w := httptest.NewRecorder()
	in.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/prices/1", http.NoBody))
	assert.Equal(t, w.Code, http.StatusOK)
	for _, name := range names {
		for _, value := range w.Header().Values(name) {
			assert.Check(t, value != other, name)
		}
	}
	assert.Equal(t, len(w.Header().Values(ingress.HeaderRequest)), 1)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
}

// TestAnswersInTheirPlaces checks that what a server states about the length of its answer does not move the next answer on
// the caller's connection, also where the answer has no body.
func TestAnswersInTheirPlaces(t *testing.T) {
	fields := map[string][]*slatewindv1.Header{
		"no fields":         nil,
		"length":            {{Name: "Content-Length", Value: []byte("1000")}},
		"transfer encoding": {{Name: "Transfer-Encoding", Value: []byte("chunked")}, {Name: "Trailer", Value: []byte("A")}},
		"end":               {{Name: "Connection", Value: []byte("close")}, {Name: "Keep-Alive", Value: []byte("max=0")}},
	}
	const answersEach = 3
	for name, headers := range fields {
		for _, status := range []int{http.StatusOK, http.StatusNoContent, http.StatusNotModified} {
			for _, method := range []string{http.MethodGet, http.MethodHead} {
				t.Run(fmt.Sprint(name, ", ", method, ", ", status), func(t *testing.T) {
					in, _ := newIngress(t, &fakeLinks{all: answers, status: int32(status), headers: headers})
					callers := httptest.NewServer(in)
					defer callers.Close()
					conn, err := net.Dial("tcp", strings.TrimPrefix(callers.URL, "http://"))
					assert.NilError(t, err)
					defer func() { _ = conn.Close() }()
					assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
					replies := bufio.NewReader(conn)
					for range answersEach {
						r := httptest.NewRequest(method, "http://h/prices/1", http.NoBody)
						assert.NilError(t, r.Write(conn))
						response, err := http.ReadResponse(replies, r)
						assert.NilError(t, err)
						body, err := io.ReadAll(response.Body)
						assert.NilError(t, err)
						assert.NilError(t, response.Body.Close())
						assert.Equal(t, response.StatusCode, status)
						assert.Equal(t, string(body) == "body", method == http.MethodGet && status == http.StatusOK, "%q", body)
						assert.Equal(t, replies.Buffered(), 0)
					}
				})
			}
		}
	}
}

// TestMintedKeyIsNoCallersKey checks that no key of a caller is that of a request without one, whose answer it would get.
func TestMintedKeyIsNoCallersKey(t *testing.T) {
	links := &fakeLinks{all: answers}
	in, _ := newIngress(t, links)
	post := func(key string) (id, sent string) {
		r := httptest.NewRequest(http.MethodPost, "http://h/payments", http.NoBody)
		if key != "" {
			r.Header.Set(ingress.HeaderKey, key)
			r.Header.Set(ingress.HeaderAttempt, "1")
		}
		w := httptest.NewRecorder()
		in.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusOK)
		return w.Header().Get(ingress.HeaderRequest), links.last.GetOnce().GetKey()
	}
	id, minted := post("")
	for _, key := range []string{id, "minted-" + id, strings.TrimSpace(minted)} {
		_, sent := post(key)
		assert.Check(t, sent != minted, key)
	}
}
