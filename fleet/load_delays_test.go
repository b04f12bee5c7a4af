package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/placement"
)

// Guards against two causes that alternate from plan to plan and fill the log. A cause that lasts
// is logged.
func TestAlternatingCausesAreLoggedOnce(t *testing.T) {
	var current loadDelay
	var logged []placement.Cause
	now := time.Unix(1000, 0)
	step := func(cause placement.Cause) {
		next, logs := current.update(cause, now)
		if logs {
			logged = append(logged, cause)
		}
		current, now = next, now.Add(20*time.Millisecond)
	}
	for range 50 {
		step(placement.CauseNoMemory)
		step(placement.CauseNoMachine)
	}
	for range 50 {
		step(placement.CauseNoMachine)
	}
	if want := []placement.Cause{placement.CauseNoMemory, placement.CauseNoMachine}; !slices.Equal(logged, want) {
		t.Fatalf("logged %v, want %v", logged, want)
	}
}
