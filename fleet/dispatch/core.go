package dispatch

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/topk"
	"github.com/valveslip/valveslip/wire"
)

// Core is the dispatch state of one node: it requests placements, reports its attempts, and places
// attempts of other nodes when they ask. It is not safe for concurrent use.
type Core struct {
	cfg Config
	now time.Time
	// ranking lists the first maxDispatchers live nodes in the order in which they are asked. This
	// node may be absent from it.
	ranking []Peer
	// unresponsiveUntil holds the end of the back-off of each node that did not answer.
	unresponsiveUntil map[cluster.NodeID]time.Time
	// dispatcher is the node that was asked last. It has received this node's attempts.
	dispatcher      cluster.NodeID
	pendingRequests map[int64]*placementRequest
	ownAttempts     map[int64]*ownAttempt
	progress        []wire.EngineProgress
	// progressDue is when the batched progress is sent, zero if there is none. fullReportDue is
	// when the next full report is sent, zero without attempts.
	progressDue, fullReportDue time.Time
	tracker                    *attemptTracker
	effects                    []Effect
}

// placementRequest is a question to the dispatcher that has no answer yet.
type placementRequest struct {
	deadline   time.Time
	dispatcher cluster.NodeID
}

// ownAttempt is an attempt of this node that has not ended.
type ownAttempt struct {
	machine        cluster.MachineID
	sentAt         time.Time
	firstEventSeen bool
	work           wire.EngineWork
}

// New returns a Core that knows no other node.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, ranking: []Peer{cfg.Self}, unresponsiveUntil: map[cluster.NodeID]time.Time{},
		pendingRequests: map[int64]*placementRequest{}, ownAttempts: map[int64]*ownAttempt{},
	}
	c.tracker = newAttemptTracker(&c.cfg)
	return c
}

// Step applies one event and returns its effects, which are valid until the next Step.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case PeersChanged:
		c.updatePeers(e.Peers)
	case PlacementRequested:
		c.requestPlacement(&e)
	case AttemptSent:
		c.recordSend(&e)
	case FirstEventReceived:
		c.recordFirstEvent(e.Number)
	case AttemptEnded:
		c.recordEnd(&e)
	case EngineRemoved:
		c.tracker.removeEngine(e.Machine)
	case ModelUnloaded:
		c.tracker.dropModel(e.Machine, e.Model)
	case MessageReceived:
		c.handleMessage(e.Message)
	}
	c.expireRequests()
	c.sendDueReports()
	c.tracker.sweep(c.now.UnixNano())
	return c.effects
}

// NextDue returns the time by which the next Tick is needed, zero if none is.
func (c *Core) NextDue() time.Time {
	next := c.progressDue
	consider := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, a := range c.pendingRequests {
		consider(a.deadline)
	}
	if len(c.ownAttempts) > 0 {
		consider(c.fullReportDue)
	}
	return next
}

// TrackedAttempts returns the number of attempts, of all nodes, that this node tracks as the
// dispatcher.
func (c *Core) TrackedAttempts() int { return len(c.tracker.attempts) }

// OwnAttempts returns the number of attempts of this node that have not ended.
func (c *Core) OwnAttempts() int { return len(c.ownAttempts) }

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) send(to Peer, m wire.Message) {
	if to.Address != "" {
		c.emit(Send{Address: to.Address, Message: m})
	}
}

// updatePeers recomputes the ranking from the live nodes, and drops the tracked attempts and the
// back-off of nodes that are gone.
func (c *Core) updatePeers(peers []Peer) {
	best := []rankedPeer{rankPeer(c.cfg.Self)}
	for i := range peers {
		if p := peers[i]; p.ID != c.cfg.Self.ID && p.Machine != c.cfg.Self.Machine {
			best = topk.Insert(best, rankPeer(p), maxDispatchers, rankedPeer.compare)
		}
	}
	c.ranking = make([]Peer, len(best))
	for i := range best {
		c.ranking[i] = best[i].Peer
	}
	if len(c.tracker.attempts)+len(c.unresponsiveUntil) == 0 {
		return
	}
	live := map[cluster.NodeID]bool{c.cfg.Self.ID: true}
	for i := range peers {
		if peers[i].Machine != c.cfg.Self.Machine {
			live[peers[i].ID] = true
		}
	}
	c.tracker.retainNodes(live)
	for id := range c.unresponsiveUntil {
		if !live[id] {
			delete(c.unresponsiveUntil, id)
		}
	}
}

// rankedPeer is a node with the hash that orders nodes of equal capacity.
type rankedPeer struct {
	Peer
	tieBreak uint64
}

func rankPeer(p Peer) rankedPeer { return rankedPeer{Peer: p, tieBreak: xxhash.Sum64String(p.Machine)} }

func (r rankedPeer) compare(other rankedPeer) int {
	return cmp.Or(cmp.Compare(other.Capacity, r.Capacity), cmp.Compare(r.tieBreak, other.tieBreak), cmp.Compare(r.ID, other.ID))
}

// pickDispatcher returns the first node of the ranking that is not in back-off, and false if all
// are. When the dispatcher changes, the new one gets a full report.
func (c *Core) pickDispatcher() (Peer, bool) {
	for i := range c.ranking {
		p := c.ranking[i]
		if until, silent := c.unresponsiveUntil[p.ID]; silent && c.now.Before(until) {
			continue
		}
		if p.ID != c.dispatcher {
			previous := c.dispatcher
			c.dispatcher = p.ID
			until, silent := c.unresponsiveUntil[previous]
			c.emit(DispatcherChanged{Dispatcher: p.ID, Silent: silent && c.now.Before(until)})
			c.sendFullReport(p)
		}
		return p, true
	}
	return Peer{}, false
}

// rankedPeer returns a node of the ranking by its ID.
func (c *Core) rankedPeer(id cluster.NodeID) (Peer, bool) {
	for i := range c.ranking {
		if c.ranking[i].ID == id {
			return c.ranking[i], true
		}
	}
	return Peer{}, false
}

// handleMessage applies a message of another node.
func (c *Core) handleMessage(message wire.Message) {
	switch m := message.(type) {
	case wire.EngineRequest:
		answer := c.tracker.place(c.now, attemptKey{m.From, m.Number}, &m.Work, m.Candidates)
		answer.From = c.cfg.Self.ID
		c.send(Peer{Address: m.FromAddress}, answer)
	case wire.EngineAnswer:
		c.handleAnswer(&m)
	case wire.EngineNews:
		c.tracker.applyReport(c.now, &m)
	}
}
