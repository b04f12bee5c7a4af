package pacing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/topk"
	"github.com/valveslip/valveslip/wire"
)

// Core asks for turns and grants them for one node; it is not safe for concurrent use.
type Core struct {
	self Peer
	now  time.Time
	// peers are the live nodes, this one among them; none before the first PeersChanged.
	peers []Peer
	// ranked are the first of the live nodes that pace a machine, by machine; made when it is
	// first asked for.
	ranked map[cluster.MachineID][]Peer
	// silentUntil are the nodes that did not answer lately.
	silentUntil map[cluster.NodeID]time.Time
	// asks are the questions without an answer, by number.
	asks    map[int64]*ask
	numbers int64
	// answeredAt is when a node answered last, or the first question was asked.
	answeredAt time.Time
	// paces are of the machines that this node paces for all, parts of those of which it grants
	// itself an even part, since nobody answers.
	paces, parts map[cluster.MachineID]*pace
	sweptAt      time.Time
	effects      []Effect
}

// ask is a question without an answer.
type ask struct {
	wanted Wanted
	to     cluster.NodeID
	until  time.Time
}

// New returns a core that knows no nodes, and is given no turn until it does.
func New(self Peer) *Core {
	return &Core{
		self: self, ranked: map[cluster.MachineID][]Peer{}, silentUntil: map[cluster.NodeID]time.Time{},
		asks: map[int64]*ask{}, paces: map[cluster.MachineID]*pace{}, parts: map[cluster.MachineID]*pace{},
	}
}

// Step takes one event and returns the effects, valid until the next Step.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case PeersChanged:
		c.peersChanged(e.Peers)
	case Wanted:
		c.wanted(e)
	case Received:
		c.received(e.Message)
	}
	c.tickAsks()
	c.sweep()
	return c.effects
}

// NextDue returns when the next Tick has something to do, zero for never.
func (c *Core) NextDue() time.Time {
	var next time.Time
	for _, a := range c.asks {
		if next.IsZero() || a.until.Before(next) {
			next = a.until
		}
	}
	return next
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// peersChanged takes the live nodes. A process of this machine that was there before is not
// among those that are asked.
func (c *Core) peersChanged(peers []Peer) {
	c.peers = append(c.peers[:0], c.self)
	for _, p := range peers {
		if p.ID != c.self.ID && p.Machine != c.self.Machine {
			c.peers = append(c.peers, p)
		}
	}
	clear(c.ranked)
	for id, until := range c.silentUntil {
		if !c.now.Before(until) {
			delete(c.silentUntil, id)
		}
	}
}

// ranked is a node with its place in the order of those that pace a machine.
type ranked struct {
	Peer
	weight uint64
}

func (r ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(r.weight, other.weight), cmp.Compare(r.ID, other.ID))
}

// pacers lists the nodes that pace a machine, the first to be asked first.
func (c *Core) pacers(machine cluster.MachineID) []Peer {
	if known := c.ranked[machine]; known != nil {
		return known
	}
	var first []ranked
	for _, p := range c.peers {
		first = topk.Insert(first, ranked{p, xxhash.Sum64String(string(machine) + "/" + p.Machine)}, maxPacers, ranked.compare)
	}
	list := make([]Peer, len(first))
	for i := range first {
		list[i] = first[i].Peer
	}
	c.ranked[machine] = list
	return list
}

// wanted asks the first pacer that isn't silent, which may be this node itself.
func (c *Core) wanted(w Wanted) {
	if len(c.peers) == 0 {
		c.emit(Decided{Machine: w.Machine, Wait: alonePause, By: c.self.ID})
		return
	}
	interval := spacing(w.PerSecond)
	for _, p := range c.pacers(w.Machine) {
		if p.ID == c.self.ID {
			c.decide(w, c.paceOf(w.Machine, interval), interval)
			return
		}
		if !c.now.Before(c.silentUntil[p.ID]) {
			c.ask(p, w)
			return
		}
	}
	if c.now.Sub(c.answeredAt) < aloneAfter {
		c.emit(Decided{Machine: w.Machine, Wait: silentTime, By: c.self.ID})
		return
	}
	interval *= time.Duration(len(c.peers))
	c.decide(w, c.partOf(w.Machine, interval), interval)
}

// decide answers a question of this node itself.
func (c *Core) decide(w Wanted, p *pace, interval time.Duration) {
	wait, granted := p.take(c.now, interval)
	c.emit(Decided{Machine: w.Machine, Granted: granted, Wait: wait, By: c.self.ID})
}

// paceOf returns the pace of a machine that this node paces for all.
func (c *Core) paceOf(machine cluster.MachineID, interval time.Duration) *pace {
	known := c.paces[machine]
	if known == nil {
		known = newPace(c.now.Add(untilFirst(interval)))
		c.paces[machine] = known
	}
	return known
}

// partOf returns the pace of this node's even part. It begins at a time that differs by node.
func (c *Core) partOf(machine cluster.MachineID, interval time.Duration) *pace {
	known := c.parts[machine]
	if known == nil {
		phase := float64(xxhash.Sum64String(string(machine)+"/"+string(c.self.ID))) / (1 << 64)
		known = newPace(c.now.Add(time.Duration(phase * float64(interval))))
		c.parts[machine] = known
	}
	return known
}

// ask sends a question.
func (c *Core) ask(to Peer, w Wanted) {
	if c.numbers == 0 {
		// Answers to an earlier process of the machine are no answers to this one.
		c.numbers = c.now.UnixNano()
		c.answeredAt = c.now
	}
	c.numbers++
	c.asks[c.numbers] = &ask{wanted: w, to: to.ID, until: c.now.Add(askPatience)}
	c.emit(Send{Address: to.Address, Message: wire.TurnRequest{
		From: c.self.ID, FromAddress: c.self.Address, Number: c.numbers, Machine: w.Machine, PerSecond: w.PerSecond,
	}})
}

// tickAsks ends questions without an answer: the next node is asked.
func (c *Core) tickAsks() {
	var due []int64
	for number, a := range c.asks {
		if !c.now.Before(a.until) {
			due = append(due, number)
		}
	}
	slices.Sort(due)
	for _, number := range due {
		a := c.asks[number]
		delete(c.asks, number)
		c.silentUntil[a.to] = c.now.Add(silentTime)
		c.wanted(a.wanted)
	}
}

// received takes a message of another node.
func (c *Core) received(message wire.Message) {
	switch m := message.(type) {
	case wire.TurnRequest:
		interval := spacing(m.PerSecond)
		wait, granted := c.paceOf(m.Machine, interval).take(c.now, interval)
		c.emit(Send{Address: m.FromAddress, Message: wire.TurnAnswer{From: c.self.ID, Number: m.Number, Granted: granted, Wait: wait}})
	case wire.TurnAnswer:
		// A late answer is no turn, but its sender can be reached.
		c.answeredAt = c.now
		a := c.asks[m.Number]
		if a == nil || a.to != m.From {
			return
		}
		delete(c.asks, m.Number)
		delete(c.silentUntil, m.From)
		c.emit(Decided{Machine: a.wanted.Machine, Granted: m.Granted, Wait: m.Wait, By: m.From})
	}
}

// sweep forgets machines that nobody has asked about for long.
func (c *Core) sweep() {
	if c.now.Sub(c.sweptAt) < idlePace {
		return
	}
	c.sweptAt = c.now
	for _, paces := range []map[cluster.MachineID]*pace{c.paces, c.parts} {
		for machine, p := range paces {
			if c.now.Sub(p.askedAt) >= idlePace {
				delete(paces, machine)
			}
		}
	}
}
