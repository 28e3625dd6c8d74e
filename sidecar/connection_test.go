package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConnectionsKept checks which connections are kept after the answer to their last attempt.
func TestConnectionsKept(t *testing.T) {
	const address = "127.0.0.1:1"
	begin := time.Now()
	tests := map[string]struct {
		// echoes are those of the answers so far, the next one a second after the other.
		echoes []echo
		after  time.Duration
		kept   bool
	}{
		"no answer":               {kept: true},
		"own":                     {echoes: []echo{echoOwn}, kept: true},
		"none":                    {echoes: []echo{echoNone}},
		"foreign":                 {echoes: []echo{echoForeign}},
		"own after one without":   {echoes: []echo{echoNone, echoOwn}},
		"own after a foreign one": {echoes: []echo{echoForeign, echoOwn}},
		"none, a minute later":    {echoes: []echo{echoNone}, after: distrustTime},
		"none, longer ago":        {echoes: []echo{echoNone}, after: distrustTime + time.Second, kept: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, now := newPool(), begin
			for _, e := range tt.echoes {
				now = now.Add(time.Second)
				c, _ := p.take(now, address)
				p.put(now, address, c, e)
			}
			now = now.Add(tt.after)
			c, kept := p.take(now, address)
			assert.Equal(t, kept, tt.kept)
			p.put(now, address, c, echoOwn)
			assert.Equal(t, len(p.peers[address].idle) == 1, tt.kept)
		})
	}
}

// TestKeptConnectionsAreBounded checks that no more connections than allowed are kept, and none to an address that is not
// used any more.
func TestKeptConnectionsAreBounded(t *testing.T) {
	const address, other = "127.0.0.1:1", "127.0.0.1:2"
	p, now := newPool(), time.Now()
	taken := make([]*connection, maxIdleConnections+1)
	for i := range taken {
		taken[i], _ = p.take(now, address)
	}
	for _, c := range taken {
		p.put(now, address, c, echoOwn)
	}
	assert.Equal(t, len(p.peers[address].idle), maxIdleConnections)
	last, _ := p.take(now, address)
	assert.Equal(t, last, taken[maxIdleConnections-1], "the connection used last is used next")
	p.take(now.Add(idleTimeout+time.Second), other)
	assert.Equal(t, len(p.peers), 1)
}
