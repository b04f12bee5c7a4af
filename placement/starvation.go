package placement

import (
	"math"
	"time"
)

// If more models wait than can be loaded, an order by score alone passes over the same ones
// each time: those with long loads or few waiting requests. This file raises the score of a
// model while it waits.

const (
	// minStarvedRequests and minStarvationTime are the number of requests, and the time since
	// the first of them, from which on the score of a model without a replica grows. A model
	// with a single request or a short burst thus does not delay the others.
	minStarvedRequests = 4
	minStarvationTime  = 8 * time.Second
	// scoreDoublingTime is the waiting time that doubles the score. It limits how long a model
	// is passed over: a model with sixteen times the score comes first only if it has waited
	// less by under four of these periods. In 200 worlds of TestNobodyStarves, twice this time
	// left one model beyond its bound. Half of it cost 1% of the answers to callers who leave
	// after 12 s, and left as many models without any answer.
	scoreDoublingTime = 8 * time.Second
	// maxRoundGap is the longest time between two rounds that counts as waiting, so that a long
	// interval without rounds or requests does not raise the score.
	maxRoundGap = time.Second
	// maxDoublings limits the growth so that the score stays finite.
	maxDoublings = 500
)

// starvation follows a model's requests since it last had a replica. It keeps its counts while
// no request waits, because callers may have left without an answer.
type starvation struct {
	firstRequest time.Time
	requests     int
	// waited is the total time in which requests waited, up to lastRound.
	waited    time.Duration
	lastRound time.Time
}

// observe records a round: whether a replica serves or will serve, how many requests wait, and
// how many arrived since the last round.
func (u *starvation) observe(now time.Time, served bool, waiting, arrivals int) {
	if served {
		*u = starvation{}
		return
	}
	if waiting+arrivals == 0 {
		return
	}
	if u.firstRequest.IsZero() {
		u.firstRequest, u.lastRound = now, now
	}
	if waiting > 0 {
		u.waited += min(now.Sub(u.lastRound), maxRoundGap)
	}
	u.requests += arrivals
	u.lastRound = now
}

// scoreFactor returns the factor by which the score of the model has grown.
func (u *starvation) scoreFactor(now time.Time) float64 {
	if u.requests < minStarvedRequests || now.Sub(u.firstRequest) < minStarvationTime {
		return 1
	}
	doublings := u.waited.Seconds() / scoreDoublingTime.Seconds()
	return math.Exp2(min(doublings, maxDoublings))
}
