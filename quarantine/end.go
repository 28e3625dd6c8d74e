package quarantine

import (
	"fmt"
	"strings"
	"time"

	"slatewind.example/slatewind"
)

// End is an end of a server with the requests that it ran.
type End struct {
	// ID tells it from other ends.
	ID uint64
	// Digests are those of the requests, Trials those of them that were trials.
	Digests, Trials []Digest
}

// Listed returns the journal's entry for a request that is refused from now on.
func (v Verdict) Listed(now time.Time, digest Digest) slatewind.Decision {
	return slatewind.Decision{
		Time: now, Kind: slatewind.DecisionQuarantine,
		Reason:   fmt.Sprintf("request %s is refused: servers ended while they ran it", digest),
		Evidence: fmt.Sprintf("ends=%d trial_in=%s", v.Ends, v.TrialIn.Round(time.Millisecond)),
	}
}

// mostShown bounds the digests in a line.
const mostShown = 8

// Decision returns the journal's entry for the end, made of one that names service, server and
// request.
func (e End) Decision(now time.Time, about slatewind.Decision) slatewind.Decision {
	shown := make([]string, 0, mostShown)
	for _, digest := range append(append([]Digest(nil), e.Trials...), e.Digests...) {
		if len(shown) < mostShown {
			shown = append(shown, digest.String())
		}
	}
	about.Time, about.Kind = now, slatewind.DecisionServerEnded
	about.Reason = "the server ended while it ran the request"
	about.Evidence = fmt.Sprintf("end=%08x digests=%s trials=%d", uint32(e.ID), strings.Join(shown, ","), len(e.Trials))
	return about
}
