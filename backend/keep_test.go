package backend_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/backend"
)

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
