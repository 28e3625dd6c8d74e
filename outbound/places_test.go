package outbound_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/outbound"
)

// TestServersAtOneAddress checks that of the servers at one address the one that started last takes
// effect, in whatever order their entries arrive, and that one with an earlier start takes effect
// once the other is removed, since the clocks of VMs differ. It guards against a live server that is unknown for good
// because an entry of another one, which had ended, came last.
func TestServersAtOneAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	server := func(name, service string, start int64) slatewind.ServerEntry {
		return slatewind.ServerEntry{Name: name, Service: service, Address: "10.0.0.9:80", Start: start}
	}
	put := func(e slatewind.ServerEntry) func(o *outbound.Outbound) {
		return func(o *outbound.Outbound) { o.Put(now, e) }
	}
	remove := func(name string) func(o *outbound.Outbound) {
		return func(o *outbound.Outbound) { o.Remove(name) }
	}
	created := func(e slatewind.ServerEntry, revision uint64) slatewind.ServerEntry {
		e.Created = revision
		return e
	}
	older, newer := server("x", "a", 1), server("y", "b", 2)
	// first and second state no start.
	first, second := server("x", "a", 0), server("y", "b", 0)
	tests := map[string]struct {
		updates []func(o *outbound.Outbound)
		a, b    int
	}{
		"the newer comes last":             {[]func(*outbound.Outbound){put(older), put(newer)}, 0, 1},
		"the older comes late":             {[]func(*outbound.Outbound){put(newer), put(older)}, 0, 1},
		"the newer goes":                   {[]func(*outbound.Outbound){put(newer), put(older), remove("y")}, 1, 0},
		"the older goes, then the newer":   {[]func(*outbound.Outbound){put(newer), put(older), remove("x"), remove("y")}, 0, 0},
		"the older had another address":    {[]func(*outbound.Outbound){put(slatewind.ServerEntry{Name: "x", Service: "a", Address: "10.0.0.8:80", Start: 1}), put(newer), put(older)}, 0, 1},
		"both state no start: the last is": {[]func(*outbound.Outbound){put(server("y", "b", 0)), put(server("x", "a", 0))}, 1, 0},
		"the first's write comes late":     {[]func(*outbound.Outbound){put(first), put(second), remove("x"), put(first)}, 0, 1},
		"the late write expires":           {[]func(*outbound.Outbound){put(first), put(second), remove("x"), put(first), remove("x")}, 0, 1},
		"the first came late and expires":  {[]func(*outbound.Outbound){put(second), put(first), remove("x")}, 0, 1},
		"the second expires first":         {[]func(*outbound.Outbound){put(first), put(second), remove("y")}, 1, 0},
		"a list in the wrong order":        {[]func(*outbound.Outbound){put(created(second, 2)), put(created(first, 1))}, 0, 1},
		"the second moves elsewhere":       {[]func(*outbound.Outbound){put(first), put(second), put(slatewind.ServerEntry{Name: "y", Service: "b", Address: "10.0.0.8:80"})}, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := outbound.New(outbound.Self{}, slatewind.CallerHeaders{}, nil, nil, nil, nil, nil, nil, nil, nil, outbound.Memory{})
			for _, event := range test.updates {
				event(o)
			}
			assert.Equal(t, serversOf(o, "a"), test.a)
			assert.Equal(t, serversOf(o, "b"), test.b)
			assert.Equal(t, o.Servers(), test.a+test.b)
		})
	}
}

// serversOf returns the number of known servers of a service.
func serversOf(o *outbound.Outbound, service string) int {
	for _, view := range o.View(time.Now()).Services {
		if view.Name == service {
			return len(view.Servers)
		}
	}
	return 0
}
