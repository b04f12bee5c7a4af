package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/valveslip/valveslip/wire"
)

// answerWait is how long a peer that was asked for missing changes may take before
// the store is asked: two messages within a region and a queue at either end.
const answerWait = 100 * time.Millisecond

const (
	// updateBytes of keys and values make an update, and one revision more: some 40 KB on the
	// way, 16 ms of a link of 20 Mbit/s. What is longer comes in several.
	updateBytes = 256 << 10
	// followedAge is the age of an update that others follow: when the store held just that is
	// not known, and what its receiver knows is not new before the last one has come.
	followedAge = time.Hour
)

// ask asks the relay that was heard of last for changes that are missing, and reports
// whether it could.
func (c *Core) ask() bool { return c.urgent && c.askRelay() }

// askRelay asks the relay that was heard of last for what changed since, and reports whether one
// is known.
func (c *Core) askRelay() bool {
	peer, known := c.tree.peers[c.relayID]
	if !known {
		return false
	}
	c.emit(Ask{Address: peer.Address, Request: wire.StoreChangesRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, After: c.revision,
	}})
	return true
}

// tellAlive tells the nodes below, when the store fails, that somebody asks it for them.
func (c *Core) tellAlive() {
	if c.tree.passesOn() {
		c.passOn(c.revision, nil, false)
	}
}

// changesRequested sends a peer what it misses, if that is known: everything if that is more than
// this node keeps.
func (c *Core) changesRequested(r *wire.StoreChangesRequest) {
	c.greeter = Peer{ID: r.From, Address: r.FromAddress}
	if r.After > c.revision || r.After == c.revision && !r.Always {
		return
	}
	changes, whole := c.history.since(r.After)
	if !whole {
		c.resync(r.FromAddress)
		return
	}
	for _, update := range c.updates(r.After, changes) {
		c.emit(Send{Address: r.FromAddress, Update: c.proofOf(r.From, update)})
	}
}

// updates are what tells a peer of changes after a revision, all that is known.
func (c *Core) updates(after int64, changes []wire.StoreChange) []wire.StoreChanges {
	// One that was known ahead stands before those of lesser revisions.
	changes = slices.SortedStableFunc(slices.Values(changes), func(a, b wire.StoreChange) int { return cmp.Compare(a.Revision, b.Revision) })
	var updates []wire.StoreChanges
	for end := updateEnd(changes); end < len(changes); end = updateEnd(changes) {
		next := changes[end-1].Revision
		updates = append(updates, wire.StoreChanges{
			From: c.cfg.Self.ID, After: after, Revision: next, Age: followedAge, Changes: changes[:end:end],
		})
		after, changes = next, changes[end:]
	}
	return append(updates, wire.StoreChanges{
		From: c.cfg.Self.ID, After: after, Revision: c.revision, Age: c.now.Sub(c.knownAt), Changes: changes,
	})
}

// updateEnd is how many of the changes make the next update. Those of one revision stay together.
func updateEnd(changes []wire.StoreChange) int {
	bytes := 0
	for i := range changes {
		if bytes >= updateBytes && changes[i].Revision != changes[i-1].Revision {
			return i
		}
		bytes += len(changes[i].Key) + len(changes[i].Value)
	}
	return len(changes)
}

// passOn tells the nodes below of a reading, also of one that brought nothing.
func (c *Core) passOn(after int64, news []wire.StoreChange, steppedIn bool) {
	peers := c.withAdopted(c.tree.below(steppedIn))
	if len(peers) == 0 {
		return
	}
	c.passedOn = c.knownAt
	updates := c.updates(after, news)
	if slices.ContainsFunc(news, func(s wire.StoreChange) bool { return len(s.Value) > c.cfg.MaxValue }) {
		updates = c.updates(after, nil)
		updates[0].Partial = true
	}
	for _, p := range peers {
		for _, update := range updates {
			c.emit(Send{Address: p.Address, Update: c.proofOf(p.ID, update)})
		}
	}
}

// withAdopted adds the nodes that this one has served with everything lately.
func (c *Core) withAdopted(peers []Peer) []Peer {
	all := peers
	for i := range c.snapshots.served {
		n := &c.snapshots.served[i]
		listed := func(p Peer) bool { return p.ID == n.id }
		if c.now.Sub(n.at) < adoptedFor && !slices.ContainsFunc(peers, listed) {
			all = append(all[:len(all):len(all)], Peer{ID: n.id, Address: n.address})
		}
	}
	return all
}

// updateReceived takes what a relay passed on, if nothing is missing before it, and
// passes it on in turn.
func (c *Core) updateReceived(u *wire.StoreChanges) {
	c.hearsAt = c.now
	defer c.proofReceived(u)
	read := c.now.Add(-u.Age)
	if c.revision == 0 {
		c.answered(read)
		return
	}
	if u.Revision < c.revision {
		return
	}
	c.relayID = u.From
	if c.tree.isSource(u.From) {
		c.heardAt = later(c.heardAt, read)
	}
	if u.After > c.revision || u.Partial && u.Revision > c.revision {
		c.named = max(c.named, u.Revision)
		c.missing(u.Partial, read)
		return
	}
	c.helper.answered = c.helper.answered || u.From == c.helper.id
	c.substitute.answered = c.substitute.answered || u.From == c.substitute.id
	after := c.revision
	c.knownAt = later(c.knownAt, read)
	news := c.take(u.Changes, u.Revision)
	if c.urgent = c.urgent && c.revision < c.named; c.urgent && c.revision > after {
		// The rest of what was asked for follows.
		c.callAt = c.now.Add(answerWait)
	}
	c.whole = c.whole && c.revision == after
	if c.upToDate() {
		c.start.coming = nil
	}
	c.apply(news, string(u.From))
	if len(news) > 0 || c.knownAt.Sub(c.passedOn) >= c.cfg.RelayInterval/2 {
		c.passOn(after, news, false)
	}
}

// missing has changes fetched that an update named and did not hold: by the relay,
// unless it has passed on all that it can, and then by the store. Where the store has answered
// others since this node's last call failed, the pause after that ends.
func (c *Core) missing(partial bool, read time.Time) {
	if c.urgent && (c.calling || c.failures == 0 || !read.After(c.failedAt)) {
		return
	}
	c.urgent = true
	asked := !partial && c.ask()
	// Also after failed calls: whoever tells of news has been answered by the store.
	c.callAt = c.now
	if asked {
		c.callAt = c.now.Add(answerWait)
	}
}
