package logreport

import (
	"regexp"
	"strconv"
	"strings"

	"slatewind.example/slatewind/inbound"
)

// allRefusals is the end of a reason that counts the refusals of a search.
var allRefusals = regexp.MustCompile(` \(of all refusals: .*, (\d+) budget\)$`)

// details are what makes equal causes look different: addresses, names of servers, numbers.
var details = regexp.MustCompile(`\d+(\.\d+)*(:\d+)?`)

// refusals are the words with which the process beside a server refuses a request.
var refusals = []inbound.Cause{
	inbound.CauseFull, inbound.CauseUnhealthy, inbound.CauseLeaving, inbound.CauseStopping, inbound.CauseMoved,
	inbound.CauseBudget, inbound.CauseLate,
}

// knownCauses translates what stands in a reason into a cause; the first that fits counts.
var knownCauses = []struct{ part, cause string }{
	{"no route for ", "no route"},
	{" cannot be reached: ", "process beside the server not reached"},
	{"no reply from the process beside the server", "no reply from the process beside the server"},
	{"connection reset by peer", "connection reset"},
	{"connection refused", "connection refused"},
	{"broken pipe", "connection broken"},
	{"EOF", "connection closed"},
	{"deadline exceeded", "no answer in time"},
	{"i/o timeout", "no answer in time"},
	{"the answer broke off", "answer broke off"},
}

// maxCause bounds a cause that is told as it stands, in bytes.
const maxCause = 80

// lastAttempt stands before what came of a further attempt than the one that a reason is about.
const lastAttempt = "; the last attempt: "

// causeOf returns the cause in a reason, without what differs from request to request.
func causeOf(reason string) string {
	reason, _, _ = strings.Cut(reason, lastAttempt)
	reason = allRefusals.ReplaceAllString(reason, "")
	for _, word := range refusals {
		if strings.HasPrefix(reason, string(word)+": ") {
			return string(word)
		}
	}
	for _, known := range knownCauses {
		if strings.Contains(reason, known.part) {
			return known.cause
		}
	}
	if strings.Contains(reason, "with status ") {
		return reason
	}
	return shorten(details.ReplaceAllString(reason, "N"))
}

// shorten cuts a text that is too long for a table.
func shorten(text string) string {
	if len(text) <= maxCause {
		return text
	}
	return strings.ToValidUTF8(text[:maxCause], "") + "..."
}

// deniedIn returns how many refusals by the bound on extra attempts a reason counts.
func deniedIn(reason string) int {
	match := allRefusals.FindStringSubmatch(reason)
	if match == nil {
		return 0
	}
	n, err := strconv.Atoi(match[1])
	if err != nil {
		return 0
	}
	return n
}

// Beginnings of the reasons with which a breaker changes.
const (
	breakerOpens = "breaker is open: "
	// breakerNoAnswer stands between it and the cause.
	breakerNoAnswer = "no answer: "
)

// openingCause returns why a breaker opened; ok is false where it did not.
func openingCause(reason string) (cause string, ok bool) {
	cause, ok = strings.CutPrefix(reason, breakerOpens)
	if !ok {
		return "", false
	}
	if rest, found := strings.CutPrefix(cause, breakerNoAnswer); found {
		return causeOf(rest), true
	}
	return causeOf(cause), true
}
