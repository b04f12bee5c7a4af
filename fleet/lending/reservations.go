package lending

import (
	"slices"
	"time"
)

const (
	// maxReservations bounds the reservations of a tenant.
	maxReservations = 256
	// earlyReturnTolerance is how early a caller may return; it covers clock differences and the
	// time to tell the caller.
	earlyReturnTolerance = 50 * time.Millisecond
	// reservationHold is how long room is kept for a caller that is late: a new connection and
	// a busy machine take that long.
	reservationHold = 300 * time.Millisecond
	// minReturnShare is the least share of a limit that is for returning callers. An answer at the
	// first attempt is worth more to a caller than one after a wait, so most of the limit is for
	// first attempts.
	minReturnShare = 0.05
)

// reservation is room kept for a caller that was told when to return.
type reservation struct {
	// fingerprint identifies the request, and is the same when it is repeated.
	fingerprint int64
	amount      float64
	due         time.Time
}

// reservations are the reservations of one tenant, in the order of their due times.
type reservations struct {
	list []reservation
	// nextDue is the earliest time that the next reservation may be due.
	nextDue time.Time
}

// expire drops reservations whose callers did not return in time.
func (r *reservations) expire(now time.Time) {
	kept := 0
	for kept < len(r.list) && now.Sub(r.list[kept].due) > reservationHold {
		kept++
	}
	r.list = r.list[kept:]
}

// redeem removes the reservation that a returning caller has, and reports whether there was one.
func (r *reservations) redeem(now time.Time, fingerprint int64, amount float64) bool {
	index := slices.IndexFunc(r.list, func(kept reservation) bool {
		return kept.fingerprint == fingerprint && kept.amount == amount && !now.Before(kept.due.Add(-earlyReturnTolerance))
	})
	if fingerprint == 0 || index < 0 {
		return false
	}
	r.list = slices.Delete(r.list, index, index+1)
	return true
}

// sum returns the total of the reserved amounts.
func (r *reservations) sum() float64 {
	sum := 0.0
	for i := range r.list {
		sum += r.list[i].amount
	}
	return sum
}

// available returns how much of the level can be taken such that every reservation is still covered
// when it is due.
func (r *reservations) available(now time.Time, level, rate float64) float64 {
	room, sum := level, 0.0
	for i := range r.list {
		sum += r.list[i].amount
		filled := level + rate*max(r.list[i].due.Sub(now).Seconds(), 0)
		room = min(room, filled-sum)
	}
	return room
}

// reserve adds a reservation; rate, in units a second, spaces the due times.
func (r *reservations) reserve(due time.Time, fingerprint int64, amount, rate float64) {
	r.list = append(r.list, reservation{fingerprint: fingerprint, amount: amount, due: due})
	r.nextDue = due.Add(time.Duration(amount / rate * float64(time.Second)))
}
