package lending

import (
	"math"
	"time"
)

// ranks of requests, 0 being the most urgent.
const ranks = 10

// bucket is what a lender may lend of one tenant's limit.
type bucket struct {
	level    float64
	filledAt time.Time
	// asked is what each rank asks for lately, in units a second.
	asked [ranks]float64
	// owed is what callers who were sent back will come back for; it lasts as long as they
	// were told to stay away.
	owed float64
}

// fill adds what flowed in since, and forgets older demand.
func (b *bucket) fill(now time.Time, f flow) {
	passed := max(now.Sub(b.filledAt).Seconds(), 0)
	b.filledAt = now
	b.level = min(b.level+passed*f.rate, f.capacity)
	b.owed = max(b.owed-passed*f.rate, 0)
	kept := math.Exp(-passed / demandTime.Seconds())
	for rank := range b.asked {
		b.asked[rank] *= kept
	}
}

// urgent is what ranks before this one ask for, in units a second.
func (b *bucket) urgent(rank int) float64 {
	sum := 0.0
	for before := range rank {
		sum += b.asked[before]
	}
	return sum
}

// take takes an amount, or says how long until it would be there behind those who were sent
// back before. What more urgent ranks are about to ask for is left to them. More than the
// bucket holds is granted when it is full, and is then owed.
func (b *bucket) take(now time.Time, f flow, amount float64, rank int) (time.Duration, bool) {
	b.fill(now, f)
	rank = min(max(rank, 0), ranks-1)
	urgent := b.urgent(rank)
	b.asked[rank] += amount / demandTime.Seconds()
	reserve := min(urgent*reserveTime.Seconds(), reserveShare*f.capacity)
	missing := min(amount, f.capacity-reserve) + reserve - b.level
	if missing <= 0 {
		b.level -= amount
		return 0, true
	}
	rate := max(f.rate-urgent, f.rate*(1-reserveShare))
	// Whoever comes exactly then must not miss it by a rounding.
	wait := time.Duration((missing+b.owed)/rate*float64(time.Second)) + time.Millisecond
	b.owed = min(b.owed+amount, longestOwed*f.rate)
	return wait, false
}

// giveBack takes back what was not used.
func (b *bucket) giveBack(now time.Time, f flow, amount float64) {
	b.fill(now, f)
	b.level = min(b.level+amount, f.capacity)
}
