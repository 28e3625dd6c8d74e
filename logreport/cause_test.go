package logreport

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/inbound"
)

// TestNotAskedCauses checks that notAskedCauses lists the causes in a choice.Survey in its order.
func TestNotAskedCauses(t *testing.T) {
	_, notAsked, found := strings.Cut(choice.Survey{}.String(), "not_asked: ")
	assert.Assert(t, found)
	var causes []string
	for pair := range strings.FieldsSeq(notAsked) {
		cause, _, _ := strings.Cut(pair, "=")
		causes = append(causes, cause)
	}
	assert.DeepEqual(t, causes, notAskedCauses)
}

// TestRefusals checks that the causes of refusals are reported without their details.
func TestRefusals(t *testing.T) {
	for _, cause := range []inbound.Cause{
		inbound.CauseFull, inbound.CauseUnhealthy, inbound.CauseLeaving, inbound.CauseStopping, inbound.CauseMoved,
		inbound.CauseBudget, inbound.CauseLate, inbound.CauseWarming,
	} {
		t.Run(string(cause), func(t *testing.T) {
			assert.Equal(t, causeOf(string(cause)+": details"), string(cause))
		})
	}
}

// TestCauseOf checks that details that differ between requests are removed from causes.
func TestCauseOf(t *testing.T) {
	tests := map[string]string{
		"full: no slot in time, 4 of 4 in use, 8 wait (of all refusals: 4 full, 2 sick, 0 leaving, 0 moved, 0 budget)":              "full",
		"late: the granted slot was not used in time":                                                                               "late",
		"stopping: the process beside the server stops (of all refusals: 0 full, 0 sick, 0 leaving, 3 stopping, 0 moved, 0 budget)": "stopping",
		"no route for a.example/b": "no route",
		"the process beside s-1 cannot be reached: link: rpc error: connection refused": "process beside the server not reached",
		"backend: read tcp 10.0.0.1:1->10.0.0.1:2: read: connection reset by peer":      "connection reset",
		"backend: EOF": "connection closed",
		"inbound: the process beside the server exits":                                          "process beside the server exited",
		"no reply from the process beside the server: rpc error: code = Unavailable desc = EOF": "no reply from the process beside the server",
		"the server answered with status 500":                                                   "the server answered with status 500",
		"no answer in the request's time":                                                       "no answer in the request's time",
		"body is over the limit of 65536 bytes":                                                 "body is over the limit of N bytes",
	}
	for reason, cause := range tests {
		t.Run(cause, func(t *testing.T) {
			assert.Equal(t, causeOf(reason), cause)
		})
	}
}

// TestDeniedIn checks that the refusals by the budget are found in the reasons of this build and of older
// ones.
func TestDeniedIn(t *testing.T) {
	tests := map[string]int{
		"full: details (of all refusals: 1 full, 0 sick, 0 leaving, 0 stopping, 0 moved, 2 warming, 7 budget)": 7,
		"full: details (of all refusals: 1 full, 0 sick, 0 leaving, 0 moved, 3 budget)":                        3,
		"full: details": 0,
	}
	for reason, denied := range tests {
		t.Run(reason, func(t *testing.T) {
			assert.Equal(t, deniedIn(reason), denied)
		})
	}
}

// TestOpeningCause checks that only reasons for opening a breaker have a cause.
func TestOpeningCause(t *testing.T) {
	tests := map[string]struct {
		reason, cause string
		ok            bool
	}{
		"an error":  {"breaker is open: an error answer", "an error answer", true},
		"a reset":   {"breaker is open: no answer: read: connection reset by peer", "connection reset", true},
		"half-open": {"breaker is half-open: an error answer", "", false},
		"closed":    {"breaker is closed: enough trials succeeded", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cause, ok := openingCause(test.reason)
			assert.Equal(t, cause, test.cause)
			assert.Equal(t, ok, test.ok)
		})
	}
}
