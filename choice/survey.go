package choice

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Disposition is the result for one server in a search for a slot.
type Disposition string

// Reasons for skipping a server. DispositionNone means that it is not skipped.
const (
	DispositionNone    Disposition = ""
	DispositionLeaving Disposition = "leaving"
	// DispositionStopping: the server is healthy, but its sidecar is about to stop.
	DispositionStopping Disposition = "stopping"
	DispositionFull     Disposition = "full"
	DispositionSick     Disposition = "sick"
	// DispositionSpent: the server's budget of extra attempts is spent for now.
	DispositionSpent Disposition = "spent"
)

// Further results, which only a Survey uses; its fields say what they mean.
const (
	dispositionAsked  Disposition = "asked"
	dispositionTried  Disposition = "tried"
	dispositionSilent Disposition = "silent"
	dispositionLeft   Disposition = "left"
	// dispositionReportedLeaving is DispositionLeaving as reported by the sidecar, not by the
	// entry of the server.
	dispositionReportedLeaving Disposition = "told-leaving"
)

// Survey counts the servers of a service at the end of a search, for operators: how many are
// known, how many of them were asked, and why the others were not.
type Survey struct {
	Known, Asked      int
	Leaving, Stopping int
	Full, Sick, Spent int
	// Silent servers are asked last: their sidecars did not reply, or a server of another
	// service runs at their address.
	Silent int
	// Tried servers have received the request.
	Tried int
	// Left servers could have been asked, but the search ended before.
	Left int
	// Beliefs holds the same for each server; it is empty if only counts were requested.
	Beliefs []Belief
}

// Belief is what an ingress knows of one server at the end of a search.
type Belief struct {
	Server string
	// Disposition is whether the server was asked, or else why not.
	Disposition Disposition
	// Known is how long the ingress has known the server, Reported the age of its newest
	// status, and Asked the time since the ingress last asked it for a slot. A negative value
	// means never.
	Known, Reported, Asked time.Duration
}

// String returns the belief as one word; its times are in seconds.
func (b Belief) String() string {
	return fmt.Sprintf("%s:%s/%.1f/%.1f/%.1f", b.Server, b.Disposition, b.Known.Seconds(), b.Reported.Seconds(), b.Asked.Seconds())
}

// String returns the counts as key=value pairs.
func (s Survey) String() string {
	return fmt.Sprintf("known=%d asked=%d not_asked: leaving=%d stopping=%d full=%d sick=%d spent=%d silent=%d tried=%d left=%d",
		s.Known, s.Asked, s.Leaving, s.Stopping, s.Full, s.Sick, s.Spent, s.Silent, s.Tried, s.Left) + s.beliefs()
}

// beliefs returns the beliefs as one key=value pair.
func (s Survey) beliefs() string {
	if len(s.Beliefs) == 0 {
		return ""
	}
	texts := make([]string, 0, len(s.Beliefs))
	for _, belief := range s.Beliefs {
		texts = append(texts, belief.String())
	}
	return " beliefs=" + strings.Join(texts, ",")
}

// Survey counts the servers at the end of a request's search. asked holds the names of the servers
// that were asked for a slot, tried of those that have received the request; a server in both
// counts as tried. With detail it also fills Beliefs.
func (s *Service) Survey(now time.Time, request Request, asked, tried map[string]bool, detail bool) Survey {
	survey := Survey{Known: len(s.servers)}
	for _, server := range s.servers {
		disposition := server.disposition(now, request, asked[server.Name], tried[server.Name])
		survey.count(disposition)
		if detail {
			survey.Beliefs = append(survey.Beliefs, Belief{
				Server: server.Name, Disposition: disposition, Known: since(now, server.knownAt), Reported: since(now, server.statusAt), Asked: since(now, server.askedAt),
			})
		}
	}
	sort.Slice(survey.Beliefs, func(i, j int) bool { return survey.Beliefs[i].Server < survey.Beliefs[j].Server })
	return survey
}

// since returns the time from then to now, or a negative value if then is the zero time.
func since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return -time.Second
	}
	return now.Sub(then)
}

// disposition returns the result for a server in a search.
func (server *Server) disposition(now time.Time, request Request, asked, tried bool) Disposition {
	switch {
	case tried:
		return dispositionTried
	case asked:
		return dispositionAsked
	}
	switch reason := server.skipReason(now, request); {
	case reason == DispositionLeaving && server.AcceptsWork():
		return dispositionReportedLeaving
	case reason != DispositionNone:
		return reason
	}
	if now.Before(server.avoidUntil) {
		return dispositionSilent
	}
	return dispositionLeft
}

// count counts a server by its disposition.
func (s *Survey) count(disposition Disposition) {
	switch disposition {
	case dispositionTried:
		s.Tried++
	case dispositionAsked:
		s.Asked++
	case DispositionLeaving, dispositionReportedLeaving:
		s.Leaving++
	case DispositionStopping:
		s.Stopping++
	case DispositionFull:
		s.Full++
	case DispositionSick:
		s.Sick++
	case DispositionSpent:
		s.Spent++
	case dispositionSilent:
		s.Silent++
	default:
		s.Left++
	}
}
