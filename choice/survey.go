package choice

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Disposition says why a server is not asked for a slot.
type Disposition string

// Causes for which a server is passed over. DispositionNone is the empty word.
const (
	DispositionNone    Disposition = ""
	DispositionLeaving Disposition = "leaving"
	// DispositionStopping servers are well, but the process beside them is about to end.
	DispositionStopping Disposition = "stopping"
	DispositionFull     Disposition = "full"
	DispositionSick     Disposition = "sick"
	// DispositionSpent servers may get no extra arrival just then.
	DispositionSpent Disposition = "spent"
)

// Words for servers that are not passed over.
const (
	beliefAsked  Disposition = "asked"
	beliefTried  Disposition = "tried"
	beliefSilent Disposition = "silent"
	beliefLeft   Disposition = "left"
	// beliefToldLeaving is PassLeaving by the word of the process beside the server, not
	// by its entry.
	beliefToldLeaving Disposition = "told-leaving"
)

// Survey counts the servers of a service at the end of a search, for operators: how
// many are known, how many of them were asked, and why the others were not.
type Survey struct {
	Known, Asked      int
	Leaving, Stopping int
	Full, Sick, Spent int
	// Silent are asked last: their processes did not reply.
	Silent int
	// Tried have seen the request.
	Tried int
	// Left could have been asked, but the search ended before.
	Left int
	// Beliefs says the same of each server; it is empty where only counts were asked for.
	Beliefs []Belief
}

// Belief is what an ingress believes of one server at the end of a search.
type Belief struct {
	Server string
	// Disposition says whether the server was asked, or else why not.
	Disposition Disposition
	// Known is how long the ingress has known of the server, Reported how long ago its
	// process last told of it, and Asked how long ago the ingress last asked it for a slot.
	// What never happened is negative.
	Known, Reported, Asked time.Duration
}

// String returns the belief in one word; its times are in seconds.
func (b Belief) String() string {
	return fmt.Sprintf("%s:%s/%.1f/%.1f/%.1f", b.Server, b.Disposition, b.Known.Seconds(), b.Reported.Seconds(), b.Asked.Seconds())
}

// String returns the counts as key=value pairs.
func (s Survey) String() string {
	return fmt.Sprintf("known=%d asked=%d not_asked: leaving=%d stopping=%d full=%d sick=%d spent=%d silent=%d tried=%d left=%d",
		s.Known, s.Asked, s.Leaving, s.Stopping, s.Full, s.Sick, s.Spent, s.Silent, s.Tried, s.Left) + s.beliefs()
}

// beliefs returns the beliefs as one pair.
func (s Survey) beliefs() string {
	if len(s.Beliefs) == 0 {
		return ""
	}
	words := make([]string, 0, len(s.Beliefs))
	for _, belief := range s.Beliefs {
		words = append(words, belief.String())
	}
	return " beliefs=" + strings.Join(words, ",")
}

// Survey counts the servers for a request that asked some and was sent to others. With
// detail it also says what is believed of each.
func (s *Service) Survey(now time.Time, want Request, asked, tried map[string]bool, detail bool) Survey {
	survey := Survey{Known: len(s.servers)}
	for _, server := range s.servers {
		word := server.word(now, want, asked[server.Name], tried[server.Name])
		survey.count(word)
		if detail {
			survey.Beliefs = append(survey.Beliefs, Belief{
				Server: server.Name, Disposition: word, Known: since(now, server.knownAt), Reported: since(now, server.toldAt), Asked: since(now, server.askedAt),
			})
		}
	}
	sort.Slice(survey.Beliefs, func(i, j int) bool { return survey.Beliefs[i].Server < survey.Beliefs[j].Server })
	return survey
}

// since returns how long ago something happened, or a negative time where it never did.
func since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return -time.Second
	}
	return now.Sub(then)
}

// word says in one word what became of a server in a search.
func (server *Server) word(now time.Time, want Request, asked, tried bool) Disposition {
	switch {
	case tried:
		return beliefTried
	case asked:
		return beliefAsked
	}
	switch pass := server.passedOver(now, want); {
	case pass == DispositionLeaving && !server.Leaving:
		return beliefToldLeaving
	case pass != DispositionNone:
		return pass
	}
	if now.Before(server.avoid) {
		return beliefSilent
	}
	return beliefLeft
}

// count counts a server by its word.
func (s *Survey) count(word Disposition) {
	switch word {
	case beliefTried:
		s.Tried++
	case beliefAsked:
		s.Asked++
	case DispositionLeaving, beliefToldLeaving:
		s.Leaving++
	case DispositionStopping:
		s.Stopping++
	case DispositionFull:
		s.Full++
	case DispositionSick:
		s.Sick++
	case DispositionSpent:
		s.Spent++
	case beliefSilent:
		s.Silent++
	default:
		s.Left++
	}
}
