package inbound

import (
	"time"
	"unicode/utf8"

	"slatewind.example/slatewind"
)

// parent is a request that the server runs, with the calls that it has made for
// it. A server whose call failed answers with an error although it is well: the
// fault is the called service's, and the process beside that one sees it. The
// time in which a call is awaited does not count as the server's own either.
type parent struct {
	item   string
	repeat bool
	// workspace is that of the request.
	workspace string
	// open counts the calls that are under way, failed those that ended badly.
	open   int
	failed int
}

// blameless reports whether an error answer may be due to a call.
func (p *parent) blameless() bool { return p.open > 0 || p.failed > 0 }

// begin notes that the server gets a request. The lock is not held.
func (in *Inbound) begin(id string, p *parent) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.idle.end(time.Now())
	if id != "" {
		in.parents[id] = p
	}
}

// NestedCall implements slatewind.NestedCalls. A call is known by its id, which is that of the
// request that the server runs, a separator and something more. Where servers
// form the ids of their calls in another way, none is recognised: then calls are
// requests like any other, and each error answer counts against its server.
func (in *Inbound) NestedCall(id string) (slatewind.NestedCall, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	p := in.parentOf(id)
	if p == nil {
		return slatewind.NestedCall{}, false
	}
	p.open++
	now := time.Now()
	in.judge(now).Pause(now, p.item)
	return slatewind.NestedCall{Repeat: p.repeat, Workspace: p.workspace, End: func(served bool) { in.endCall(p, served) }}, true
}

// parentOf returns the running request with the longest id that a call's id
// extends, or nil. The lock is held.
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

// endCall notes the end of a call.
func (in *Inbound) endCall(p *parent, served bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	p.open--
	if !served {
		p.failed++
	}
	if p.open == 0 {
		now := time.Now()
		in.judge(now).Resume(now, p.item)
	}
}
