package node

import (
	"strings"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// Keys in the key-value service. Package settings defines the keys of the settings
// tree.
const (
	keyRoot        = "/valveslip/"
	keyCells       = keyRoot + "cells/"
	keyApportioner = keyRoot + "apportioner"
)

// readRetryInterval is the delay before a rejected read is retried. A read that timed
// out has already waited and is retried at once.
const readRetryInterval = 2 * time.Second

// callPurpose determines which component handles the answer to a call.
type callPurpose struct {
	lease *lease.Client
	// initialRead is true for the range read that precedes the watch.
	initialRead bool
	// watch is true for the watch that follows the initial read.
	watch bool
	// division is true for the apportioner's transaction.
	division bool
}

// keyValueReader reads and watches the key-value service while this node is a
// controller: it reads everything once and watches from that revision. Leases are
// handled separately.
type keyValueReader struct {
	nextID  uint64
	pending map[uint64]callPurpose
	// enabled is true while this node is a controller.
	enabled bool
	// readCallID and watchCallID are the IDs of the calls in progress, zero for none.
	readCallID, watchCallID uint64
	// revision is the revision up to which all changes have been received.
	revision int64
	nextRead time.Time
	// guardRevision is the revision of the last received division of replica counts.
	guardRevision int64
	// allotments holds the allotment records by zone.
	allotments map[cluster.ZoneID]cluster.Allotment
}

func newKeyValueReader() *keyValueReader {
	return &keyValueReader{
		pending:    map[uint64]callPurpose{},
		allotments: map[cluster.ZoneID]cluster.Allotment{},
	}
}

func (c *Core) keyValueCall(call KeyValueCall, purpose callPurpose) uint64 {
	c.keyValue.nextID++
	call.ID = c.keyValue.nextID
	c.keyValue.pending[call.ID] = purpose
	c.emit(call)
	return call.ID
}

// keyValueTick starts the read or the watch when this node is a controller and neither
// is in progress.
func (c *Core) keyValueTick() {
	s := c.keyValue
	s.enabled = c.cellRole.controller.Holding()
	if !s.enabled || s.readCallID != 0 || s.watchCallID != 0 || c.now.Before(s.nextRead) {
		return
	}
	if s.revision > 0 {
		c.watch()
		return
	}
	s.readCallID = c.keyValueCall(KeyValueCall{Operation: KeyValueRange, Prefix: keyRoot}, callPurpose{initialRead: true})
}

func (c *Core) watch() {
	c.keyValue.watchCallID = c.keyValueCall(KeyValueCall{
		Operation: KeyValueWatch, Prefix: keyRoot, StartRevision: keyvalue.Revision(c.keyValue.revision + 1),
	}, callPurpose{watch: true})
}

func (c *Core) keyValueAnswered(answer KeyValueAnswered) {
	purpose, ok := c.keyValue.pending[answer.ID]
	if !ok {
		return
	}
	if !purpose.watch {
		delete(c.keyValue.pending, answer.ID)
	}
	switch {
	case purpose.initialRead:
		c.initialReadAnswered(answer)
	case purpose.division:
		c.apportioner.transactionAnswered()
	case purpose.lease != nil && purpose.lease == c.cellRole.lease:
		c.cellRole.leaseAnswered(answer)
	case purpose.lease != nil && purpose.lease == c.apportioner.lease:
		c.apportioner.leaseAnswered(answer)
	}
}

// initialReadAnswered applies all stored records and starts the watch.
func (c *Core) initialReadAnswered(answer KeyValueAnswered) {
	s := c.keyValue
	s.readCallID = 0
	if answer.Err != nil {
		s.nextRead = c.now
		if verdict.Of(answer.Err) == verdict.NotRun {
			s.nextRead = c.now.Add(readRetryInterval)
		}
		return
	}
	s.revision = int64(answer.Revision)
	var tree []keyvalue.KeyValue
	for _, pair := range answer.Pairs {
		if strings.HasPrefix(pair.Key, settings.KeyPrefix) {
			tree = append(tree, pair)
			continue
		}
		c.pairReceived(pair, int64(answer.Revision))
	}
	loaded, stamp, err := settings.DecodeTreePairs(tree)
	switch {
	case err != nil:
		c.emit(RecordUnreadable{Key: settings.KeyPrefix, Err: err})
	case loaded != nil:
		c.stepReplication(replication.Loaded{Tree: loaded, Stamp: stamp})
	}
	c.watch()
}

func (c *Core) watchDelivered(delivered WatchDelivered) {
	s := c.keyValue
	if delivered.ID != s.watchCallID {
		return
	}
	if delivered.Batch.Compacted {
		delete(s.pending, s.watchCallID)
		s.watchCallID, s.revision = 0, 0
		return
	}
	s.revision = max(s.revision, int64(delivered.Batch.Revision))
	var tree []keyvalue.Event
	for _, event := range delivered.Batch.Events {
		if strings.HasPrefix(event.KeyValue.Key, settings.KeyPrefix) {
			tree = append(tree, event)
			continue
		}
		if !event.Deleted {
			c.pairReceived(event.KeyValue, int64(event.KeyValue.ModRevision))
		}
	}
	c.treeChanged(tree)
}

// treeChanged passes accepted edits to the replication core. Edits that do not
// continue the known history, or that cannot be decoded, cause a full read.
func (c *Core) treeChanged(events []keyvalue.Event) {
	if len(events) == 0 {
		return
	}
	entries, err := settings.EntriesFromEvents(events)
	stamp, ok := settings.StampFromEvents(events)
	if err != nil {
		c.emit(RecordUnreadable{Key: settings.KeyPrefix, Err: err})
	}
	if err != nil || len(entries) > 0 && !ok || len(entries) == 0 && c.replication.Stamp().Revision == 0 {
		c.restartRead()
		return
	}
	if len(entries) == 0 {
		return
	}
	c.stepReplication(replication.Accepted{History: stamp.History, Entries: entries})
	if last := entries[len(entries)-1].Revision; c.replication.Stamp().Revision < last {
		c.restartRead()
	}
}

// restartRead discards the watch, so that the next Tick reads everything again.
func (c *Core) restartRead() {
	s := c.keyValue
	delete(s.pending, s.watchCallID)
	s.watchCallID, s.revision = 0, 0
}

func (c *Core) watchEnded(ended WatchEnded) {
	s := c.keyValue
	delete(s.pending, ended.ID)
	if ended.ID != s.watchCallID {
		return
	}
	s.watchCallID = 0
	s.nextRead = c.now.Add(readRetryInterval)
}

// pairReceived applies a lease record or allotment that was read or watched at the
// given global revision.
func (c *Core) pairReceived(pair keyvalue.KeyValue, readRevision int64) {
	switch {
	case strings.HasPrefix(pair.Key, keyCells):
		zone := cluster.ZoneID(strings.TrimPrefix(pair.Key, keyCells))
		c.claimReceived(wire.ControllerClaim{
			Zone: zone, Node: cluster.NodeID(pair.Value), Token: cluster.FencingToken(pair.CreateRevision),
		})
	case pair.Key == keyApportioner:
		c.claimReceived(wire.ControllerClaim{
			Zone: ApportionerZone, Node: cluster.NodeID(pair.Value), Token: cluster.FencingToken(pair.CreateRevision),
		})
	case pair.Key == authority.AllotmentGuardKey:
		c.keyValue.guardRevision = max(c.keyValue.guardRevision, int64(pair.ModRevision))
	default:
		allotment, ok, err := authority.AllotmentFromPair(pair)
		switch {
		case err != nil:
			c.emit(RecordUnreadable{Key: pair.Key, Err: err})
		case ok:
			c.allotmentReceived(allotment, readRevision)
		}
	}
}

// allotmentReceived stores an allotment unless a newer one is known for its zone, and
// passes this zone's allotment to the controller.
func (c *Core) allotmentReceived(allotment cluster.Allotment, readRevision int64) {
	if allotment.Revision < c.keyValue.allotments[allotment.Zone].Revision {
		return
	}
	c.keyValue.allotments[allotment.Zone] = allotment
	c.cellRole.minReplicas = nil
	if allotment.Zone == c.self.Zone {
		c.cellRole.stepController(authority.AllotmentRead{Allotment: allotment, ReadRevision: readRevision})
		c.cellRole.allotmentChanged()
	}
}
