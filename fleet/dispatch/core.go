package dispatch

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/topk"
	"github.com/valveslip/valveslip/wire"
)

// Core asks, tells and dispatches for one node; it is not safe for concurrent use.
type Core struct {
	cfg Config
	now time.Time
	// ranked are the first maxDispatchers live nodes in the order in which they are asked; this
	// one may not be among them.
	ranked []Peer
	// silentUntil are the nodes that did not answer lately.
	silentUntil map[cluster.NodeID]time.Time
	// dispatcher was asked last, and knows of this node's attempts.
	dispatcher cluster.NodeID
	asks       map[int64]*ask
	attempts   map[int64]*attempt
	progress   []wire.EngineProgress
	// newsAt is when progress is told, zero while there is none; fullAt when all attempts are.
	newsAt, fullAt time.Time
	book           *book
	effects        []Effect
}

// ask is a question without an answer.
type ask struct {
	until time.Time
	to    cluster.NodeID
}

// attempt is one of this node's that is under way.
type attempt struct {
	machine cluster.MachineID
	sentAt  time.Time
	began   bool
	work    wire.EngineWork
}

// New returns a core that knows no other node.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, ranked: []Peer{cfg.Self}, silentUntil: map[cluster.NodeID]time.Time{},
		asks: map[int64]*ask{}, attempts: map[int64]*attempt{},
	}
	c.book = newBook(&c.cfg)
	return c
}

// Step takes one event and returns the effects, valid until the next Step.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case PeersChanged:
		c.peersChanged(e.Peers)
	case Asked:
		c.asked(&e)
	case Sent:
		c.sent(&e)
	case Began:
		c.began(e.Number)
	case Ended:
		c.ended(&e)
	case EngineGone:
		c.book.engineGone(e.Machine)
	case Unloaded:
		c.book.unloaded(e.Machine, e.Model)
	case Received:
		c.received(e.Message)
	}
	c.tickAsks()
	c.tickNews()
	c.book.sweep(c.now.UnixNano())
	return c.effects
}

// NextDue returns when the next Tick has something to do, zero for never.
func (c *Core) NextDue() time.Time {
	next := c.newsAt
	note := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, a := range c.asks {
		note(a.until)
	}
	if len(c.attempts) > 0 {
		note(c.fullAt)
	}
	return next
}

// Known counts the attempts of all nodes that this one knows as the dispatcher.
func (c *Core) Known() int { return len(c.book.booked) }

// UnderWay counts this node's own attempts that have not ended.
func (c *Core) UnderWay() int { return len(c.attempts) }

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) send(to Peer, m wire.Message) {
	if to.Address != "" {
		c.emit(Send{Address: to.Address, Message: m})
	}
}

// peersChanged finds the first of the live nodes. What nodes that are gone had under way is
// forgotten.
func (c *Core) peersChanged(peers []Peer) {
	first := []ranked{rank(c.cfg.Self)}
	for i := range peers {
		if p := peers[i]; p.ID != c.cfg.Self.ID && p.Machine != c.cfg.Self.Machine {
			first = topk.Insert(first, rank(p), maxDispatchers, ranked.compare)
		}
	}
	c.ranked = make([]Peer, len(first))
	for i := range first {
		c.ranked[i] = first[i].Peer
	}
	if len(c.book.booked)+len(c.silentUntil) == 0 {
		return
	}
	known := map[cluster.NodeID]bool{c.cfg.Self.ID: true}
	for i := range peers {
		if peers[i].Machine != c.cfg.Self.Machine {
			known[peers[i].ID] = true
		}
	}
	c.book.keepNodes(known)
	for id := range c.silentUntil {
		if !known[id] {
			delete(c.silentUntil, id)
		}
	}
}

// ranked is a node with what decides, among those of one capacity, which is asked first.
type ranked struct {
	Peer
	weight uint64
}

func rank(p Peer) ranked { return ranked{Peer: p, weight: xxhash.Sum64String(p.Machine)} }

func (r ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(other.Capacity, r.Capacity), cmp.Compare(r.weight, other.weight), cmp.Compare(r.ID, other.ID))
}

// pick returns the node to ask now, and makes it know what is under way here if it is another
// one than before. False while all are silent.
func (c *Core) pick() (Peer, bool) {
	for i := range c.ranked {
		p := c.ranked[i]
		if until, silent := c.silentUntil[p.ID]; silent && c.now.Before(until) {
			continue
		}
		if p.ID != c.dispatcher {
			before := c.dispatcher
			c.dispatcher = p.ID
			until, silent := c.silentUntil[before]
			c.emit(DispatcherChanged{Dispatcher: p.ID, Silent: silent && c.now.Before(until)})
			c.tellAll(p)
		}
		return p, true
	}
	return Peer{}, false
}

// peer returns a node of the ranked ones.
func (c *Core) peer(id cluster.NodeID) (Peer, bool) {
	for i := range c.ranked {
		if c.ranked[i].ID == id {
			return c.ranked[i], true
		}
	}
	return Peer{}, false
}

// received takes a message of another node.
func (c *Core) received(message wire.Message) {
	switch m := message.(type) {
	case wire.EngineRequest:
		answer := c.book.place(c.now, attemptKey{m.From, m.Number}, &m.Work, m.Candidates)
		answer.From = c.cfg.Self.ID
		c.send(Peer{Address: m.FromAddress}, answer)
	case wire.EngineAnswer:
		c.answered(&m)
	case wire.EngineNews:
		c.book.news(c.now, &m)
	}
}
