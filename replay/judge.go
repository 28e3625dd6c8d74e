package replay

import (
	"fmt"
	"time"

	"slatewind.example/slatewind/history"
)

// judge compares what happened with each stated outcome.
func (p *player) judge() {
	for i, x := range p.trace.Expect {
		if reason := p.failure(x); reason != "" {
			p.miss(i, reason)
		}
	}
}

// failure returns why a stated outcome did not come about, or nothing.
func (p *player) failure(x Expect) string {
	switch {
	case x.Ejected != nil:
		return p.notEjected(x.Ejected)
	case x.NeverEjected != nil:
		return p.wasEjected(x.NeverEjected)
	case x.Floor != nil:
		// Floors are checked at every tick; here only that the service exists.
		return p.unknownService(x.Floor.Service)
	case x.InForce != nil:
		return p.notInForce(x.InForce)
	case x.NoStart != nil:
		return p.startedLate(x.NoStart)
	case x.Runs != nil:
		return p.wrongRuns(x.Runs)
	case x.Answer != nil:
		return p.wrongAnswer(x.Answer)
	case x.State != nil:
		return p.wrongState(x.State)
	case x.Decision != nil:
		return p.undecided(x.Decision)
	}
	return "the expectation states nothing"
}

func (p *player) notEjected(x *Ejected) string {
	for _, n := range p.nodes {
		if x.Node != "" && x.Node != n.name {
			continue
		}
		if !p.ejectedBy(n.name, x.Server, time.Duration(x.By)) {
			return fmt.Sprintf("%s had not ejected %s by %s", n.name, x.Server, time.Duration(x.By))
		}
	}
	return ""
}

func (p *player) ejectedBy(node, server string, by time.Duration) bool {
	for _, e := range p.ejected {
		if e.node == node && e.server == server && e.at <= by {
			return true
		}
	}
	return false
}

func (p *player) wasEjected(x *Subject) string {
	for _, e := range p.ejected {
		if e.server == x.Server && (x.Node == "" || x.Node == e.node) {
			return fmt.Sprintf("%s ejected %s at %s", e.node, e.server, e.at)
		}
	}
	return ""
}

func (p *player) unknownService(name string) string {
	for _, service := range p.fleet.GetServices() {
		if service.GetName() == name {
			return ""
		}
	}
	return fmt.Sprintf("the settings have no service %q", name)
}

func (p *player) notInForce(x *InForce) string {
	for _, n := range p.nodes {
		if n.name != x.Node {
			continue
		}
		revision := uint64(0)
		for _, r := range n.revisions {
			if r.at <= time.Duration(x.At) {
				revision = r.revision
			}
		}
		if revision != x.Revision {
			return fmt.Sprintf("%s had revision %d in force, not %d", n.name, revision, x.Revision)
		}
		return ""
	}
	return fmt.Sprintf("there is no node %q", x.Node)
}

func (p *player) startedLate(x *NoStart) string {
	if p.sides[x.Server] == nil {
		return fmt.Sprintf("there is no server %q", x.Server)
	}
	if last, ok := p.lastRun[x.Server]; ok && last > time.Duration(x.After) {
		return fmt.Sprintf("%s started something at %s", x.Server, last)
	}
	return ""
}

func (p *player) wrongRuns(x *Runs) string {
	n := p.runs[x.Key]
	if x.AtMost != nil && n > *x.AtMost {
		return fmt.Sprintf("key %s ran %d times, at most %d stated", x.Key, n, *x.AtMost)
	}
	if x.Is != nil && n != *x.Is {
		return fmt.Sprintf("key %s ran %d times, %d stated", x.Key, n, *x.Is)
	}
	return ""
}

func (p *player) wrongAnswer(x *AnswerIs) string {
	told, ok := p.answers[x.Request]
	if !ok {
		return fmt.Sprintf("request %s got no answer", x.Request)
	}
	if told != x.Outcome {
		return fmt.Sprintf("request %s was told %s, not %s", x.Request, told, x.Outcome)
	}
	return ""
}

func (p *player) wrongState(x *StateIs) string {
	for _, n := range p.nodes {
		if n.name != x.Node {
			continue
		}
		service := p.servicePolicy(n, x.Server)
		if service == nil {
			return fmt.Sprintf("there is no server %q", x.Server)
		}
		if state := service.State(x.Server); state != x.State {
			return fmt.Sprintf("%s has %s as %s, not %s", n.name, x.Server, state, x.State)
		}
		return ""
	}
	return fmt.Sprintf("there is no node %q", x.Node)
}

func (p *player) undecided(x *DecidedOn) string {
	for _, d := range p.journal.Find(history.Filter{Server: x.Server}) {
		if d.Kind == x.Kind {
			return ""
		}
	}
	return fmt.Sprintf("no decision %s about %s", x.Kind, x.Server)
}
