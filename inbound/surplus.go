package inbound

import (
	"fmt"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/backend"
)

const (
	// maxSurplusLines is how many journal entries about surplus answers are written per surplusLinesInterval:
	// a server may send one with each answer.
	maxSurplusLines      = 5
	surplusLinesInterval = 10 * time.Second
)

// Meter counts what the server sends although no request asked for it.
type Meter interface {
	Surplus(kind backend.SurplusKind)
}

// SetMeter sets the meter.
func (in *Inbound) SetMeter(meter Meter) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.meter = meter
}

// recordSurplus counts what the server sent although no request asked for it and adds it to the journal, as
// far as surplusLines allows.
func (in *Inbound) recordSurplus(s backend.Surplus) {
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.meter != nil {
		in.meter.Surplus(s.Kind)
	}
	allowed, leftOut := in.surplusLines.Allow(now)
	if !allowed {
		return
	}
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionDropReply, Service: in.server.Service, Server: in.name, Request: s.Request,
		Reason: "the server sent an answer or bytes that are not known to belong to the request: " + string(s.Kind),
		Evidence: fmt.Sprintf("surplus=%s carried=%q status=%d earlier=%d last=%q lines_left_out=%d",
			s.Kind, s.Carried, s.Status, s.Earlier, s.Last, leftOut),
	})
}
