package choice

import (
	"time"

	"slatewind.example/slatewind/breaker"
)

// Costs: 1 is a server all of whose slots are in use.
const (
	// remoteCost keeps requests in their own data centre until its servers are
	// that much fuller than others, since bytes between data centres are paid
	// for: a request leaves once it would wait for about one service time more.
	// remoteByteCost is added for each expected byte of the request and its
	// answer, up to mostRemoteCost, so that small requests leave the near slots
	// to large ones.
	remoteCost     = 1.0
	remoteByteCost = 0.25 / 1024
	mostRemoteCost = 4.0
	// sickCost stands for a sickness that was told a moment ago.
	sickCost = 3.0
	// sickRelief is the share of sickCost that a sick server is spared if it
	// still answers every request well; it shrinks with the share of successes.
	sickRelief = 0.5
	// trialShare is the share of the requests that may be trials which go first to a
	// server that waits for one. Without any such request a sick server that all processes
	// hear of is not tried while others have room (TestSickServerIsHeardOf).
	trialShare = 0.3
	// suspectCost is added for each unit of suspicion up to mostSuspicion. What was
	// told is mostly old; the process beside the server knows better (Ask.Bears).
	suspectCost   = 0.1
	mostSuspicion = 5.0
	// shedCost stands for a server that rejects every request.
	shedCost = 1.5
	// silentCost stands for a process that did not reply.
	silentCost = 10.0
	// warmingCost stands for a server that has just started and is slow.
	warmingCost = 0.5
	// quietCost stands for a server without a recent success, for requests that
	// must not be trials.
	quietCost = 0.2
	// jitter separates equals, so that many ingresses do not choose the same.
	jitter = 0.15
)

const (
	// sickMemory is how long a told sickness counts for requests that may be
	// trials, and sickMemoryCareful for the others.
	sickMemory        = 600 * time.Millisecond
	sickMemoryCareful = 2 * time.Second
	// loadMemory is how long a told load counts.
	loadMemory = 1500 * time.Millisecond
	// shedMemory is how long a told share of rejections counts.
	shedMemory = 2 * time.Second
	// recentSuccess is how old a success may be that makes a server trusted.
	recentSuccess = 700 * time.Millisecond
	// firstSilence and maxSilence bound how long a silent process is avoided.
	firstSilence = 500 * time.Millisecond
	maxSilence   = 3 * time.Second
	// sickPause is the least time before a careful request asks a sick server
	// again. fullPause and mostFullPause bound that for any request and a full
	// one: half of the time after which it is likely to have a slot. Asking all of
	// them over and over fills the network just when all are full.
	sickPause     = 300 * time.Millisecond
	fullPause     = 60 * time.Millisecond
	mostFullPause = 300 * time.Millisecond
	// spentPause is that before an extra attempt asks a server that may get none.
	spentPause = 250 * time.Millisecond
	// lastResortPause is that before a request without a better choice makes
	// itself the trial of a sick server.
	lastResortPause = 100 * time.Millisecond
	// goneMemory is how long a server is avoided at whose address another runs.
	goneMemory = 3 * time.Second
)

// passedOver returns why a server is not asked for a slot now.
func (server *Server) passedOver(now time.Time, want Request) Disposition {
	age := now.Sub(server.toldAt)
	switch {
	case server.Leaving, server.told.Leaving && age < loadMemory:
		return DispositionLeaving
	case server.told.Stopping && age < min(server.told.BackIn, mostFullPause):
		return DispositionStopping
	case server.told.Full && age < server.told.pause():
		return DispositionFull
	case want.Extra && server.told.Spent && age < spentPause:
		return DispositionSpent
	case server.told.Unhealthy && !server.trialDue(now, want):
		return DispositionSick
	}
	return DispositionNone
}

// trialDue reports whether a sick server may be asked.
func (server *Server) trialDue(now time.Time, want Request) bool {
	age := now.Sub(server.toldAt)
	switch {
	case want.LastResort:
		return server.told.SuccessShare >= breaker.MinUsefulShare || age >= sickPause || !want.RiskAverse() && age >= lastResortPause
	case want.Careful:
		return age >= max(server.told.TrialIn, sickPause)
	case want.Scarce:
		return server.trialOverdue(now)
	}
	return age >= server.told.TrialIn
}

// trialOverdue reports whether a trial of a sick server should have been made a while ago.
func (server *Server) trialOverdue(now time.Time) bool {
	return now.Sub(server.trialAt) >= breaker.TrialOverdue
}

// pause returns how long a server that was full is not asked again.
func (t *Status) pause() time.Duration {
	return min(max(t.SlotIn/2, fullPause), mostFullPause)
}

// cost returns a server's cost without the random part.
func (s *Service) cost(now time.Time, server *Server, want Request) float64 {
	cost := server.occupancy(now)
	if server.DataCentre != s.dataCentre {
		cost += min(remoteCost+remoteByteCost*want.Bytes, mostRemoteCost)
	}
	if now.Sub(server.toldAt) < shedMemory {
		cost += shedCost * server.told.ShedShare
	}
	if now.Before(server.avoid) {
		cost += silentCost
	}
	if now.Before(server.warmUntil) {
		cost += warmingCost
	}
	cost += server.sickness(now, want)
	if now.Sub(server.toldAt) < loadMemory {
		cost += suspectCost * min(server.told.Suspicion, mostSuspicion)
	}
	if want.RiskAverse() && now.Sub(server.success) > recentSuccess {
		cost += quietCost
	}
	return cost
}

// sickness is what a told sickness adds to a server's cost.
func (server *Server) sickness(now time.Time, want Request) float64 {
	memory := sickMemory
	if want.Careful {
		memory = sickMemoryCareful
	}
	if !server.told.Unhealthy || now.Sub(server.toldAt) >= memory {
		return 0
	}
	return sickCost * (1 - sickRelief*server.told.SuccessShare)
}

// trialRelief is what is taken off the cost of a server that waits for a trial, for some
// of the requests that may be one. All processes near it hear that it waits, and a few
// requests are enough.
func (s *Service) trialRelief(now time.Time, server *Server, want Request) float64 {
	due := server.told.TrialDue && (!want.Scarce || server.trialOverdue(now))
	if want.Careful || !due || s.random.Float64() >= trialShare {
		return 0
	}
	return server.sickness(now, want)
}

// heardLately reports whether what was told of the server still counts.
func (server *Server) heardLately(now time.Time) bool {
	return now.Sub(server.toldAt) <= loadMemory
}

// occupancy is how full the server is, as a share of its slots.
func (server *Server) occupancy(now time.Time) float64 {
	slots := max(float64(server.Slots), server.told.Slots, 1)
	if !server.heardLately(now) {
		return float64(server.inFlight) / slots
	}
	return (server.told.Load + float64(server.sentSince)) / slots
}
