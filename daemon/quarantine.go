package daemon

import (
	"slices"
	"time"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
)

// mostSuspects bounds the records that an exchange of gossip tells, some 60 bytes each.
const mostSuspects = 16

// newSuspects returns the table of a process with a list of VMs.
func (p *Process) newSuspects() *quarantine.Table {
	spread := func(records []quarantine.Record) { p.gossip.Tell(p.sameServices(), link.SuspectsOf(records)) }
	listed := func(digest quarantine.Digest, verdict quarantine.Verdict) {
		p.journal.Add(verdict.Decision(time.Now(), digest))
	}
	return quarantine.NewTable(spread, listed)
}

// sameServices returns the other VMs that have servers of a service of which this one has some.
func (p *Process) sameServices() []string {
	snapshot := p.store.Current()
	if snapshot == nil {
		return nil
	}
	var all []string
	for _, service := range snapshot.Fleet.GetServices() {
		var others []string
		own := false
		for _, server := range service.GetServers() {
			if server.GetVm() == p.settings.GetVm() {
				own = true
				continue
			}
			others = append(others, server.GetVm())
		}
		if own {
			all = append(all, others...)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Suspects implements gossip.Events.
func (p *Process) Suspects(now time.Time) []*slatewindv1.Suspect {
	records := p.suspects.Records(now)
	return link.SuspectsOf(records[:min(len(records), mostSuspects)])
}

// HeardSuspects implements gossip.Events.
func (p *Process) HeardSuspects(now time.Time, suspects []*slatewindv1.Suspect) {
	p.suspects.Merge(now, link.RecordsOf(suspects))
}
