package replay

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/policy"
)

// happen plays one event.
func (p *player) happen(e Event) {
	switch {
	case e.Sick != nil:
		p.mark(e.Sick)
	case e.Outcome != nil:
		p.outcome(e)
	case e.Lost != nil:
		p.lost(e)
	case e.Probe != nil:
		p.probe(e)
	case e.Load != nil:
		p.load(e)
	case e.Traffic != nil:
		p.traffic(e)
	case e.Leaving != nil:
		p.leaving(e)
	case e.Listed != nil:
		p.listed(e)
	case e.Settings != nil:
		if err := p.applySettings(e.Settings); err != nil {
			p.journal.Add(slatewind.Decision{Time: p.now(), Kind: slatewind.DecisionSettingsIgnored, Reason: err.Error()})
		}
	case e.Sync != nil:
		p.sync(e.Sync)
	default:
		p.happenAtSides(e)
	}
}

func (p *player) happenAtSides(e Event) {
	switch {
	case e.Cut != nil:
		p.network.cut(e.Cut.From, e.Cut.To)
	case e.Heal != nil:
		p.network.heal(e.Heal.From, e.Heal.To)
	case e.Delay != nil:
		p.network.delays[[2]string{e.Delay.From, e.Delay.To}] = e.Delay
	case e.Pause != nil:
		p.sides[e.Pause.Server].pause(time.Duration(e.Pause.For))
	case e.Restart != nil:
		p.sides[e.Restart.Server].restart()
	case e.Server != nil:
		p.sides[e.Server.Name].mode = e.Server.Mode
	case e.Request != nil:
		p.at(e, func(n *node) { p.request(n, e.Request) })
	}
}

func (p *player) mark(s *Sick) {
	if s.Over {
		delete(p.sick, s.Server)
		return
	}
	p.sick[s.Server] = p.queue.Now()
}

func (p *player) outcome(e Event) {
	o := e.Outcome
	class := uint8(o.Class)
	if o.Route != "" {
		class = outlier.Class(o.Route)
	}
	latency := float64(o.Latency) * math.Exp(o.Spread*p.random.NormFloat64())
	p.at(e, func(n *node) {
		if service := p.servicePolicy(n, o.Server); service != nil {
			service.Observe(p.now(), slatewind.Observation{Server: o.Server, Class: class, Result: o.Result, Latency: time.Duration(latency)})
		}
	})
}

func (p *player) lost(e Event) {
	p.at(e, func(n *node) {
		service := p.servicePolicy(n, e.Lost.Server)
		switch {
		case service == nil:
		case e.Lost.Unsent:
			service.ConnectFailed(p.now(), e.Lost.Server)
		default:
			service.ReplyLost(p.now(), e.Lost.Server)
		}
	})
}

func (p *player) probe(e Event) {
	if !e.Probe.Failed {
		return
	}
	p.at(e, func(n *node) {
		if service := p.servicePolicy(n, e.Probe.Server); service != nil {
			service.Observe(p.now(), slatewind.Observation{Server: e.Probe.Server, Result: slatewind.ResultProbeFailed})
		}
	})
}

func (p *player) load(e Event) {
	s := p.sides[e.Load.Server]
	p.at(e, func(n *node) {
		digest := s.digest()
		digest.InFlight = e.Load.InFlight
		digest.Queued = e.Load.Queued
		n.policies[s.service].ApplyDigest(p.now(), digest, true)
	})
}

// traffic has ingresses choose a server for a repeatable request.
func (p *player) traffic(e Event) {
	p.at(e, func(n *node) {
		service := n.policies[e.Traffic.Service]
		if service == nil {
			return
		}
		i := service.Pick(p.now(), slatewind.KindRepeatable, nil)
		if i == policy.None {
			return
		}
		server := service.Name(i)
		started := service.Started(p.now(), i, 0)
		p.send(n, p.sides[server], time.Duration(e.Traffic.Latency))
		service.Ended(started)
	})
}

func (p *player) leaving(e Event) {
	s := p.sides[e.Leaving.Server]
	s.leaving = !e.Leaving.Over
	if e.Leaving.Silent {
		return
	}
	p.at(e, func(n *node) { n.policies[s.service].ApplyDigest(p.now(), s.digest(), false) })
}

func (p *player) listed(e Event) {
	for _, s := range p.sides {
		if s.vm == e.Listed.VM {
			p.at(e, func(n *node) {
				n.policies[s.service].SetLeaving(p.now(), s.name, e.Listed.State == slatewind.VMLeaving)
			})
		}
	}
}

// applySettings offers a file to nodes and sidecars.
func (p *player) applySettings(s *Settings) error {
	text := s.Text
	if text == "" {
		text = p.trace.Settings
		for from, to := range s.Replace {
			if !strings.Contains(text, from) {
				return Error.New("settings revision %d: nothing to replace for %q", s.Revision, from)
			}
			text = strings.ReplaceAll(text, from, to)
		}
	}
	for _, n := range p.nodes {
		if concerns(s.To, n.name) {
			p.offer(n, s.Revision, []byte(text))
		}
	}
	for _, side := range p.sides {
		if concerns(s.To, side.name) {
			side.offer(s.Revision, []byte(text))
		}
	}
	return nil
}

func concerns(to []string, name string) bool {
	if len(to) == 0 {
		return true
	}
	return slices.Contains(to, name)
}

func (p *player) offer(n *node, revision uint64, text []byte) {
	before := n.store.Version()
	changed, err := n.store.Offer(p.now(), "trace", slatewind.Revision{Number: revision}, text)
	if err != nil || !changed {
		return
	}
	if before.Newer(n.store.Version()) {
		p.miss(-1, fmt.Sprintf("%s went back from revision %d to %d", n.name, before.Revision, revision))
	}
	n.revisions = append(n.revisions, inForce{at: p.queue.Now(), revision: revision})
	for name, service := range n.policies {
		if settings := n.store.Current().Services[name]; settings != nil {
			service.Update(p.now(), settings, func(string) string { return "" })
		}
	}
}

// sync has one node take another's settings, as gossip does.
func (p *player) sync(s *Sync) {
	if p.network.lost(s.From, s.To) {
		return
	}
	var from, to *node
	for _, n := range p.nodes {
		if n.name == s.From {
			from = n
		}
		if n.name == s.To {
			to = n
		}
	}
	if from == nil || to == nil || from.store.Current() == nil {
		return
	}
	current := from.store.Current()
	p.offer(to, current.Version.Revision, current.Text)
}
