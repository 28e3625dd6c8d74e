// Package slatewind holds what every part of the proxy fleet shares: the words
// of its decisions, the plain structs that travel between the parts, and the
// interfaces behind which behaviour varies.
//
// The idea of the fleet in a paragraph: one process runs beside the backend
// servers of each VM. As an ingress it takes callers' requests for any service
// and decides which server gets each one; as a sidecar it stands in front of
// its own VM's servers and knows for certain whether a request was started.
// Decisions are pure types in packages below this one: events and their time
// go in, decisions with a reason come out. The daemon, the replay of traces
// and the measurements all drive the same types.
package slatewind

import (
	"context"
	"time"
)

// Kind says how often a request may run.
type Kind string

// Kinds of request.
const (
	// KindRepeatable requests may be run again, elsewhere or twice at a time.
	KindRepeatable Kind = "repeatable"
	// KindOnce requests run at most once by their idempotency key.
	KindOnce Kind = "once"
	// KindSingle requests run at most once and have no key: they go to a second
	// server only with a proof that the first did not run them.
	KindSingle Kind = "single"
)

// Priority says who gets a slot first.
type Priority string

// Priorities of requests.
const (
	// PriorityInteractive is for requests that a person waits for.
	PriorityInteractive Priority = "interactive"
	// PriorityBackground requests use only spare slots.
	PriorityBackground Priority = "background"
)

// LogLevel is the least level of the lines that a process logs.
type LogLevel string

// Levels of logs.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Outcome is what became of a request or of one attempt.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeAnswer is a server's own whole answer.
	OutcomeAnswer Outcome = "answer"
	// OutcomeNotRun is proven: no server started the attempt and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeMismatch refuses a key that was used with another request.
	OutcomeMismatch Outcome = "mismatch"
)

// Claim is what an ingress knows about earlier attempts of a once-request.
type Claim string

// Claims about a once-request.
const (
	// ClaimFirst: the caller says so, or the ingress made the key itself.
	ClaimFirst Claim = "first"
	// ClaimRetry: the caller says that there were earlier attempts. At a
	// sidecar it says that every candidate was sealed and none had run it.
	ClaimRetry Claim = "retry"
	// ClaimJoin: a retry that wants the answer of a record that a candidate
	// has; it must not run anything.
	ClaimJoin Claim = "join"
	// ClaimUnnumbered: the caller does not say.
	ClaimUnnumbered Claim = "unnumbered"
)

// RecordState is the state of a once-request at one sidecar.
type RecordState string

// States of a once-request's record.
const (
	// RecordNone: the sidecar holds no record.
	RecordNone RecordState = "none"
	// RecordRunning: a server is running it now.
	RecordRunning RecordState = "running"
	// RecordDone: it ran and its answer is stored.
	RecordDone RecordState = "done"
	// RecordLost: it was started and its answer was lost.
	RecordLost RecordState = "lost"
	// RecordRevoked: a first attempt was refused here; it did not run here and
	// will not without a proof.
	RecordRevoked RecordState = "revoked"
	// RecordSealed: nothing was known when a retry asked. It will not run here
	// without a proof, but whether it did before is open.
	RecordSealed RecordState = "sealed"
)

// CancelState is a sidecar's reply to a cancellation.
type CancelState string

// Replies to a cancellation.
const (
	// CancelNotStarted: never started, and a tombstone refuses it from now on.
	CancelNotStarted CancelState = "not-started"
	// CancelStarted: a server may have begun the work.
	CancelStarted CancelState = "started"
	// CancelUnknown: the sidecar cannot tell.
	CancelUnknown CancelState = "unknown"
)

// Result classifies one request as a server dealt with it.
type Result string

// Results of single requests at a server.
const (
	// ResultOK is any whole answer that is not an error of the server.
	ResultOK Result = "ok"
	// ResultError is an error status, a broken answer or a refused connection.
	ResultError Result = "error"
	// ResultOverdue is a request still unanswered long after its peers.
	ResultOverdue Result = "overdue"
	// ResultCancelled is a request that was given up after the stated time.
	ResultCancelled Result = "cancelled"
	// ResultProbeFailed is a failed health probe; it only raises suspicion.
	ResultProbeFailed Result = "probe-failed"
)

// VMState is the state of a VM as the platform or its own process tells it.
type VMState string

// States of VMs.
const (
	// VMLive takes new work.
	VMLive VMState = "live"
	// VMLeaving finishes its work and takes no more.
	VMLeaving VMState = "leaving"
	// VMGone is known to be away.
	VMGone VMState = "gone"
)

// Source says how a member is known.
type Source string

// Sources of knowledge about a VM, weakest first.
const (
	// SourceList is the platform's VM list, which lags.
	SourceList Source = "list"
	// SourceGossip is another process's word.
	SourceGossip Source = "gossip"
	// SourceContact is a reply of the process itself.
	SourceContact Source = "contact"
	// SourceSelf is this very process.
	SourceSelf Source = "self"
)

// ServerState is how an ingress treats a server.
type ServerState string

// States of servers in the eyes of one ingress.
const (
	// ServerHealthy gets its full share.
	ServerHealthy ServerState = "healthy"
	// ServerSuspect looks sick but the floor keeps it in service, at less weight.
	ServerSuspect ServerState = "suspect"
	// ServerEjected gets nothing.
	ServerEjected ServerState = "ejected"
	// ServerTrial gets single repeatable requests to prove itself.
	ServerTrial ServerState = "trial"
	// ServerRamp gets a growing share.
	ServerRamp ServerState = "ramp"
)

// VM is one entry of the platform's VM list.
type VM struct {
	Name        string  `json:"name"`
	DataCentre  string  `json:"data_centre"`
	PeerAddress string  `json:"peer_address"`
	State       VMState `json:"state"`
}

// SettingsFile is the operators' file as the platform publishes it.
type SettingsFile struct {
	// Revision is the platform's at which the file was written.
	Revision Revision
	// Text is the YAML text.
	Text []byte
}

// ConfigSource reads the operators' file from the platform.
type ConfigSource interface {
	// Watch returns the file as soon as its revision is above after, or the
	// same file again when the platform's waiting time is over.
	Watch(ctx context.Context, after Revision) (SettingsFile, error)
}

// VMSource reads the platform's list of live and leaving VMs, which lags.
type VMSource interface {
	List(ctx context.Context) ([]VM, error)
}

// DecisionKind names a sort of decision in the journal.
type DecisionKind string

// Kinds of decision.
const (
	DecisionEject           DecisionKind = "eject"
	DecisionSuspect         DecisionKind = "suspect"
	DecisionTrial           DecisionKind = "trial"
	DecisionRamp            DecisionKind = "ramp"
	DecisionReturn          DecisionKind = "return"
	DecisionFloor           DecisionKind = "floor"
	DecisionRefuse          DecisionKind = "refuse"
	DecisionUnknown         DecisionKind = "unknown"
	DecisionRetry           DecisionKind = "retry"
	DecisionHedge           DecisionKind = "hedge"
	DecisionHandOver        DecisionKind = "hand-over"
	DecisionReplay          DecisionKind = "replay"
	DecisionDropReply       DecisionKind = "drop-reply"
	DecisionSettings        DecisionKind = "settings"
	DecisionSettingsIgnored DecisionKind = "settings-ignored"
	DecisionEntryIgnored    DecisionKind = "entry-ignored"
	DecisionLeaving         DecisionKind = "leaving"
	DecisionMember          DecisionKind = "member"
	DecisionAway            DecisionKind = "away"
	DecisionSuspicion       DecisionKind = "suspicion"
	DecisionIdle            DecisionKind = "idle"
	// DecisionServerError: a server's own error answer is passed on.
	DecisionServerError DecisionKind = "server-error"
	// DecisionServerEnded: a server ended while it ran a request, and nobody had planned that.
	DecisionServerEnded DecisionKind = "server-ended"
	// DecisionQuarantine: a request is refused from now on, since servers ended under it.
	DecisionQuarantine DecisionKind = "quarantine"
)

// Decision is one entry of the journal: what was decided, about what and why.
type Decision struct {
	Time    time.Time    `json:"time"`
	Kind    DecisionKind `json:"kind"`
	Service string       `json:"service,omitempty"`
	Server  string       `json:"server,omitempty"`
	// Request is the id that the caller got in Slatewind-Request.
	Request string `json:"request,omitempty"`
	// Reason is one sentence for an operator.
	Reason string `json:"reason"`
	// Evidence holds the figures on which the decision rests.
	Evidence string `json:"evidence,omitempty"`
}

// Journal keeps decisions in bounded memory.
type Journal interface {
	Add(Decision)
}

// Observation is what is known of one request at one server.
type Observation struct {
	Server string
	// Class separates requests that differ in cost; the route's name as a hash.
	Class   uint8
	Result  Result
	Latency time.Duration
}

// MinServerErrorStatus is the first HTTP status that counts as an error of a server.
const MinServerErrorStatus = 500

// Header is one header field of a request or an answer.
type Header struct {
	Name  string
	Value string
}

// Answer is a server's whole answer.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// BodyOmitted: the body was passed on without being kept.
	BodyOmitted bool
}
