package logreport

import (
	"regexp"
	"strconv"
	"strings"

	"slatewind.example/slatewind/inbound"
)

// allRefusals matches the end of a reason, with the numbers of refusals during a search by
// cause. The group is the number of refusals by the budget for extra attempts.
var allRefusals = regexp.MustCompile(` \(of all refusals: .*, (\d+) budget\)$`)

// details matches the numbers and addresses by which equal causes differ.
var details = regexp.MustCompile(`\d+(\.\d+)*(:\d+)?`)

// refusals are the causes for which a sidecar refuses a request. A reason begins with one of
// them.
var refusals = []inbound.Cause{
	inbound.CauseFull, inbound.CauseUnhealthy, inbound.CauseLeaving, inbound.CauseStopping, inbound.CauseMoved,
	inbound.CauseBudget, inbound.CauseLate, inbound.CauseWarming, inbound.CauseLimited,
}

// knownCauses maps substrings of reasons to causes. The first match is used.
var knownCauses = []struct{ part, cause string }{
	{"no route for ", "no route"},
	{" cannot be reached: ", "process beside the server not reached"},
	{"no reply from the process beside the server", "no reply from the process beside the server"},
	{"the process beside the server exits", "process beside the server exited"},
	{"connection reset by peer", "connection reset"},
	{"connection refused", "connection refused"},
	{"broken pipe", "connection broken"},
	{"EOF", "connection closed"},
	{"deadline exceeded", "no answer in time"},
	{"i/o timeout", "no answer in time"},
	{"the answer broke off", "answer broke off"},
}

// maxCause is the largest length in bytes of a cause that is not in knownCauses.
const maxCause = 80

// lastAttempt separates the reason from the result of a later attempt.
const lastAttempt = "; the last attempt: "

// causeOf returns the cause in a reason, without the details that differ between requests.
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

// shorten truncates a text to maxCause.
func shorten(text string) string {
	if len(text) <= maxCause {
		return text
	}
	return strings.ToValidUTF8(text[:maxCause], "") + "..."
}

// deniedIn returns the number of refusals by the budget for extra attempts in a reason.
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

// Prefixes of the reasons for which a breaker changes its state.
const (
	breakerOpens = "breaker is open: "
	// breakerNoAnswer may follow breakerOpens, before the cause.
	breakerNoAnswer = "no answer: "
)

// openingCause returns why a breaker opened. ok is false if the reason is for another state.
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
