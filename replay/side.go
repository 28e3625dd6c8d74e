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

// network says what becomes of messages, by direction.
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

// side is the sidecar of one server in a replay, with the server behind it.
type side struct {
	player  *player
	service string
	name    string
	vm      string
	slots   uint32
	mode    ServerMode
	leaving bool
	// pausedUntil is when a paused sidecar wakes.
	pausedUntil time.Time
	process     int
	attempts    *attempt.Table
	records     *once.Store
	store       *config.Store
	ring        outlier.Ring
}

func newSide(p *player, service string, server *slatewindv1.Server) *side {
	s := &side{
		player: p, service: service, name: server.GetName(), vm: server.GetVm(), slots: server.GetSlots(), mode: ModeOK,
	}
	s.begin()
	return s
}

// begin starts the sidecar's process without any memory.
func (s *side) begin() {
	// A process that begins at the very time of another is still another.
	s.process++
	began := s.player.now().Add(time.Duration(s.process) * time.Millisecond)
	s.attempts = attempt.NewTable(s.player.now(), attempt.NewIncarnation(began), 0)
	s.records = once.NewStore(s.player.now(), 0, 0)
	s.store = config.NewStore(s.player.journal)
	s.ring = outlier.Ring{}
}

// restart ends the process and starts another, which gets the settings that the
// old one had, as from its peers.
func (s *side) restart() {
	current := s.store.Current()
	s.begin()
	s.leaving = false
	s.pausedUntil = time.Time{}
	if current != nil {
		s.offer(current.Version.Revision, current.Text)
	}
}

func (s *side) offer(revision uint64, text []byte) {
	changed, err := s.store.Offer(s.player.now(), "trace", slatewind.Revision{Number: revision}, text)
	if err != nil || !changed {
		return
	}
	s.records.SetOwners(s.player.now(), s.service, s.store.Current().Owners[s.service])
}

func (s *side) pause(d time.Duration) {
	s.pausedUntil = s.player.now().Add(d)
}

func (s *side) paused() bool {
	return s.player.now().Before(s.pausedUntil)
}

// wake has a sidecar that was paused notice it before it does anything.
func (s *side) wake() {
	if !s.pausedUntil.IsZero() && !s.paused() {
		s.attempts.Wake(s.player.now())
		s.pausedUntil = time.Time{}
	}
}

func (s *side) tick() {
	if s.paused() {
		return
	}
	s.wake()
	s.attempts.Rotate(s.player.now())
}

func (s *side) digest() *slatewindv1.Digest {
	return &slatewindv1.Digest{
		Service: s.service, Server: s.name, Incarnation: s.attempts.Incarnation(), Slots: s.slots,
		Leaving: s.leaving, Sequence: s.ring.Sequence(), Outcomes: s.ring.Newest(nil),
	}
}

// message tells attempts from what is asked about them.
type message int

const (
	messageAttempt message = iota
	messageQuestion
)

// deliver hands a message to the sidecar, at once, late or never. A paused
// sidecar reads it at its waking. It reports whether it was read at once.
func (s *side) deliver(from string, kind message, do func()) bool {
	w := s.player.network
	if w.lost(from, s.name) {
		return false
	}
	delay := w.delays[[2]string{from, s.name}]
	if delay != nil && (kind == messageAttempt || !delay.AttemptsOnly) {
		s.player.queue.At(s.player.queue.Now()+time.Duration(delay.By), func() { s.read(do) })
		return false
	}
	return s.read(do)
}

func (s *side) read(do func()) bool {
	if s.paused() {
		s.player.queue.At(s.pausedUntil.Sub(start), func() { s.read(do) })
		return false
	}
	s.wake()
	do()
	return true
}

// ran notes that the server began to run something.
func (s *side) ran(key string) {
	p := s.player
	p.lastRun[s.name] = p.queue.Now()
	if key != "" {
		p.runs[key]++
	}
}

// send plays one repeatable request that a node sends to a sidecar.
func (p *player) send(n *node, s *side, latency time.Duration) {
	service := n.policies[s.service]
	arrived := s.deliver(n.name, messageAttempt, func() {
		if s.leaving {
			return
		}
		s.ran("")
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

// request plays a caller's once-request at a node to its final answer.
func (p *player) request(n *node, r *Request) {
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
			ran, reason := p.tryAt(n, candidates[step.Candidate], p.onceRequest(n, r, step))
			chain.Ran(ran, reason)
		case once.StepSeal:
			chain.Sealed(p.sealAll(n, candidates, p.onceRequest(n, r, step)), 0)
		default:
			p.answers[r.ID] = step.Outcome
			p.journal.Add(slatewind.Decision{
				Time: p.now(), Kind: decisionOf(step.Outcome), Service: r.Service, Request: r.ID, Reason: step.Reason,
			})
			return
		}
	}
}

func decisionOf(outcome slatewind.Outcome) slatewind.DecisionKind {
	switch outcome {
	case slatewind.OutcomeAnswer:
		return slatewind.DecisionReplay
	case slatewind.OutcomeUnknown:
		return slatewind.DecisionUnknown
	}
	return slatewind.DecisionRefuse
}

func (p *player) candidates(service *slatewindv1.Service, key string) []*side {
	names := make([]string, 0, len(service.GetServers()))
	for _, server := range service.GetServers() {
		names = append(names, server.GetName())
	}
	order := make([]int, len(names))
	once.Candidates(key, names, order)
	sides := make([]*side, len(names))
	for i, k := range order {
		sides[i] = p.sides[names[k]]
	}
	return sides
}

func (p *player) onceRequest(n *node, r *Request, step once.Step) once.Request {
	p.serial++
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
		Attempt:     r.ID + "/" + time.Duration(p.serial).String(),
	}
}

// tryAt sends an attempt to a candidate; without a reply it asks, as the
// ingress does, whether the attempt was started.
func (p *player) tryAt(n *node, s *side, r once.Request) (once.Ran, string) {
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
	asked := s.deliver(n.name, messageQuestion, func() { state = s.cancel(r, incarnation) })
	if asked && !p.network.lost(s.name, n.name) && state == slatewind.CancelNotStarted {
		return once.RanCancelled, "cancelled before the start"
	}
	return once.RanUnknown, "no reply"
}

// runOnce is what the sidecar does with an attempt that arrives.
func (s *side) runOnce(r once.Request, incarnation uint64) once.Ran {
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

func (s *side) runAtServer(r once.Request) once.Ran {
	now := s.player.now()
	if s.leaving || s.mode == ModeRefuses || !s.attempts.Start(r.Attempt) {
		s.attempts.Refuse(r.Attempt)
		s.records.Revoke(now, r.ID, r.Claim)
		return once.RanRefused
	}
	s.ran(r.ID.Key)
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

func (s *side) cancel(r once.Request, incarnation uint64) slatewind.CancelState {
	state := s.attempts.Cancel(r.Attempt, incarnation)
	if state != slatewind.CancelNotStarted {
		return state
	}
	if s.records.RunningFor(r.ID, r.Attempt) {
		s.records.Revoke(s.player.now(), r.ID, r.Claim)
	}
	return s.records.Cancelled(s.player.now(), r)
}

func (p *player) sealAll(n *node, candidates []*side, r once.Request) []once.SealReply {
	replies := make([]once.SealReply, len(candidates))
	for i, s := range candidates {
		replies[i] = once.SealReply{Unreachable: true}
		if s.mode == ModeDown {
			continue
		}
		r.ID.Server = s.name
		arrived := s.deliver(n.name, messageQuestion, func() { replies[i] = s.records.Seal(p.now(), r) })
		if !arrived || p.network.lost(s.name, n.name) {
			replies[i] = once.SealReply{Unreachable: true}
		}
	}
	return replies
}
