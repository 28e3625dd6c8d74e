package inbound

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
)

// View is the server's part of a state dump.
type View struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Address string `json:"address"`
	Leaving string `json:"leaving,omitempty"`
	// Stopping reports that the process beside the server is shutting down.
	Stopping bool          `json:"stopping,omitempty"`
	Breaker  breaker.State `json:"breaker"`
	Score    float64       `json:"score"`
	InUse    int           `json:"in_use"`
	Queued   int           `json:"queued"`
	Slots    int           `json:"slots"`
	// WarmingUp reports that the server gets only the requests that it bears while it warms up.
	WarmingUp bool `json:"warming_up,omitempty"`
	// Limit is the limit that the server states.
	Limit slatewind.ServerLimit `json:"limit,omitzero"`
	// Connections is the total number of connections that were opened to the server.
	Connections uint64 `json:"connections_opened"`
}

// View returns the server's part of a state dump.
func (in *Inbound) View() View {
	in.mu.Lock()
	defer in.mu.Unlock()
	return View{
		Service: in.server.Service, Server: in.name, Address: in.server.Address, Leaving: in.leavingReason, Stopping: in.shutdown != nil,
		Breaker: in.breaker.State(), Score: in.breaker.Score(),
		InUse: in.slots.InUse(), Queued: in.slots.Queued(), Slots: in.slots.Slots(), Connections: in.pool.Opened(), WarmingUp: in.warmup.WarmingUp(time.Now()), Limit: in.limit.Limit(),
	}
}
