package shell

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/wire"
)

// batch holds a set of store changes, grouped by kind. Of several changes to one record the last
// one counts.
type batch struct {
	revision keyvalue.Revision
	// at is when the changes were applied.
	at time.Time
	// restored is set if the store came back from a copy since the content before.
	restored           bool
	configuration      *wire.StoreChange
	workers            orderedMap[cluster.MachineID, catalog.Worker]
	undecodableWorkers orderedMap[cluster.MachineID, fleet.UndecodableWorker]
	removedWorkers     []cluster.MachineID
	restarted          []routing.MachineRestarted
	nodes              orderedMap[cluster.NodeID, fleet.NodeEntry]
	removedNodes       []cluster.NodeID
	holder             *fleet.HolderRead
	lastHolder         *fleet.LastHolderRead
	releases           *fleet.ReleasesRead
	origins            fleet.OriginsRead
	limits             *fleet.LimitsRead
	poison             orderedMap[poison.Fingerprint, fleet.StoredPoisonRecord]
	undecodablePoison  orderedMap[poison.Fingerprint, fleet.StoredPoisonRecord]
	removedPoison      []poison.Fingerprint
}

// workersRead returns the changes to machines as an event of the core.
func (b *batch) workersRead() fleet.WorkersRead {
	return fleet.WorkersRead{
		Workers: b.workers.values(), Undecodable: b.undecodableWorkers.values(), Gone: b.removedWorkers,
		Restarted: b.restarted, Revision: b.revision, Restored: b.restored,
	}
}

// nodesRead returns the changes to nodes as an event of the core.
func (b *batch) nodesRead() fleet.NodesRead {
	return fleet.NodesRead{Nodes: b.nodes.values(), Gone: b.removedNodes, Restored: b.restored}
}

// poisonRead returns the changes to poison records, the records of requests that crash machines,
// as an event of the core.
func (b *batch) poisonRead() fleet.PoisonRead {
	return fleet.PoisonRead{Records: b.poison.values(), Undecodable: b.undecodablePoison.values(), Gone: b.removedPoison, Restored: b.restored}
}

// addChange adds one store change to the batch.
func (f *follower) addChange(b *batch, pair *wire.StoreChange) {
	codec, deleted := f.options.Codec, pair.Deleted
	switch {
	case pair.Key == codec.ConfigurationKey():
		if !deleted {
			b.configuration = pair
		}
	case strings.HasPrefix(pair.Key, codec.WorkersPrefix()):
		f.addWorkerChange(b, pair)
	case pair.Key == fleet.KeyHolder:
		b.holder = &fleet.HolderRead{Restored: b.restored}
		if entry, read := f.nodeEntry(pair); read {
			b.holder.Node, b.holder.Token = entry, cluster.FencingToken(pair.Revision)
		}
	case pair.Key == fleet.KeyLastHolder:
		if !deleted {
			// The next lease holder overwrites a record that can't be decoded; it needs the
			// revision of the record for that.
			entry, _ := f.nodeEntry(pair)
			b.lastHolder = &fleet.LastHolderRead{Node: entry, Revision: pair.Revision}
		}
	case pair.Key == fleet.KeyReleases:
		b.releases = &fleet.ReleasesRead{Restored: b.restored}
		if !deleted {
			record, err := fleet.DecodeReleases(pair.Value)
			if err != nil {
				f.reportUnreadable(unreadableReleases, pair, err)
			}
			// A record that can't be decoded is replaced, which needs its revision.
			*b.releases = fleet.ReleasesRead{Record: record, Revision: pair.Revision, Restored: b.restored}
		}
	case pair.Key == fleet.KeyLimits:
		b.limits = &fleet.LimitsRead{}
		if !deleted {
			record, err := fleet.DecodeLimits(pair.Value)
			if err != nil {
				f.reportUnreadable(unreadableLimits, pair, err)
			}
			*b.limits = fleet.LimitsRead{Record: record, Revision: pair.Revision}
		}
	case strings.HasPrefix(pair.Key, fleet.KeyOrigins):
		f.addOriginsChange(b, pair)
	case strings.HasPrefix(pair.Key, fleet.KeyPoison):
		f.addPoisonChange(b, pair)
	case strings.HasPrefix(pair.Key, fleet.KeyNodes):
		if deleted {
			id := cluster.NodeID(strings.TrimPrefix(pair.Key, fleet.KeyNodes))
			b.nodes.remove(id)
			b.removedNodes = append(b.removedNodes, id)
		} else if entry, read := f.nodeEntry(pair); read {
			entry.Revision = pair.Revision
			b.nodes.put(entry.ID, entry)
		}
	}
}

// addOriginsChange adds the change of a record of the origins of streams.
func (f *follower) addOriginsChange(b *batch, pair *wire.StoreChange) {
	slot, known := fleet.OriginsSlot(pair.Key)
	if !known {
		return
	}
	if pair.Deleted {
		delete(b.origins.Records, slot)
		b.origins.Gone = append(b.origins.Gone, slot)
		return
	}
	record, err := fleet.DecodeOrigins(pair.Value)
	if err != nil {
		f.reportUnreadable(unreadableOrigins, pair, err)
	}
	// A record that can't be decoded is replaced, which needs its revision.
	record.Revision = pair.Revision
	if b.origins.Records == nil {
		b.origins.Records = map[int]fleet.OriginsRecord{}
	}
	b.origins.Records[slot] = record
}

// addPoisonChange adds the change of a poison record, the record of a request that crashes
// machines.
func (f *follower) addPoisonChange(b *batch, pair *wire.StoreChange) {
	stored, err := fleet.DecodePoison(pair.Key, pair.Value)
	content := stored.Record.Content
	if content.IsZero() || err != nil && !pair.Deleted {
		f.reportUnreadable(unreadablePoison, pair, err)
	}
	if content.IsZero() {
		return
	}
	b.poison.remove(content)
	b.undecodablePoison.remove(content)
	b.removedPoison = slices.DeleteFunc(b.removedPoison, func(gone poison.Fingerprint) bool { return gone == content })
	stored.Revision = pair.Revision
	switch {
	case pair.Deleted:
		b.removedPoison = append(b.removedPoison, content)
	case err != nil:
		b.undecodablePoison.put(content, stored)
	default:
		b.poison.put(content, stored)
	}
}

// nodeEntry decodes a node's entry. It returns false if the entry was deleted or can't be
// decoded.
func (f *follower) nodeEntry(pair *wire.StoreChange) (fleet.NodeEntry, bool) {
	if pair.Deleted {
		return fleet.NodeEntry{}, false
	}
	entry, err := fleet.DecodeNodeEntry(pair.Value)
	if id, isNode := strings.CutPrefix(pair.Key, fleet.KeyNodes); err == nil && isNode && id != string(entry.ID) {
		// A deletion names only the key, so an entry under the key of another node would never be
		// removed.
		err = eris.New("the record names another node than its key")
	}
	if err != nil {
		f.reportUnreadable(unreadableNode, pair, err)
		return fleet.NodeEntry{}, false
	}
	return entry, true
}

// The kinds of records that can't be decoded, as the metrics label them.
const (
	unreadableWorker        = "worker"
	unreadableNode          = "node"
	unreadablePoison        = "poison"
	unreadableReleases      = "releases"
	unreadableOrigins       = "origins"
	unreadableLimits        = "limits"
	unreadableConfiguration = "configuration"
)

// reportUnreadable counts and logs a record of the nodes that is skipped because it can't be
// decoded.
func (f *follower) reportUnreadable(kind string, pair *wire.StoreChange, cause error) {
	f.metrics.unreadableRecords.WithLabelValues(kind).Inc()
	f.options.Log.Write(eventlog.RecordUnreadable{Key: pair.Key, Revision: pair.Revision, Cause: cause.Error()})
}

// addWorkerChange adds the change of a machine's entry. It keeps the last entry that can be
// decoded; an entry that can't be decoded only adds that the machine is leaving. The entry of a
// later start of a machine removes the machine of the earlier start.
func (f *follower) addWorkerChange(b *batch, pair *wire.StoreChange) {
	name := f.options.Codec.WorkerID(pair.Key)
	if pair.Deleted {
		currentID := f.starts.currentID(name)
		b.removeWorker(currentID)
		f.starts.forget(name)
		if !b.restored {
			f.gone.add(name, b.at)
		}
		return
	}
	if f.isGoneBefore(b, name) {
		f.options.Log.Write(eventlog.WorkerUnreadable{Machine: name, Revision: pair.Revision, Outcome: outcomeIgnored, Cause: errGoneBefore.Error()})
		return
	}
	worker, err := f.filter.decode(name, pair)
	currentID := f.starts.currentID(name)
	if err == nil {
		err = f.starts.validate(name, &worker)
	}
	switch {
	case errors.Is(err, errEarlierStart):
		f.options.Log.Write(eventlog.WorkerUnreadable{Machine: worker.ID, Revision: pair.Revision, Outcome: outcomeIgnored, Cause: err.Error()})
		return
	case err != nil:
		f.metrics.unreadableRecords.WithLabelValues(unreadableWorker).Inc()
		before, _ := b.undecodableWorkers.get(currentID)
		b.undecodableWorkers.put(currentID, fleet.UndecodableWorker{ID: currentID, Leaving: worker.Draining || before.Leaving, Cause: err.Error()})
		return
	}
	if currentID != worker.ID && f.starts.knows(name) {
		b.removeWorker(currentID)
		b.restarted = append(b.restarted, routing.MachineRestarted{Machine: worker.ID, Before: currentID})
		f.options.Log.Write(eventlog.WorkerRestarted{Machine: worker.ID, Before: currentID, Revision: pair.Revision})
		// A request on a connection to the earlier start would be lost without proof that it did
		// not run.
		f.pool.Forget(f.starts[name].address)
	}
	f.starts.record(name, &worker)
	b.undecodableWorkers.remove(currentID)
	b.workers.put(worker.ID, worker)
}

// isGoneBefore reports whether the entry of a machine, which a restored store has, was gone before. The
// machine is used again from the next change of its entry on, which then counts even if it repeats this
// one.
func (f *follower) isGoneBefore(b *batch, name cluster.MachineID) bool {
	if !b.restored || !f.gone.includes(name, b.at) {
		delete(f.gone, name)
		return false
	}
	f.filter.forget(name)
	return true
}

// removeWorker adds the removal of a machine to the batch.
func (b *batch) removeWorker(id cluster.MachineID) {
	b.undecodableWorkers.remove(id)
	b.workers.remove(id)
	b.removedWorkers = append(b.removedWorkers, id)
}
