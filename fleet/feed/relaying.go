package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// peerAnswerTimeout is how long a peer may take to answer a request for missing changes before the
// store is polled: two messages within a region and a queue at either end.
const peerAnswerTimeout = 100 * time.Millisecond

const (
	// targetUpdateBytes ends an update at the next revision once its keys and values reach that
	// size: 256 KiB are some 40 KB on the wire, 16 ms of a link of 20 Mbit/s. Longer answers are
	// split into several updates.
	targetUpdateBytes = 256 << 10
	// incompleteUpdateAge is the stated age of an update that others follow. When the store held
	// just that part is unknown, so that the receiver must not count as up to date before the last
	// update arrives.
	incompleteUpdateAge = time.Hour
)

// requestMissing requests missing changes from the last relay, and reports whether it sent a
// request.
func (c *Core) requestMissing() bool { return c.missesChanges && c.askLastRelay() }

// askLastRelay requests the changes since the known revision from the last relay, and reports
// whether that node is known.
func (c *Core) askLastRelay() bool {
	peer, known := c.tree.peers[c.lastRelayID]
	if !known {
		return false
	}
	c.askedRelayID = c.lastRelayID
	c.emit(RequestChanges{Address: peer.Address, Request: wire.StoreChangesRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, After: c.revision,
	}})
	return true
}

// sendKeepAlive tells the nodes below, while the store fails, that this node polls it for them.
func (c *Core) sendKeepAlive() {
	if c.tree.forwards() {
		c.forward(c.revision, nil, false)
	}
}

// changesRequested sends a peer the changes that it misses, or a snapshot if the history no longer
// covers them.
func (c *Core) changesRequested(r *wire.StoreChangesRequest) {
	c.lastRequester = Peer{ID: r.From, Address: r.FromAddress}
	if r.After > c.revision || r.After == c.revision && !r.Always {
		return
	}
	changes, whole := c.history.since(r.After)
	if !whole {
		c.sendSnapshotForGap(r.FromAddress)
		return
	}
	for _, update := range c.buildUpdates(r.After, changes) {
		c.emit(SendUpdate{Address: r.FromAddress, Update: c.attachProof(r.From, update)})
	}
}

// buildUpdates returns the updates that bring a peer from a revision to all that is known.
func (c *Core) buildUpdates(after keyvalue.Revision, changes []wire.StoreChange) []wire.StoreChanges {
	// Sort by revision, as a change that was applied ahead of others precedes those of lower
	// revisions.
	changes = slices.SortedStableFunc(slices.Values(changes), func(a, b wire.StoreChange) int { return cmp.Compare(a.Revision, b.Revision) })
	var updates []wire.StoreChanges
	// What leads to another era stays together: no part of it leads to a state of the store.
	whole := after.Era() != c.revision.Era()
	for end := nextUpdateLength(changes); end < len(changes) && !whole; end = nextUpdateLength(changes) {
		next := changes[end-1].Revision
		updates = append(updates, wire.StoreChanges{
			From: c.cfg.Self.ID, KnowsEras: !c.mayMixEras, After: after, Revision: next, Age: incompleteUpdateAge, Changes: changes[:end:end],
		})
		after, changes = next, changes[end:]
	}
	return append(updates, wire.StoreChanges{
		From: c.cfg.Self.ID, KnowsEras: !c.mayMixEras, After: after, Revision: c.revision, Age: c.now.Sub(c.knownAt), Changes: changes,
	})
}

// nextUpdateLength returns how many of the changes make up the next update. Changes of one revision
// stay together.
func nextUpdateLength(changes []wire.StoreChange) int {
	bytes := 0
	for i := range changes {
		if bytes >= targetUpdateBytes && changes[i].Revision != changes[i-1].Revision {
			return i
		}
		bytes += len(changes[i].Key) + len(changes[i].Value)
	}
	return len(changes)
}

// forward sends the outcome of a read or poll to the nodes below, also if it brought nothing new.
func (c *Core) forward(after keyvalue.Revision, news []wire.StoreChange, sourceTimedOut bool) {
	peers := c.addSnapshotReceivers(c.tree.receivers(sourceTimedOut))
	if len(peers) == 0 {
		return
	}
	c.lastRelayedReadAt = c.knownAt
	updates := c.buildUpdates(after, news)
	if slices.ContainsFunc(news, func(s wire.StoreChange) bool { return len(s.Value) > c.cfg.MaxValueBytes }) {
		updates = c.buildUpdates(after, nil)
		updates[0].Partial = true
	}
	for _, p := range peers {
		for _, update := range updates {
			c.emit(SendUpdate{Address: p.Address, Update: c.attachProof(p.ID, update)})
		}
	}
}

// addSnapshotReceivers adds the nodes that recently got a snapshot from this one.
func (c *Core) addSnapshotReceivers(peers []Peer) []Peer {
	all := peers
	for i := range c.snapshots.served {
		n := &c.snapshots.served[i]
		listed := func(p Peer) bool { return p.ID == n.id }
		if c.now.Sub(n.servedAt) < forwardAfterSnapshot && !slices.ContainsFunc(peers, listed) {
			all = append(all[:len(all):len(all)], Peer{ID: n.id, Address: n.address})
		}
	}
	return all
}

// updateReceived applies a relay's update if no change before it is missing, and forwards it.
func (c *Core) updateReceived(u *wire.StoreChanges) {
	c.lastMessageAt = c.now
	defer c.proofReceived(u)
	read := c.now.Add(-u.Age)
	if c.revision == 0 {
		c.storeAnswered(read)
		return
	}
	if u.Revision < c.revision || !u.KnowsEras && u.Revision.Era() > 0 {
		return
	}
	c.lastRelayID = u.From
	if c.tree.isSource(u.From) {
		c.sourceReadAt = later(c.sourceReadAt, read)
		c.sourceKnowsEras = u.KnowsEras
	}
	if u.After > c.revision || u.Partial && u.Revision > c.revision || c.leadsElsewhere(u) {
		c.announcedRevision = max(c.announcedRevision, u.Revision)
		// A poll can't lead to a later era, so that each node would read the whole store for one large value.
		newEra := u.Revision.Era() != c.revision.Era()
		c.changesMissing(u.Partial && !newEra, read)
		return
	}
	c.fallbackPeer.answered = c.fallbackPeer.answered || u.From == c.fallbackPeer.id
	c.backupRelay.answered = c.backupRelay.answered || u.From == c.backupRelay.id
	after := c.revision
	c.knownAt = later(c.knownAt, read)
	c.noteEra(after, u.Revision)
	c.mayMixEras = c.mayMixEras || !u.KnowsEras && u.Revision > after
	news := c.advance(u.Changes, u.Revision)
	if c.missesChanges = c.missesChanges && c.revision < c.announcedRevision; c.missesChanges && c.revision > after {
		// Leave time for the remaining updates of the answer.
		c.nextCallAt = c.now.Add(peerAnswerTimeout)
	}
	c.gapTooLong = c.gapTooLong && c.revision == after
	if c.isUpToDate() {
		c.startup.partialSnapshots = nil
	}
	c.apply(news, string(u.From))
	if len(news) > 0 || c.knownAt.Sub(c.lastRelayedReadAt) >= c.cfg.RelayPollInterval/2 {
		c.forward(after, news, false)
	}
}

// leadsElsewhere reports whether an update leads from an earlier era of the store to a later one, and
// not from the revision that this node knows. Such an update states what differs between the two
// states; it holds for no other state.
func (c *Core) leadsElsewhere(u *wire.StoreChanges) bool {
	return u.Revision.Era() != u.After.Era() && (u.After != c.revision || c.mayMixEras)
}

// noteEra begins an era in the history if the next revision is of another one than the last.
func (c *Core) noteEra(last, next keyvalue.Revision) {
	if last != 0 && last.Era() != next.Era() {
		// Whoever told read the whole store in the new era.
		c.gapTooLong, c.rereadNeeded = false, false
		c.history.beginEra(last, next)
	}
}

// changesMissing fetches changes that an update announced without holding them: from the relay, or,
// if the update was partial or the relay does not answer, from the store. It also ends the back-off
// after a failed call if the store has answered others since that failure.
func (c *Core) changesMissing(partial bool, read time.Time) {
	// A sibling that was asked may not know the changes either; the source that announces them does.
	asked := partial || c.lastRelayID == c.askedRelayID || !c.tree.isSource(c.lastRelayID)
	if c.missesChanges && asked && (c.callInFlight || c.failures == 0 || !read.After(c.failedAt)) {
		return
	}
	c.missesChanges = true
	requested := !partial && c.requestMissing()
	// Poll also after failures: the store has answered whoever announced the changes.
	c.nextCallAt = c.now
	if requested {
		c.nextCallAt = c.now.Add(peerAnswerTimeout)
	}
}
