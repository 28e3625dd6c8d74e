package inbound

import (
	"time"
	"unicode/utf8"

	"slatewind.example/slatewind"
)

// parent is a request that the server is running, with the state of its nested calls. A healthy
// server answers with an error if one of its nested calls failed; the called service is at fault
// then, and the sidecar of the called server records the failure. The time spent waiting for
// nested calls does not count as the server's own time either.
type parent struct {
	item   string
	repeat bool
	// workspace is the workspace of the request.
	workspace string
	// pending is the number of nested calls in progress, failed the number that failed.
	pending int
	failed  int
}

// mayBeCallError reports whether an error answer may be caused by a nested call.
func (p *parent) mayBeCallError() bool { return p.pending > 0 || p.failed > 0 }

// beginRun records that the server gets a request. It locks in.mu.
func (in *Inbound) beginRun(id string, p *parent) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.idle.reset(time.Now())
	if id != "" {
		in.parents[id] = p
	}
}

// NestedCall implements slatewind.NestedCalls. A nested call is identified by its ID: the ID of a
// running request, extended by a separator and further characters. Nested calls of servers that
// construct the IDs differently are not identified. They are treated like any other request, and
// every error answer counts against the server that made the call. A nested call that is returned
// is in progress until its End is called.
func (in *Inbound) NestedCall(id string) (slatewind.NestedCall, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	p := in.parentOf(id)
	if p == nil {
		return slatewind.NestedCall{}, false
	}
	p.pending++
	now := time.Now()
	in.currentBreaker(now).Pause(now, p.item)
	return slatewind.NestedCall{Repeat: p.repeat, Workspace: p.workspace, End: func(served bool) { in.endCall(p, served) }}, true
}

// parentOf returns the running request with the longest ID of which id is an extension, or nil.
// in.mu must be held.
func (in *Inbound) parentOf(id string) *parent {
	for end := len(id); end > 0; {
		separator, width := utf8.DecodeLastRuneInString(id[:end])
		end -= width
		if p := in.parents[id[:end]]; p != nil && slatewind.IsCallIDSeparator(separator) {
			return p
		}
	}
	return nil
}

// endCall records the end of a nested call.
func (in *Inbound) endCall(p *parent, served bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	p.pending--
	if !served {
		p.failed++
	}
	if p.pending == 0 {
		now := time.Now()
		in.currentBreaker(now).Resume(now, p.item)
	}
}
