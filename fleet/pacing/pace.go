package pacing

import "time"

// pace grants turns at one machine, evenly spaced.
type pace struct {
	// next is the earliest time of a turn that is not granted yet.
	next time.Time
	// denied counts the questions since the last turn that got none.
	denied  int
	askedAt time.Time
}

// newPace returns a pace whose first turn comes at a time.
func newPace(first time.Time) *pace { return &pace{next: first} }

// untilFirst is how long after a machine begins to be paced its first turn comes.
func untilFirst(interval time.Duration) time.Duration {
	return max(interval, min(firstTurns*interval, firstPause))
}

// spacing is the time between two turns at a limit.
func spacing(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / (share * max(perSecond, leastRate)))
}

// take grants the next turn if it comes soon. Those who get none are told to come back one
// after the other.
func (p *pace) take(now time.Time, interval time.Duration) (wait time.Duration, granted bool) {
	p.askedAt = now
	wait = max(p.next.Sub(now), 0)
	if wait > longestWait {
		wait += min(time.Duration(p.denied)*interval, longestLine) - longestWait
		p.denied++
		return wait, false
	}
	p.denied = 0
	p.next = now.Add(wait + interval)
	return wait, true
}
