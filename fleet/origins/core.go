package origins

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

// Core keeps the origins of streams on behalf of one node. It is not safe for concurrent use.
type Core struct {
	self Peer
	now  time.Time
	// peers are the other live nodes by ID.
	peers map[cluster.NodeID]Peer
	// mixed holds the services whose machines have several releases.
	mixed   map[string]bool
	origins map[cluster.RequestID]*origin
	// order lists the origins by age for eviction; IDs of origins that were dropped remain in it.
	order []cluster.RequestID
	// pending holds the unacknowledged messages by number.
	pending    map[int64]*replication
	lookups    map[cluster.RequestID]*lookup
	asked      map[int64]cluster.RequestID
	lastNumber int64
	nextSweep  time.Time
	// archivist is the node that stores origins, and unarchived those that it has not stored yet.
	archivist  Peer
	unarchived []cluster.RequestID
	effects    []Effect
}

// origin is the release at which a stream began.
type origin struct {
	service, release string
	expires          time.Time
	// relayed is set if this node relayed the first event.
	relayed bool
	// holders are the other nodes that the origin was sent to, or that must have it because they were
	// its owners when this node received it.
	holders []cluster.NodeID
	// archivist is the node that stores origins which has it, empty for none. stored is set if it was read from
	// the store, where all nodes find it.
	archivist cluster.NodeID
	stored    bool
	// queued is set once this node, as the archivist, has taken it in to be stored.
	queued bool
}

// New returns a core that knows no other node.
func New(self Peer) *Core {
	return &Core{
		self: self, peers: map[cluster.NodeID]Peer{}, mixed: map[string]bool{}, origins: map[cluster.RequestID]*origin{},
		pending: map[int64]*replication{}, lookups: map[cluster.RequestID]*lookup{}, asked: map[int64]cluster.RequestID{},
	}
}

// Step handles one event at the given time and returns the effects, which are valid until the next Step.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case PeersChanged:
		c.setPeers(e.Peers)
	case ServiceChanged:
		c.setMixed(e)
	case Began:
		c.began(&e)
	case ArchivistChanged:
		c.setArchivist(e.Archivist)
	case Learned:
		c.learned(e.Origins)
	case LookupRequested:
		c.startLookup(e)
	case MessageReceived:
		c.handleMessage(e.Message)
	}
	c.resendDue()
	c.expireLookups()
	c.sweep()
	return c.effects
}

// NextDue returns the time of the next required Tick, zero for none.
func (c *Core) NextDue() time.Time {
	var next time.Time
	for _, sent := range c.pending {
		next = earliest(next, sent.dueAt)
	}
	for _, open := range c.lookups {
		next = earliest(next, open.roundEnds)
	}
	return next
}

// earliest returns the earlier of two times. A zero a means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Known returns the number of origins that the node keeps.
func (c *Core) Known() int { return len(c.origins) }

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// nextNumber returns the number of the next message. Numbers start at the clock's time, so that answers to
// an earlier process of this host match nothing.
func (c *Core) nextNumber() int64 {
	c.lastNumber = max(c.lastNumber+1, c.now.UnixNano())
	return c.lastNumber
}

// began keeps the origin of a stream that this node relays.
func (c *Core) began(e *Began) {
	if before := c.origins[e.Request]; before != nil && before.release != e.Release {
		// The owners hold the earlier release.
		before.holders, before.archivist = nil, ""
	}
	known := c.put(e.Request, e.Release, e.Deadline.Add(resumeSlack))
	known.service, known.relayed, known.stored = e.Service, true, false
	if c.mixed[e.Service] {
		c.replicate([]cluster.RequestID{e.Request})
	}
}

// put keeps an origin, and drops the oldest beyond maxOrigins.
func (c *Core) put(id cluster.RequestID, release string, expires time.Time) *origin {
	known := c.origins[id]
	if known == nil {
		known = &origin{}
		c.origins[id] = known
		c.order = append(c.order, id)
	}
	known.queued = known.queued && known.release == release
	known.release, known.expires = release, expires
	for len(c.origins) > maxOrigins {
		delete(c.origins, c.order[0])
		c.order = c.order[1:]
	}
	return known
}

// sweep drops expired origins.
func (c *Core) sweep() {
	if len(c.origins) == 0 || c.now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = c.now.Add(sweepInterval)
	maps.DeleteFunc(c.origins, func(_ cluster.RequestID, known *origin) bool { return !c.now.Before(known.expires) })
	c.order = slices.DeleteFunc(c.order, func(id cluster.RequestID) bool { return c.origins[id] == nil })
}

// setMixed handles a change of the releases of a service. Once there are several, the streams that this node
// relays are replicated, which was needless before.
func (c *Core) setMixed(e ServiceChanged) {
	if !e.Mixed {
		delete(c.mixed, e.Service)
		return
	}
	if c.mixed[e.Service] {
		return
	}
	c.mixed[e.Service] = true
	var relayed []cluster.RequestID
	for id, known := range c.origins {
		if known.relayed && known.service == e.Service {
			relayed = append(relayed, id)
		}
	}
	slices.Sort(relayed)
	c.replicate(relayed)
}

// rankedPeer is a node with its rendezvous hash for one request.
type rankedPeer struct {
	Peer
	weight uint64
}

func (r rankedPeer) compare(other rankedPeer) int {
	return cmp.Or(cmp.Compare(r.weight, other.weight), cmp.Compare(r.ID, other.ID))
}

// ranked returns the n other nodes that come first for a request.
func (c *Core) ranked(id cluster.RequestID, n int) []Peer {
	var first []rankedPeer
	for _, p := range c.peers {
		first = topk.Insert(first, rankedPeer{p, weightOf(id, p.ID)}, n, rankedPeer.compare)
	}
	peers := make([]Peer, len(first))
	for i := range first {
		peers[i] = first[i].Peer
	}
	return peers
}

func weightOf(id cluster.RequestID, node cluster.NodeID) uint64 {
	return xxhash.Sum64String(string(id) + "/" + string(node))
}

// setPeers replaces the live nodes. Origins whose owners changed are sent to the new ones, also by nodes that
// only received them: the node that relays the stream may have ended.
func (c *Core) setPeers(peers []Peer) {
	before := c.peers
	c.peers = make(map[cluster.NodeID]Peer, len(peers))
	var joined []Peer
	for _, p := range peers {
		if p.ID == c.self.ID {
			continue
		}
		c.peers[p.ID] = p
		if _, known := before[p.ID]; !known {
			joined = append(joined, p)
		}
	}
	var moved []cluster.RequestID
	for id, known := range c.origins {
		if !known.stored && (!known.relayed || c.mixed[known.service]) && c.ownersMoved(id, known, joined) {
			moved = append(moved, id)
		}
	}
	slices.Sort(moved)
	c.replicate(moved)
}

// ownersMoved reports whether an origin may have other owners: a holder has ended, or a node that joined ranks
// before one.
func (c *Core) ownersMoved(id cluster.RequestID, known *origin, joined []Peer) bool {
	if len(known.holders) < ownerCount {
		return true
	}
	last := uint64(0)
	for _, holder := range known.holders {
		if _, lives := c.peers[holder]; !lives {
			return true
		}
		last = max(last, weightOf(id, holder))
	}
	return slices.ContainsFunc(joined, func(p Peer) bool { return weightOf(id, p.ID) < last })
}

// handleMessage handles a message of another node.
func (c *Core) handleMessage(message wire.Message) {
	switch m := message.(type) {
	case wire.StreamOrigins:
		c.received(&m)
	case wire.StreamOriginsReceived:
		delete(c.pending, m.Number)
	case wire.StreamOriginRequest:
		known := c.origins[m.Request]
		answer := wire.StreamOriginAnswer{From: c.self.ID, Number: m.Number, Found: known != nil}
		if known != nil {
			answer.Release = known.release
		}
		c.emit(Send{Address: m.FromAddress, Message: answer})
	case wire.StreamOriginAnswer:
		c.answered(&m)
	}
}

// received keeps the origins that another node sent.
func (c *Core) received(m *wire.StreamOrigins) {
	for i := range m.Streams {
		stream := &m.Streams[i]
		if known := c.origins[stream.Request]; known != nil && known.relayed {
			continue
		}
		known := c.put(stream.Request, stream.Release, c.now.Add(stream.Left))
		known.holders, known.stored = c.ownerIDs(stream.Request), false
		c.archive(stream.Request)
	}
	c.emit(Send{Address: m.FromAddress, Message: wire.StreamOriginsReceived{From: c.self.ID, Number: m.Number}})
}
