package plan

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Shrink removes faults from a schedule while it still fails: first in large blocks,
// then in smaller ones. It stops after the given number of trials and returns the
// smallest schedule that failed. It returns an error if the full schedule passes.
func Shrink(schedule Schedule, trials int, fails func(Schedule) (bool, error)) (Schedule, error) {
	failed, err := fails(schedule)
	if err != nil {
		return schedule, err
	}
	if !failed {
		return schedule, eris.New("the schedule does not fail")
	}
	size := max(len(schedule.Faults)/2, 1)
	for trials > 0 && len(schedule.Faults) > 0 {
		dropped := false
		for from := 0; from < len(schedule.Faults) && trials > 0; trials-- {
			smaller := withoutFaults(schedule, from, size)
			failed, err := fails(smaller)
			if err != nil {
				return schedule, err
			}
			if failed {
				schedule, dropped = smaller, true
				continue
			}
			from += size
		}
		if size == 1 && !dropped {
			break
		}
		size = max(size/2, 1)
	}
	return schedule, nil
}

// withoutFaults returns the schedule without size faults, starting at index from.
func withoutFaults(schedule Schedule, from, size int) Schedule {
	to := min(from+size, len(schedule.Faults))
	schedule.Faults = slices.Delete(slices.Clone(schedule.Faults), from, to)
	return schedule
}
