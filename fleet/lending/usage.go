package lending

import "time"

// usageSlots is the number of slots of the sliding window. Usage expires at most a hundredth
// of the window late and never early, so a sum is never too small.
const usageSlots = 100

// usage is the sliding-window sum of the amounts lent of a tenant's limit.
type usage struct {
	slots [usageSlots + 1]float64
	sum   float64
	// number of the current slot, counted from the Unix epoch.
	number int64
}

// advance moves the window to now and drops older usage.
func (u *usage) advance(now time.Time, window time.Duration) {
	number := now.UnixNano() / int64(max(window/usageSlots, 1))
	if number-u.number > usageSlots {
		*u = usage{number: number}
		return
	}
	for u.number < number {
		u.number++
		u.sum -= *u.slot(u.number)
		*u.slot(u.number) = 0
	}
}

// slot returns the storage of a numbered slot.
func (u *usage) slot(number int64) *float64 { return &u.slots[number%int64(len(u.slots))] }

// add adds an amount to the current slot.
func (u *usage) add(amount float64) {
	*u.slot(u.number) += amount
	u.sum += amount
}

// refund subtracts an amount that was lent some time ago.
func (u *usage) refund(amount float64, ago, window time.Duration) {
	number := u.number - int64(ago/max(window/usageSlots, 1))
	if u.number-number > usageSlots {
		return
	}
	slot := u.slot(number)
	amount = min(amount, *slot)
	*slot -= amount
	u.sum -= amount
}
