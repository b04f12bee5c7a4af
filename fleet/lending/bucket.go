package lending

import "time"

// bucket is the token bucket of one tenant at its lender.
type bucket struct {
	level    float64
	filledAt time.Time
	// used is the amount that was lent within the window.
	used      usage
	scheduler fairScheduler
	// reserved are the amounts kept for callers that were told when to return.
	reserved reservations
	demand   demand
	// unreservedUntil is until when callers that were refused without a reservation would use the
	// whole limit, if all of them returned.
	unreservedUntil time.Time
}

// tokenRequest is what one request asks for.
type tokenRequest struct {
	amount float64
	rank   int
	// fingerprint identifies the request, and is the same when it is repeated; zero if unknown.
	fingerprint int64
	// maxWait is the longest retry delay that the caller accepts.
	maxWait time.Duration
	// regrant is set for a request whose granted tokens expired while it waited, and were
	// returned. Its caller still waits, so it need not leave room for others.
	regrant bool
}

// decision is a bucket's answer to a tokenRequest.
type decision struct {
	granted bool
	// wait is the time until there is room, if the request was refused; reserved is set if the
	// room is kept for the caller then.
	wait     time.Duration
	reserved bool
	// fromReservation is set for a caller that returned to its reservation.
	fromReservation bool
}

// fill refills the bucket up to now, and drops expired usage and reservations.
func (b *bucket) fill(now time.Time, f bucketParams) {
	passed := max(now.Sub(b.filledAt).Seconds(), 0)
	b.filledAt = now
	b.level = min(b.level+passed*f.rate, f.capacity)
	b.used.advance(now, f.window)
	b.reserved.expire(now)
	b.demand.advance(now)
}

// take takes an amount, or says when there will be room for it. An amount above the capacity is
// granted when the bucket is full; the level is negative afterwards.
func (b *bucket) take(now time.Time, f bucketParams, w tokenRequest) decision {
	b.fill(now, f)
	k := b.scheduler.recordRequest(now, w.rank, w.amount, f.rate)
	if w.regrant && b.hasTokens(f, w.amount) {
		b.deduct(k, w.amount)
		return decision{granted: true}
	}
	if b.reserved.redeem(now, w.fingerprint, w.amount) {
		if b.hasTokens(f, w.amount) {
			b.deduct(k, w.amount)
			return decision{granted: true, fromReservation: true}
		}
		refused := b.refuse(now, f, k, w)
		refused.fromReservation = true
		return refused
	}
	b.demand.add(w.amount)
	if b.hasRoom(now, f, k, w.amount) {
		b.deduct(k, w.amount)
		return decision{granted: true}
	}
	return b.refuse(now, f, k, w)
}

// hasTokens reports whether the level covers an amount, ignoring reservations and saved room.
func (b *bucket) hasTokens(f bucketParams, amount float64) bool {
	return b.level >= min(amount, f.capacity)
}

// hasRoom reports whether an amount leaves the reserved room, and the room that is saved for
// classes behind class k. The saved room is bounded: a bucket too small for all of it would
// overflow and lose tokens.
func (b *bucket) hasRoom(now time.Time, f bucketParams, k *requestClass, amount float64) bool {
	saved := min(b.scheduler.savedRoom(now, k), max(maxSavedShare*f.capacity-amount, 0))
	return b.reserved.available(now, b.level, f.rate) >= min(amount, f.capacity)+saved
}

// deduct takes an amount out of the bucket and counts it for its class.
func (b *bucket) deduct(k *requestClass, amount float64) {
	b.level -= amount
	b.used.add(amount)
	k.recordServed(amount)
}

// refuse computes when there will be room, and reserves it if the caller would wait that long.
func (b *bucket) refuse(now time.Time, f bucketParams, k *requestClass, w tokenRequest) decision {
	k.recordRefusal(now)
	missing := min(w.amount, f.capacity) + b.reserved.sum() - b.level
	// The additional millisecond keeps rounding from refusing a caller that returns exactly then.
	due := now.Add(time.Duration(max(missing, 0)/f.rate*float64(time.Second)) + time.Millisecond)
	due = latest(due, b.reserved.nextDue)
	returnRate := max(f.rate-b.demand.rate, minReturnShare*f.rate)
	if w.fingerprint != 0 && due.Sub(now)+earlyReturnTolerance <= w.maxWait && len(b.reserved.list) < maxReservations {
		b.reserved.reserve(due, w.fingerprint, w.amount, returnRate)
		return decision{wait: due.Sub(now), reserved: true}
	}
	// Callers without a reservation are told different times, so that they do not return at once.
	due = latest(due, b.unreservedUntil)
	b.unreservedUntil = earliest(due.Add(time.Duration(w.amount/f.rate*float64(time.Second))), now.Add(maxRetryDelay))
	return decision{wait: due.Sub(now)}
}

// refund puts an amount back that was lent some time ago and not used. Outstanding tokens, lent so
// recently that they may still be used, count towards the capacity. Otherwise requests that wait
// with their tokens for a machine could use twice the capacity at once: the tokens that they hold,
// and those of a bucket that refunds have filled again.
func (b *bucket) refund(now time.Time, f bucketParams, amount float64, ago time.Duration, outstanding float64) {
	b.fill(now, f)
	b.level = max(b.level, min(b.level+amount, f.capacity-outstanding))
	b.used.refund(amount, ago, f.window)
}

// addCredit adds an amount up to the capacity.
func (b *bucket) addCredit(now time.Time, f bucketParams, amount float64) {
	b.fill(now, f)
	b.level = min(b.level+amount, f.capacity)
}

// demand estimates how much is requested per second, without callers that return to a reservation.
type demand struct {
	rate          float64
	accumulated   float64
	intervalStart time.Time
}

// demandInterval is the interval over which demand is counted; the last interval counts for half
// of the smoothed rate.
const demandInterval = 500 * time.Millisecond

// advance adds an interval that has ended to the smoothed rate.
func (d *demand) advance(now time.Time) {
	passed := now.Sub(d.intervalStart)
	if passed < demandInterval {
		return
	}
	d.rate = (d.rate + d.accumulated/passed.Seconds()) / 2
	d.accumulated, d.intervalStart = 0, now
}

func (d *demand) add(amount float64) { d.accumulated += amount }

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
