package outbound

import (
	"time"

	"slatewind.example/slatewind/choice"
)

// ServiceView is the state of one service in a state dump.
type ServiceView struct {
	Name    string        `json:"name"`
	Servers []choice.View `json:"servers"`
}

// View is the ingress's part of a state dump. Leaving reports that the process is shutting down.
type View struct {
	InFlight int           `json:"in_flight"`
	Leaving  bool          `json:"leaving"`
	Services []ServiceView `json:"services"`
	Memory   MemoryView    `json:"memory"`
}

// View returns the ingress's part of a state dump.
func (o *Outbound) View(now time.Time) View {
	v := View{InFlight: o.InFlight(), Leaving: o.stop.Load() != nil, Memory: o.memory.view()}
	o.mu.RLock()
	defer o.mu.RUnlock()
	for name, sh := range o.shards {
		sh.update(func(c *choice.Service) {
			v.Services = append(v.Services, ServiceView{Name: name, Servers: c.Views(now)})
		})
	}
	return v
}
