// Package once keeps the records that let a request run at most once by its
// key.
//
// One rule carries everything: a sidecar runs a once-request only if its own
// memory, or a proof it was given, excludes every earlier run of it.
//
//   - A first attempt is known to be the first, so nothing can have run it. It
//     may go on to the next candidate after a candidate revoked it.
//   - A retry runs only where a record says "revoked", at the home of the key,
//     and only after every candidate was sealed (see Resolve).
//   - An attempt that does not say its number runs only at the home, and only
//     if the home's memory reaches back to before the key was made.
//
// The memory of a sidecar has a cover: the time from which it is complete. A
// start of the process, a change of the service's servers and an evicted
// record each move the cover forward, which turns later doubt into "unknown"
// and never into a second run.
package once

import (
	"container/list"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/attempt"
)

// Default bounds of a store.
const (
	DefaultRecords     = 20000
	DefaultAnswerBytes = 8 << 20
)

// maxAnswerBytes is the largest answer that is stored; larger ones are
// remembered as having run, without the answer.
const maxAnswerBytes = 64 << 10

// minBanAge is how long a revoked or sealed record stays even under pressure:
// until no attempt sent before it can still arrive. It is two epochs of package
// attempt.
const minBanAge = 2 * attempt.Epoch

// ID names one record: the same key at another server is another record.
type ID struct {
	Service string
	Server  string
	Key     string
}

// Request is a once-request as it arrives at a sidecar.
type Request struct {
	ID ID
	// Fingerprint is a checksum of method, target and body.
	Fingerprint uint64
	Claim       slatewind.Claim
	// KeyBorn is the earliest time at which the key can have been made; for
	// unnumbered claims.
	KeyBorn time.Time
	// Home says that the server is the first candidate of the key.
	Home bool
	// Owners is the digest of the server names by which the home was chosen.
	Owners uint64
	// Attempt is the id of the attempt that asks.
	Attempt string
}

// Action is what a sidecar does with a once-request.
type Action string

// Actions of a sidecar.
const (
	// ActionRun: run it, then call Finish, Lose or Revoke.
	ActionRun Action = "run"
	// ActionJoin: it is running; wait for its end.
	ActionJoin Action = "join"
	// ActionReplay: give the stored answer.
	ActionReplay Action = "replay"
	// ActionRefuse: not run; nothing is said about earlier attempts.
	ActionRefuse Action = "refuse"
	// ActionUnknown: an earlier attempt may have run.
	ActionUnknown Action = "unknown"
	// ActionMismatch: the key belongs to another request.
	ActionMismatch Action = "mismatch"
)

// Verdict is the answer of Begin.
type Verdict struct {
	Action Action
	Reason string
	// Answer is set for ActionReplay.
	Answer *slatewind.Answer
}

type record struct {
	id          ID
	fingerprint uint64
	// attempt is the id of the attempt for which it runs or ran.
	attempt string
	state   slatewind.RecordState
	answer  *slatewind.Answer
	since   time.Time
	// element is the record's place in the list of its sort.
	element *list.Element
	list    *list.List
}

// ban reports whether the record only forbids runs.
func (r *record) ban() bool {
	return r.state == slatewind.RecordRevoked || r.state == slatewind.RecordSealed
}

// cover is the reach of the memory for one service.
type cover struct {
	start  time.Time
	owners uint64
}

// Store holds the records of one sidecar. It is not safe for use by several
// goroutines; its host guards it.
type Store struct {
	maxRecords     int
	maxAnswerBytes int
	start          time.Time
	records        map[ID]*record
	// runs and bans list the records by their last change, oldest first. Bans
	// (revoked and sealed) may take half of the store, so that retries whose
	// first attempts are forgotten leave room for new requests.
	runs, bans  *list.List
	answerBytes int
	covers      map[string]*cover
}

// NewStore returns an empty store; zero bounds mean the defaults.
func NewStore(now time.Time, maxRecords, maxBytes int) *Store {
	if maxRecords <= 0 {
		maxRecords = DefaultRecords
	}
	if maxBytes <= 0 {
		maxBytes = DefaultAnswerBytes
	}
	return &Store{
		maxRecords:     maxRecords,
		maxAnswerBytes: maxBytes,
		start:          now,
		records:        map[ID]*record{},
		runs:           list.New(),
		bans:           list.New(),
		covers:         map[string]*cover{},
	}
}

// SetOwners notes the digest of a service's server names now in force. A
// change moves the cover: keys may have had their home elsewhere before.
func (s *Store) SetOwners(now time.Time, service string, owners uint64) {
	c := s.covers[service]
	if c == nil {
		s.covers[service] = &cover{start: now, owners: owners}
		return
	}
	if c.owners != owners {
		c.owners = owners
		c.start = now
	}
}

// Begin decides what to do with a once-request that arrived.
func (s *Store) Begin(now time.Time, r Request) Verdict {
	if !s.sameOwners(r) {
		return s.ownersDiffer(r)
	}
	if known := s.records[r.ID]; known != nil {
		return s.beginKnown(now, known, r)
	}
	switch r.Claim {
	case slatewind.ClaimFirst:
		return s.run(now, r, "first attempt")
	case slatewind.ClaimUnnumbered:
		return s.beginUnnumbered(now, r)
	default:
		return Verdict{Action: ActionUnknown, Reason: "a retry without a record: an earlier attempt may have run"}
	}
}

// sameOwners reports whether ingress and sidecar name the same servers.
func (s *Store) sameOwners(r Request) bool {
	c := s.covers[r.ID.Service]
	return c != nil && c.owners == r.Owners
}

func (s *Store) ownersDiffer(r Request) Verdict {
	const reason = "ingress and sidecar have different settings for the service"
	if r.Claim == slatewind.ClaimFirst {
		return Verdict{Action: ActionRefuse, Reason: reason}
	}
	return Verdict{Action: ActionUnknown, Reason: reason}
}

func (s *Store) beginUnnumbered(now time.Time, r Request) Verdict {
	if !r.Home {
		return Verdict{Action: ActionUnknown, Reason: "an attempt without a number runs only at the home of its key"}
	}
	if !s.coverStart(r.ID.Service).Before(r.KeyBorn) {
		return Verdict{Action: ActionUnknown, Reason: "the memory of the home does not reach back to the making of the key; send Slatewind-Attempt, or a UUIDv7 as key"}
	}
	return s.run(now, r, "no record since before the key was made")
}

func (s *Store) beginKnown(now time.Time, known *record, r Request) Verdict {
	if known.fingerprint != 0 && r.Fingerprint != known.fingerprint {
		return Verdict{Action: ActionMismatch, Reason: "the key was used with another request"}
	}
	switch known.state {
	case slatewind.RecordRunning:
		return Verdict{Action: ActionJoin, Reason: "the request is running"}
	case slatewind.RecordDone:
		if known.answer == nil {
			return Verdict{Action: ActionUnknown, Reason: "the request ran; its answer was too large to keep"}
		}
		return Verdict{Action: ActionReplay, Reason: "the request ran before", Answer: known.answer}
	case slatewind.RecordLost:
		return Verdict{Action: ActionUnknown, Reason: "the request was started and its answer was lost"}
	}
	return s.beginRevoked(now, known, r)
}

func (s *Store) beginRevoked(now time.Time, known *record, r Request) Verdict {
	if r.Claim == slatewind.ClaimFirst {
		return Verdict{Action: ActionRefuse, Reason: "the key was revoked here"}
	}
	if r.Claim != slatewind.ClaimRetry || !r.Home {
		return Verdict{Action: ActionUnknown, Reason: "the key was revoked here and may have been handed over"}
	}
	known.state = slatewind.RecordRunning
	known.fingerprint = r.Fingerprint
	known.attempt = r.Attempt
	s.touch(now, known)
	return Verdict{Action: ActionRun, Reason: "every candidate was sealed and none had run it"}
}

func (s *Store) run(now time.Time, r Request, reason string) Verdict {
	if !s.makeRoom(now) {
		return Verdict{Action: ActionRefuse, Reason: "no memory left for records of once-requests"}
	}
	s.insert(now, r, slatewind.RecordRunning)
	return Verdict{Action: ActionRun, Reason: reason}
}

// Finish stores the answer of a running record.
func (s *Store) Finish(now time.Time, id ID, answer *slatewind.Answer) {
	known := s.records[id]
	if known == nil {
		return
	}
	known.state = slatewind.RecordDone
	if size := answerSize(answer); !answer.BodyOmitted && size <= maxAnswerBytes {
		known.answer = answer
		s.answerBytes += size
	}
	s.touch(now, known)
	s.shrinkAnswers()
}

// Lose notes that a running record was started and its answer lost.
func (s *Store) Lose(now time.Time, id ID) {
	if known := s.records[id]; known != nil {
		known.state = slatewind.RecordLost
		s.touch(now, known)
	}
}

// Revoke notes that a running record was proved not to have been started. A
// first attempt may now be handed over, so the record stays as revoked; an
// attempt without a number is only forgotten, for it goes nowhere else.
func (s *Store) Revoke(now time.Time, id ID, claim slatewind.Claim) {
	known := s.records[id]
	if known == nil || known.state != slatewind.RecordRunning {
		return
	}
	if claim == slatewind.ClaimUnnumbered {
		s.remove(known)
		return
	}
	if !s.banAllowed(now) {
		s.remove(known)
		return
	}
	known.state = slatewind.RecordRevoked
	s.touch(now, known)
}

// Cancelled settles the record of an attempt that will not start, because it was
// cancelled or refused before its record was asked: not started if no other
// attempt has run the request here either. A first attempt leaves a revoked
// record, the proof for later retries. It leaves none if ingress and sidecar
// have different settings: the ingress may then hand over to a server that the
// later retries do not know.
func (s *Store) Cancelled(now time.Time, r Request) slatewind.CancelState {
	known := s.records[r.ID]
	if known != nil {
		if known.state == slatewind.RecordRevoked || known.state == slatewind.RecordSealed {
			return slatewind.CancelNotStarted
		}
		return slatewind.CancelStarted
	}
	if r.Claim == slatewind.ClaimFirst && s.sameOwners(r) && s.makeRoomForBan(now) {
		s.insert(now, r, slatewind.RecordRevoked)
	}
	return slatewind.CancelNotStarted
}

// RunningFor reports whether a record is running for an attempt.
func (s *Store) RunningFor(id ID, attempt string) bool {
	known := s.records[id]
	return known != nil && known.state == slatewind.RecordRunning && known.attempt == attempt
}

// Seal is the answer to an ingress that asks what became of a key. Where no
// record exists the key is sealed, so that an attempt still on its way is
// refused from now on. Sealed is less than revoked: it does not say that nothing
// ran before, or a second retry would take the first one's seal for a proof.
func (s *Store) Seal(now time.Time, r Request) SealReply {
	if !s.sameOwners(r) {
		return SealReply{OwnersDiffer: true}
	}
	reply := SealReply{CoverAge: s.CoverAge(now, r.ID.Service)}
	known := s.records[r.ID]
	if known == nil {
		reply.State = slatewind.RecordNone
		if !s.makeRoomForBan(now) {
			reply.CoverAge = 0
			return reply
		}
		s.insert(now, Request{ID: r.ID}, slatewind.RecordSealed)
		return reply
	}
	reply.State = known.state
	if known.state == slatewind.RecordRevoked {
		reply.RevokedAge = now.Sub(known.since)
	}
	return reply
}

// CoverAge returns how far back the memory for a service is complete.
func (s *Store) CoverAge(now time.Time, service string) time.Duration {
	return now.Sub(s.coverStart(service))
}

func (s *Store) coverStart(service string) time.Time {
	if c := s.covers[service]; c != nil && c.start.After(s.start) {
		return c.start
	}
	return s.start
}

// Len returns the number of records and the bytes of stored answers.
func (s *Store) Len() (records, answerBytes int) {
	return len(s.records), s.answerBytes
}

func (s *Store) insert(now time.Time, request Request, state slatewind.RecordState) {
	r := &record{
		id: request.ID, fingerprint: request.Fingerprint, attempt: request.Attempt, state: state, since: now,
	}
	s.records[r.id] = r
	s.place(r)
}

// touch notes a change of a record.
func (s *Store) touch(now time.Time, r *record) {
	r.since = now
	r.list.Remove(r.element)
	s.place(r)
}

// place puts a record at the end of the list of its sort.
func (s *Store) place(r *record) {
	r.list = s.runs
	if r.ban() {
		r.list = s.bans
	}
	r.element = r.list.PushBack(r)
}

// makeRoom evicts the oldest record that may go, if the store is full. What runs
// never goes, and a ban only when nothing sent before it can still arrive.
func (s *Store) makeRoom(now time.Time) bool {
	if len(s.records) < s.maxRecords {
		return true
	}
	for e := s.runs.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); r.state != slatewind.RecordRunning {
			s.evict(r)
			return true
		}
	}
	return s.evictBan(now)
}

// makeRoomForBan does the same for a record that only forbids runs.
func (s *Store) makeRoomForBan(now time.Time) bool {
	return s.banAllowed(now) && s.makeRoom(now)
}

// banAllowed reports whether there may be one more ban.
func (s *Store) banAllowed(now time.Time) bool {
	return s.bans.Len() < s.maxRecords/2 || s.evictBan(now)
}

func (s *Store) evictBan(now time.Time) bool {
	e := s.bans.Front()
	if e == nil || now.Sub(e.Value.(*record).since) < minBanAge {
		return false
	}
	s.evict(e.Value.(*record))
	return true
}

// evict forgets a record. The cover moves past it, since its absence proves
// nothing now.
func (s *Store) evict(r *record) {
	s.moveCover(r.since, r.id.Service)
	s.remove(r)
}

func (s *Store) moveCover(to time.Time, service string) {
	if c := s.covers[service]; c != nil && to.After(c.start) {
		c.start = to
	}
}

// shrinkAnswers drops the oldest stored answers over the byte bound; their
// records stay and still say that the request ran.
func (s *Store) shrinkAnswers() {
	for e := s.runs.Front(); e != nil && s.answerBytes > s.maxAnswerBytes; e = e.Next() {
		r := e.Value.(*record)
		s.answerBytes -= answerSize(r.answer)
		r.answer = nil
	}
}

func (s *Store) remove(r *record) {
	s.answerBytes -= answerSize(r.answer)
	r.list.Remove(r.element)
	delete(s.records, r.id)
}

func answerSize(a *slatewind.Answer) int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
