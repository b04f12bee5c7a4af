package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/agenda"
)

// simulation runs nodes on a virtual clock that all request turns at one machine continuously.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	scheduled  agenda.EventQueue
	startCount int
	nodes      []*simulatedNode
	perSecond  float64
	// lossShare is the share of messages that are lost, maxMessageDelay the longest delivery
	// time.
	lossShare       float64
	maxMessageDelay time.Duration
	// turns are the times of all turns that were used.
	turns []time.Time
}

type simulatedNode struct {
	*simulation
	self   Peer
	core   *Core
	dead   bool
	tickAt time.Time
}

const testMachine = cluster.MachineID("w")

// newSimulation starts nodes that know each other and begin to request turns at the same time.
func newSimulation(seed uint64, nodes int, perSecond float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0), perSecond: perSecond, maxMessageDelay: 5 * time.Millisecond}
	for i := range nodes {
		s.start(fmt.Sprintf("m%d", i))
	}
	s.announceNodes(s.nodes)
	return s
}

// start starts a node on a host and replaces an earlier node there.
func (s *simulation) start(machine string) *simulatedNode {
	s.startCount++
	id := fmt.Sprintf("%s-%d", machine, s.startCount)
	n := &simulatedNode{simulation: s, self: Peer{ID: cluster.NodeID(id), Address: id, Machine: machine}}
	n.core = New(n.self)
	at := slices.IndexFunc(s.nodes, func(other *simulatedNode) bool { return other.self.Machine == machine })
	if at >= 0 {
		s.nodes[at].dead = true
		s.nodes[at] = n
	} else {
		s.nodes = append(s.nodes, n)
	}
	s.after(0, n.requestTurn)
	return n
}

// announceNodes tells the given nodes of all nodes in the simulation.
func (s *simulation) announceNodes(nodes []*simulatedNode) {
	peers := make([]Peer, len(s.nodes))
	for i, n := range s.nodes {
		peers[i] = n.self
	}
	for _, n := range nodes {
		n.step(PeersChanged{Peers: peers})
	}
}

func (s *simulation) after(d time.Duration, run func()) {
	s.scheduled.Schedule(s.now.Add(d), run)
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for at, run, due := s.scheduled.Next(end); due; at, run, due = s.scheduled.Next(end) {
		s.now = at
		run()
	}
	s.now = end
}

func (n *simulatedNode) requestTurn() {
	n.step(TurnRequested{Machine: testMachine, PerSecond: n.perSecond})
}

func (n *simulatedNode) step(event Event) {
	if n.dead {
		return
	}
	for _, effect := range slices.Clone(n.core.Step(n.now, event)) {
		switch e := effect.(type) {
		case Send:
			n.sendMessage(e)
		case TurnDecided:
			n.handleDecision(e)
		}
	}
	if due := n.core.NextDue(); !due.IsZero() && !due.Equal(n.tickAt) {
		n.tickAt = due
		n.after(max(due.Sub(n.now), time.Millisecond), func() { n.step(Tick{}) })
	}
}

func (n *simulatedNode) sendMessage(e Send) {
	if n.random.Float64() < n.lossShare {
		return
	}
	n.after(time.Duration(n.random.Int64N(int64(n.maxMessageDelay))), func() {
		for _, peer := range n.nodes {
			if peer.self.Address == e.Address {
				peer.step(MessageReceived{Message: e.Message})
			}
		}
	})
}

// handleDecision uses a granted turn at its time and requests the next one.
func (n *simulatedNode) handleDecision(d TurnDecided) {
	n.after(d.Wait, func() {
		if d.Granted && !n.dead {
			n.turns = append(n.turns, n.now)
		}
		n.requestTurn()
	})
}

// maxTurnsWithin returns the largest number of turns within any window of the given length.
func (s *simulation) maxTurnsWithin(length time.Duration) int {
	slices.SortFunc(s.turns, time.Time.Compare)
	busiest, first := 0, 0
	for last := range s.turns {
		for s.turns[last].Sub(s.turns[first]) >= length {
			first++
		}
		busiest = max(busiest, last-first+1)
	}
	return busiest
}
