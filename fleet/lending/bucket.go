package lending

import "time"

// bucket is what a lender may lend of one tenant's limit.
type bucket struct {
	level    float64
	filledAt time.Time
	// used is what was lent within the window.
	used usage
	line line
	// reserved is room for callers who were told when to come back.
	reserved reservations
	demand   demand
	// beyond is until when the limit would be taken by those who were sent back without a
	// reservation, if all of them came.
	beyond time.Time
}

// want is what one request asks for.
type want struct {
	amount float64
	rank   int
	// mark tells what is asked for, the same when it is asked for again; zero for not known.
	mark int64
	// heeds is the longest wait that the caller heeds when it is told when to come back.
	heeds time.Duration
	// again is set for a request that had its turn: what was granted to it lapsed while it
	// waited, and was given back. Its caller waits, so it leaves no room to others.
	again bool
}

// terms are what a bucket answers to a want.
type terms struct {
	granted bool
	// wait until there is room for whom there was none, and reserved if it is kept then.
	wait     time.Duration
	reserved bool
	// came is set for a caller that came back for what was reserved.
	came bool
}

// fill adds what flowed in since, and forgets what is over.
func (b *bucket) fill(now time.Time, f flow) {
	passed := max(now.Sub(b.filledAt).Seconds(), 0)
	b.filledAt = now
	b.level = min(b.level+passed*f.rate, f.capacity)
	b.used.advance(now, f.span)
	b.reserved.expire(now)
	b.demand.pass(now)
}

// take takes an amount, or says when there will be room for it. More than the bucket holds
// is granted when it is full, and is then owed.
func (b *bucket) take(now time.Time, f flow, w want) terms {
	b.fill(now, f)
	k := b.line.asked(now, w.rank, w.amount, f.rate)
	if w.again && b.holds(f, w.amount) {
		b.lend(k, w.amount)
		return terms{granted: true}
	}
	if b.reserved.redeem(now, w.mark, w.amount) {
		if b.holds(f, w.amount) {
			b.lend(k, w.amount)
			return terms{granted: true, came: true}
		}
		refused := b.refuse(now, f, k, w)
		refused.came = true
		return refused
	}
	b.demand.add(w.amount)
	if b.fits(now, f, k, w.amount) {
		b.lend(k, w.amount)
		return terms{granted: true}
	}
	return b.refuse(now, f, k, w)
}

// holds reports whether there is as much now, whoever it is for.
func (b *bucket) holds(f flow, amount float64) bool { return b.level >= min(amount, f.capacity) }

// fits reports whether an amount leaves the room that is reserved, and that is saved for kinds
// that are behind. What is saved is bounded, or a bucket too small for it would run over.
func (b *bucket) fits(now time.Time, f flow, k *kind, amount float64) bool {
	saved := min(b.line.saved(now, k), max(savedShare*f.capacity-amount, 0))
	return b.reserved.room(now, b.level, f.rate) >= min(amount, f.capacity)+saved
}

// lend takes an amount out.
func (b *bucket) lend(k *kind, amount float64) {
	b.level -= amount
	b.used.add(amount)
	k.serve(amount)
}

// refuse says when there will be room, and keeps it for a caller that comes then.
func (b *bucket) refuse(now time.Time, f flow, k *kind, w want) terms {
	k.refuse(now)
	missing := min(w.amount, f.capacity) + b.reserved.sum() - b.level
	// Whoever comes exactly then must not miss it by a rounding.
	due := now.Add(time.Duration(max(missing, 0)/f.rate*float64(time.Second)) + time.Millisecond)
	due = latest(due, b.reserved.next)
	spare := max(f.rate-b.demand.rate, returnShare*f.rate)
	if w.mark != 0 && due.Sub(now)+earlyBy <= w.heeds && len(b.reserved.list) < maxReservations {
		b.reserved.reserve(due, w.mark, w.amount, spare)
		return terms{wait: due.Sub(now), reserved: true}
	}
	// Nobody is told a time at which all others come too.
	due = latest(due, b.beyond)
	b.beyond = earliest(due.Add(time.Duration(w.amount/f.rate*float64(time.Second))), now.Add(longestWait))
	return terms{wait: due.Sub(now)}
}

// giveBack takes back what was lent some time ago and not used. What is out besides, lent so
// lately that it may still be used, fills the bucket as what is in it does: of requests that
// wait with their tokens for a machine twice as many went at once otherwise, from what they
// held and from a bucket that was filled again by what others gave back.
func (b *bucket) giveBack(now time.Time, f flow, amount float64, ago time.Duration, out float64) {
	b.fill(now, f)
	b.level = max(b.level, min(b.level+amount, f.capacity-out))
	b.used.giveBack(amount, ago, f.span)
}

// raise adds what may be lent besides.
func (b *bucket) raise(now time.Time, f flow, amount float64) {
	b.fill(now, f)
	b.level = min(b.level+amount, f.capacity)
}

// demand is how fast a tenant's callers ask, those left out who come for a reservation.
type demand struct {
	rate  float64
	asked float64
	since time.Time
}

// demandStep is over what time demand is counted; half of the rate is that of the last step.
const demandStep = 500 * time.Millisecond

// pass takes the steps that are over into the rate.
func (d *demand) pass(now time.Time) {
	passed := now.Sub(d.since)
	if passed < demandStep {
		return
	}
	d.rate = (d.rate + d.asked/passed.Seconds()) / 2
	d.asked, d.since = 0, now
}

func (d *demand) add(amount float64) { d.asked += amount }

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
