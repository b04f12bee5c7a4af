package pacing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/topk"
	"github.com/valveslip/valveslip/wire"
)

// Core requests turns from pacers and grants turns as a pacer, on behalf of one node. It is not
// safe for concurrent use.
type Core struct {
	self Peer
	now  time.Time
	// peers are the live nodes, including this one; empty before the first PeersChanged.
	peers []Peer
	// pacersByMachine caches the ranked pacers of each machine until the live nodes change.
	pacersByMachine map[cluster.MachineID][]Peer
	// unresponsiveUntil is the time until which nodes that missed a timeout are skipped.
	unresponsiveUntil map[cluster.NodeID]time.Time
	// silentSince is the time of the first request to each node that was not answered in time, with no
	// answer since.
	silentSince map[cluster.NodeID]time.Time
	// pending holds the unanswered turn requests by number.
	pending    map[int64]*pendingRequest
	lastNumber int64
	// lastAnswerAt is the time of the last answer from any node, or of the first request.
	lastAnswerAt time.Time
	// schedules are the machines for which this node is a pacer. evenShares are the machines of
	// which this node grants itself an even share because no pacer answers.
	schedules, evenShares map[cluster.MachineID]*turnSchedule
	// slotSchedules are the brittle machines for which this node is a pacer.
	slotSchedules map[cluster.MachineID]*slotSchedule
	// expiredSlots are the machines of requests for turns there that timed out, by number. It is
	// emptied with each sweep.
	expiredSlots map[int64]cluster.MachineID
	lastSweepAt  time.Time
	effects      []Effect
}

// pendingRequest is an unanswered turn request to another node.
type pendingRequest struct {
	request  TurnRequested
	to       cluster.NodeID
	deadline time.Time
}

// New returns a core without peers. It grants no turns until the first PeersChanged.
func New(self Peer) *Core {
	return &Core{
		self: self, pacersByMachine: map[cluster.MachineID][]Peer{}, unresponsiveUntil: map[cluster.NodeID]time.Time{},
		silentSince: map[cluster.NodeID]time.Time{},
		pending:     map[int64]*pendingRequest{}, schedules: map[cluster.MachineID]*turnSchedule{}, evenShares: map[cluster.MachineID]*turnSchedule{},
		slotSchedules: map[cluster.MachineID]*slotSchedule{}, expiredSlots: map[int64]cluster.MachineID{},
	}
}

// Step handles one event at the given time and returns the effects, which are valid until the
// next Step.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case PeersChanged:
		c.setPeers(e.Peers)
	case TurnRequested:
		c.requestTurn(e)
	case TurnReturned:
		c.returnTurn(&e)
	case MessageReceived:
		c.handleMessage(e.Message)
	}
	c.expirePending()
	c.serveAllWaiting()
	c.evictIdle()
	return c.effects
}

// NextDue returns the time of the next required Tick, zero for none.
func (c *Core) NextDue() time.Time {
	next := c.slotsDue()
	for _, request := range c.pending {
		if next.IsZero() || request.deadline.Before(next) {
			next = request.deadline
		}
	}
	return next
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// setPeers replaces the live nodes. Earlier processes on this node's own host are left out, so
// that they are never asked.
func (c *Core) setPeers(peers []Peer) {
	c.peers = append(c.peers[:0], c.self)
	for _, p := range peers {
		if p.ID != c.self.ID && p.Machine != c.self.Machine {
			c.peers = append(c.peers, p)
		}
	}
	clear(c.pacersByMachine)
	for id, until := range c.unresponsiveUntil {
		if !c.now.Before(until) {
			delete(c.unresponsiveUntil, id)
		}
	}
	maps.DeleteFunc(c.silentSince, func(id cluster.NodeID, _ time.Time) bool {
		return !slices.ContainsFunc(c.peers, func(p Peer) bool { return p.ID == id })
	})
}

// rankedPeer is a node with its rendezvous hash for one machine.
type rankedPeer struct {
	Peer
	weight uint64
}

func (r rankedPeer) compare(other rankedPeer) int {
	return cmp.Or(cmp.Compare(r.weight, other.weight), cmp.Compare(r.ID, other.ID))
}

// pacers returns the nodes that pace a machine, in the order in which they are asked.
func (c *Core) pacers(machine cluster.MachineID) []Peer {
	if cached := c.pacersByMachine[machine]; cached != nil {
		return cached
	}
	var ranked []rankedPeer
	for _, p := range c.peers {
		ranked = topk.Insert(ranked, rankedPeer{p, xxhash.Sum64String(string(machine) + "/" + p.Machine)}, maxPacers, rankedPeer.compare)
	}
	list := make([]Peer, len(ranked))
	for i := range ranked {
		list[i] = ranked[i].Peer
	}
	c.pacersByMachine[machine] = list
	return list
}

// requestTurn requests a turn from the first responsive pacer, which may be this node itself. If
// none responds for isolatedAfter, this node grants itself an even share.
func (c *Core) requestTurn(request TurnRequested) {
	if len(c.peers) == 0 {
		c.emit(TurnDecided{Machine: request.Machine, Wait: noPeersRetryDelay, By: c.self.ID})
		return
	}
	if request.Slots > 0 && c.requestSlotTurn(request) {
		return
	}
	interval := turnInterval(request.PerSecond)
	for _, p := range c.pacers(request.Machine) {
		if p.ID == c.self.ID {
			c.decideLocally(request, c.scheduleFor(request.Machine, interval), interval)
			return
		}
		if !c.now.Before(c.unresponsiveUntil[p.ID]) {
			c.sendRequest(p, request)
			return
		}
	}
	if c.now.Sub(c.lastAnswerAt) < isolatedAfter {
		c.emit(TurnDecided{Machine: request.Machine, Wait: unresponsiveBackoff, By: c.self.ID})
		return
	}
	interval *= time.Duration(len(c.peers))
	c.decideLocally(request, c.evenShareFor(request.Machine, interval), interval)
}

// decideLocally answers this node's own request from the given schedule.
func (c *Core) decideLocally(request TurnRequested, schedule *turnSchedule, interval time.Duration) {
	wait, granted := schedule.grantNext(c.now, interval)
	c.emit(TurnDecided{Machine: request.Machine, Granted: granted, Wait: wait, By: c.self.ID})
}

// scheduleFor returns the schedule by which this node paces a machine for all nodes.
func (c *Core) scheduleFor(machine cluster.MachineID, interval time.Duration) *turnSchedule {
	schedule := c.schedules[machine]
	if schedule == nil {
		schedule = newTurnSchedule(c.now.Add(firstTurnDelay(interval)))
		c.schedules[machine] = schedule
	}
	return schedule
}

// evenShareFor returns the schedule of this node's even share of a machine's limit. Its phase
// differs by node, so that isolated nodes don't send at the same moments.
func (c *Core) evenShareFor(machine cluster.MachineID, interval time.Duration) *turnSchedule {
	schedule := c.evenShares[machine]
	if schedule == nil {
		phase := float64(xxhash.Sum64String(string(machine)+"/"+string(c.self.ID))) / (1 << 64)
		schedule = newTurnSchedule(c.now.Add(time.Duration(phase * float64(interval))))
		c.evenShares[machine] = schedule
	}
	return schedule
}

// sendRequest sends a turn request to a pacer.
func (c *Core) sendRequest(to Peer, request TurnRequested) {
	number := c.nextNumber()
	c.pending[number] = &pendingRequest{request: request, to: to.ID, deadline: c.now.Add(answerTimeout)}
	perSecond := request.PerSecond
	if request.Slots > 0 {
		perSecond = request.StatedPerSecond
	}
	c.emit(Send{Address: to.Address, Message: wire.TurnRequest{
		From: c.self.ID, FromAddress: c.self.Address, Number: number, Machine: request.Machine, PerSecond: perSecond,
		Slots: request.Slots,
	}})
}

// nextNumber returns the number of the next request for a turn.
func (c *Core) nextNumber() int64 {
	if c.lastNumber == 0 {
		// Numbers start at the clock's time, so that answers to an earlier process of this host
		// match no request of this one.
		c.lastNumber = c.now.UnixNano()
		c.lastAnswerAt = c.now
	}
	c.lastNumber++
	return c.lastNumber
}

// expirePending drops requests that have timed out and asks the next pacer for each.
func (c *Core) expirePending() {
	var due []int64
	for number, request := range c.pending {
		if !c.now.Before(request.deadline) {
			due = append(due, number)
		}
	}
	slices.Sort(due)
	for _, number := range due {
		request := c.pending[number]
		delete(c.pending, number)
		if request.request.Slots > 0 {
			c.slotRequestExpired(number, request)
			continue
		}
		c.unresponsiveUntil[request.to] = c.now.Add(unresponsiveBackoff)
		c.requestTurn(request.request)
	}
}

// handleMessage handles a message of another node.
func (c *Core) handleMessage(message wire.Message) {
	switch m := message.(type) {
	case wire.TurnRequest:
		if m.Slots > 0 {
			c.requestSlot(m.Machine, m.Slots, m.PerSecond, slotKey{m.From, m.Number}, m.FromAddress)
			return
		}
		interval := turnInterval(m.PerSecond)
		wait, granted := c.scheduleFor(m.Machine, interval).grantNext(c.now, interval)
		c.emit(Send{Address: m.FromAddress, Message: wire.TurnAnswer{From: c.self.ID, Number: m.Number, Granted: granted, Wait: wait}})
	case wire.TurnReturned:
		c.slotReturned(m.Machine, slotKey{m.From, m.Number})
	case wire.TurnAnswer:
		// A late answer grants no turn at a machine that is limited by rate, but shows that its sender is
		// reachable.
		c.lastAnswerAt = c.now
		delete(c.silentSince, m.From)
		request := c.pending[m.Number]
		if request == nil || request.to != m.From {
			c.grantedLate(&m)
			return
		}
		delete(c.pending, m.Number)
		delete(c.unresponsiveUntil, m.From)
		decided := TurnDecided{Machine: request.request.Machine, Granted: m.Granted, Wait: m.Wait, By: m.From}
		if request.request.Slots > 0 && m.Granted {
			decided.Number = m.Number
		}
		c.emit(decided)
	}
}

// evictIdle drops the schedules of machines without a request for idleTimeout.
func (c *Core) evictIdle() {
	if c.now.Sub(c.lastSweepAt) < idleTimeout {
		return
	}
	c.lastSweepAt = c.now
	clear(c.expiredSlots)
	for machine, schedule := range c.slotSchedules {
		if c.now.Sub(schedule.lastRequestAt) >= idleTimeout {
			delete(c.slotSchedules, machine)
		}
	}
	for _, schedules := range []map[cluster.MachineID]*turnSchedule{c.schedules, c.evenShares} {
		for machine, schedule := range schedules {
			if c.now.Sub(schedule.lastRequestAt) >= idleTimeout {
				delete(schedules, machine)
			}
		}
	}
}
