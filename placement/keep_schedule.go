package placement

import (
	"math"
	"time"
)

// window is an interval of idle time, measured from the end of the last request, in which a
// model should be loaded.
type window struct{ from, to time.Duration }

// keepSchedule lists the windows of a model. The first one begins at zero if the model has a
// keep-alive; the later ones are expected wake-ups.
type keepSchedule struct {
	windows [maxScheduleWindows]window
	count   int
	// learned is false if the fixed keep-alive of the policy is used because there are too few
	// samples.
	learned bool
}

// maxScheduleWindows is the maximum number of windows for one model.
const maxScheduleWindows = 4

// keepAlive returns the end of the window that begins at zero.
func (s *keepSchedule) keepAlive() time.Duration {
	if s.count > 0 && s.windows[0].from == 0 {
		return s.windows[0].to
	}
	return 0
}

// windowAt returns the window that contains the idle time, extended at its start by lead. It
// returns false if there is none.
func (s *keepSchedule) windowAt(idle, lead time.Duration) (window, bool) {
	for _, candidate := range s.windows[:s.count] {
		if idle >= candidate.from-lead && idle < candidate.to {
			return candidate, true
		}
	}
	return window{}, false
}

// nextWindowStart returns the start of the first window after the idle time, or false.
func (s *keepSchedule) nextWindowStart(idle time.Duration) (time.Duration, bool) {
	for _, candidate := range s.windows[:s.count] {
		if candidate.from > idle {
			return candidate.from, true
		}
	}
	return 0, false
}

// add appends a window. If the gap to the previous window, or to zero, is too short for an
// unload to pay, the window is joined with the previous one or starts at zero.
func (s *keepSchedule) add(next window, minGap time.Duration) {
	if s.count == 0 && next.from <= minGap {
		next.from = 0
	}
	if s.count > 0 && next.from-s.windows[s.count-1].to <= minGap {
		s.windows[s.count-1].to = max(s.windows[s.count-1].to, next.to)
		return
	}
	if s.count < maxScheduleWindows {
		s.windows[s.count] = next
		s.count++
	}
}

// keepObjective weighs cold starts against idle time for one model.
type keepObjective struct {
	// weight is the policy's ColdStartWeight.
	weight float64
	// exchange is how many idle seconds equal one second of cold start at a weight of one half.
	exchange float64
	cost
	// requests is how many requests one cold start delays.
	requests float64
	// limit is the maximum length of each window.
	limit time.Duration
}

// coldStartReference is the duration of a cold start that costs twice its seconds. The cost
// grows faster than the duration, so that the planner shortens the longest waits first.
const coldStartReference = 10 * time.Second

// coldStartCost returns the cost of one cold start in seconds.
func coldStartCost(coldStart time.Duration) float64 {
	return coldStartCostOfSeconds(coldStart.Seconds())
}

// coldStartCostOfSeconds is coldStartCost for a number of seconds.
func coldStartCostOfSeconds(seconds float64) float64 {
	return seconds * (1 + seconds/coldStartReference.Seconds())
}

// coldStartSaving returns the value of an avoided cold start, in weighted idle seconds.
func (g *keepObjective) coldStartSaving() float64 {
	return g.weight * g.exchange * g.requests * coldStartCost(g.coldStart)
}

// idleCost returns the cost of being loaded without requests for the given number of seconds.
func (g *keepObjective) idleCost(seconds float64) float64 {
	return (1 - g.weight) * g.acceleratorShare * seconds
}

// minUnloadGap returns the shortest time between two windows for which an unload pays.
func (g *keepObjective) minUnloadGap() time.Duration {
	return time.Duration(keepLeadFactor * float64(g.coldStart))
}

// optimalSchedule returns the windows that minimise
//
//	weight * exchange * requests * cold-start cost + (1-weight) * acceleratorShare * idle seconds
//
// over the recorded idle periods. Being loaded during one bucket of idle time costs the time
// that longer periods spend in it, and saves a cold start for the periods that end in it. The
// decision is therefore made bucket by bucket.
func (h *idleHistogram) optimalSchedule(objective keepObjective) keepSchedule {
	var survivors [idleBuckets + 1]float32
	h.survivorWeights(&survivors)
	saving := objective.coldStartSaving()
	result := keepSchedule{learned: true}
	run := newWindowRun(objective)
	for i := 0; i < idleBuckets && survivors[i] > 0; i++ {
		from, to := idleBucketStarts[i], idleBucketStarts[i+1]
		ended := float64(h.counts[i])
		// Periods that end in the bucket spend half of it idle on average.
		idle := (float64(survivors[i+1]) + ended/2) * (to - from) / float64(time.Second)
		run.extend(&result, time.Duration(from), time.Duration(to), ended*saving-objective.idleCost(idle))
	}
	run.close(&result)
	return result
}

// windowRun finds the sequences of buckets with the largest gain. A run continues over buckets
// with a loss as long as its total gain stays positive, and ends where the total was largest.
type windowRun struct {
	objective      keepObjective
	from           time.Duration
	gain, bestGain float64
	bestEnd        time.Duration
}

func newWindowRun(objective keepObjective) windowRun {
	return windowRun{objective: objective, from: -1}
}

// extend adds one bucket to the run.
func (r *windowRun) extend(result *keepSchedule, from, to time.Duration, gain float64) {
	if r.from < 0 {
		if gain <= 0 {
			return
		}
		*r = windowRun{objective: r.objective, from: from}
	}
	r.gain += gain
	if r.gain > r.bestGain {
		r.bestGain, r.bestEnd = r.gain, to
	}
	if r.gain <= 0 || to-r.from >= r.objective.limit {
		r.close(result)
	}
}

// close ends the current run and adds its best part to the schedule.
func (r *windowRun) close(result *keepSchedule) {
	if r.from >= 0 && r.bestGain > 0 {
		end := min(r.bestEnd, r.from+max(r.objective.limit, 0))
		if end > r.from {
			result.add(window{from: r.from, to: end}, r.objective.minUnloadGap())
		}
	}
	*r = newWindowRun(r.objective)
}

// fixedSchedule returns a schedule that keeps a model loaded for the given idle time and never
// prewarms it.
func fixedSchedule(keepAlive time.Duration) keepSchedule {
	var result keepSchedule
	if keepAlive > 0 {
		result.add(window{to: keepAlive}, 0)
	}
	return result
}

// unlimitedKeepAlive is the longest representable duration, so that an idle model never exceeds
// it.
const unlimitedKeepAlive = time.Duration(math.MaxInt64)
