package outbound_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/platform"
)

// answerEnd is how the replies that carry an answer end.
type answerEnd string

const (
	endComplete  answerEnd = "complete"
	endStream    answerEnd = "stream"
	endError     answerEnd = "error"
	endCancelled answerEnd = "cancelled"
	endTimeout   answerEnd = "timeout"
	endFailure   answerEnd = "failure"
	endShort     answerEnd = "short"
	endCorrupt   answerEnd = "corrupt"
)

// serveAnswer acts as the process beside a server that answers with a body, which ends as given after half of it. stated
// reports that the server states the body's length.
func serveAnswer(body []byte, stated bool, how answerEnd) func(link.UseStream) error {
	return func(s link.UseStream) error {
		id, err := serveRequest(s)
		if err != nil {
			return err
		}
		headers := []*slatewindv1.Header{{Name: platform.Servers().RequestID, Value: id}, {Name: platform.Servers().Stamp, Value: []byte("stamp")}}
		if stated {
			headers = append(headers, &slatewindv1.Header{Name: "Content-Length", Value: []byte(strconv.Itoa(len(body)))})
		}
		head := &slatewindv1.UseReply{Part: &slatewindv1.UseReply_Head{Head: &slatewindv1.AnswerHead{Status: 200, Headers: headers}}}
		if err := s.Send(head); err != nil {
			return err
		}
		sent := body[:len(body)/2]
		if how == endComplete || how == endCorrupt {
			sent = body
		}
		for len(sent) > 0 {
			n := min(len(sent), link.ChunkBytes)
			if err := s.Send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Chunk{Chunk: sent[:n]}}); err != nil {
				return err
			}
			sent = sent[n:]
		}
		return sendEnd(s, body, how)
	}
}

// serveRequest grants a slot and receives a request for it, whose id it returns.
func serveRequest(s link.UseStream) (id []byte, err error) {
	if _, err := s.Recv(); err != nil {
		return nil, err
	}
	granted := &slatewindv1.UseReply{Part: &slatewindv1.UseReply_Granted{Granted: &slatewindv1.SlotState{Slots: 2}}}
	if err := s.Send(granted); err != nil {
		return nil, err
	}
	message, err := s.Recv()
	if err != nil {
		return nil, err
	}
	for _, h := range message.GetRequest().GetHeaders() {
		if h.GetName() == platform.Servers().RequestID {
			id = h.GetValue()
		}
	}
	return id, nil
}

// sendEnd sends the end of an answer.
func sendEnd(s link.UseStream, body []byte, how answerEnd) error {
	end := &slatewindv1.AnswerEnd{Length: int64(len(body)), Checksum: xxhash.Sum64(body)}
	switch how {
	case endStream:
		return nil
	case endError:
		return errors.New("connection reset")
	case endCancelled:
		return context.Canceled
	case endTimeout:
		<-s.Context().Done()
		return nil
	case endFailure:
		return s.Send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Failure{Failure: &slatewindv1.Failure{Outcome: "unknown"}}})
	case endCorrupt:
		end.Checksum++
	}
	return s.Send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_End{End: end}})
}

// TestTruncatedAnswerLooksTruncated guards against an answer that ended early and that its caller takes for complete, however it
// ended, whatever its length and whether the server stated that or not.
func TestTruncatedAnswerLooksTruncated(t *testing.T) {
	bodies := map[string][]byte{
		"short":           bytes.Repeat([]byte("s"), 100_000),
		"just a buffer":   bytes.Repeat([]byte("h"), 2*link.MaxBufferedBytes-2),
		"over the buffer": bytes.Repeat([]byte("o"), 2*link.MaxBufferedBytes+2),
		"long":            bytes.Repeat([]byte("l"), 4*link.MaxBufferedBytes),
	}
	ends := []answerEnd{endComplete, endStream, endError, endCancelled, endTimeout, endFailure, endShort, endCorrupt}
	m := newMesh(t, "a")
	for name, body := range bodies {
		for _, how := range ends {
			for _, stated := range []bool{true, false} {
				for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
					t.Run(fmt.Sprintf("%s, %s, stated %t, %s", name, how, stated, protocol), func(t *testing.T) {
						m.serve = serveAnswer(body, stated, how)
						deadline := 5 * time.Second
						if how == endTimeout {
							deadline = 200 * time.Millisecond
						}
						status, got, whole := m.fetch(t, protocol, deadline)
						assert.Equal(t, whole && status == http.StatusOK, how == endComplete, "status %d, %d bytes", status, len(got))
						assert.Assert(t, how != endComplete || bytes.Equal(got, body))
					})
				}
			}
		}
	}
}

// fetch sends a request and reads the answer. whole reports that it appears complete to the caller.
func (m *mesh) fetch(t *testing.T, protocol string, deadline time.Duration) (status int, body []byte, whole bool) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.callers.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	names := platform.Callers()
	_, err = fmt.Fprintf(conn, "POST /pay/1 %s\r\nHost: h.example\r\n%s: id\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
		protocol, names.RequestID, names.Deadline, deadline.Milliseconds())
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		// A reset came before the status was read.
		return 0, nil, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err == nil
}

// TestSlowReaderOfTruncatedAnswer guards against an answer that breaks off at the end of its time while its caller still reads
// what came before, and that appears complete to it.
func TestSlowReaderOfTruncatedAnswer(t *testing.T) {
	m := newMesh(t)
	body := bytes.Repeat([]byte("b"), 16*link.MaxBufferedBytes)
	m.addServer(t, "a", "svc", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.Servers().Stamp, "stamp")
		w.Header().Set(platform.Servers().RequestID, r.Header.Get(platform.Servers().RequestID))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}))
	for i := range 8 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			// On a busy machine the time may end before the answer begins, which is then a failure of the process's own. Its
			// status depends on whether the process first notices that the time is over or that the answer broke off.
			ownFailures := []int{http.StatusGatewayTimeout, http.StatusBadGateway}
			status := http.StatusGatewayTimeout
			for within := 300 * time.Millisecond; slices.Contains(ownFailures, status); within *= 2 {
				assert.Assert(t, within < 10*time.Second, "no answer began in time")
				var n int64
				var err error
				status, n, err = readLate(t, m, fmt.Sprintf("id-%d-%s", i, within), within)
				assert.Assert(t, slices.Contains(ownFailures, status) || err != nil || n == int64(len(body)), "%d bytes of %d, and the end of a complete answer", n, len(body))
			}
			assert.Equal(t, status, http.StatusOK)
		})
	}
}

// readLate sends a request with a deadline, begins to read the answer after twice that time, and returns its status and the length
// of its body.
func readLate(t *testing.T, m *mesh, id string, within time.Duration) (status int, n int64, err error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.callers.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(2*within+20*time.Second)))
	names := platform.Callers()
	_, err = fmt.Fprintf(conn, "GET /look/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n\r\n", names.RequestID, id, names.Deadline, within.Milliseconds())
	assert.NilError(t, err)
	time.Sleep(2 * within)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	n, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, n, err
}
