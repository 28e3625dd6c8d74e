package replay

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/attempt"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/once"
	"slatewind.example/slatewind/outlier"
)

// network holds the simulated network faults. The keys are sender and receiver.
type network struct {
	cuts   map[[2]string]bool
	delays map[[2]string]*Delay
}

func newNetwork() *network {
	return &network{cuts: map[[2]string]bool{}, delays: map[[2]string]*Delay{}}
}

func (w *network) cut(from, to string)       { w.cuts[[2]string{from, to}] = true }
func (w *network) heal(from, to string)      { delete(w.cuts, [2]string{from, to}) }
func (w *network) lost(from, to string) bool { return w.cuts[[2]string{from, to}] }

// sidecar is a simulated sidecar together with its server.
type sidecar struct {
	player  *player
	service string
	name    string
	vm      string
	slots   uint32
	mode    ServerMode
	leaving bool
	// pausedUntil is the end of a pause; it is zero once the sidecar has resumed.
	pausedUntil time.Time
	// processStarts counts the processes started so far.
	processStarts int
	attempts      *attempt.Table
	records       *once.Store
	store         *config.Store
	ring          outlier.Ring
}

func newSidecar(p *player, service string, server *slatewindv1.Server) *sidecar {
	s := &sidecar{
		player: p, service: service, name: server.GetName(), vm: server.GetVm(), slots: server.GetSlots(), mode: ModeOK,
	}
	s.startProcess()
	return s
}

// startProcess starts the process of the sidecar with empty state.
func (s *sidecar) startProcess() {
	// The offset makes the incarnations differ if two processes start at the same
	// virtual time.
	s.processStarts++
	started := s.player.now().Add(time.Duration(s.processStarts) * time.Millisecond)
	s.attempts = attempt.NewTable(s.player.now(), attempt.NewIncarnation(started), 0)
	s.records = once.NewStore(s.player.now(), 0, 0)
	s.store = config.NewStore(s.player.journal)
	s.ring = outlier.Ring{}
}

// restart replaces the process by a new one. It gets the settings of the old one,
// as a real process fetches them from its peers.
func (s *sidecar) restart() {
	current := s.store.Current()
	s.startProcess()
	s.leaving = false
	s.pausedUntil = time.Time{}
	if current != nil {
		s.offerSettings(current.Version.Revision, current.Text)
	}
}

func (s *sidecar) offerSettings(revision uint64, text []byte) {
	changed, err := s.store.Offer(s.player.now(), "trace", slatewind.Revision{Number: revision}, text)
	if err != nil || !changed {
		return
	}
	s.records.SetOwners(s.player.now(), s.service, s.store.Current().Owners[s.service])
}

func (s *sidecar) pause(d time.Duration) {
	s.pausedUntil = s.player.now().Add(d)
}

func (s *sidecar) paused() bool {
	return s.player.now().Before(s.pausedUntil)
}

// resume ends a pause that is over. It has to be called before the sidecar does
// anything else, so that attempts that waited during the pause are refused.
func (s *sidecar) resume() {
	if !s.pausedUntil.IsZero() && !s.paused() {
		s.attempts.Wake(s.player.now())
		s.pausedUntil = time.Time{}
	}
}

func (s *sidecar) tick() {
	if s.paused() {
		return
	}
	s.resume()
	s.attempts.Rotate(s.player.now())
}

func (s *sidecar) digest() *slatewindv1.Digest {
	return &slatewindv1.Digest{
		Service: s.service, Server: s.name, Incarnation: s.attempts.Incarnation(), Slots: s.slots,
		Leaving: s.leaving, Sequence: s.ring.Sequence(), Outcomes: s.ring.Newest(nil),
	}
}

// message distinguishes attempts from queries about attempts.
type message int

const (
	messageAttempt message = iota
	messageQuery
)

// deliver delivers a message to the sidecar: immediately, delayed, or not at all if
// the connection is cut. A paused sidecar handles it when the pause ends. The
// result reports whether the message was handled immediately.
func (s *sidecar) deliver(from string, kind message, handle func()) bool {
	w := s.player.network
	if w.lost(from, s.name) {
		return false
	}
	delay := w.delays[[2]string{from, s.name}]
	if delay != nil && (kind == messageAttempt || !delay.AttemptsOnly) {
		s.player.queue.At(s.player.queue.Now()+time.Duration(delay.By), func() { s.receive(handle) })
		return false
	}
	return s.receive(handle)
}

func (s *sidecar) receive(handle func()) bool {
	if s.paused() {
		s.player.queue.At(s.pausedUntil.Sub(start), func() { s.receive(handle) })
		return false
	}
	s.resume()
	handle()
	return true
}

// recordRun records that the server started a request; key is empty for a
// repeatable one.
func (s *sidecar) recordRun(key string) {
	p := s.player
	p.lastRun[s.name] = p.queue.Now()
	if key != "" {
		p.runs[key]++
	}
}

// sendRepeatable simulates a repeatable request from a node to a sidecar.
func (p *player) sendRepeatable(n *node, s *sidecar, latency time.Duration) {
	service := n.policies[s.service]
	arrived := s.deliver(n.name, messageAttempt, func() {
		if s.leaving {
			return
		}
		s.recordRun("")
		s.ring.Add(0, slatewind.ResultOK, latency)
	})
	if s.mode == ModeDown {
		service.ConnectFailed(p.now(), s.name)
		return
	}
	if !arrived || p.network.lost(s.name, n.name) {
		service.ReplyLost(p.now(), s.name)
		return
	}
	service.ApplyDigest(p.now(), s.digest(), true)
}

// playRequest simulates a once-request at a node up to the final answer to the
// caller.
func (p *player) playRequest(n *node, r *Request) {
	claim := slatewind.ClaimUnnumbered
	switch {
	case r.Attempt == 1:
		claim = slatewind.ClaimFirst
	case r.Attempt > 1:
		claim = slatewind.ClaimRetry
	}
	service := n.store.Current().Services[r.Service]
	candidates := p.candidates(service, r.Key)
	chain := once.NewChain(claim, len(candidates))
	for {
		step := chain.Step()
		switch step.Kind {
		case once.StepRun:
			ran, reason := p.sendAttempt(n, candidates[step.Candidate], p.onceRequest(n, r, step))
			chain.Ran(ran, reason)
		case once.StepSeal:
			chain.Sealed(p.sealAll(n, candidates, p.onceRequest(n, r, step)), 0)
		default:
			p.answers[r.ID] = step.Outcome
			p.journal.Add(slatewind.Decision{
				Time: p.now(), Kind: decisionKind(step.Outcome), Service: r.Service, Request: r.ID, Reason: step.Reason,
			})
			return
		}
	}
}

func decisionKind(outcome slatewind.Outcome) slatewind.DecisionKind {
	switch outcome {
	case slatewind.OutcomeAnswer:
		return slatewind.DecisionReplay
	case slatewind.OutcomeUnknown:
		return slatewind.DecisionUnknown
	}
	return slatewind.DecisionRefuse
}

func (p *player) candidates(service *slatewindv1.Service, key string) []*sidecar {
	names := make([]string, 0, len(service.GetServers()))
	for _, server := range service.GetServers() {
		names = append(names, server.GetName())
	}
	order := make([]int, len(names))
	once.Candidates(key, names, order)
	sidecars := make([]*sidecar, len(names))
	for i, k := range order {
		sidecars[i] = p.sidecars[names[k]]
	}
	return sidecars
}

func (p *player) onceRequest(n *node, r *Request, step once.Step) once.Request {
	p.attemptSerial++
	claim := step.Claim
	if step.Kind == once.StepSeal {
		claim = slatewind.ClaimRetry
	}
	return once.Request{
		ID:          once.ID{Service: r.Service, Key: r.Key},
		Fingerprint: once.Fingerprint("POST", r.Key, []byte(r.Body)),
		Claim:       claim,
		KeyBorn:     p.now().Add(-time.Duration(r.KeyAge)),
		Home:        step.Candidate == 0,
		Owners:      n.store.Current().Owners[r.Service],
		Attempt:     r.ID + "/" + time.Duration(p.attemptSerial).String(),
	}
}

// sendAttempt sends an attempt to a candidate. If there is no reply, it cancels the
// attempt, as the ingress does, to find out whether it was started.
func (p *player) sendAttempt(n *node, s *sidecar, r once.Request) (once.Ran, string) {
	if s.mode == ModeDown {
		return once.RanNotWritten, "the VM is down"
	}
	r.ID.Server = s.name
	incarnation := s.attempts.Incarnation()
	result := once.RanUnknown
	arrived := s.deliver(n.name, messageAttempt, func() { result = s.runOnce(r, incarnation) })
	if arrived && !p.network.lost(s.name, n.name) && s.mode != ModeHangs {
		return result, "the sidecar replied " + string(result)
	}
	state := slatewind.CancelUnknown
	delivered := s.deliver(n.name, messageQuery, func() { state = s.cancel(r, incarnation) })
	if delivered && !p.network.lost(s.name, n.name) && state == slatewind.CancelNotStarted {
		return once.RanCancelled, "cancelled before the start"
	}
	return once.RanUnknown, "no reply"
}

// runOnce handles an attempt that arrives at the sidecar.
func (s *sidecar) runOnce(r once.Request, incarnation uint64) once.Ran {
	if refusal := s.attempts.Admit(r.Attempt, incarnation); refusal != attempt.Admitted {
		return once.RanCancelled
	}
	verdict := s.records.Begin(s.player.now(), r)
	switch verdict.Action {
	case once.ActionRun:
		return s.runAtServer(r)
	case once.ActionReplay:
		s.attempts.Refuse(r.Attempt)
		return once.RanAnswer
	case once.ActionRefuse:
		s.attempts.Refuse(r.Attempt)
		return once.RanCancelled
	case once.ActionMismatch:
		s.attempts.Refuse(r.Attempt)
		return once.RanMismatch
	}
	s.attempts.Refuse(r.Attempt)
	return once.RanUnknown
}

func (s *sidecar) runAtServer(r once.Request) once.Ran {
	now := s.player.now()
	if s.leaving || s.mode == ModeRefuses || !s.attempts.Start(r.Attempt) {
		s.attempts.Refuse(r.Attempt)
		s.records.Revoke(now, r.ID, r.Claim)
		return once.RanRefused
	}
	s.recordRun(r.ID.Key)
	switch s.mode {
	case ModeHangs:
		return once.RanUnknown
	case ModeLosesAnswer:
		s.attempts.End(r.Attempt)
		s.records.MarkLost(now, r.ID)
		return once.RanUnknown
	}
	s.attempts.End(r.Attempt)
	s.records.Finish(now, r.ID, &slatewind.Answer{Status: 200})
	return once.RanAnswer
}

func (s *sidecar) cancel(r once.Request, incarnation uint64) slatewind.CancelState {
	state := s.attempts.Cancel(r.Attempt, incarnation)
	if state != slatewind.CancelNotStarted {
		return state
	}
	if s.records.RunningFor(r.ID, r.Attempt) {
		s.records.Revoke(s.player.now(), r.ID, r.Claim)
	}
	return s.records.Cancelled(s.player.now(), r)
}

func (p *player) sealAll(n *node, candidates []*sidecar, r once.Request) []once.SealReply {
	replies := make([]once.SealReply, len(candidates))
	for i, s := range candidates {
		replies[i] = once.SealReply{Unreachable: true}
		if s.mode == ModeDown {
			continue
		}
		r.ID.Server = s.name
		arrived := s.deliver(n.name, messageQuery, func() { replies[i] = s.records.Seal(p.now(), r) })
		if !arrived || p.network.lost(s.name, n.name) {
			replies[i] = once.SealReply{Unreachable: true}
		}
	}
	return replies
}
