package check

import (
	"fmt"
	"time"
)

const (
	// allowedFalls and allowedFallShare bound the falls of a service's workers in one time in which they
	// are brittle: allowedFalls plus that share of their number.
	allowedFalls     = 2
	allowedFallShare = 0.1
	// sameBrittleTime is the difference up to which workers of a service became brittle together.
	sameBrittleTime = 200 * time.Millisecond
	// fallCause is the time before a fall in which the requests that caused it were sent.
	fallCause = time.Second
)

// checkFalls checks that brittle workers do not fall one after the other. Each time in which a service's
// workers are brittle is one observation. A fall while a node or the links between nodes were disturbed is
// not counted.
func checkFalls(h *History, f *Finding) {
	for i := range h.BrittleTimes {
		first := &h.BrittleTimes[i]
		if h.begunBefore(first) {
			continue
		}
		workers, falls := h.brittleWorkers(first), 0
		for _, fall := range h.Falls {
			counts := fall.Service == first.Service && fall.At >= first.From && fall.At <= first.To+sameBrittleTime
			if counts && !h.anyNodeDisturbed(fall.At-fallCause, fall.At) {
				falls++
			}
		}
		detail := ""
		if allowed := allowedFalls + allowedFallShare*float64(workers); float64(falls) > allowed {
			detail = fmt.Sprintf("%d falls of %d workers, %.1f are allowed", falls, workers, allowed)
		}
		f.record(first.Service, first.From, detail)
	}
}

// begunBefore reports whether another time in which the service's workers are brittle overlaps with the
// begin of this one and is listed before it.
func (h *History) begunBefore(of *BrittleTime) bool {
	for i := range h.BrittleTimes {
		other := &h.BrittleTimes[i]
		if other == of {
			return false
		}
		if other.Service == of.Service && other.From <= of.From && of.From <= other.To {
			return true
		}
	}
	return false
}

// brittleWorkers returns the number of workers that became brittle together.
func (h *History) brittleWorkers(first *BrittleTime) int {
	count := 0
	for _, other := range h.BrittleTimes {
		if other.Service == first.Service && other.From-first.From >= 0 && other.From-first.From <= sameBrittleTime {
			count++
		}
	}
	return count
}

// anyNodeDisturbed reports whether a node's process or the links between nodes were disturbed.
func (h *History) anyNodeDisturbed(from, to time.Duration) bool {
	for i := range h.Disturbances {
		d := &h.Disturbances[i]
		if (d.Scope == ScopeProcess || d.Scope == ScopePeer) && d.From <= to && d.To+recoveryGrace >= from {
			return true
		}
	}
	return false
}

// hasBrittleTime reports whether workers were brittle.
func (h *History) hasBrittleTime() bool { return len(h.BrittleTimes) > 0 }
