package daemon

import (
	"slices"
	"time"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
)

// maxGossipSuspects bounds the records in one gossip message, some 60 bytes each.
const maxGossipSuspects = 16

// newSuspects returns the quarantine table of a Process. New records are sent at once to the VMs
// that have servers of the same services.
func (p *Process) newSuspects() *quarantine.Table {
	publish := func(records []quarantine.Record) {
		p.gossip.SendSuspects(p.vmsOfSameServices(), link.SuspectsOf(records))
	}
	recordQuarantine := func(digest quarantine.Digest, verdict quarantine.Verdict) {
		p.journal.Add(verdict.Decision(time.Now(), digest))
	}
	return quarantine.NewTable(publish, recordQuarantine)
}

// vmsOfSameServices returns the other VMs that have servers of the services of this VM's servers,
// sorted and without duplicates.
func (p *Process) vmsOfSameServices() []string {
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
	return link.SuspectsOf(records[:min(len(records), maxGossipSuspects)])
}

// SuspectsReceived implements gossip.Events.
func (p *Process) SuspectsReceived(now time.Time, suspects []*slatewindv1.Suspect) {
	p.suspects.Merge(now, link.RecordsOf(suspects))
}
