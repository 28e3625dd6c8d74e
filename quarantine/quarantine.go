// Package quarantine knows requests again under which servers ended, and keeps them from other
// servers.
//
// Some requests end each server that begins to run them. A breaker does not help: it speaks of
// one server, and the next attempt takes the request to the next one that is well. So the process
// beside a server that ended notes a digest of each request that the server ran, and tells the
// processes beside the other servers of the service at once, and everybody with the news that
// travel anyway. Under whom two servers ended without one answer in between, that request is
// refused everywhere, before it is sent.
//
// A sound request may be on two servers as they end by themselves, above all one that comes often.
// So a refusal lasts some seconds; then one run is let through as a trial, and at once where the
// request was answered a moment before. Any whole answer acquits the request. Only a trial under
// which the server ended too proves it; the next one comes after minutes, since a release of the
// servers may have mended them.
//
// What is known are events with ids of their own, each of which only ever becomes void. So it does
// not matter in which order, how often and from whom a process hears of them (Table.Take).
package quarantine

import (
	"fmt"
	"time"
)

// Kind says what an event tells of a request.
type Kind string

// Kinds of events.
const (
	// KindEnd: a server ended while it ran the request.
	KindEnd Kind = "end"
	// KindTrial: a refused request was let through once.
	KindTrial Kind = "trial"
	// KindFailedTrial: a server ended while it ran a trial of the request.
	KindFailedTrial Kind = "failed-trial"
)

const (
	// enoughEnds is under how many ends a request is refused. One server may end beside any
	// request; of two ends without an answer in between the request is the likelier cause.
	enoughEnds = 2
	// firstPause is the time from the last end, or from a trial that came to nothing, to the next
	// trial: servers are back by then, and a sound request is not refused for longer.
	firstPause = 5 * time.Second
	// latelyPause is that from a trial of a request that was answered lately. Its first trial
	// does not wait.
	latelyPause = time.Second
	// failedPause is the time from a failed trial to the next; it doubles with each up to
	// mostPause.
	failedPause = 10 * time.Minute
	mostPause   = time.Hour
	// keepTime is how long a request is remembered after its newest event, singleTime where one
	// server ended under it, as under many by chance, and voidTime where it was acquitted: until
	// all have heard of that.
	keepTime   = 2 * mostPause
	singleTime = 10 * time.Minute
	voidTime   = time.Minute
	// latelyTime is how long an answer counts as lately at least, mostLately how many of them
	// are remembered at least where there are that many.
	latelyTime = 15 * time.Second
	mostLately = 2048
	// mostRecords bounds the requests that are remembered, mostEvents the events of each.
	mostRecords = 512
	mostEvents  = 8
	// mostTold bounds the records of one message, some 60 bytes each.
	mostTold = 64
)

// Event is one event as processes tell it to each other.
type Event struct {
	// ID is the event's own; the requests that one end of a server concerns share its id.
	ID   uint64
	Kind Kind
	// Age is how long ago it happened.
	Age time.Duration
	// Void says that the request was answered since.
	Void bool
}

// Record is what is known of one request.
type Record struct {
	Digest Digest
	Events []Event
}

// Verdict says whether a request may be sent to a server.
type Verdict struct {
	// Refused requests must not be sent. Trial says that this run is one.
	Refused, Trial bool
	// Ends is how many servers ended under the request.
	Ends int
	// Proven says that one of them ended under a trial.
	Proven bool
	// TrialIn is the time until the next trial of a refused request.
	TrialIn time.Duration
}

// Turn is a process's place among those beside the servers of a service, by which they try a request
// one after the other: a trial that is due is due everywhere, and news of one take a while.
type Turn struct {
	// Place is the process's from 0 on, Places how many there are; 0 is unknown.
	Place, Places int
}

// turnTime is the time between the trials that two processes may begin: longer than news of one take.
const turnTime = time.Second

// delay returns how much later than the first the process may try a request. Each request has
// another first.
func (t Turn) delay(digest Digest) time.Duration {
	if t.Places <= 0 {
		return 0
	}
	return time.Duration((t.Place+int(digest[0]))%t.Places) * turnTime
}

// tellsTrial is how exactly it is told when a request is tried again.
const tellsTrial = 100 * time.Millisecond

// Reason says to a request's caller and to operators why it is refused.
func (v Verdict) Reason(digest Digest) string {
	return fmt.Sprintf("quarantined: %d servers ended while they ran the request %s; it is tried again in %s",
		v.Ends, digest, v.TrialIn.Round(tellsTrial))
}

// View is one request in a state dump.
type View struct {
	Digest  string `json:"digest"`
	Ends    int    `json:"ends"`
	Refused bool   `json:"refused"`
	// TrialInMs is the time until the next trial of a refused request, in milliseconds.
	TrialInMs int64 `json:"trial_in_ms,omitempty"`
}
