package feed

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// How long a node that starts waits for others.
const (
	// snapshotPatience is for word of a node that was asked, or the next part from it: two
	// messages, and what a part takes on a link of 20 Mbit/s that serves a few others.
	snapshotPatience = 1200 * time.Millisecond
	// queuePatience is for a node that has said that it will answer: it reads the store, or
	// waits for what another one has read.
	queuePatience = 4 * time.Second
	// startPatience is for all of that: half of the 18 s within which a fleet is to serve again.
	// A node that learned nothing by then reads everything, which takes a few seconds.
	startPatience = 9 * time.Second
	// mostParts bounds what a snapshot may claim to have: a million pairs.
	mostParts = 1000
)

// startPhase is what a node that knows nothing does next.
type startPhase uint8

const (
	// startPage: read the first page, which may be all.
	startPage startPhase = iota
	// startLookup: it is not all; see whether somebody in the zone has read everything.
	startLookup
	// startClaim: nobody has; be the one that reads everything, unless another one is.
	startClaim
	// startAsk: ask the one that is.
	startAsk
	// startRead: read everything.
	startRead
)

// Starter is a node that has read, or is to read, everything for those that start after it.
type Starter struct {
	ID cluster.NodeID `json:"id"`
	// Machine that it runs on, the same for all processes of it.
	Machine string `json:"machine,omitempty"`
	Address string `json:"address"`
}

// start is how a node that knows nothing yet learns everything that is in the store.
//
// Where one page holds all, it reads that. Else what each node read would grow with the fleet
// while the nodes that read it do too: when all start at once, the store's link and each
// node's processor would be busy with that for longer than callers wait. So one node in each
// zone, the starter, reads the store, and the others ask it. Who that is stands in a record
// that is written under the condition that nobody else wrote it: also when all start at the
// same moment and none knows of another, one reads and the rest learn whom to ask. A starter
// that does not answer is replaced by the first who notices, so each second adds one reader
// at most.
type start struct {
	phase startPhase
	// starter and its record's revision, as last seen.
	starter  Starter
	revision int64
	// asked is the address that was asked last, referred whether another node named it.
	asked    string
	referred bool
	// waits is set while an answer may still come.
	waits bool
	began time.Time
	// coming are the parts that have come, by sender.
	coming map[cluster.NodeID]*incoming
}

// incoming is a snapshot of which some parts have come.
type incoming struct {
	revision int64
	parts    map[int][]wire.StoreChange
}

// beginStart does what a node that knows nothing does next, but for reading the store, and
// reports whether that was something.
func (c *Core) beginStart() bool {
	s := &c.start
	if c.revision != 0 {
		return false
	}
	if s.began.IsZero() {
		s.began = c.now
	}
	if s.phase != startPage && c.now.Sub(s.began) >= startPatience {
		s.phase = startRead
	}
	if s.phase == startAsk && s.waits {
		// Nobody answered in time.
		s.waits, s.phase = false, startClaim
		if s.referred {
			s.phase = startAsk
			s.asked, s.referred = s.starter.Address, false
		}
	}
	switch s.phase {
	case startLookup:
		c.calling = true
		c.emit(ReadStarter{})
	case startClaim:
		c.calling = true
		c.emit(ClaimStart{Revision: s.revision})
	case startAsk:
		c.askSnapshot()
	default:
		return false
	}
	return true
}

// starterRead takes who reads everything for others, if anybody does.
func (c *Core) starterRead(e StarterRead) {
	c.ended(e.Err)
	if e.Err != nil || c.revision != 0 {
		return
	}
	c.callAt = c.now
	c.start.revision = e.Revision
	switch {
	case e.Starter.Address == "":
		c.start.phase = startClaim
	case c.isOwn(&e.Starter):
		// An earlier process of this machine was the starter, and those that start ask here.
		c.start.phase = startRead
	default:
		c.askStarter(e.Starter)
	}
}

// isOwn reports whether a starter is a process of this machine. Its address may be another one
// in the record than the one that this node knows itself by.
func (c *Core) isOwn(s *Starter) bool {
	return s.ID == c.cfg.Self.ID || s.Machine != "" && s.Machine == c.cfg.Machine || s.Address == c.cfg.Self.Address
}

// pageWasNotAll takes that the store holds more than a page.
func (c *Core) pageWasNotAll() {
	c.start.phase, c.callAt = startLookup, c.now
}

// starterClaimed takes whether this node is the starter.
func (c *Core) starterClaimed(e StarterClaimed) {
	c.ended(e.Err)
	if e.Err != nil {
		// The record may be this node's: its answer was lost.
		c.start.phase = startLookup
		return
	}
	c.callAt = c.now
	c.start.revision = e.Revision
	if e.Won || c.isOwn(&e.Starter) {
		c.start.phase = startRead
		return
	}
	c.askStarter(e.Starter)
}

// askStarter has the starter asked next.
func (c *Core) askStarter(starter Starter) {
	s := &c.start
	s.phase, s.starter = startAsk, starter
	s.asked, s.referred, s.waits = starter.Address, false, false
}

// askSnapshot asks for everything.
func (c *Core) askSnapshot() {
	s := &c.start
	s.waits = true
	c.callAt = c.now.Add(snapshotPatience)
	c.emit(AskSnapshot{Address: s.asked, Request: wire.StoreSnapshotRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Capacity: c.cfg.Self.Capacity, Referred: s.referred,
	}})
}

// snapshotReceived takes a part of everything, who is to be asked for it, or that its sender
// answers later.
func (c *Core) snapshotReceived(part *wire.StoreSnapshot) {
	c.hearsAt = c.now
	s := &c.start
	if c.revision != 0 {
		c.resynced(part)
		return
	}
	if s.phase != startAsk && s.phase != startRead {
		return
	}
	switch {
	case part.Revision == 0 && s.phase == startRead:
	case part.Refer != "" && part.Refer != c.cfg.Self.Address:
		s.asked, s.referred, s.waits, c.callAt = part.Refer, true, false, c.now
	case part.Revision == 0:
		c.callAt = later(c.callAt, c.now.Add(queuePatience))
	default:
		c.collect(part)
	}
}

// collect takes a part of everything.
func (c *Core) collect(part *wire.StoreSnapshot) {
	if part.Age > c.cfg.oldKnowledge()+packedFor {
		c.start.phase, c.start.waits, c.callAt = startClaim, false, c.now
		return
	}
	pairs, whole := c.start.collect(part)
	if !whole {
		c.callAt = later(c.callAt, c.now.Add(snapshotPatience))
		return
	}
	took := c.now.Sub(c.start.began)
	c.start = start{}
	c.failures = 0
	c.relayID = part.From
	c.adoptedUntil = c.now.Add(adoptedFor)
	if !c.calling {
		c.callAt = c.now.Add(c.interval())
	}
	c.replace(part.Revision, c.now.Add(-part.Age), pairs)
	c.emit(Replace{Revision: part.Revision, Pairs: pairs, From: part.From, Took: took})
}

// resynced takes a part of everything in place of the changes that this node misses.
func (c *Core) resynced(part *wire.StoreSnapshot) {
	if c.upToDate() || part.Revision <= c.revision || part.Age > c.cfg.oldKnowledge()+packedFor {
		return
	}
	pairs, whole := c.start.collect(part)
	if !whole {
		c.callAt = later(c.callAt, c.now.Add(snapshotPatience))
		return
	}
	c.start = start{}
	c.whole = false
	c.replace(part.Revision, c.now.Add(-part.Age), pairs)
	c.urgent = c.revision < c.named
	c.emit(Replace{Revision: part.Revision, Pairs: pairs, From: part.From})
}

// collect adds a part, and returns everything once all parts of one sender and revision are
// there. A part that can't be read counts as lost.
func (s *start) collect(part *wire.StoreSnapshot) ([]wire.StoreChange, bool) {
	if part.Parts <= 0 || part.Parts > mostParts || part.Part < 0 || part.Part >= part.Parts {
		return nil, false
	}
	changes, err := wire.UnpackChanges(part.Content)
	if err != nil {
		return nil, false
	}
	known := s.coming[part.From]
	if known == nil || known.revision != part.Revision {
		known = &incoming{revision: part.Revision, parts: map[int][]wire.StoreChange{}}
		if s.coming == nil {
			s.coming = map[cluster.NodeID]*incoming{}
		}
		s.coming[part.From] = known
	}
	known.parts[part.Part] = changes
	if len(known.parts) < part.Parts {
		return nil, false
	}
	var pairs []wire.StoreChange
	for i := range part.Parts {
		pairs = append(pairs, known.parts[i]...)
	}
	return pairs, true
}
