package usage

import (
	"sync/atomic"
	"time"
)

const (
	// guardShare is the part of the memory limit from which a Guard reports a shortage. It is above the part from which
	// garbage is collected whatever that costs, so that what is over it is in use; the program itself needs some 20 MiB more.
	guardShare = 0.8
	// pendingBytes is the memory that a request in flight is expected to still need.
	pendingBytes = 192 << 10
	// guardInterval is the time between two readings of the memory.
	guardInterval = 2 * time.Millisecond
)

// Guard tells when the process has too little memory left for further requests. It is safe for concurrent use.
type Guard struct {
	limit int64
	read  func() int64
	// memory is the newest reading, readAt when it was made, in nanoseconds since began.
	memory atomic.Int64
	readAt atomic.Int64
	began  time.Time
}

// NewGuard returns a guard for a process with a limit on its memory in bytes, which read returns. Without a limit, memory is
// never short.
func NewGuard(limit int64, read func() int64) *Guard {
	g := &Guard{limit: limit, read: read, began: time.Now()}
	g.readAt.Store(-int64(guardInterval))
	return g
}

// Short reports whether memory is short beside the given number of requests in flight. A nil Guard has no limit.
func (g *Guard) Short(inFlight int) bool {
	if g == nil || g.limit <= 0 {
		return false
	}
	if now, last := int64(time.Since(g.began)), g.readAt.Load(); now-last >= int64(guardInterval) && g.readAt.CompareAndSwap(last, now) {
		g.memory.Store(g.read())
	}
	return float64(g.memory.Load()+int64(inFlight)*pendingBytes) > guardShare*float64(g.limit)
}
