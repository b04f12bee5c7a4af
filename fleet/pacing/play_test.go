package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/agenda"
)

// play has nodes on a virtual clock that all want turns at one machine all the time.
type play struct {
	random    *rand.Rand
	now       time.Time
	agenda    agenda.Agenda
	counter   int
	nodes     []*playedNode
	perSecond float64
	// loss is the share of messages that is lost, delay the longest time that one takes.
	loss  float64
	delay time.Duration
	// turns are the times of all turns that were used.
	turns []time.Time
}

type playedNode struct {
	*play
	self   Peer
	core   *Core
	dead   bool
	tickAt time.Time
}

const playedMachine = cluster.MachineID("w")

// newPlay starts nodes that know each other and begin to want turns at the same moment.
func newPlay(seed uint64, nodes int, perSecond float64) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0), perSecond: perSecond, delay: 5 * time.Millisecond}
	for i := range nodes {
		p.start(fmt.Sprintf("m%d", i))
	}
	p.know(p.nodes)
	return p
}

// start starts a node on a machine, in place of an earlier one there.
func (p *play) start(machine string) *playedNode {
	p.counter++
	id := fmt.Sprintf("%s-%d", machine, p.counter)
	n := &playedNode{play: p, self: Peer{ID: cluster.NodeID(id), Address: id, Machine: machine}}
	n.core = New(n.self)
	at := slices.IndexFunc(p.nodes, func(other *playedNode) bool { return other.self.Machine == machine })
	if at >= 0 {
		p.nodes[at].dead = true
		p.nodes[at] = n
	} else {
		p.nodes = append(p.nodes, n)
	}
	p.after(0, n.want)
	return n
}

// know has nodes know all present ones.
func (p *play) know(nodes []*playedNode) {
	peers := make([]Peer, len(p.nodes))
	for i, n := range p.nodes {
		peers[i] = n.self
	}
	for _, n := range nodes {
		n.step(PeersChanged{Peers: peers})
	}
}

func (p *play) after(d time.Duration, run func()) {
	p.agenda.Add(p.now.Add(d), run)
}

func (p *play) runFor(d time.Duration) {
	end := p.now.Add(d)
	for at, run, due := p.agenda.Next(end); due; at, run, due = p.agenda.Next(end) {
		p.now = at
		run()
	}
	p.now = end
}

func (n *playedNode) want() {
	n.step(Wanted{Machine: playedMachine, PerSecond: n.perSecond})
}

func (n *playedNode) step(event Event) {
	if n.dead {
		return
	}
	for _, effect := range slices.Clone(n.core.Step(n.now, event)) {
		switch e := effect.(type) {
		case Send:
			n.deliver(e)
		case Decided:
			n.decided(e)
		}
	}
	if due := n.core.NextDue(); !due.IsZero() && !due.Equal(n.tickAt) {
		n.tickAt = due
		n.after(max(due.Sub(n.now), time.Millisecond), func() { n.step(Tick{}) })
	}
}

func (n *playedNode) deliver(e Send) {
	if n.random.Float64() < n.loss {
		return
	}
	n.after(time.Duration(n.random.Int64N(int64(n.delay))), func() {
		for _, peer := range n.nodes {
			if peer.self.Address == e.Address {
				peer.step(Received{Message: e.Message})
			}
		}
	})
}

// decided uses a turn at its time, and wants the next one.
func (n *playedNode) decided(d Decided) {
	n.after(d.Wait, func() {
		if d.Granted && !n.dead {
			n.turns = append(n.turns, n.now)
		}
		n.want()
	})
}

// fullest returns the most turns within any time of a length.
func (p *play) fullest(length time.Duration) int {
	slices.SortFunc(p.turns, time.Time.Compare)
	most, first := 0, 0
	for last := range p.turns {
		for p.turns[last].Sub(p.turns[first]) >= length {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
