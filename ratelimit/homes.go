package ratelimit

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Homes determines by rendezvous hashing which processes allocate the tokens of a workspace. All
// processes that know the same hosts agree, and when a host joins or leaves, only the workspaces
// for which it ranks first move. It is safe for concurrent use.
type Homes struct {
	mu sync.Mutex
	// servers maps the known servers to their hosts, hosts counts the servers per host.
	servers map[string]string
	hosts   map[string]int
	// known caches the ranking per workspace since the hosts last changed.
	known map[string][2]string
}

// NewHomes returns an empty Homes.
func NewHomes() *Homes {
	return &Homes{servers: map[string]string{}, hosts: map[string]int{}, known: map[string][2]string{}}
}

// Put adds a server at a host or moves it there. It reports whether the set of hosts changed.
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

// Remove removes a server. It reports whether the set of hosts changed.
func (h *Homes) Remove(server string) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	host, known := h.servers[server]
	delete(h.servers, server)
	return known && h.leave(host)
}

// leave removes a server from its host and reports whether it was the last one there. The lock is
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

// Of returns the hosts that rank first and second for a workspace. They are empty if there are no
// such hosts.
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

// rank returns the two hosts with the highest hashes of workspace and host. The lock is held.
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
