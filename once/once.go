// Package once keeps the records by which a request with an idempotency key runs
// at most once.
//
// A sidecar runs a once-request only if its own records, or a proof supplied with
// the request, exclude every earlier run of it:
//
//   - A first attempt cannot have run before. It may be handed over to the next
//     candidate after a candidate revoked it.
//   - A retry runs only at the home of the key (its first candidate), only if the
//     record there is revoked, and only after the key was sealed at every
//     candidate (see Resolve).
//   - An attempt without a number runs only at the home, and only if the home's
//     records reach back to before the key was created.
//
// The records of a sidecar have a cover: the time from which they are complete.
// Each start of the process, change of the service's servers and eviction of a
// record moves the cover forward. Requests that can no longer be decided are then
// answered as unknown and never run a second time.
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

// maxAnswerBytes is the size of the largest answer that is stored. Requests with
// larger ones are recorded as having run, without the answer.
const maxAnswerBytes = 64 << 10

// minBanAge is the time for which a revoked or sealed record is kept even if the
// store is full: until no attempt sent before it can still arrive, which takes two
// epochs of package attempt.
const minBanAge = 2 * attempt.Epoch

// ID identifies a record. Each server has its own record of a key.
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
	// KeyBorn is the earliest time at which the key can have been created; it is
	// used for unnumbered claims.
	KeyBorn time.Time
	// Home reports that the server is the first candidate of the key.
	Home bool
	// Owners is the digest of the server names from which the home was computed.
	Owners uint64
	// Attempt is the ID of the attempt that carries the request.
	Attempt string
}

// Action is what a sidecar does with a once-request.
type Action string

// Actions of a sidecar.
const (
	// ActionRun: run the request, then call Finish, MarkLost or Revoke.
	ActionRun Action = "run"
	// ActionJoin: the request is running; wait for its end.
	ActionJoin Action = "join"
	// ActionReplay: return the stored answer.
	ActionReplay Action = "replay"
	// ActionRefuse: the attempt is not run; earlier attempts may have run.
	ActionRefuse Action = "refuse"
	// ActionUnknown: an earlier attempt may have run.
	ActionUnknown Action = "unknown"
	// ActionMismatch: the key belongs to another request.
	ActionMismatch Action = "mismatch"
)

// Verdict is the result of Begin.
type Verdict struct {
	Action Action
	Reason string
	// Answer is set for ActionReplay.
	Answer *slatewind.Answer
}

type record struct {
	id          ID
	fingerprint uint64
	// attempt is the ID of the attempt for which the request runs or ran.
	attempt string
	state   slatewind.RecordState
	answer  *slatewind.Answer
	since   time.Time
	// element is the record's element in list, which is either runs or bans of the
	// store.
	element *list.Element
	list    *list.List
}

// ban reports whether the record only prevents runs.
func (r *record) ban() bool {
	return r.state == slatewind.RecordRevoked || r.state == slatewind.RecordSealed
}

// cover states from which time the records of one service are complete, and for
// which servers.
type cover struct {
	start  time.Time
	owners uint64
}

// Store holds the records of one sidecar. It is not safe for concurrent use.
type Store struct {
	maxRecords     int
	maxAnswerBytes int
	start          time.Time
	records        map[ID]*record
	// runs and bans list the records by their last change, oldest first. Bans
	// (revoked and sealed records) may take up half of the store, so that retries
	// whose first attempts are forgotten leave room for new requests.
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

// SetOwners sets the digest of a service's server names. A change moves the
// cover, since keys may have had another home before.
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

// Begin decides how to handle a once-request that arrived.
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

// sameOwners reports whether ingress and sidecar have the same servers for the
// service.
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
		return Verdict{Action: ActionUnknown, Reason: "the records of the home do not reach back to the creation of the key; send Slatewind-Attempt, or a UUIDv7 as key"}
	}
	return s.run(now, r, "no record since before the key was created")
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
			return Verdict{Action: ActionUnknown, Reason: "the request ran; its answer was too large to store or was evicted"}
		}
		return Verdict{Action: ActionReplay, Reason: "the request ran before", Answer: known.answer}
	case slatewind.RecordLost:
		return Verdict{Action: ActionUnknown, Reason: "the request was started and its answer was lost"}
	}
	return s.beginRevoked(now, known, r)
}

// beginRevoked decides about a request whose record is revoked or sealed.
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
	return Verdict{Action: ActionRun, Reason: "the key is sealed at every candidate and none had run the request"}
}

// run records a request as running, or refuses it if the store has no room.
func (s *Store) run(now time.Time, r Request, reason string) Verdict {
	if !s.makeRoom(now) {
		return Verdict{Action: ActionRefuse, Reason: "the store of once-records is full"}
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

// MarkLost records that a running request was started and its answer lost.
func (s *Store) MarkLost(now time.Time, id ID) {
	if known := s.records[id]; known != nil {
		known.state = slatewind.RecordLost
		s.touch(now, known)
	}
}

// Revoke records that a running request was provably not started. The record of a
// first attempt or a retry is kept as revoked, since a first attempt may now be
// handed over; if no more bans fit, it is removed. The record of an attempt
// without a number is removed, since the attempt is not sent to other candidates.
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

// Cancelled updates the record of an attempt that will not start because it was
// cancelled or refused before its record was consulted. It returns
// CancelNotStarted if no other attempt has run the request here either. A first
// attempt leaves a revoked record, the proof for later retries. It leaves none if
// ingress and sidecar have different settings: the ingress may then hand the
// request over to a server that is not a candidate of the later retries.
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

// Seal returns the state of the record of a key. If there is none, it seals the
// key, so that an attempt still in transit is refused when it arrives. Unlike a
// revoked record, a sealed one does not prove that nothing ran before; otherwise
// a second retry would take the seal of the first one for a proof. If the seal
// could not be stored, CoverAge is zero.
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

// CoverAge returns how far back the records of a service are complete.
func (s *Store) CoverAge(now time.Time, service string) time.Duration {
	return now.Sub(s.coverStart(service))
}

func (s *Store) coverStart(service string) time.Time {
	if c := s.covers[service]; c != nil && c.start.After(s.start) {
		return c.start
	}
	return s.start
}

// Len returns the number of records and the size of the stored answers in bytes.
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

// touch updates the time of a record's last change and moves it to the end of its
// list.
func (s *Store) touch(now time.Time, r *record) {
	r.since = now
	r.list.Remove(r.element)
	s.place(r)
}

// place appends a record to runs or bans, by its state.
func (s *Store) place(r *record) {
	r.list = s.runs
	if r.ban() {
		r.list = s.bans
	}
	r.element = r.list.PushBack(r)
}

// makeRoom evicts the oldest evictable record if the store is full, and reports
// whether there is room. Running records are never evicted, and bans only after
// minBanAge, when no attempt sent before them can still arrive.
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

// makeRoomForBan evicts records as needed to store one more ban, and reports whether
// there is room.
func (s *Store) makeRoomForBan(now time.Time) bool {
	return s.banAllowed(now) && s.makeRoom(now)
}

// banAllowed reports whether the store may hold one more ban; it evicts the oldest
// one if needed.
func (s *Store) banAllowed(now time.Time) bool {
	return s.bans.Len() < s.maxRecords/2 || s.evictBan(now)
}

// evictBan evicts the ban with the oldest last change, and reports whether it did: it
// does not if that ban is younger than minBanAge or there is none.
func (s *Store) evictBan(now time.Time) bool {
	e := s.bans.Front()
	if e == nil || now.Sub(e.Value.(*record).since) < minBanAge {
		return false
	}
	s.evict(e.Value.(*record))
	return true
}

// evict removes a record and moves the cover past its last change, since the
// absence of a record no longer proves that its request did not run.
func (s *Store) evict(r *record) {
	s.moveCover(r.since, r.id.Service)
	s.remove(r)
}

// moveCover moves the cover of a service forward to a time, never back.
func (s *Store) moveCover(to time.Time, service string) {
	if c := s.covers[service]; c != nil && to.After(c.start) {
		c.start = to
	}
}

// shrinkAnswers deletes the oldest stored answers above the limit of bytes. Their
// records stay, so that the requests still count as run.
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
