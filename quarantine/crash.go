package quarantine

import (
	"fmt"
	"strings"
	"time"

	"slatewind.example/slatewind"
)

// Crash is the unplanned end of a server process, with the requests that were running on it.
type Crash struct {
	// ID is unique per crash.
	ID uint64
	// Digests are the running requests that were not trials, Trials those that were.
	Digests, Trials []Digest
}

// Decision returns the journal entry for a request that is refused from now on.
func (v Verdict) Decision(now time.Time, digest Digest) slatewind.Decision {
	return slatewind.Decision{
		Time: now, Kind: slatewind.DecisionQuarantine,
		Reason:   fmt.Sprintf("request %s is refused: servers ended while they ran it", digest),
		Evidence: fmt.Sprintf("ends=%d trial_in=%s", v.Crashes, v.TrialIn.Round(time.Millisecond)),
	}
}

// maxShownDigests limits the number of digests in a journal entry.
const maxShownDigests = 8

// Decision returns the journal entry for the crash. Service, server and request are taken from
// about.
func (c Crash) Decision(now time.Time, about slatewind.Decision) slatewind.Decision {
	shown := make([]string, 0, maxShownDigests)
	for _, digest := range append(append([]Digest(nil), c.Trials...), c.Digests...) {
		if len(shown) < maxShownDigests {
			shown = append(shown, digest.String())
		}
	}
	about.Time, about.Kind = now, slatewind.DecisionServerEnded
	about.Reason = "the server ended while it ran the request"
	about.Evidence = fmt.Sprintf("end=%08x digests=%s trials=%d", uint32(c.ID), strings.Join(shown, ","), len(c.Trials))
	return about
}
