package inbound

import (
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/admission"
)

// TestReportedSlots checks which numbers of slots in a load report are believed.
func TestReportedSlots(t *testing.T) {
	const before = 4
	tests := map[string]int{
		"1,0,7": 7, "1,0, 7 ": 7, "1,0,65536": 65536,
		"1,0,0": before, "1,0,-1": before, "1,0,65537": before, "1,0,9223372036854775807": before, "1,0,1e3": before, "7": before, "": before,
	}
	for report, want := range tests {
		t.Run(report, func(t *testing.T) {
			in := &Inbound{slots: admission.NewServer(before)}
			(&use{in: in}).updateSlots(report)
			assert.Equal(t, in.slots.Slots(), want)
		})
	}
}
