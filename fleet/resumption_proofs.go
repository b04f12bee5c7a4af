package fleet

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/origins"
	"github.com/valveslip/valveslip/routing"
)

// unprovenResumption is a request that resumes a stream of unknown origin, and what other nodes answered about it.
type unprovenResumption struct {
	request routing.Request
	found   origins.Found
}

// resumptionProofs are the requests that wait until the store has answered which releases there are. An answer counts only
// for requests that arrived before the store was asked.
type resumptionProofs struct {
	// ask asks the store.
	ask func()
	// asking is set while an answer is under way. asked wait for it, next for the one after it.
	asking      bool
	asked, next []unprovenResumption
}

// add has a request wait for an answer to a question that is yet to be asked.
func (p *resumptionProofs) add(waiting unprovenResumption) {
	p.next = append(p.next, waiting)
	p.askNext()
}

// askNext asks the store if requests wait and no answer is under way.
func (p *resumptionProofs) askNext() {
	if !p.asking && len(p.next) > 0 {
		p.asking, p.asked, p.next = true, p.next, nil
		p.ask()
	}
}

// answered returns the requests that the answer is for, and asks again for the others.
func (p *resumptionProofs) answered() []unprovenResumption {
	answered := p.asked
	p.asking, p.asked = false, nil
	p.askNext()
	return answered
}

// remove drops a request and reports whether it waited.
func (p *resumptionProofs) remove(id cluster.RequestID) bool {
	isRequest := func(waiting unprovenResumption) bool { return waiting.request.ID == id }
	before := p.count()
	p.asked, p.next = slices.DeleteFunc(p.asked, isRequest), slices.DeleteFunc(p.next, isRequest)
	return p.count() < before
}

// count returns the number of requests that wait.
func (p *resumptionProofs) count() int { return len(p.asked) + len(p.next) }
