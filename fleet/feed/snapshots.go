package feed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

const (
	// targetPartBytes ends a part of a snapshot with the pair that brings its keys and values to
	// that size: some 150 KB on the wire, 60 ms of a link of 20 Mbit/s, so that other messages are
	// not delayed for long. The entries of 2,000 nodes and 20,000 workers make ten parts, a third
	// of the messages that a node's queue holds.
	targetPartBytes = 1 << 20
	// packedLifetime is for how long a packed snapshot is sent to further nodes, together with the
	// changes since, because packing takes ten times the processor time of sending.
	packedLifetime = time.Second
	// maxWaitingNodes limits the requests kept until this node can serve a snapshot, so that a
	// larger fleet can't exhaust its memory; others ask again.
	maxWaitingNodes = 1024
	// minSnapshotsPerSecond is the least number of snapshots that a node sends per second,
	// snapshotsPerSecondPerCore the number per core: faster machines have faster links. Further
	// nodes are referred to those that have a snapshot already.
	minSnapshotsPerSecond     = 2
	snapshotsPerSecondPerCore = 10
	// forwardAfterSnapshot is for how long a node forwards changes to one that it sent a snapshot.
	// Until both know the tree of the fleet nobody else would, and the new node would poll the
	// store. The store's answers hold the heartbeats of all workers: with 10,000 workers more than
	// a link of 20 Mbit/s carries.
	forwardAfterSnapshot = 5 * time.Second
	// referralLifetime is for how long requests are referred to a node that got a snapshot. After
	// 20 s the tree of the fleet offers other nodes.
	referralLifetime = 20 * time.Second
)

// snapshotServer sends snapshots to nodes that start.
type snapshotServer struct {
	// waiting holds the requests that arrived before this node could serve them.
	waiting map[cluster.NodeID]wire.StoreSnapshotRequest
	// packed are the parts of the snapshot of a revision that was read at knownAt and packed at
	// packedAt.
	packed            [][]byte
	revision          keyvalue.Revision
	knownAt, packedAt time.Time
	// sentAt are the times of the snapshots sent within the last second, oldest first.
	sentAt []time.Time
	// served are the nodes that recently got a snapshot; of those that waited for it, the strongest
	// are first.
	served []servedNode
}

// servedNode is a node that got a snapshot.
type servedNode struct {
	id       cluster.NodeID
	address  string
	capacity float64
	servedAt time.Time
	// referrals counts the requests that were referred to it.
	referrals int
}

// maxSnapshotsPerSecond returns how many snapshots a node of the given capacity sends per second.
func maxSnapshotsPerSecond(capacity float64) int {
	return max(minSnapshotsPerSecond, int(capacity*snapshotsPerSecondPerCore))
}

// maxSnapshotAge returns the age above which what a node knows is not sent as a snapshot. Relays
// may be silent for that long. A node that starts from older data could serve by a configuration
// that is no longer in force.
func (c *Config) maxSnapshotAge() time.Duration { return max(c.LeafSourceTimeout, 2*c.SourceTimeout) }

// stateIsFresh reports whether what this node knows may be sent as a snapshot.
func (c *Core) stateIsFresh() bool {
	return c.revision != 0 && c.now.Sub(c.knownAt) <= c.cfg.maxSnapshotAge()
}

// snapshotRequested sends a snapshot, refers the requester to another node, or keeps the request
// until what this node knows is fresh.
func (c *Core) snapshotRequested(r *wire.StoreSnapshotRequest) {
	if c.stateIsFresh() {
		c.serveSnapshot(r)
		return
	}
	if r.From == c.cfg.Self.ID {
		// The request is this node's own: the address in the starter's record leads here although
		// the record names another node.
		c.startup.phase, c.nextCallAt = phaseReadStore, c.now
		return
	}
	if c.snapshots.waiting == nil {
		c.snapshots.waiting = map[cluster.NodeID]wire.StoreSnapshotRequest{}
	}
	if len(c.snapshots.waiting) < maxWaitingNodes {
		c.snapshots.waiting[r.From] = *r
	}
	c.emit(SendSnapshot{Address: r.FromAddress, Part: wire.StoreSnapshot{From: c.cfg.Self.ID}})
}

// serveWaiting serves the waiting requests, those of the strongest nodes first.
func (c *Core) serveWaiting() {
	if len(c.snapshots.waiting) == 0 || !c.stateIsFresh() {
		return
	}
	waiting := slices.Collect(maps.Values(c.snapshots.waiting))
	c.snapshots.waiting = nil
	slices.SortFunc(waiting, func(a, b wire.StoreSnapshotRequest) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.From, b.From))
	})
	for i := range waiting {
		c.serveSnapshot(&waiting[i])
	}
}

// serveSnapshot sends a snapshot, or refers the requester to another node if the limit is reached.
func (c *Core) serveSnapshot(r *wire.StoreSnapshotRequest) {
	s := &c.snapshots
	s.served = slices.DeleteFunc(s.served, func(n servedNode) bool { return c.now.Sub(n.servedAt) >= referralLifetime || n.id == r.From })
	if c.snapshotLimitReached() {
		if referral := c.referralFor(r); referral != "" {
			c.emit(SendSnapshot{Address: r.FromAddress, Part: wire.StoreSnapshot{From: c.cfg.Self.ID, Refer: referral}})
			return
		}
	}
	s.sentAt = append(s.sentAt, c.now)
	c.sendSnapshot(r.FromAddress)
	s.served = append(s.served, servedNode{id: r.From, address: r.FromAddress, capacity: r.Capacity, servedAt: c.now})
}

// snapshotLimitReached reports whether this node has sent as many snapshots within the last second
// as its capacity allows.
func (c *Core) snapshotLimitReached() bool {
	s := &c.snapshots
	s.sentAt = slices.DeleteFunc(s.sentAt, func(at time.Time) bool { return c.now.Sub(at) >= time.Second })
	return len(s.sentAt) >= maxSnapshotsPerSecond(c.cfg.Self.Capacity)
}

// sendSnapshotForGap sends a snapshot to a node that requested changes which the history no longer
// holds.
func (c *Core) sendSnapshotForGap(address string) {
	if !c.stateIsFresh() || c.snapshotLimitReached() {
		return
	}
	c.snapshots.sentAt = append(c.snapshots.sentAt, c.now)
	c.sendSnapshot(address)
}

// referralFor returns the address of a node to ask instead of this one, or "". It chooses, of the
// nodes that this one has served, the one with the fewest referrals relative to its capacity; if
// there are none and the request was not referred here, a relay of the zone. Served nodes got their
// data from this node, so that referrals form no circle.
func (c *Core) referralFor(r *wire.StoreSnapshotRequest) string {
	best, leastLoad := "", 0.0
	consider := func(address string, capacity float64, referred int) {
		load := float64(referred+1) / float64(maxSnapshotsPerSecond(capacity))
		if best == "" || load < leastLoad {
			best, leastLoad = address, load
		}
	}
	s := &c.snapshots
	for i := range s.served {
		consider(s.served[i].address, s.served[i].capacity, s.served[i].referrals)
	}
	if best == "" && !r.Referred {
		relays := c.tree.zoneRelays(&c.cfg, r.From)
		if len(relays) > 0 {
			return relays[c.rand.IntN(len(relays))].Address
		}
	}
	for i := range s.served {
		if s.served[i].address == best {
			s.served[i].referrals++
		}
	}
	return best
}

// zoneRelays lists the other relays of this node's zone without the one that asks.
func (t *tree) zoneRelays(cfg *Config, asker cluster.NodeID) []Peer {
	others := slices.Clone(t.relays)
	return slices.DeleteFunc(others, func(p Peer) bool { return p.Zone != cfg.Self.Zone || p.ID == asker })
}

// sendSnapshot sends all parts of a snapshot and the changes since it was packed.
func (c *Core) sendSnapshot(address string) {
	if !c.pack() {
		// The requester reads the store, whose link is faster, for large values.
		return
	}
	s := &c.snapshots
	for i, content := range s.packed {
		c.emit(SendSnapshot{Address: address, Part: wire.StoreSnapshot{
			From: c.cfg.Self.ID, KnowsEras: !c.mayMixEras, Revision: s.revision, Age: c.now.Sub(s.knownAt), Part: i, Parts: len(s.packed), Content: content,
		}})
	}
	if changes, whole := c.history.since(s.revision); whole && c.revision > s.revision {
		for _, update := range c.buildUpdates(s.revision, changes) {
			c.emit(SendUpdate{Address: address, Update: update})
		}
	}
}

// pack packs a snapshot, unless the last one is recent and the history covers the changes since. It
// reports whether there is a snapshot to send.
func (c *Core) pack() bool {
	s := &c.snapshots
	if c.history.covers(s.revision) && s.packed != nil && c.now.Sub(s.packedAt) < packedLifetime {
		return true
	}
	pairs := c.contents.pairs()
	if slices.ContainsFunc(pairs, func(p wire.StoreChange) bool { return len(p.Value) > c.cfg.MaxValueBytes }) {
		return false
	}
	var packed [][]byte
	for len(pairs) > 0 {
		end := nextPartLength(pairs)
		content, err := wire.PackChanges(pairs[:end])
		if err != nil {
			return false
		}
		packed, pairs = append(packed, content), pairs[end:]
	}
	s.packed, s.revision, s.knownAt, s.packedAt = packed, c.revision, c.knownAt, c.now
	return len(packed) > 0
}

// nextPartLength returns how many of the pairs make up the next part.
func nextPartLength(pairs []wire.StoreChange) int {
	bytes := 0
	for i := range pairs {
		if bytes += len(pairs[i].Key) + len(pairs[i].Value); bytes >= targetPartBytes {
			return i + 1
		}
	}
	return len(pairs)
}

// pairs returns all known keys and values, sorted by key.
func (c *contents) pairs() []wire.StoreChange {
	pairs := make([]wire.StoreChange, 0, len(c.keys))
	for key, entry := range c.keys {
		pairs = append(pairs, wire.StoreChange{Key: key, Value: entry.value, Revision: entry.revision})
	}
	slices.SortFunc(pairs, func(a, b wire.StoreChange) int { return cmp.Compare(a.Key, b.Key) })
	return pairs
}
