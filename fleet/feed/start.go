package feed

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// Timeouts and limits of a node that starts up.
const (
	// defaultSnapshotTimeout is for two messages, and the time of a part on a link of 20 Mbit/s that
	// serves a few other nodes.
	defaultSnapshotTimeout = 1200 * time.Millisecond
	// queuedSnapshotTimeout is for a node that answered that it will send the snapshot later: it is
	// still reading the store or waiting for another node's snapshot.
	queuedSnapshotTimeout = 4 * time.Second
	// defaultStartupTimeout is half of the 18 s within which a fleet must serve again, since reading
	// the store takes a few seconds.
	defaultStartupTimeout = 9 * time.Second
	// maxSnapshotParts limits the number of parts that a snapshot may state: 1,000 parts hold a
	// million pairs.
	maxSnapshotParts = 1000
)

// startupPhase is the next step of a node that starts up.
type startupPhase uint8

const (
	// phaseReadFirstPage reads the first page of the store, which may hold everything.
	phaseReadFirstPage startupPhase = iota
	// phaseReadStarter reads the starter's record, as the first page did not hold everything.
	phaseReadStarter
	// phaseClaimStarter claims the starter's record, as there is none or the starter does not
	// answer.
	phaseClaimStarter
	// phaseAskStarter asks the starter, or the node that it referred to, for a snapshot.
	phaseAskStarter
	// phaseReadStore reads the whole store.
	phaseReadStore
)

// Starter is the node of a zone that reads the whole store for the nodes that start after it.
type Starter struct {
	ID cluster.NodeID `json:"id"`
	// Machine is the name of the machine it runs on, the same for all processes on it.
	Machine string `json:"machine,omitempty"`
	Address string `json:"address"`
}

// startup is how a node learns the contents of the store at first.
//
// If one page holds everything, the node reads that. Otherwise the bytes read by each node would
// grow with the fleet, as does the number of nodes: when all start at once, the store's link and
// each node's processor would be busy for longer than callers wait. Therefore one node of each
// zone, the starter, reads the store, and the others request a snapshot from it. The starter's
// record in the store names it, and is written only if it still has the expected revision. Even if
// all nodes start at the same moment and know of no other, one of them writes the record and the
// rest learn whom to ask. The first node that finds the starter silent replaces it, so that at most
// one more node reads the store for each snapshot timeout.
type startup struct {
	phase startupPhase
	// starter and revision are the record as last read.
	starter  Starter
	revision keyvalue.Revision
	// askedAddress is the node that was last asked for a snapshot; referred is set if another node
	// named it.
	askedAddress string
	referred     bool
	// awaitsAnswer is set while an answer may still arrive.
	awaitsAnswer bool
	began        time.Time
	// partialSnapshots holds the parts received so far, by sender.
	partialSnapshots map[cluster.NodeID]*partialSnapshot
}

// partialSnapshot is a snapshot of which some parts have arrived.
type partialSnapshot struct {
	revision keyvalue.Revision
	parts    map[int][]wire.StoreChange
}

// continueStartup takes the next step of the startup unless that is to read the store, and reports
// whether there was such a step.
func (c *Core) continueStartup() bool {
	s := &c.startup
	if c.revision != 0 {
		return false
	}
	if s.began.IsZero() {
		s.began = c.now
	}
	if s.phase != phaseReadFirstPage && c.now.Sub(s.began) >= c.cfg.StartupTimeout {
		s.phase = phaseReadStore
	}
	if s.phase == phaseAskStarter && s.awaitsAnswer {
		// The request timed out.
		s.awaitsAnswer, s.phase = false, phaseClaimStarter
		if s.referred {
			s.phase = phaseAskStarter
			s.askedAddress, s.referred = s.starter.Address, false
		}
	}
	switch s.phase {
	case phaseReadStarter:
		c.callInFlight = true
		c.emit(ReadStarter{})
	case phaseClaimStarter:
		c.callInFlight = true
		c.emit(ClaimStarter{Revision: s.revision})
	case phaseAskStarter:
		c.requestSnapshot()
	default:
		return false
	}
	return true
}

// starterRead handles the starter's record.
func (c *Core) starterRead(e StarterRead) {
	c.callEnded(e.Err)
	if e.Err != nil || c.revision != 0 {
		return
	}
	c.nextCallAt = c.now
	c.startup.revision = e.Revision
	switch {
	case e.Starter.Address == "":
		c.startup.phase = phaseClaimStarter
	case c.isThisMachine(&e.Starter):
		// An earlier process of this machine was the starter, and starting nodes ask at its
		// address.
		c.startup.phase = phaseReadStore
	default:
		c.askStarter(e.Starter)
	}
}

// isThisMachine reports whether the starter is a process of this machine. The address in the record
// may differ from the one that this node knows itself by.
func (c *Core) isThisMachine(s *Starter) bool {
	return s.ID == c.cfg.Self.ID || s.Machine != "" && s.Machine == c.cfg.Machine || s.Address == c.cfg.Self.Address
}

// firstPageIncomplete goes on to the starter's record, as the store holds more than a page.
func (c *Core) firstPageIncomplete() {
	c.startup.phase, c.nextCallAt = phaseReadStarter, c.now
}

// starterClaimed handles the outcome of the claim on the starter's record.
func (c *Core) starterClaimed(e StarterClaimed) {
	c.callEnded(e.Err)
	if e.Err != nil {
		// The claim may have succeeded and its answer been lost.
		c.startup.phase = phaseReadStarter
		return
	}
	c.nextCallAt = c.now
	c.startup.revision = e.Revision
	if e.Won || c.isThisMachine(&e.Starter) {
		c.startup.phase = phaseReadStore
		return
	}
	c.askStarter(e.Starter)
}

// askStarter prepares the request for a snapshot from the starter.
func (c *Core) askStarter(starter Starter) {
	s := &c.startup
	s.phase, s.starter = phaseAskStarter, starter
	s.askedAddress, s.referred, s.awaitsAnswer = starter.Address, false, false
}

// requestSnapshot requests a snapshot.
func (c *Core) requestSnapshot() {
	s := &c.startup
	s.awaitsAnswer = true
	c.nextCallAt = c.now.Add(c.cfg.SnapshotTimeout)
	c.emit(RequestSnapshot{Address: s.askedAddress, Request: wire.StoreSnapshotRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Capacity: c.cfg.Self.Capacity, Referred: s.referred,
	}})
}

// snapshotReceived handles a part of a snapshot, a referral to another node, or the notice that the
// sender answers later.
func (c *Core) snapshotReceived(part *wire.StoreSnapshot) {
	c.lastMessageAt = c.now
	s := &c.startup
	if c.revision != 0 {
		c.gapSnapshotPartReceived(part)
		return
	}
	if s.phase != phaseAskStarter && s.phase != phaseReadStore {
		return
	}
	switch {
	case part.Revision == 0 && s.phase == phaseReadStore:
	case part.Refer != "" && part.Refer != c.cfg.Self.Address:
		s.askedAddress, s.referred, s.awaitsAnswer, c.nextCallAt = part.Refer, true, false, c.now
	case part.Revision == 0:
		c.nextCallAt = later(c.nextCallAt, c.now.Add(queuedSnapshotTimeout))
	default:
		c.snapshotPartReceived(part)
	}
}

// snapshotPartReceived adds a part, and takes the snapshot once it is complete.
func (c *Core) snapshotPartReceived(part *wire.StoreSnapshot) {
	if part.Age > c.cfg.maxSnapshotAge()+packedLifetime || !part.KnowsEras && part.Revision.Era() > 0 {
		c.startup.phase, c.startup.awaitsAnswer, c.nextCallAt = phaseClaimStarter, false, c.now
		return
	}
	pairs, whole := c.startup.addPart(part)
	if !whole {
		c.nextCallAt = later(c.nextCallAt, c.now.Add(c.cfg.SnapshotTimeout))
		return
	}
	took := c.now.Sub(c.startup.began)
	c.startup = startup{}
	c.failures = 0
	c.lastRelayID = part.From
	c.forwardedUntil = c.now.Add(forwardAfterSnapshot)
	if !c.callInFlight {
		c.nextCallAt = c.now.Add(c.pollInterval())
	}
	c.replace(part.Revision, c.now.Add(-part.Age), pairs)
	c.sourceKnowsEras, c.mayMixEras = part.KnowsEras, !part.KnowsEras
	c.emit(ReplaceContents{Revision: part.Revision, Pairs: pairs, From: part.From, Took: took})
}

// gapSnapshotPartReceived adds a part of a snapshot that replaces the changes that this node
// misses.
func (c *Core) gapSnapshotPartReceived(part *wire.StoreSnapshot) {
	if !part.KnowsEras && part.Revision.Era() > 0 || c.isUpToDate() || part.Revision <= c.revision || part.Age > c.cfg.maxSnapshotAge()+packedLifetime {
		return
	}
	pairs, whole := c.startup.addPart(part)
	if !whole {
		c.nextCallAt = later(c.nextCallAt, c.now.Add(c.cfg.SnapshotTimeout))
		return
	}
	c.startup = startup{}
	c.gapTooLong = false
	c.replace(part.Revision, c.now.Add(-part.Age), pairs)
	c.mayMixEras = !part.KnowsEras
	c.missesChanges = c.revision < c.announcedRevision
	c.emit(ReplaceContents{Revision: part.Revision, Pairs: pairs, From: part.From})
}

// addPart stores a part, and returns all pairs once every part of one sender and revision has
// arrived. A part that can't be decoded counts as lost.
func (s *startup) addPart(part *wire.StoreSnapshot) ([]wire.StoreChange, bool) {
	if part.Parts <= 0 || part.Parts > maxSnapshotParts || part.Part < 0 || part.Part >= part.Parts {
		return nil, false
	}
	changes, err := wire.UnpackChanges(part.Content)
	if err != nil {
		return nil, false
	}
	known := s.partialSnapshots[part.From]
	if known == nil || known.revision != part.Revision {
		known = &partialSnapshot{revision: part.Revision, parts: map[int][]wire.StoreChange{}}
		if s.partialSnapshots == nil {
			s.partialSnapshots = map[cluster.NodeID]*partialSnapshot{}
		}
		s.partialSnapshots[part.From] = known
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
