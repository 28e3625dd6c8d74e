// Package slatewind defines the types that the packages of the proxy fleet share: enums,
// plain structs that are passed between packages, and interfaces with several implementations.
//
// One process runs beside the backend servers of each VM. As an ingress it accepts
// callers' requests for any service and chooses the server for each one; as a sidecar it
// proxies all requests to the servers of its own VM, so it knows whether a request was
// started. The decision logic is in types without I/O in the packages below this one: their
// inputs are events with their time, their outputs are decisions with a reason. The daemon,
// the replay of traces and the measurements use the same types.
package slatewind

import (
	"context"
	"time"
)

// Kind specifies how often a request may run.
type Kind string

// Kinds of request.
const (
	// KindRepeatable requests are idempotent: they may be retried on any server and run
	// concurrently.
	KindRepeatable Kind = "repeatable"
	// KindOnce requests run at most once per idempotency key.
	KindOnce Kind = "once"
	// KindSingle requests run at most once and have no key: they are sent to a
	// second server only with proof that the first did not run them.
	KindSingle Kind = "single"
)

// Priority determines the order in which requests are granted slots.
type Priority string

// Priorities of requests.
const (
	// PriorityInteractive is for requests that a user is waiting for.
	PriorityInteractive Priority = "interactive"
	// PriorityBackground requests use only spare slots.
	PriorityBackground Priority = "background"
)

// LogLevel is the minimum severity of the messages that a process logs.
type LogLevel string

// Log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Outcome is the final result of a request or of one attempt.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeAnswer is a complete answer, verified to come from the server itself.
	OutcomeAnswer Outcome = "answer"
	// OutcomeNotRun guarantees that no server started the attempt and that none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeMismatch rejects an idempotency key that was used with a different request.
	OutcomeMismatch Outcome = "mismatch"
)

// Claim is what an ingress knows about earlier attempts of a KindOnce request.
type Claim string

// Claims about a KindOnce request.
const (
	// ClaimFirst: there were no earlier attempts, because the caller states so or because
	// the ingress generated the key itself.
	ClaimFirst Claim = "first"
	// ClaimRetry: the caller states that there were earlier attempts. Sent to a sidecar,
	// it means that every candidate was sealed and none had run the request.
	ClaimRetry Claim = "retry"
	// ClaimJoin: a retry that requests the answer of an existing record at a candidate;
	// it must not run the request.
	ClaimJoin Claim = "join"
	// ClaimUnnumbered: the caller does not state whether there were earlier attempts.
	ClaimUnnumbered Claim = "unnumbered"
)

// RecordState is the state of a KindOnce request at one sidecar.
type RecordState string

// States of the record of a KindOnce request.
const (
	// RecordNone: the sidecar holds no record.
	RecordNone RecordState = "none"
	// RecordRunning: a server is running the request now.
	RecordRunning RecordState = "running"
	// RecordDone: the request ran and its answer is stored.
	RecordDone RecordState = "done"
	// RecordLost: the request was started and its answer was lost.
	RecordLost RecordState = "lost"
	// RecordRevoked: a first attempt was rejected here. The request did not run here, and
	// will not without proof that it has not run elsewhere.
	RecordRevoked RecordState = "revoked"
	// RecordSealed: there was no record when a retry queried it. The request will not run
	// here without proof that it has not run, but it may have run here before.
	RecordSealed RecordState = "sealed"
)

// CancelState is a sidecar's reply to a cancellation.
type CancelState string

// Replies to a cancellation.
const (
	// CancelNotStarted: the attempt was not started, and a tombstone rejects it from now on.
	CancelNotStarted CancelState = "not-started"
	// CancelStarted: a server may have started the attempt.
	CancelStarted CancelState = "started"
	// CancelUnknown: the sidecar does not know whether the attempt was started.
	CancelUnknown CancelState = "unknown"
)

// Result classifies how a server handled one request.
type Result string

// Results of single requests at a server.
const (
	// ResultOK is any complete answer that is not a server error.
	ResultOK Result = "ok"
	// ResultError is an error status, a truncated or invalid answer, or a refused connection.
	ResultError Result = "error"
	// ResultOverdue is a request that is still unanswered long after comparable requests
	// were answered.
	ResultOverdue Result = "overdue"
	// ResultCancelled is a request that was cancelled after its Observation.Latency.
	ResultCancelled Result = "cancelled"
	// ResultProbeFailed is a failed health probe. It raises the suspicion of the server, but
	// is not counted as a failed request.
	ResultProbeFailed Result = "probe-failed"
)

// VMState is the state of a VM as reported by the platform or by the process on the VM.
type VMState string

// States of VMs.
const (
	// VMLive accepts new requests.
	VMLive VMState = "live"
	// VMLeaving finishes the requests in flight and accepts no new ones.
	VMLeaving VMState = "leaving"
	// VMGone is known to have left the fleet.
	VMGone VMState = "gone"
)

// Source specifies how a process learned of a member.
type Source string

// Sources of information about a VM, least reliable first.
const (
	// SourceList is the platform's VM list, which may be out of date.
	SourceList Source = "list"
	// SourceGossip is a report of another process.
	SourceGossip Source = "gossip"
	// SourceContact is a direct reply of the process on the VM.
	SourceContact Source = "contact"
	// SourceSelf is the local process.
	SourceSelf Source = "self"
)

// ServerState is the state of a server at one ingress; it determines the traffic that the
// ingress sends to the server.
type ServerState string

// States of servers.
const (
	// ServerHealthy gets its full share of the traffic.
	ServerHealthy ServerState = "healthy"
	// ServerSuspect appears unhealthy, but ejecting it would leave fewer servers than the
	// service's floor, so it stays in service with a reduced weight.
	ServerSuspect ServerState = "suspect"
	// ServerEjected gets no traffic.
	ServerEjected ServerState = "ejected"
	// ServerTrial gets single repeatable requests that test whether it has recovered.
	ServerTrial ServerState = "trial"
	// ServerRamp gets a gradually increasing share after its recovery.
	ServerRamp ServerState = "ramp"
)

// VM is one entry of the platform's VM list.
type VM struct {
	Name        string  `json:"name"`
	DataCentre  string  `json:"data_centre"`
	PeerAddress string  `json:"peer_address"`
	State       VMState `json:"state"`
}

// SettingsFile is the operators' settings file as published by the platform.
type SettingsFile struct {
	// Revision is the platform's revision at which the file was written.
	Revision Revision
	// Text is the YAML text.
	Text []byte
}

// ConfigSource reads the operators' settings file from the platform.
type ConfigSource interface {
	// Watch is a long poll: it returns the file as soon as its revision is above after, or
	// the unchanged file when the platform's wait time expires.
	Watch(ctx context.Context, after Revision) (SettingsFile, error)
}

// VMSource reads the platform's list of live and leaving VMs, which may be out of date.
type VMSource interface {
	List(ctx context.Context) ([]VM, error)
}

// DecisionKind is the kind of a decision in the journal.
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
	// DecisionEvacuation: data centres were evacuated or taken back.
	DecisionEvacuation DecisionKind = "evacuation"
	// DecisionServerError: an error answer of the server itself is passed on to the caller.
	DecisionServerError DecisionKind = "server-error"
	// DecisionServerEnded: a server exited unexpectedly while it was running a request.
	DecisionServerEnded DecisionKind = "server-ended"
	// DecisionServerLimit: a server began to state a limit in its answers, changed it, or states
	// none any more.
	DecisionServerLimit DecisionKind = "server-limit"
	// DecisionQuarantine: a request is rejected from now on, because servers exited while
	// they were running it.
	DecisionQuarantine DecisionKind = "quarantine"
)

// Decision is one entry of the journal.
type Decision struct {
	Time    time.Time    `json:"time"`
	Kind    DecisionKind `json:"kind"`
	Service string       `json:"service,omitempty"`
	Server  string       `json:"server,omitempty"`
	// Request is the request ID that was returned to the caller in Slatewind-Request.
	Request string `json:"request,omitempty"`
	// Reason explains the decision to an operator in one sentence.
	Reason string `json:"reason"`
	// Evidence holds the figures on which the decision is based.
	Evidence string `json:"evidence,omitempty"`
}

// Journal stores decisions in bounded memory.
type Journal interface {
	Add(Decision)
}

// Observation is the result of one request at one server.
type Observation struct {
	Server string
	// Class is a hash of the route's name. It separates requests that differ in cost.
	Class   uint8
	Result  Result
	Latency time.Duration
}

// MinServerErrorStatus is the lowest HTTP status that counts as a server error.
const MinServerErrorStatus = 500

// Statuses of final answers (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether an HTTP status is that of a final answer.
func IsFinalStatus(status int) bool { return minFinalStatus <= status && status <= maxFinalStatus }

// Header is one header field of a request or an answer.
type Header struct {
	Name  string
	Value string
}

// Answer is the complete answer of a server.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// BodyOmitted reports that the body was forwarded without being stored.
	BodyOmitted bool
}
