package ratelimit

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Homes tells which processes give a workspace's tokens. All processes that know the same
// hosts agree, and a host that comes or goes moves only the workspaces for which it comes
// first. It is safe for use by several goroutines.
type Homes struct {
	mu sync.Mutex
	// servers holds the hosts of the known servers, hosts counts the servers at each.
	servers map[string]string
	hosts   map[string]int
	// known keeps what was worked out since hosts last changed.
	known map[string][2]string
}

// NewHomes returns homes without hosts.
func NewHomes() *Homes {
	return &Homes{servers: map[string]string{}, hosts: map[string]int{}, known: map[string][2]string{}}
}

// Put notes a server at a host. It reports whether the hosts changed.
func (h *Homes) Put(server, host string) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, known := h.servers[server]
	if known && before == host {
		return false
	}
	changed = known && h.leave(before)
	h.servers[server] = host
	h.hosts[host]++
	if h.hosts[host] == 1 {
		clear(h.known)
		changed = true
	}
	return changed
}

// Remove notes that a server is gone. It reports whether the hosts changed.
func (h *Homes) Remove(server string) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	host, known := h.servers[server]
	delete(h.servers, server)
	return known && h.leave(host)
}

// leave takes a server from a host and reports whether it was the last there. The lock is
// held.
func (h *Homes) leave(host string) (last bool) {
	h.hosts[host]--
	if h.hosts[host] > 0 {
		return false
	}
	delete(h.hosts, host)
	clear(h.known)
	return true
}

// Of returns the hosts whose processes come first and second for a workspace. They are empty
// where there are none.
func (h *Homes) Of(workspace string) (first, second string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pair, ok := h.known[workspace]
	if !ok {
		pair = h.rank(workspace)
		h.known[workspace] = pair
	}
	return pair[0], pair[1]
}

// rank works out which hosts come first: those with the highest hash of workspace and host.
// The lock is held.
func (h *Homes) rank(workspace string) (pair [2]string) {
	var best [2]uint64
	for host := range h.hosts {
		sum := xxhash.Sum64String(workspace + "\n" + host)
		switch {
		case pair[0] == "" || sum > best[0]:
			pair, best = [2]string{host, pair[0]}, [2]uint64{sum, best[0]}
		case pair[1] == "" || sum > best[1]:
			pair[1], best[1] = host, sum
		}
	}
	return pair
}
