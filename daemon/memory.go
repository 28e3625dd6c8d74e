package daemon

import (
	"os"
	"runtime/debug"
)

// gcPercent is by how much the heap may grow, in percent of what lives, before
// garbage is collected. The library's 100 holds twice what is needed; memory is
// paid for by its peak, and a process spends little processor time on garbage.
const gcPercent = 30

// BoundGarbage has garbage collected early, unless the operator sets GOGC.
func BoundGarbage() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
