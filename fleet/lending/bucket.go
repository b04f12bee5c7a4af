package lending

import "time"

// bucket is what a lender may lend of one tenant's limit.
type bucket struct {
	level    float64
	filledAt time.Time
	// owed is what callers who were sent back will come back for; it lasts as long as they
	// were told to stay away.
	owed float64
}

// fill adds what the limit gave since.
func (b *bucket) fill(now time.Time, l Limit) {
	given := max(now.Sub(b.filledAt).Seconds(), 0) * l.Rate
	b.filledAt = now
	b.level = min(b.level+given, l.Burst)
	b.owed = max(b.owed-given, 0)
}

// take takes an amount, or says how long until it would be there behind those who were sent
// back before. More than the burst is granted when the bucket is full, and is then owed.
func (b *bucket) take(now time.Time, l Limit, amount float64) (time.Duration, bool) {
	b.fill(now, l)
	missing := min(amount, l.Burst) - b.level
	if missing <= 0 {
		b.level -= amount
		return 0, true
	}
	wait := time.Duration((missing + b.owed) / l.Rate * float64(time.Second))
	b.owed = min(b.owed+amount, longestOwed*l.Rate)
	return wait, false
}

// giveBack takes back what was not used.
func (b *bucket) giveBack(now time.Time, l Limit, amount float64) {
	b.fill(now, l)
	b.level = min(b.level+amount, l.Burst)
}
