package daemon

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/platform"
)

// entriesIgnored returns the decisions of a node about invalid server entries.
func entriesIgnored(n *Node) []slatewind.Decision {
	var list []slatewind.Decision
	for _, d := range n.history.Find(history.Filter{}) {
		if d.Kind == slatewind.DecisionEntryIgnored {
			list = append(list, d)
		}
	}
	return list
}

// metricsText returns a node's metrics as the admin address serves them.
func metricsText(n *Node) string {
	w := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestNodeIgnoresForeignEntry checks that a server whose entry was overwritten by an invalid one
// gets no requests, also not from the process beside it, until it writes its entry again. The
// journal states the reason, and the other servers keep serving.
func TestNodeIgnoresForeignEntry(t *testing.T) {
	f := newNodes(t, 2)
	f.store.Put(platform.ServersPrefix+"s-0", []byte(`{"Service":"svc","Address":"x"}`))
	f.await("the entry is ignored", func() bool {
		return f.nodes[0].inbound.View().Leaving != "" && f.nodes[0].outbound.Servers() == 1 && f.nodes[1].outbound.Servers() == 1
	})
	before := f.servers[0].Arrivals()
	for i := range 10 {
		assert.Equal(t, f.send(i%2, "/pay/1", fmt.Sprint("id-", i)), 200)
	}
	assert.Equal(t, f.servers[0].Arrivals(), before)
	ignored := append(entriesIgnored(f.nodes[0]), entriesIgnored(f.nodes[1])...)
	assert.Assert(t, len(ignored) > 0)
	for _, d := range ignored {
		assert.Equal(t, d.Server, "s-0")
		assert.Assert(t, strings.Contains(d.Evidence, "key=servers/s-0 revision=4"), d.Evidence)
		assert.Assert(t, strings.Contains(d.Reason, "Address: not an IP address with a port"), d.Reason)
	}
	f.enter(0, false)
	f.await("the server is back", func() bool {
		return f.nodes[0].inbound.View().Leaving == "" && f.nodes[0].outbound.Servers() == 2 && f.nodes[1].outbound.Servers() == 2
	})
}

// TestForeignEntriesAreThrottled checks that a stream of invalid entries fills neither the log nor
// the journal, while the metric counts all of them.
func TestForeignEntriesAreThrottled(t *testing.T) {
	f := newNodes(t, 1)
	now := time.Unix(1000, 0)
	const many = 500
	for i := range many {
		f.nodes[0].InvalidData(now.Add(time.Duration(i)*time.Millisecond), &platform.EntryError{
			Key: fmt.Sprint("servers/x-", i), Revision: uint64(i), Fields: []platform.FieldError{{Field: "State", Cause: fmt.Errorf("unknown")}},
		})
	}
	assert.Equal(t, len(entriesIgnored(f.nodes[0])), maxEntryLines)
	assert.Assert(t, strings.Contains(metricsText(f.nodes[0]), `slatewind_ignored_entries_total{field="State"`), metricsText(f.nodes[0]))
	assert.Assert(t, strings.Contains(metricsText(f.nodes[0]), fmt.Sprint(" ", many, "\n")))
}
