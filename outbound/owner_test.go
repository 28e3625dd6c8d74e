package outbound_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/platform"
)

// serveIDs acts as the process beside a server whose answers carry the given ids. asked receives the reservations.
func serveIDs(status int32, ids []string, asked chan<- struct{}) func(link.UseStream) error {
	return func(s link.UseStream) error {
		if _, err := serveRequest(s); err != nil {
			return err
		}
		asked <- struct{}{}
		head := &slatewindv1.AnswerHead{Status: status, Headers: []*slatewindv1.Header{{Name: platform.Servers().Stamp, Value: []byte("stamp")}}}
		for _, id := range ids {
			head.Headers = append(head.Headers, &slatewindv1.Header{Name: platform.Servers().RequestID, Value: []byte(id)})
		}
		body := []byte("body")
		for _, reply := range []*slatewindv1.UseReply{
			{Part: &slatewindv1.UseReply_Head{Head: head}},
			{Part: &slatewindv1.UseReply_Chunk{Chunk: body}},
			{Part: &slatewindv1.UseReply_End{End: &slatewindv1.AnswerEnd{Length: int64(len(body)), Checksum: xxhash.Sum64(body)}}},
		} {
			if err := s.Send(reply); err != nil {
				return err
			}
		}
		return nil
	}
}

// TestAnswerOfOtherRequest checks that an answer reaches the caller only with the id of the caller's request, also if
// the process beside the server passes on others, and that the outcome of the request is otherwise unknown.
func TestAnswerOfOtherRequest(t *testing.T) {
	long := strings.Repeat("i", 1<<16)
	tests := map[string]struct {
		id     string
		ids    []string
		status int32
		owned  bool
	}{
		"its id":                           {id: "id", ids: []string{"id"}, status: 200, owned: true},
		"its id, an error":                 {id: "id", ids: []string{"id"}, status: 500, owned: true},
		"another id":                       {id: "id", ids: []string{"other"}, status: 200},
		"another id, an error":             {id: "id", ids: []string{"other"}, status: 500},
		"another id, as if it had not run": {id: "id", ids: []string{"other"}, status: 503},
		"another id, not modified":         {id: "id", ids: []string{"other"}, status: 304},
		"no id":                            {id: "id", status: 200},
		"an empty id":                      {id: "id", ids: []string{""}, status: 200},
		"its id twice":                     {id: "id", ids: []string{"id", "id"}, status: 200},
		"its id and another":               {id: "id", ids: []string{"id", "other"}, status: 200},
		"another spelling":                 {id: "id", ids: []string{"ID"}, status: 200},
		"a longer id":                      {id: "id", ids: []string{"id" + long}, status: 200},
		"none asked for":                   {status: 200, owned: true},
		"none asked for, an empty one":     {ids: []string{""}, status: 200, owned: true},
		"none asked for, another id":       {ids: []string{"other"}, status: 200},
	}
	for name, test := range tests {
		for path, attempts := range map[string]int{"/pay/1": 1, "/look/1": 2} {
			t.Run(name+" "+path, func(t *testing.T) {
				m := newMesh(t, "a", "b")
				asked := make(chan struct{}, 8)
				m.serve = serveIDs(test.status, test.ids, asked)
				g := m.send("POST", path, test.id, "", 2*time.Second)
				if test.owned {
					assert.Equal(t, g.status, int(test.status), g.body)
					assert.Equal(t, m.dropped(test.id), "")
					return
				}
				assert.Equal(t, g.status, http.StatusBadGateway, g.body)
				assert.Equal(t, len(asked), attempts)
				line := m.dropped(test.id)
				assert.Assert(t, strings.Contains(line, fmt.Sprint("status=", test.status)), "%q", line)
				assert.Assert(t, len(line) < 400, "%d bytes", len(line))
				for _, id := range test.ids {
					assert.Assert(t, strings.Contains(line, id[:min(len(id), 64)]), "%q", line)
				}
			})
		}
	}
}

// dropped returns the journal's evidence about an answer to a request that was dropped, or "".
func (m *mesh) dropped(id string) string {
	for _, d := range m.history.Find(history.Filter{}) {
		if d.Kind == slatewind.DecisionDropReply && d.Request == id {
			return d.Evidence
		}
	}
	return ""
}
