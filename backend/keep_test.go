package backend_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/backend"
)

// TestLateAnswersWithIDsKeepConnections checks that late second answers with the IDs of earlier requests on their connection, by
// which they are told apart, cost no new connections.
func TestLateAnswersWithIDsKeepConnections(t *testing.T) {
	const requests = 500
	same := func(answer, _ string) string { return answer }
	pool := backend.NewPool(newStutteringServer(t, stampedAnswer, same), dialect)
	for i := range requests {
		id := fmt.Sprint("id-", i)
		body, _, err := do(pool, id)
		assert.NilError(t, err)
		assert.Equal(t, body, id)
	}
	assert.Equal(t, pool.Opened(), uint64(1), "connections for %d requests", requests)
}

// TestForeignAnswerToHeadWithoutLength checks that a late answer to HEAD that states no length, which has no body, is discarded as
// one with a length is.
func TestForeignAnswerToHeadWithoutLength(t *testing.T) {
	framed := "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n"
	late := "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Stamp: s\r\n\r\n"
	pool := backend.NewPool(newFakeServer(t, script{framed, late + framed}, script{framed}).address, dialect)
	for _, id := range []string{"id-1", "id-2"} {
		r := newRequest(id)
		r.Method = http.MethodHead
		_, _, err := send(pool, r)
		assert.NilError(t, err)
	}
}

// TestNoByteOfForeignAnswerIsTaken sends every prefix of a late copy, cut off, in the place of an answer.
func TestNoByteOfForeignAnswerIsTaken(t *testing.T) {
	late := strings.ReplaceAll("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\nold!", "{id}", "id-1")
	lateChunks := strings.ReplaceAll("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nold!\r\n0\r\n\r\n", "{id}", "id-1")
	for _, copied := range []string{late, lateChunks} {
		for cut := range len(copied) {
			pool := backend.NewPool(newFakeServer(t, script{good, copied[:cut] + good + "|" + hangUp}, script{good}).address, dialect)
			for sent := false; !sent; {
				var err error
				if _, sent, err = do(pool, "id-1"); sent {
					assert.NilError(t, err)
				}
			}
			body, _, err := do(pool, "id-2")
			assert.Assert(t, err != nil || body == "body", "cut at %d: %q", cut, body)
		}
	}
}

// TestIdleHeadConnectionsLeaveRoom checks that connections that only HEAD requests may use do not keep those of other requests from
// being kept, also once they have expired.
func TestIdleHeadConnectionsLeaveRoom(t *testing.T) {
	const idle, requests = 16, 50
	headAnswer := "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nKeep-Alive: timeout=1\r\nContent-Length: 4\r\n\r\n"
	scripts := make([]script, idle+1)
	for i := range idle {
		scripts[i] = script{headAnswer}
	}
	for range requests {
		scripts[idle] = append(scripts[idle], good)
	}
	pool := backend.NewPool(newFakeServer(t, scripts...).address, dialect)
	var open []*backend.Answer
	for i := range idle {
		r := newRequest(fmt.Sprint("head-", i))
		r.Method = http.MethodHead
		answer, _, err := pool.Do(t.Context(), r, nil)
		assert.NilError(t, err)
		open = append(open, answer)
	}
	for _, answer := range open {
		answer.Close()
	}
	for i := range requests {
		_, _, err := do(pool, fmt.Sprint("id-", i))
		assert.NilError(t, err)
	}
	assert.Equal(t, pool.Opened(), uint64(idle+1))
}
