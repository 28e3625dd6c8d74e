package outbound_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/platform"
)

// serveInvalid acts as the process beside a server that passes on an answer with the given status and lengths, and an empty field
// of each further name.
func serveInvalid(status int32, lengths []string, body []byte, further ...string) func(link.UseStream) error {
	return func(s link.UseStream) error {
		id, err := serveRequest(s)
		if err != nil {
			return err
		}
		head := &slatewindv1.AnswerHead{Status: status, Headers: []*slatewindv1.Header{
			{Name: platform.Servers().RequestID, Value: id}, {Name: platform.Servers().Stamp, Value: []byte("stamp")},
		}}
		for _, length := range lengths {
			head.Headers = append(head.Headers, &slatewindv1.Header{Name: "Content-Length", Value: []byte(length)})
		}
		for _, name := range further {
			head.Headers = append(head.Headers, &slatewindv1.Header{Name: name})
		}
		replies := []*slatewindv1.UseReply{{Part: &slatewindv1.UseReply_Head{Head: head}}}
		for rest := body; len(rest) > 0; {
			n := min(len(rest), link.ChunkBytes)
			replies = append(replies, &slatewindv1.UseReply{Part: &slatewindv1.UseReply_Chunk{Chunk: rest[:n]}})
			rest = rest[n:]
		}
		end := &slatewindv1.AnswerEnd{Length: int64(len(body)), Checksum: xxhash.Sum64(body)}
		for _, reply := range append(replies, &slatewindv1.UseReply{Part: &slatewindv1.UseReply_End{End: end}}) {
			if err := s.Send(reply); err != nil {
				return err
			}
		}
		return nil
	}
}

// TestInvalidAnswer checks that what another process passes on and no server can have answered reaches no caller as an answer.
func TestInvalidAnswer(t *testing.T) {
	short, long := []byte("body"), bytes.Repeat([]byte("l"), 2*link.MaxBufferedBytes)
	tests := map[string]struct {
		status  int32
		lengths []string
		body    []byte
	}{
		"no status":                {0, nil, short},
		"too low a status":         {99, nil, short},
		"continue":                 {100, nil, short},
		"switching protocols":      {101, nil, short},
		"early hints":              {103, nil, short},
		"above server errors":      {600, nil, short},
		"status 700":               {700, nil, short},
		"too high a status":        {1000, nil, short},
		"longer than stated":       {200, []string{"3"}, short},
		"shorter than stated":      {200, []string{"5"}, short},
		"empty, and a length":      {200, []string{"5"}, nil},
		"an error, shorter":        {500, []string{"5"}, short},
		"long, longer than stated": {200, []string{"2000000"}, long},
		"long, shorter":            {200, []string{"3000000"}, long},
		"no number":                {200, []string{"x"}, short},
		"negative":                 {200, []string{"-4"}, short},
		"two lengths":              {200, []string{"4", "5"}, short},
		"two lengths, reversed":    {200, []string{"5", "4"}, short},
		"a body with no content":   {204, nil, short},
	}
	for name, test := range tests {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+protocol, func(t *testing.T) {
				t.Parallel()
				m := newMesh(t, "a")
				m.serve = serveInvalid(test.status, test.lengths, test.body)
				status, got, whole := m.fetch(t, protocol, 2*time.Second)
				if len(test.body) > link.MaxBufferedBytes {
					assert.Assert(t, !whole, "status %d, %d bytes appear complete", status, len(got))
					return
				}
				assert.Equal(t, status, http.StatusBadGateway, "%s", got)
				assert.Assert(t, whole)
			})
		}
	}
}

// TestInvalidName checks that an answer with an invalid name of a field that another process passes on reaches no caller.
func TestInvalidName(t *testing.T) {
	tests := map[string]struct {
		name string
		want int
	}{
		"valid":                       {"X-A", http.StatusOK},
		"blank behind":                {"X-A ", http.StatusBadGateway},
		"blank within":                {"X A", http.StatusBadGateway},
		"blank behind Content-Length": {"Content-Length ", http.StatusBadGateway},
		"control byte":                {"X\x01", http.StatusBadGateway},
		"line end":                    {"X\r\nY", http.StatusBadGateway},
		"colon":                       {"X:", http.StatusBadGateway},
		"empty":                       {"", http.StatusBadGateway},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMesh(t, "a")
			m.serve = serveInvalid(http.StatusOK, nil, []byte("body"), test.name)
			status, got, whole := m.fetch(t, "HTTP/1.1", 2*time.Second)
			assert.Equal(t, status, test.want, "%s", got)
			assert.Assert(t, whole)
		})
	}
}

// answerOnce returns a server that sends an answer as it is, but for its ID, and keeps the connection open.
func answerOnce(answer string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "{id}", r.Header.Get(platform.Servers().RequestID)))
		_, _ = io.Copy(io.Discard, conn)
	})
}

// TestInvalidAnswerOfServer checks that a request that gets an invalid answer from one server is sent to another one soon if it may be
// repeated, and rejected soon otherwise.
func TestInvalidAnswerOfServer(t *testing.T) {
	names := platform.Servers()
	own := names.RequestID + ": {id}\r\n" + names.Stamp + ": stamp\r\n"
	tests := map[string]string{
		"status 000": "HTTP/1.1 000 None\r\n" + own + "Content-Length: 4\r\n\r\nbody",
		"status 101": "HTTP/1.1 101 Switching Protocols\r\n" + own + "\r\n",
		"status 700": "HTTP/1.1 700 None\r\n" + own + "Content-Length: 4\r\n\r\nbody",

		"blank behind Content-Length": "HTTP/1.1 200 OK\r\n" + own + "Content-Length : 4\r\n\r\nbody",
		"blank in a trailer":          "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX A: b\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMesh(t)
			m.addServer(t, "a", "svc", answerOnce(answer))
			g := m.send(http.MethodPost, "/pay/1", "id-1", "", 2*time.Second)
			assert.Equal(t, g.status, http.StatusBadGateway, "%s", g.body)
			m.add(t, "b", "svc")
			for i := range 6 {
				g := m.send(http.MethodGet, "/look/1", fmt.Sprint("look-", i), "", 2*time.Second)
				assert.Equal(t, g.status, http.StatusOK, "%s", g.body)
				assert.Assert(t, g.took < time.Second, "took %s", g.took)
			}
		})
	}
}
