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

// playEvent applies one event to the replay.
func (p *player) playEvent(e Event) {
	switch {
	case e.Sick != nil:
		p.playSick(e.Sick)
	case e.Outcome != nil:
		p.playOutcome(e)
	case e.Lost != nil:
		p.playLost(e)
	case e.Probe != nil:
		p.playProbe(e)
	case e.Load != nil:
		p.playLoad(e)
	case e.Traffic != nil:
		p.playTraffic(e)
	case e.Leaving != nil:
		p.playLeaving(e)
	case e.Listed != nil:
		p.playListed(e)
	case e.Settings != nil:
		if err := p.applySettings(e.Settings); err != nil {
			p.journal.Add(slatewind.Decision{Time: p.now(), Kind: slatewind.DecisionSettingsIgnored, Reason: err.Error()})
		}
	case e.Sync != nil:
		p.playSync(e.Sync)
	default:
		p.playNetworkOrSidecarEvent(e)
	}
}

func (p *player) playNetworkOrSidecarEvent(e Event) {
	switch {
	case e.Cut != nil:
		p.network.cut(e.Cut.From, e.Cut.To)
	case e.Heal != nil:
		p.network.heal(e.Heal.From, e.Heal.To)
	case e.Delay != nil:
		p.network.delays[[2]string{e.Delay.From, e.Delay.To}] = e.Delay
	case e.Pause != nil:
		p.sidecars[e.Pause.Server].pause(time.Duration(e.Pause.For))
	case e.Restart != nil:
		p.sidecars[e.Restart.Server].restart()
	case e.Server != nil:
		p.sidecars[e.Server.Name].mode = e.Server.Mode
	case e.Request != nil:
		p.forNodes(e, func(n *node) { p.playRequest(n, e.Request) })
	}
}

func (p *player) playSick(s *Sick) {
	if s.Over {
		delete(p.sickSince, s.Server)
		return
	}
	p.sickSince[s.Server] = p.queue.Now()
}

func (p *player) playOutcome(e Event) {
	o := e.Outcome
	class := uint8(o.Class)
	if o.Route != "" {
		class = outlier.Class(o.Route)
	}
	latency := float64(o.Latency) * math.Exp(o.Spread*p.random.NormFloat64())
	p.forNodes(e, func(n *node) {
		if service := p.servicePolicy(n, o.Server); service != nil {
			service.Observe(p.now(), slatewind.Observation{Server: o.Server, Class: class, Result: o.Result, Latency: time.Duration(latency)})
		}
	})
}

func (p *player) playLost(e Event) {
	p.forNodes(e, func(n *node) {
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

func (p *player) playProbe(e Event) {
	if !e.Probe.Failed {
		return
	}
	p.forNodes(e, func(n *node) {
		if service := p.servicePolicy(n, e.Probe.Server); service != nil {
			service.Observe(p.now(), slatewind.Observation{Server: e.Probe.Server, Result: slatewind.ResultProbeFailed})
		}
	})
}

func (p *player) playLoad(e Event) {
	s := p.sidecars[e.Load.Server]
	p.forNodes(e, func(n *node) {
		digest := s.digest()
		digest.InFlight = e.Load.InFlight
		digest.Queued = e.Load.Queued
		n.policies[s.service].ApplyDigest(p.now(), digest, true)
	})
}

// playTraffic has each node that the event concerns pick a server and send it one
// repeatable request.
func (p *player) playTraffic(e Event) {
	p.forNodes(e, func(n *node) {
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
		p.sendRepeatable(n, p.sidecars[server], time.Duration(e.Traffic.Latency))
		service.Ended(started)
	})
}

func (p *player) playLeaving(e Event) {
	s := p.sidecars[e.Leaving.Server]
	s.leaving = !e.Leaving.Over
	if e.Leaving.Silent {
		return
	}
	p.forNodes(e, func(n *node) { n.policies[s.service].ApplyDigest(p.now(), s.digest(), false) })
}

func (p *player) playListed(e Event) {
	for _, s := range p.sidecars {
		if s.vm == e.Listed.VM {
			p.forNodes(e, func(n *node) {
				n.policies[s.service].SetLeaving(p.now(), s.name, e.Listed.State == slatewind.VMLeaving)
			})
		}
	}
}

// applySettings offers a settings file to its recipients among the nodes and
// sidecars.
func (p *player) applySettings(s *Settings) error {
	text := s.Text
	if text == "" {
		text = p.trace.Settings
		for from, to := range s.Replace {
			if !strings.Contains(text, from) {
				return Error.New("settings revision %d: replace: %q is not in the settings of the trace", s.Revision, from)
			}
			text = strings.ReplaceAll(text, from, to)
		}
	}
	for _, n := range p.nodes {
		if isRecipient(s.To, n.name) {
			p.offerSettings(n, s.Revision, []byte(text))
		}
	}
	for _, recipient := range p.sidecars {
		if isRecipient(s.To, recipient.name) {
			recipient.offerSettings(s.Revision, []byte(text))
		}
	}
	return nil
}

func isRecipient(to []string, name string) bool {
	if len(to) == 0 {
		return true
	}
	return slices.Contains(to, name)
}

func (p *player) offerSettings(n *node, revision uint64, text []byte) {
	before := n.store.Version()
	changed, err := n.store.Offer(p.now(), "trace", slatewind.Revision{Number: revision}, text)
	if err != nil || !changed {
		return
	}
	if before.Newer(n.store.Version()) {
		p.addMiss(-1, fmt.Sprintf("settings of %s went back from revision %d to %d", n.name, before.Revision, revision))
	}
	n.revisions = append(n.revisions, revisionChange{at: p.queue.Now(), revision: revision})
	for name, service := range n.policies {
		if settings := n.store.Current().Services[name]; settings != nil {
			service.Update(p.now(), settings, func(string) string { return "" })
		}
	}
}

// playSync has one node fetch the settings of another, as gossip does.
func (p *player) playSync(s *Sync) {
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
	p.offerSettings(to, current.Version.Revision, current.Text)
}
