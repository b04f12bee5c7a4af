package retained

import "sync/atomic"

// Account bounds the bytes that a node holds. It is safe for concurrent use. A nil Account counts
// nothing and refuses nothing.
type Account struct {
	limit   int64
	used    atomic.Int64
	peak    atomic.Int64
	refused atomic.Uint64
}

// NewAccount returns an account with a limit in bytes. Zero or less means no limit.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// Reserve counts n more bytes. It returns false, and counts nothing, if they would exceed the
// limit.
func (a *Account) Reserve(n int64) bool {
	if a == nil || n <= 0 {
		return true
	}
	used := a.used.Add(n)
	if a.limit > 0 && used > a.limit {
		a.used.Add(-n)
		a.refused.Add(1)
		return false
	}
	a.updatePeak(used)
	return true
}

// Release returns n bytes to the account.
func (a *Account) Release(n int64) {
	if a != nil && n > 0 {
		a.used.Add(-n)
	}
}

// updatePeak raises the peak to used if it is lower.
func (a *Account) updatePeak(used int64) {
	for {
		peak := a.peak.Load()
		if used <= peak || a.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// Used returns the number of bytes in use.
func (a *Account) Used() int64 {
	if a == nil {
		return 0
	}
	return a.used.Load()
}

// Peak returns the largest number of bytes that were in use at one time.
func (a *Account) Peak() int64 {
	if a == nil {
		return 0
	}
	return a.peak.Load()
}

// Limit returns the limit in bytes, zero without one.
func (a *Account) Limit() int64 {
	if a == nil {
		return 0
	}
	return max(a.limit, 0)
}

// Refused returns the number of refused reservations.
func (a *Account) Refused() uint64 {
	if a == nil {
		return 0
	}
	return a.refused.Load()
}
