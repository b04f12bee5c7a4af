package pacing

import "time"

// turnSchedule grants evenly spaced turns at one machine.
type turnSchedule struct {
	// nextTurnAt is the time of the next turn that has not been granted.
	nextTurnAt time.Time
	// consecutiveDenials counts the requests denied since the last granted turn.
	consecutiveDenials int
	lastRequestAt      time.Time
}

// newTurnSchedule returns a schedule whose first turn is at the given time.
func newTurnSchedule(first time.Time) *turnSchedule { return &turnSchedule{nextTurnAt: first} }

// firstTurnDelay returns the delay of the first turn after pacing of a machine begins.
func firstTurnDelay(interval time.Duration) time.Duration {
	return max(interval, min(skippedFirstTurns*interval, maxFirstDelay))
}

// turnInterval returns the time between two turns at a limit in requests per second.
func turnInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / (grantedShare * max(perSecond, minPerSecond)))
}

// grantNext grants the next turn if it is at most maxTurnWait away. Denied requests get
// increasing retry delays, so that their nodes return one after the other.
func (s *turnSchedule) grantNext(now time.Time, interval time.Duration) (wait time.Duration, granted bool) {
	s.lastRequestAt = now
	wait = max(s.nextTurnAt.Sub(now), 0)
	if wait > maxTurnWait {
		wait += min(time.Duration(s.consecutiveDenials)*interval, maxQueueDelay) - maxTurnWait
		s.consecutiveDenials++
		return wait, false
	}
	s.consecutiveDenials = 0
	s.nextTurnAt = now.Add(wait + interval)
	return wait, true
}
