package soak

import (
	"fmt"
	"testing"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/plan"
)

// TestCallersLeaveWhereReleasesChangeBesideKills guards against runs that resume too few streams to tell whether
// they go on: without callers that leave, only those are resumed that a fault breaks off.
func TestCallersLeaveWhereReleasesChangeBesideKills(t *testing.T) {
	for _, c := range []struct {
		schedule plan.Schedule
		leave    bool
	}{{plan.Schedule{}, false}, {plan.Schedule{Releases: 2}, true}, {plan.Schedule{TakeUps: 14}, true}} {
		callers := &callGenerator{process: &process{run: &run{options: Options{Schedule: c.schedule}}}}
		left := 0
		for n := range 600 {
			request := check.Request{ID: fmt.Sprintf("n0-%d", n), Route: check.RouteStream}
			if callers.decideLeaving(&request); request.LeavesAfter > 0 {
				left++
			}
		}
		if (left >= 600/leavingShare/2) != c.leave {
			t.Errorf("releases %d, take-ups %d: %d of 600 callers leave, want some: %t", c.schedule.Releases, c.schedule.TakeUps, left, c.leave)
		}
	}
}
