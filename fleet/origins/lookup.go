package origins

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// lookup is a search for the origin of a stream at other nodes.
type lookup struct {
	request cluster.RequestID
	began   time.Time
	// round counts the rounds of questions, of which there are at most rounds. roundEnds is when the nodes
	// that did not answer are waited for no longer.
	round, rounds int
	roundEnds     time.Time
	// waiting holds the unanswered questions by number; asked and answered are the nodes of all rounds.
	waiting         map[int64]cluster.NodeID
	asked, answered map[cluster.NodeID]bool
}

// mixedRounds is the number of rounds if several releases serve: in the second, more nodes are asked, and those
// again that did not answer or did not know the stream yet.
const mixedRounds = 2

// startLookup answers from what this node knows, or asks others.
func (c *Core) startLookup(wanted LookupRequested) {
	id := wanted.Request
	if known := c.origins[id]; known != nil && c.now.Before(known.expires) {
		c.emit(Found{Request: id, Known: true, Release: known.release})
		return
	}
	if c.lookups[id] != nil {
		return
	}
	open := &lookup{
		request: id, rounds: 1, began: c.now, waiting: map[int64]cluster.NodeID{},
		asked: map[cluster.NodeID]bool{}, answered: map[cluster.NodeID]bool{},
	}
	if wanted.Mixed {
		open.rounds = mixedRounds
	}
	c.lookups[id] = open
	c.askRound(open)
}

// askRound asks the next round of nodes. The lookup ends if there is none to ask.
func (c *Core) askRound(open *lookup) {
	open.round++
	c.forgetQuestions(open)
	width := askedFirst
	if open.round > 1 {
		width = askedNext
	}
	peers := c.ranked(open.request, width)
	if len(peers) == 0 || open.round > open.rounds {
		c.endLookup(open, Found{Request: open.request})
		return
	}
	open.roundEnds = c.now.Add(time.Duration(open.round) * answerTimeout)
	for _, p := range peers {
		number := c.nextNumber()
		open.waiting[number], open.asked[p.ID] = p.ID, true
		c.asked[number] = open.request
		c.emit(Send{Address: p.Address, Message: wire.StreamOriginRequest{
			From: c.self.ID, FromAddress: c.self.Address, Number: number, Request: open.request,
		}})
	}
}

// forgetQuestions drops the unanswered questions of a lookup.
func (c *Core) forgetQuestions(open *lookup) {
	for number := range open.waiting {
		delete(c.asked, number)
	}
	clear(open.waiting)
}

// answered handles an answer to a question.
func (c *Core) answered(m *wire.StreamOriginAnswer) {
	open := c.lookups[c.asked[m.Number]]
	if open == nil || open.waiting[m.Number] != m.From {
		return
	}
	delete(open.waiting, m.Number)
	delete(c.asked, m.Number)
	open.answered[m.From] = true
	if m.Found {
		c.endLookup(open, Found{Request: open.request, Known: true, Release: m.Release})
		return
	}
	if len(open.waiting) == 0 && open.round == open.rounds {
		c.endLookup(open, Found{Request: open.request})
	}
}

// endLookup reports the result of a lookup.
func (c *Core) endLookup(open *lookup, result Found) {
	c.forgetQuestions(open)
	delete(c.lookups, open.request)
	result.Asked, result.Answered, result.Took = len(open.asked), len(open.answered), c.now.Sub(open.began)
	c.emit(result)
}

// expireLookups ends the rounds whose time is over.
func (c *Core) expireLookups() {
	if len(c.lookups) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.lookups)) {
		if open := c.lookups[id]; !c.now.Before(open.roundEnds) {
			c.askRound(open)
		}
	}
}
