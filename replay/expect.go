package replay

import (
	"fmt"
	"time"

	"slatewind.example/slatewind/history"
)

// checkExpectations reports every expectation of the trace that was not met.
func (p *player) checkExpectations() {
	for i, x := range p.trace.Expect {
		if reason := p.checkExpectation(x); reason != "" {
			p.addMiss(i, reason)
		}
	}
}

// checkExpectation returns why an expectation was not met, or an empty string.
func (p *player) checkExpectation(x Expect) string {
	switch {
	case x.Ejected != nil:
		return p.checkEjected(x.Ejected)
	case x.NeverEjected != nil:
		return p.checkNeverEjected(x.NeverEjected)
	case x.Floor != nil:
		// checkFloors checks the floors at every tick; here it is only checked that
		// the service exists.
		return p.checkServiceExists(x.Floor.Service)
	case x.InForce != nil:
		return p.checkInForce(x.InForce)
	case x.NoStart != nil:
		return p.checkNoStart(x.NoStart)
	case x.Runs != nil:
		return p.checkRuns(x.Runs)
	case x.Answer != nil:
		return p.checkAnswer(x.Answer)
	case x.State != nil:
		return p.checkState(x.State)
	case x.Decision != nil:
		return p.checkDecision(x.Decision)
	}
	return "the expectation is empty"
}

func (p *player) checkEjected(x *Ejected) string {
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

func (p *player) checkNeverEjected(x *Subject) string {
	for _, e := range p.ejected {
		if e.server == x.Server && (x.Node == "" || x.Node == e.node) {
			return fmt.Sprintf("%s ejected %s at %s", e.node, e.server, e.at)
		}
	}
	return ""
}

func (p *player) checkServiceExists(name string) string {
	for _, service := range p.fleet.GetServices() {
		if service.GetName() == name {
			return ""
		}
	}
	return fmt.Sprintf("there is no service %q in the settings", name)
}

func (p *player) checkInForce(x *InForce) string {
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

func (p *player) checkNoStart(x *NoStart) string {
	if p.sidecars[x.Server] == nil {
		return fmt.Sprintf("there is no server %q", x.Server)
	}
	if last, ok := p.lastRun[x.Server]; ok && last > time.Duration(x.After) {
		return fmt.Sprintf("%s started a request at %s", x.Server, last)
	}
	return ""
}

func (p *player) checkRuns(x *Runs) string {
	n := p.runs[x.Key]
	if x.AtMost != nil && n > *x.AtMost {
		return fmt.Sprintf("key %s ran %d times, at most %d expected", x.Key, n, *x.AtMost)
	}
	if x.Is != nil && n != *x.Is {
		return fmt.Sprintf("key %s ran %d times, %d expected", x.Key, n, *x.Is)
	}
	return ""
}

func (p *player) checkAnswer(x *AnswerIs) string {
	outcome, ok := p.answers[x.Request]
	if !ok {
		return fmt.Sprintf("request %s got no answer", x.Request)
	}
	if outcome != x.Outcome {
		return fmt.Sprintf("request %s got the outcome %s, not %s", x.Request, outcome, x.Outcome)
	}
	return ""
}

func (p *player) checkState(x *StateIs) string {
	for _, n := range p.nodes {
		if n.name != x.Node {
			continue
		}
		service := p.servicePolicy(n, x.Server)
		if service == nil {
			return fmt.Sprintf("there is no server %q", x.Server)
		}
		if state := service.State(x.Server); state != x.State {
			return fmt.Sprintf("%s treats %s as %s, not %s", n.name, x.Server, state, x.State)
		}
		return ""
	}
	return fmt.Sprintf("there is no node %q", x.Node)
}

func (p *player) checkDecision(x *DecidedOn) string {
	for _, d := range p.journal.Find(history.Filter{Server: x.Server}) {
		if d.Kind == x.Kind {
			return ""
		}
	}
	return fmt.Sprintf("no decision %s about %s", x.Kind, x.Server)
}
