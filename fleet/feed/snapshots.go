package feed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

const (
	// partBytes of keys and values make a part, and one pair more: some 150 KB on the way,
	// 60 ms of a link of 20 Mbit/s, so that other messages are not held up for long. What
	// 2,000 nodes and 20,000 workers keep in the store comes in ten parts, a third of the
	// messages that may wait at a node.
	partBytes = 1 << 20
	// packedFor is for how long a packed snapshot serves further nodes, with the changes
	// since: packing takes ten times the processor time of a send.
	packedFor = time.Second
	// mostWaiting bounds the nodes that are remembered until this one knows something.
	mostWaiting = 1024
	// leastServed is how many nodes one serves in a second at the least, servedPerCore how
	// many for each core that it has: links grow with processors. Further ones are told to ask
	// those that were served.
	leastServed   = 2
	servedPerCore = 10
	// adoptedFor is for how long a node passes changes on to one that it served. Until the
	// fleet's tree is known on both sides nobody else would, and the newcomer would ask the
	// store, whose answers hold the heartbeats of all workers: with 10,000 of them more than
	// a link of 20 Mbit/s carries.
	adoptedFor = 5 * time.Second
	// helpsFor is for how long a node that was served counts as one that can serve: the
	// fleet's tree tells of others by then.
	helpsFor = 20 * time.Second
)

// snapshots is what a node sends to others that know nothing yet.
type snapshots struct {
	// waiting are those that asked before this node knew anything.
	waiting map[cluster.NodeID]wire.StoreSnapshotRequest
	// packed are the parts of what was known at a revision and read at knownAt, packed at
	// packedAt.
	packed            [][]byte
	revision          int64
	knownAt, packedAt time.Time
	// sentAt are the times of the sends within the last second, oldest first.
	sentAt []time.Time
	// served are the nodes that were served lately, strongest first.
	served []servedNode
}

// servedNode is a node that was sent everything.
type servedNode struct {
	id       cluster.NodeID
	address  string
	capacity float64
	at       time.Time
	// referred counts the nodes that were told to ask it.
	referred int
}

// mayServe is how many nodes one of a capacity serves in a second.
func mayServe(capacity float64) int { return max(leastServed, int(capacity*servedPerCore)) }

// oldKnowledge is the age from which on what a node knows is not handed to others: relays may
// be silent for as long, and whoever starts by older knowledge could serve by a configuration
// that is out of force.
func (c *Config) oldKnowledge() time.Duration { return max(c.LeafSilence, 2*c.Silence) }

// isNew reports whether what this node knows may be handed to others.
func (c *Core) isNew() bool {
	return c.revision != 0 && c.now.Sub(c.knownAt) <= c.cfg.oldKnowledge()
}

// snapshotRequested sends a node everything, tells it whom to ask, or remembers that it asked
// until this one knows everything, and newly.
func (c *Core) snapshotRequested(r *wire.StoreSnapshotRequest) {
	if c.isNew() {
		c.serve(r)
		return
	}
	if r.From == c.cfg.Self.ID {
		// The starter's address leads here, though the record does not say so.
		c.start.phase, c.callAt = startRead, c.now
		return
	}
	if c.snapshots.waiting == nil {
		c.snapshots.waiting = map[cluster.NodeID]wire.StoreSnapshotRequest{}
	}
	if len(c.snapshots.waiting) < mostWaiting {
		c.snapshots.waiting[r.From] = *r
	}
	c.emit(SendSnapshot{Address: r.FromAddress, Part: wire.StoreSnapshot{From: c.cfg.Self.ID}})
}

// serveWaiting serves those that asked before everything was known, the strongest first.
func (c *Core) serveWaiting() {
	if len(c.snapshots.waiting) == 0 || !c.isNew() {
		return
	}
	waiting := slices.Collect(maps.Values(c.snapshots.waiting))
	c.snapshots.waiting = nil
	slices.SortFunc(waiting, func(a, b wire.StoreSnapshotRequest) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.From, b.From))
	})
	for i := range waiting {
		c.serve(&waiting[i])
	}
}

// serve sends a node everything, or tells it whom to ask if this one has sent enough.
func (c *Core) serve(r *wire.StoreSnapshotRequest) {
	s := &c.snapshots
	s.served = slices.DeleteFunc(s.served, func(n servedNode) bool { return c.now.Sub(n.at) >= helpsFor || n.id == r.From })
	if c.servedEnough() {
		if helper := c.helperFor(r); helper != "" {
			c.emit(SendSnapshot{Address: r.FromAddress, Part: wire.StoreSnapshot{From: c.cfg.Self.ID, Refer: helper}})
			return
		}
	}
	s.sentAt = append(s.sentAt, c.now)
	c.sendSnapshot(r.FromAddress)
	s.served = append(s.served, servedNode{id: r.From, address: r.FromAddress, capacity: r.Capacity, at: c.now})
}

// servedEnough reports whether this node has sent everything as often within the last second as it
// is to.
func (c *Core) servedEnough() bool {
	s := &c.snapshots
	s.sentAt = slices.DeleteFunc(s.sentAt, func(at time.Time) bool { return c.now.Sub(at) >= time.Second })
	return len(s.sentAt) >= mayServe(c.cfg.Self.Capacity)
}

// resync sends everything to a node that asked for changes which this one no longer has.
func (c *Core) resync(address string) {
	if !c.isNew() || c.servedEnough() {
		return
	}
	c.snapshots.sentAt = append(c.snapshots.sentAt, c.now)
	c.sendSnapshot(address)
}

// helperFor returns the address of a node to ask in this one's place: the one with the fewest
// others for what it can serve, of those that this one has served and, unless the asker was
// sent here by another node, of the relays of the zone. Those that were served come behind
// this one, so that no asker is sent in a circle.
func (c *Core) helperFor(r *wire.StoreSnapshotRequest) string {
	best, least := "", 0.0
	consider := func(address string, capacity float64, referred int) {
		load := float64(referred+1) / float64(mayServe(capacity))
		if best == "" || load < least {
			best, least = address, load
		}
	}
	s := &c.snapshots
	for i := range s.served {
		consider(s.served[i].address, s.served[i].capacity, s.served[i].referred)
	}
	if best == "" && !r.Referred {
		relays := c.tree.zoneRelays(&c.cfg, r.From)
		if len(relays) > 0 {
			return relays[c.rand.IntN(len(relays))].Address
		}
	}
	for i := range s.served {
		if s.served[i].address == best {
			s.served[i].referred++
		}
	}
	return best
}

// zoneRelays lists the relays of this node's zone but itself and the one that asks.
func (t *tree) zoneRelays(cfg *Config, asker cluster.NodeID) []Peer {
	others := slices.Clone(t.relays)
	return slices.DeleteFunc(others, func(p Peer) bool { return p.Zone != cfg.Self.Zone || p.ID == asker })
}

// sendSnapshot sends everything in parts, and what has changed since it was packed.
func (c *Core) sendSnapshot(address string) {
	if !c.pack() {
		// The asker reads the store, where large values come over a wider link.
		return
	}
	s := &c.snapshots
	for i, content := range s.packed {
		c.emit(SendSnapshot{Address: address, Part: wire.StoreSnapshot{
			From: c.cfg.Self.ID, Revision: s.revision, Age: c.now.Sub(s.knownAt), Part: i, Parts: len(s.packed), Content: content,
		}})
	}
	if changes, whole := c.history.since(s.revision); whole && c.revision > s.revision {
		for _, update := range c.updates(s.revision, changes) {
			c.emit(Send{Address: address, Update: update})
		}
	}
}

// pack packs everything, unless that was done lately and the changes since are known. It
// reports whether everything can be sent.
func (c *Core) pack() bool {
	s := &c.snapshots
	if c.history.reaches(s.revision) && s.packed != nil && c.now.Sub(s.packedAt) < packedFor {
		return true
	}
	pairs := c.contents.pairs()
	if slices.ContainsFunc(pairs, func(p wire.StoreChange) bool { return len(p.Value) > c.cfg.MaxValue }) {
		return false
	}
	var packed [][]byte
	for len(pairs) > 0 {
		end := partEnd(pairs)
		content, err := wire.PackChanges(pairs[:end])
		if err != nil {
			return false
		}
		packed, pairs = append(packed, content), pairs[end:]
	}
	s.packed, s.revision, s.knownAt, s.packedAt = packed, c.revision, c.knownAt, c.now
	return len(packed) > 0
}

// partEnd is how many of the pairs make the next part.
func partEnd(pairs []wire.StoreChange) int {
	bytes := 0
	for i := range pairs {
		if bytes += len(pairs[i].Key) + len(pairs[i].Value); bytes >= partBytes {
			return i + 1
		}
	}
	return len(pairs)
}

// pairs lists everything that is known, by keys.
func (c *contents) pairs() []wire.StoreChange {
	pairs := make([]wire.StoreChange, 0, len(c.keys))
	for key, entry := range c.keys {
		pairs = append(pairs, wire.StoreChange{Key: key, Value: entry.value, Revision: entry.revision})
	}
	slices.SortFunc(pairs, func(a, b wire.StoreChange) int { return cmp.Compare(a.Key, b.Key) })
	return pairs
}
