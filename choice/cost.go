package choice

import (
	"time"

	"slatewind.example/slatewind/breaker"
)

// Costs; 1 is a server all of whose slots are in use.
const (
	// remoteCost keeps requests in their own data centre until its servers are that much
	// fuller than others, since traffic between data centres is paid for: a request goes
	// elsewhere if it would wait for about one service time longer here. remoteByteCost is
	// added for each expected byte of the request and its answer, up to maxRemoteCost in
	// total, so that small requests leave the local slots to large ones.
	remoteCost     = 1.0
	remoteByteCost = 0.25 / 1024
	maxRemoteCost  = 4.0
	// regionFactor multiplies that cost for a server in another region: traffic between
	// regions is several times as slow and as dear.
	regionFactor = 3.0
	// unhealthyCost is added for a server that was recently reported unhealthy.
	unhealthyCost = 3.0
	// successDiscount is the share of unhealthyCost that is deducted if the unhealthy server
	// still answers all requests well; it is scaled by its share of successes.
	successDiscount = 0.5
	// trialShare is the share of the requests eligible as trials that go first to a server
	// that waits for one. Without it, an unhealthy server that all processes know to be
	// unhealthy gets no trial as long as others have room.
	trialShare = 0.3
	// suspicionCost is added for each unit of suspicion up to maxSuspicion. A reported
	// suspicion is mostly outdated; the sidecar decides by the current one
	// (Constraints.MaxSuspicion).
	suspicionCost = 0.1
	maxSuspicion  = 5.0
	// shedCost is added for a server that rejects every request, and in proportion otherwise.
	shedCost = 1.5
	// noReplyCost is added for a server whose sidecar did not reply.
	noReplyCost = 10.0
	// warmingCost is added for a server that has just started and is slow.
	warmingCost = 0.5
	// noSuccessCost is added for a server without a recent success, for requests that are
	// Careful or Scarce.
	noSuccessCost = 0.2
	// jitter is a random cost, so that many ingresses do not choose the same among equals.
	jitter = 0.15
)

const (
	// unhealthyTTL is how long a reported unhealthy state counts, unhealthyTTLCareful how
	// long for Careful requests.
	unhealthyTTL        = 600 * time.Millisecond
	unhealthyTTLCareful = 2 * time.Second
	// loadTTL is how long a reported load counts.
	loadTTL = 1500 * time.Millisecond
	// shedTTL is how long a reported share of rejections counts.
	shedTTL = 2 * time.Second
	// successTTL is how long a success exempts a server from noSuccessCost.
	successTTL = 700 * time.Millisecond
	// minAvoid and maxAvoid bound how long a sidecar that did not reply is avoided.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 3 * time.Second
	// unhealthyPause is the least age of the report of an unhealthy state at which a Careful
	// request asks the server, or a Scarce one as a last resort. Any request asks a full server again after half of the time until it probably
	// has a slot, bounded by minFullPause and maxFullPause: repeated requests to all servers
	// would saturate the network exactly when all are full.
	unhealthyPause = 300 * time.Millisecond
	minFullPause   = 60 * time.Millisecond
	maxFullPause   = 300 * time.Millisecond
	// maxLimitedPause bounds the pause before a server that is at its limit is asked again.
	maxLimitedPause = time.Second
	// spentPause is the pause before an extra attempt asks a server whose budget was spent.
	spentPause = 250 * time.Millisecond
	// lastResortPause is the least age of that report at which a LastResort request that is
	// neither Careful nor Scarce becomes a trial of the server.
	lastResortPause = 100 * time.Millisecond
	// movedAvoid is how long a server is avoided after a server of another service was found at
	// its address.
	movedAvoid = 3 * time.Second
)

// skipReason returns why a server must not be asked for a slot now, or DispositionNone if it may
// be asked.
func (server *Server) skipReason(now time.Time, request Request) Disposition {
	age := now.Sub(server.statusAt)
	switch {
	case !server.AcceptsWork(), server.stated.leaving, server.status.Leaving && age < loadTTL:
		return DispositionLeaving
	case server.status.Stopping && age < min(server.status.BackIn, maxFullPause):
		return DispositionStopping
	case server.status.Full && age < server.askAgainAfter(server.status.pause()):
		return DispositionFull
	case request.Extra && server.status.Spent && age < spentPause:
		return DispositionSpent
	case server.status.Unhealthy && !server.trialDue(now, request):
		return DispositionSick
	}
	return DispositionNone
}

// trialDue reports whether an unhealthy server may be asked by this request now. Unlike
// Status.TrialDue it depends on the constraints of the request.
func (server *Server) trialDue(now time.Time, request Request) bool {
	age := now.Sub(server.statusAt)
	switch {
	case request.LastResort:
		return server.status.SuccessShare >= breaker.MinUsefulShare || age >= server.askAgainAfter(unhealthyPause) ||
			!request.RiskAverse() && age >= server.askAgainAfter(lastResortPause)
	case request.Careful:
		return age >= max(server.status.TrialIn, unhealthyPause)
	case request.Scarce:
		return server.trialOverdue(now)
	}
	return age >= server.status.TrialIn
}

// trialOverdue reports whether a trial has been due for breaker.TrialOverdue.
func (server *Server) trialOverdue(now time.Time) bool {
	return now.Sub(server.trialAt) >= breaker.TrialOverdue
}

// askAgainAfter returns the pause before a server that refused is asked again: that of a near server,
// or several times as long in another region, since a request that is short of slots asks many
// servers again and again.
func (server *Server) askAgainAfter(near time.Duration) time.Duration {
	if server.abroad {
		return time.Duration(regionFactor * float64(near))
	}
	return near
}

// pause returns how long a full server is not asked again.
func (t *Status) pause() time.Duration {
	if t.Limited {
		return min(max(t.SlotIn, minFullPause), maxLimitedPause)
	}
	return min(max(t.SlotIn/2, minFullPause), maxFullPause)
}

// cost returns the cost of a server without jitter.
func (s *Service) cost(now time.Time, server *Server, request Request) float64 {
	cost := server.occupancy(now)
	cost += s.distanceCost(server.DataCentre, request.Bytes)
	if now.Sub(server.statusAt) < shedTTL {
		cost += shedCost * server.status.ShedShare
	}
	if now.Before(server.avoidUntil) {
		cost += noReplyCost
	}
	if now.Before(server.warmUntil) {
		cost += warmingCost
	}
	cost += server.healthCost(now, request)
	if now.Sub(server.statusAt) < loadTTL {
		cost += suspicionCost * min(server.status.Suspicion, maxSuspicion)
	}
	if request.RiskAverse() && now.Sub(server.lastSuccess) > successTTL {
		cost += noSuccessCost
	}
	return cost
}

// distanceCost returns the cost of sending a number of bytes to a data centre and back.
func (s *Service) distanceCost(dataCentre string, bytes float64) float64 {
	if dataCentre == s.from.DataCentre {
		return 0
	}
	cost := min(remoteCost+remoteByteCost*bytes, maxRemoteCost)
	if !s.from.sameRegion(dataCentre) {
		cost *= regionFactor
	}
	return cost
}

// healthCost returns the cost of a reported unhealthy state.
func (server *Server) healthCost(now time.Time, request Request) float64 {
	ttl := unhealthyTTL
	if request.Careful {
		ttl = unhealthyTTLCareful
	}
	if !server.status.Unhealthy || now.Sub(server.statusAt) >= ttl {
		return 0
	}
	return unhealthyCost * (1 - successDiscount*server.status.SuccessShare)
}

// trialDiscount returns what is deducted from the cost of a server that waits for a trial, for
// a random share of the requests eligible as one: all processes in its data centre know that
// it waits, and a few requests are enough.
func (s *Service) trialDiscount(now time.Time, server *Server, request Request) float64 {
	due := server.status.TrialDue && (!request.Scarce || server.trialOverdue(now))
	if request.Careful || !due || s.random.Float64() >= trialShare {
		return 0
	}
	return server.healthCost(now, request)
}

// hasRecentStatus reports whether the status of the server still counts.
func (server *Server) hasRecentStatus(now time.Time) bool {
	return now.Sub(server.statusAt) <= loadTTL
}

// occupancy returns the requests at the server as a share of its slots.
func (server *Server) occupancy(now time.Time) float64 {
	slots := max(float64(server.Slots), server.status.Slots, 1)
	if !server.hasRecentStatus(now) {
		return float64(server.inFlight) / slots
	}
	return (server.status.Load + float64(server.sentSince)) / slots
}
