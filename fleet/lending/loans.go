package lending

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// loanID identifies a granted request by the asking node and that node's request number.
type loanID struct {
	node   cluster.NodeID
	number int64
}

// loan is the amount that a request was granted, and when.
type loan struct {
	tenant string
	amount float64
	at     time.Time
}

const (
	// loanRetention is how long a loan may be returned; afterwards it stays counted as used. It is
	// more than seven times the 400 ms for which tokens are valid.
	loanRetention = 3 * time.Second
	// maxLoans bounds the retained loans: those of 2,100 requests a second within loanRetention.
	maxLoans = 8192
)

// loans are the recent loans of a lender; they make sure that a loan is returned only once.
type loans struct {
	byID map[loanID]loan
	// order lists the loans by time, including those that were returned.
	order []loanID
}

// add records a loan, and drops expired ones.
func (l *loans) add(id loanID, added loan) {
	if l.byID == nil {
		l.byID = map[loanID]loan{}
	}
	for len(l.order) > 0 {
		oldest, known := l.byID[l.order[0]]
		if known && len(l.order) < maxLoans && added.at.Sub(oldest.at) < loanRetention {
			break
		}
		delete(l.byID, l.order[0])
		l.order = l.order[1:]
	}
	l.byID[id] = added
	l.order = append(l.order, id)
}

// has reports whether a loan is recorded and not returned.
func (l *loans) has(id loanID) bool {
	_, known := l.byID[id]
	return known
}

// outstandingSince returns the sum of a tenant's loans after a time that were not returned.
func (l *loans) outstandingSince(tenant string, since time.Time) float64 {
	sum := 0.0
	for i := len(l.order) - 1; i >= 0; i-- {
		lent, known := l.byID[l.order[i]]
		if !known {
			continue
		}
		if !lent.at.After(since) {
			break
		}
		if lent.tenant == tenant {
			sum += lent.amount
		}
	}
	return sum
}

// remove deletes and returns a loan.
func (l *loans) remove(id loanID) (loan, bool) {
	lent, known := l.byID[id]
	delete(l.byID, id)
	return lent, known
}
