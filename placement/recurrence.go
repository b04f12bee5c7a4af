package placement

import "time"

const (
	// lagResolution is the resolution of lags, and lagCount their number. Together they cover a
	// little more than a day, so that daily patterns are recognized.
	lagResolution = 5 * time.Minute
	lagCount      = 25 * 12
	// keptWakeUps is how many past wake-ups a new one is compared with.
	keptWakeUps = 24
	// recurrenceDecay is the factor applied to all counts each time the ring of wake-ups wraps
	// around, so that periods that no longer occur are forgotten.
	recurrenceDecay = 0.8
	// minLagHits is how often, after decay, a lag must have recurred to count: a single
	// recurrence may be a coincidence.
	minLagHits = 1.5
	// missedTrialsPrior is the number of wake-ups without a recurrence that is added to the
	// observed ones, so that few observations give no high probability.
	missedTrialsPrior = 1.5
)

// recurrence learns after which lags a model wakes up again, such as every two hours or at the
// same hour of the next day. For each lag it counts how often one wake-up followed another
// after that time. Its size is fixed.
type recurrence struct {
	hitsByLag [lagCount]float32
	// wakeUps holds times in nanoseconds of Unix time, zero for unused entries.
	wakeUps     [keptWakeUps]int64
	wakeUpCount float32
	next        int
}

// add records a wake-up.
func (r *recurrence) add(now time.Time) {
	at := now.UnixNano()
	for _, earlier := range r.wakeUps {
		if lag := (at - earlier) / int64(lagResolution); earlier != 0 && lag >= 0 && lag < lagCount {
			r.hitsByLag[lag]++
		}
	}
	if r.next == 0 {
		for i := range r.hitsByLag {
			r.hitsByLag[i] *= recurrenceDecay
		}
		r.wakeUpCount *= recurrenceDecay
	}
	r.wakeUpCount++
	r.wakeUps[r.next] = at
	r.next = (r.next + 1) % keptWakeUps
}

// probability returns the probability of a wake-up in the slot of time around the given one, by
// the lag with the most recurrences.
func (r *recurrence) probability(at time.Time) float64 {
	best := float32(0)
	then := at.UnixNano()
	for _, earlier := range r.wakeUps {
		lag := (then - earlier) / int64(lagResolution)
		if earlier != 0 && lag > 0 && lag < lagCount {
			best = max(best, r.hitsByLag[lag])
		}
	}
	if best < minLagHits {
		return 0
	}
	return float64(best) / float64(r.wakeUpCount+missedTrialsPrior)
}
