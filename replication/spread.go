package replication

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// see notes the stamp on a heartbeat and asks the sender when it is newer.
func (c *Core) see(now time.Time, event StampSeen) {
	if event.From == c.self || event.From == "" {
		return
	}
	peer := Peer{ID: event.From, Address: event.Address, Stamp: event.Stamp, Seen: now, SameZone: event.SameZone}
	at, found := c.find(event.From)
	if found {
		// A heartbeat may have been overtaken by a later message.
		if Compare(c.peers[at].Stamp, peer.Stamp) > 0 {
			peer.Stamp = c.peers[at].Stamp
		}
		c.peers[at] = peer
	} else {
		c.peers = slices.Insert(c.peers, at, peer)
	}
	if Compare(peer.Stamp, c.stamp) > 0 {
		c.ask(now, peer, c.stamp)
	}
}

// ask sends a request unless one is open.
func (c *Core) ask(now time.Time, peer Peer, after settings.Stamp) {
	if now.Before(c.asked.deadline) {
		return
	}
	c.asked = request{to: peer.ID, deadline: now.Add(c.config.RequestTimeout)}
	c.send(peer.Address, wire.ConfigurationRequest{From: c.self, FromAddress: c.config.Address, Stamp: after})
}

// askNewest asks a random one of the peers known to be ahead, once the former
// request has gone unanswered.
func (c *Core) askNewest(now time.Time) {
	if now.Before(c.asked.deadline) {
		return
	}
	var ahead []Peer
	for _, peer := range c.peers {
		if peer.ID != c.asked.to && c.fresh(now, peer) && Compare(peer.Stamp, c.stamp) > 0 {
			ahead = append(ahead, peer)
		}
	}
	if len(ahead) > 0 {
		c.ask(now, ahead[c.random.IntN(len(ahead))], c.stamp)
	} else {
		// The same peer may be asked again.
		c.asked = request{}
	}
}

func (c *Core) fresh(now time.Time, peer Peer) bool { return now.Sub(peer.Seen) < c.config.FreshTime }

// sweep forgets peers that were not seen for long.
func (c *Core) sweep(now time.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(sweepInterval)
	c.peers = slices.DeleteFunc(c.peers, func(p Peer) bool { return now.Sub(p.Seen) >= c.config.PeerTime })
}

// push sends the edits after a revision to Fanout random peers that are not
// known to have them, half of them in the own zone as far as there are enough.
func (c *Core) push(now time.Time, after int64) {
	if c.config.Fanout <= 0 {
		return
	}
	var near, far []int
	for i, peer := range c.peers {
		if !c.fresh(now, peer) || Compare(peer.Stamp, c.stamp) >= 0 {
			continue
		}
		if peer.SameZone {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	c.shuffle(near)
	c.shuffle(far)
	half := min(len(near), max(c.config.Fanout/2, c.config.Fanout-len(far)))
	chosen := slices.Concat(near[:half], far[:min(len(far), c.config.Fanout-half)])
	for _, i := range chosen {
		c.offer(c.peers[i], after)
	}
}

func (c *Core) shuffle(indexes []int) {
	c.random.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
}

// offer pushes the edits after a revision to a peer, as far as it is not known to
// have them. One that lacks more, or needs a snapshot, asks for it: what was
// last heard of its revision may be old, and several may offer at once.
func (c *Core) offer(peer Peer, after int64) {
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

// receive takes in a message of a peer.
func (c *Core) receive(now time.Time, event MessageReceived) {
	switch m := event.Message.(type) {
	case wire.ConfigurationRequest:
		c.reply(orElse(m.FromAddress, event.Address), m.Stamp)
	case wire.ConfigurationEntries:
		sender := Peer{ID: orElse(m.From, event.From), Address: orElse(m.FromAddress, event.Address)}
		c.receiveEntries(now, sender, m)
	case wire.ConfigurationSnapshot:
		c.receiveSnapshot(orElse(m.From, event.From), m)
	}
}

func orElse[T ~string](value, otherwise T) T {
	if value != "" {
		return value
	}
	return otherwise
}

// reply answers a request with what follows the asker's stamp.
func (c *Core) reply(address string, asker settings.Stamp) {
	if Compare(c.stamp, asker) <= 0 {
		return
	}
	if asker.History == c.stamp.History {
		if entries, ok := c.backlog.after(asker.Revision); ok {
			c.sendEntries(address, asker.Revision, entries)
			return
		}
	}
	if c.encoded == nil {
		c.encoded = c.tree.Encode()
	}
	c.send(address, wire.ConfigurationSnapshot{
		From: c.self, FromAddress: c.config.Address, Stamp: c.stamp, Data: c.encoded,
	})
}

func (c *Core) receiveEntries(now time.Time, sender Peer, message wire.ConfigurationEntries) {
	if len(message.Entries) == 0 {
		return
	}
	last := message.Entries[len(message.Entries)-1]
	stamp := settings.Stamp{History: message.History, Revision: last.Revision, Digest: last.Digest}
	c.holds(sender.ID, stamp)
	if sender.ID == c.asked.to {
		c.asked = request{}
	}
	switch c.follow(now, message.History, message.Entries) {
	case detached:
		c.ask(now, sender, c.stamp)
	case broken:
		// A stamp without history is answered with a snapshot.
		c.ask(now, sender, settings.Stamp{})
	}
}

func (c *Core) receiveSnapshot(from cluster.NodeID, message wire.ConfigurationSnapshot) {
	c.holds(from, message.Stamp)
	if from == c.asked.to {
		c.asked = request{}
	}
	if Compare(message.Stamp, c.stamp) <= 0 {
		return
	}
	tree, err := c.config.DecodeTree(message.Data)
	if err != nil {
		c.emit(Rejected{Stamp: message.Stamp, Err: err})
		return
	}
	c.replace(tree, message.Stamp)
}

// holds notes that a peer has a stamp at least.
func (c *Core) holds(id cluster.NodeID, stamp settings.Stamp) {
	if at, found := c.find(id); found && Compare(stamp, c.peers[at].Stamp) > 0 {
		c.peers[at].Stamp = stamp
	}
}
