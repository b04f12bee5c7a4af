package replication

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// receiveStamp records the stamp of a peer's heartbeat and, if it is newer than the one in
// force, requests the configuration from that peer.
func (c *Core) receiveStamp(now time.Time, event HeartbeatStamp) {
	if event.From == c.self || event.From == "" {
		return
	}
	peer := Peer{ID: event.From, Address: event.Address, Stamp: event.Stamp, Seen: now, SameZone: event.SameZone}
	at, found := c.findPeer(event.From)
	if found {
		// A message that was sent later may have arrived before this heartbeat.
		if Compare(c.peers[at].Stamp, peer.Stamp) > 0 {
			peer.Stamp = c.peers[at].Stamp
		}
		c.peers[at] = peer
	} else {
		c.peers = slices.Insert(c.peers, at, peer)
	}
	if Compare(peer.Stamp, c.stamp) > 0 {
		c.requestConfiguration(now, peer, c.stamp)
	}
}

// requestConfiguration requests from a peer the configuration after a stamp, unless another
// request is unanswered.
func (c *Core) requestConfiguration(now time.Time, peer Peer, after settings.Stamp) {
	if now.Before(c.pendingRequest.deadline) {
		return
	}
	c.pendingRequest = configurationRequest{target: peer.ID, deadline: now.Add(c.config.RequestTimeout)}
	c.send(peer.Address, wire.ConfigurationRequest{From: c.self, FromAddress: c.config.Address, Stamp: after})
}

// requestFromNewerPeer sends a request to a random peer with a newer stamp, once the
// previous request has timed out.
func (c *Core) requestFromNewerPeer(now time.Time) {
	if now.Before(c.pendingRequest.deadline) {
		return
	}
	var ahead []Peer
	for _, peer := range c.peers {
		if peer.ID != c.pendingRequest.target && c.recentlySeen(now, peer) && Compare(peer.Stamp, c.stamp) > 0 {
			ahead = append(ahead, peer)
		}
	}
	if len(ahead) > 0 {
		c.requestConfiguration(now, ahead[c.random.IntN(len(ahead))], c.stamp)
	} else {
		// No other peer has a newer stamp: the next request may go to the same peer.
		c.pendingRequest = configurationRequest{}
	}
}

func (c *Core) recentlySeen(now time.Time, peer Peer) bool {
	return now.Sub(peer.Seen) < c.config.MaxHeartbeatAge
}

// forgetSilentPeers forgets peers whose last heartbeat is older than PeerTTL.
func (c *Core) forgetSilentPeers(now time.Time) {
	if now.Before(c.nextForget) {
		return
	}
	c.nextForget = now.Add(forgetInterval)
	c.peers = slices.DeleteFunc(c.peers, func(p Peer) bool { return now.Sub(p.Seen) >= c.config.PeerTTL })
}

// pushEntries sends the edits after a revision to Fanout random peers that are not known to
// have them: half of them in this node's zone and half in others, or more of one kind where
// there are too few of the other.
func (c *Core) pushEntries(now time.Time, after int64) {
	if c.config.Fanout <= 0 {
		return
	}
	var sameZone, otherZones []int
	for i, peer := range c.peers {
		if !c.recentlySeen(now, peer) || Compare(peer.Stamp, c.stamp) >= 0 {
			continue
		}
		if peer.SameZone {
			sameZone = append(sameZone, i)
		} else {
			otherZones = append(otherZones, i)
		}
	}
	c.shuffle(sameZone)
	c.shuffle(otherZones)
	sameZoneCount := min(len(sameZone), max(c.config.Fanout/2, c.config.Fanout-len(otherZones)))
	chosen := slices.Concat(sameZone[:sameZoneCount], otherZones[:min(len(otherZones), c.config.Fanout-sameZoneCount)])
	for _, i := range chosen {
		c.sendMissingEntries(c.peers[i], after)
	}
}

func (c *Core) shuffle(indexes []int) {
	c.random.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
}

// sendMissingEntries sends a peer the edits after a revision that it is not known to have. It
// does not send earlier edits or a snapshot: the peer's known stamp may be outdated, and
// several nodes may push to it at once. A peer that needs more requests it.
func (c *Core) sendMissingEntries(peer Peer, after int64) {
	if peer.Stamp.History != c.stamp.History {
		return
	}
	after = max(after, peer.Stamp.Revision)
	if entries, ok := c.backlog.after(after); ok {
		c.sendEntries(peer.Address, after, entries)
	}
}

func (c *Core) sendEntries(address string, after int64, entries []wire.ConfigurationEntry) {
	c.send(address, wire.ConfigurationEntries{
		From: c.self, FromAddress: c.config.Address,
		History: c.stamp.History, After: after, Entries: slices.Clone(entries),
	})
}

// receive processes a message of a peer.
func (c *Core) receive(now time.Time, event MessageReceived) {
	switch m := event.Message.(type) {
	case wire.ConfigurationRequest:
		c.reply(firstNonEmpty(m.FromAddress, event.Address), m.Stamp)
	case wire.ConfigurationEntries:
		sender := Peer{ID: firstNonEmpty(m.From, event.From), Address: firstNonEmpty(m.FromAddress, event.Address)}
		c.receiveEntries(now, sender, m)
	case wire.ConfigurationSnapshot:
		c.receiveSnapshot(firstNonEmpty(m.From, event.From), m)
	}
}

func firstNonEmpty[T ~string](value, fallback T) T {
	if value != "" {
		return value
	}
	return fallback
}

// reply answers a request with the edits after the requester's stamp or, where the backlog
// does not hold them, with a snapshot. It sends nothing to a requester that is up to date.
func (c *Core) reply(address string, requesterStamp settings.Stamp) {
	if Compare(c.stamp, requesterStamp) <= 0 {
		return
	}
	if requesterStamp.History == c.stamp.History {
		if entries, ok := c.backlog.after(requesterStamp.Revision); ok {
			c.sendEntries(address, requesterStamp.Revision, entries)
			return
		}
	}
	if c.encodedTree == nil {
		c.encodedTree = c.tree.Encode()
	}
	c.send(address, wire.ConfigurationSnapshot{
		From: c.self, FromAddress: c.config.Address, Stamp: c.stamp, Data: c.encodedTree,
	})
}

func (c *Core) receiveEntries(now time.Time, sender Peer, message wire.ConfigurationEntries) {
	if len(message.Entries) == 0 {
		return
	}
	last := message.Entries[len(message.Entries)-1]
	stamp := settings.Stamp{History: message.History, Revision: last.Revision, Digest: last.Digest}
	c.raisePeerStamp(sender.ID, stamp)
	if sender.ID == c.pendingRequest.target {
		c.pendingRequest = configurationRequest{}
	}
	switch c.applyEntries(now, message.History, message.Entries) {
	case disconnected:
		c.requestConfiguration(now, sender, c.stamp)
	case invalid:
		// A request with an empty stamp is answered with a snapshot.
		c.requestConfiguration(now, sender, settings.Stamp{})
	}
}

func (c *Core) receiveSnapshot(from cluster.NodeID, message wire.ConfigurationSnapshot) {
	c.raisePeerStamp(from, message.Stamp)
	if from == c.pendingRequest.target {
		c.pendingRequest = configurationRequest{}
	}
	if Compare(message.Stamp, c.stamp) <= 0 {
		return
	}
	tree, err := c.config.DecodeTree(message.Data)
	if err != nil {
		c.emit(Rejected{Stamp: message.Stamp, Err: err})
		return
	}
	c.replaceTree(tree, message.Stamp)
}

// raisePeerStamp records that a peer has the given stamp or a newer one.
func (c *Core) raisePeerStamp(id cluster.NodeID, stamp settings.Stamp) {
	if at, found := c.findPeer(id); found && Compare(stamp, c.peers[at].Stamp) > 0 {
		c.peers[at].Stamp = stamp
	}
}
