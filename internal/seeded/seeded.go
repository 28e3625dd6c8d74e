// Package seeded fixes the seed and the number of checks of property tests, so that
// the result of a run is deterministic. Test packages import it for this side effect.
// Flags such as -rapid.checks=300000 -rapid.seed=7 override it for a longer search.
package seeded

import (
	"flag"

	// Registers the flags that init sets.
	_ "pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
