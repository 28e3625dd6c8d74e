package outbound_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/platform"
)

// serveInvalid acts as the process beside a server that passes on an answer with the given status and lengths.
func serveInvalid(status int32, lengths []string, body []byte) func(link.UseStream) error {
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
