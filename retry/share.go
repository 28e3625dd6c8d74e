package retry

// Sharer identifies one of the servers that share the slack of a service.
type Sharer struct {
	// Servers is the number of servers, Rank the number of those before this one.
	Servers, Rank int
}

// Share returns the server's part of the service's slack, in whole attempts, since a
// fraction of an attempt could never be spent. The parts of all ranks add up to the slack,
// rounded down. The share is zero if no servers are known.
func (s Sharer) Share(slack float64) float64 {
	if s.Servers <= 0 {
		return 0
	}
	attempts := int(slack)
	share := attempts / s.Servers
	if s.Rank < attempts%s.Servers {
		share++
	}
	return float64(share)
}
