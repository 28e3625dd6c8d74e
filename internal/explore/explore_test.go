package explore_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/explore"
)

// TestRun explores a counter that may increase by one or two up to a bound. It checks the
// number of states, and that the sequence to a violating state is a shortest one.
func TestRun(t *testing.T) {
	errFour := errors.New("four")
	tests := map[string]struct {
		bound, maxStates int
		want             explore.Result
	}{
		"no violation":               {3, 100, explore.Result{States: 4}},
		"shortest path to violation": {9, 100, explore.Result{States: 6, Err: errFour, Events: []string{"two", "two"}}},
		"more states than allowed":   {3, 2, explore.Result{States: 3, Err: explore.ErrTooMany}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := explore.Model[int, int]{
				Key: func(n int) int { return n },
				Next: func(n int, step func(string, int)) {
					if n+1 <= test.bound {
						step("one", n+1)
					}
					if n+2 <= test.bound {
						step("two", n+2)
					}
				},
				Check: func(n int) error {
					if n == 4 {
						return errFour
					}
					return nil
				},
				MaxStates: test.maxStates,
			}.Run()
			assert.Equal(t, got.States, test.want.States)
			assert.Assert(t, errors.Is(got.Err, test.want.Err), "%v", got)
			assert.Equal(t, len(got.Events), len(test.want.Events))
		})
	}
}
