package inbound

import (
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/admission"
)

// TestReportedSlots checks which numbers of slots in a load report are believed.
func TestReportedSlots(t *testing.T) {
	const before = 4
	tests := map[string]struct {
		report string
		want   int
	}{
		"a number":          {"1,0,7", 7},
		"white space":       {"1,0, 7 ", 7},
		"the largest":       {"1,0,65536", 65536},
		"zero":              {"1,0,0", before},
		"negative":          {"1,0,-1", before},
		"above the largest": {"1,0,65537", before},
		"above any":         {"1,0,9223372036854775807", before},
		"an exponent":       {"1,0,1e3", before},
		"too few fields":    {"7", before},
		"empty":             {"", before},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := &Inbound{slots: admission.NewServer(before)}
			(&use{in: in}).updateSlots(test.report)
			assert.Equal(t, in.slots.Slots(), test.want)
		})
	}
}
