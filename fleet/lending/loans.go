package lending

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// loanID is a question that was granted: numbers are those of the node that asked.
type loanID struct {
	node   cluster.NodeID
	number int64
}

// loan is what was granted to it.
type loan struct {
	tenant string
	amount float64
	at     time.Time
}

const (
	// loanMemory is for how long a loan may be given back. Later it stays counted: more than seven
	// times the 400 ms for which tokens last.
	loanMemory = 3 * time.Second
	// maxLoans bounds those kept: what 2,100 requests a second leave in loanMemory.
	maxLoans = 8192
)

// loans are what a lender lent lately, so that what is given back is taken back once.
type loans struct {
	known map[loanID]loan
	// order lists them by time; those taken back stay in it.
	order []loanID
}

// add notes a loan, and forgets old ones.
func (l *loans) add(id loanID, lent loan) {
	if l.known == nil {
		l.known = map[loanID]loan{}
	}
	for len(l.order) > 0 {
		oldest, known := l.known[l.order[0]]
		if known && len(l.order) < maxLoans && lent.at.Sub(oldest.at) < loanMemory {
			break
		}
		delete(l.known, l.order[0])
		l.order = l.order[1:]
	}
	l.known[id] = lent
	l.order = append(l.order, id)
}

// has reports whether a loan is known.
func (l *loans) has(id loanID) bool {
	_, known := l.known[id]
	return known
}

// outSince sums what a tenant was lent after a time and has not given back.
func (l *loans) outSince(tenant string, since time.Time) float64 {
	sum := 0.0
	for i := len(l.order) - 1; i >= 0; i-- {
		lent, known := l.known[l.order[i]]
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

// remove takes a loan out.
func (l *loans) remove(id loanID) (loan, bool) {
	lent, known := l.known[id]
	delete(l.known, id)
	return lent, known
}
