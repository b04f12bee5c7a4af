package shell

import (
	"errors"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/wire"
)

// batch is what changed, by kind. Of several changes of one record the last counts.
type batch struct {
	revision      int64
	configuration *wire.StoreChange
	workers       latest[cluster.MachineID, catalog.Worker]
	workersUnread latest[cluster.MachineID, fleet.UnreadWorker]
	workersGone   []cluster.MachineID
	restarted     []routing.MachineRestarted
	nodes         latest[cluster.NodeID, fleet.NodeEntry]
	nodesGone     []cluster.NodeID
	holder        *fleet.HolderRead
	last          *fleet.LastHolderRead
	poison        latest[poison.Fingerprint, fleet.PoisonStored]
	poisonUnread  latest[poison.Fingerprint, fleet.PoisonStored]
	poisonGone    []poison.Fingerprint
}

// workersRead is what the batch says of machines.
func (b *batch) workersRead() fleet.WorkersRead {
	return fleet.WorkersRead{
		Workers: b.workers.values(), Unread: b.workersUnread.values(), Gone: b.workersGone,
		Restarted: b.restarted, Revision: b.revision,
	}
}

// nodesRead is what the batch says of nodes.
func (b *batch) nodesRead() fleet.NodesRead {
	return fleet.NodesRead{Nodes: b.nodes.values(), Gone: b.nodesGone}
}

// poisonRead is what the batch says of requests that end machines.
func (b *batch) poisonRead() fleet.PoisonRead {
	return fleet.PoisonRead{Records: b.poison.values(), Unread: b.poisonUnread.values(), Gone: b.poisonGone}
}

// sort enters one change.
func (f *follower) sort(b *batch, pair *wire.StoreChange) {
	codec, deleted := f.options.Codec, pair.Deleted
	switch {
	case pair.Key == codec.ConfigurationKey():
		if !deleted {
			b.configuration = pair
		}
	case strings.HasPrefix(pair.Key, codec.WorkersPrefix()):
		f.sortWorker(b, pair)
	case pair.Key == fleet.KeyHolder:
		b.holder = &fleet.HolderRead{}
		if entry, read := f.nodeEntry(pair); read {
			b.holder.Node, b.holder.Token = entry, cluster.FencingToken(pair.Revision)
		}
	case pair.Key == fleet.KeyLast:
		if !deleted {
			// The next holder replaces what can't be read, which takes its revision.
			entry, _ := f.nodeEntry(pair)
			b.last = &fleet.LastHolderRead{Node: entry, Revision: pair.Revision}
		}
	case strings.HasPrefix(pair.Key, fleet.KeyPoison):
		f.sortPoison(b, pair)
	case strings.HasPrefix(pair.Key, fleet.KeyNodes):
		if deleted {
			id := cluster.NodeID(strings.TrimPrefix(pair.Key, fleet.KeyNodes))
			b.nodes.drop(id)
			b.nodesGone = append(b.nodesGone, id)
		} else if entry, read := f.nodeEntry(pair); read {
			entry.Revision = pair.Revision
			b.nodes.put(entry.ID, entry)
		}
	}
}

// sortPoison enters the record of a request that ends machines.
func (f *follower) sortPoison(b *batch, pair *wire.StoreChange) {
	stored, err := fleet.DecodePoison(pair.Key, pair.Value)
	content := stored.Record.Content
	if content.IsZero() || err != nil && !pair.Deleted {
		f.unreadable(unreadablePoison, pair, err)
	}
	if content.IsZero() {
		return
	}
	b.poison.drop(content)
	b.poisonUnread.drop(content)
	b.poisonGone = slices.DeleteFunc(b.poisonGone, func(gone poison.Fingerprint) bool { return gone == content })
	stored.Revision = pair.Revision
	switch {
	case pair.Deleted:
		b.poisonGone = append(b.poisonGone, content)
	case err != nil:
		b.poisonUnread.put(content, stored)
	default:
		b.poison.put(content, stored)
	}
}

// nodeEntry reads a node's entry; false for one that is gone or can't be read.
func (f *follower) nodeEntry(pair *wire.StoreChange) (fleet.NodeEntry, bool) {
	if pair.Deleted {
		return fleet.NodeEntry{}, false
	}
	entry, err := fleet.DecodeNodeEntry(pair.Value)
	if id, isNode := strings.CutPrefix(pair.Key, fleet.KeyNodes); err == nil && isNode && id != string(entry.ID) {
		// Nothing would ever take it out: the end of a record is told by its key.
		err = eris.New("the record names another node than its key")
	}
	if err != nil {
		f.unreadable(unreadableNode, pair, err)
		return fleet.NodeEntry{}, false
	}
	return entry, true
}

// The kinds of records that can't be read, for the count of them.
const (
	unreadableWorker        = "worker"
	unreadableNode          = "node"
	unreadablePoison        = "poison"
	unreadableConfiguration = "configuration"
)

// unreadable tells of a record of the nodes that is passed over.
func (f *follower) unreadable(kind string, pair *wire.StoreChange, cause error) {
	f.metrics.unreadable.WithLabelValues(kind).Inc()
	f.options.Log.Write(eventlog.RecordUnreadable{Key: pair.Key, Revision: pair.Revision, Cause: cause.Error()})
}

// sortWorker enters a machine's entry: the last that can be read, and that the machine leaves
// until one can be. The entry of a later start of a machine ends the one before it.
func (f *follower) sortWorker(b *batch, pair *wire.StoreChange) {
	name := f.options.Codec.WorkerID(pair.Key)
	if pair.Deleted {
		known := f.starts.current(name)
		b.workerGone(known)
		f.starts.forget(name)
		return
	}
	worker, err := f.news.decode(name, pair)
	known := f.starts.current(name)
	if err == nil {
		err = f.starts.check(name, &worker)
	}
	switch {
	case errors.Is(err, errEarlierStart):
		f.options.Log.Write(eventlog.WorkerUnreadable{Machine: worker.ID, Revision: pair.Revision, Outcome: outcomePassedOver, Cause: err.Error()})
		return
	case err != nil:
		f.metrics.unreadable.WithLabelValues(unreadableWorker).Inc()
		before, _ := b.workersUnread.get(known)
		b.workersUnread.put(known, fleet.UnreadWorker{ID: known, Leaving: worker.Draining || before.Leaving, Cause: err.Error()})
		return
	}
	if known != worker.ID && f.starts.knows(name) {
		b.workerGone(known)
		b.restarted = append(b.restarted, routing.MachineRestarted{Machine: worker.ID, Before: known})
		f.options.Log.Write(eventlog.WorkerRestarted{Machine: worker.ID, Before: known, Revision: pair.Revision})
		// A request on one would be lost without a word that it did not run.
		f.pool.Forget(f.starts[name].address)
	}
	f.starts.note(name, &worker)
	b.workersUnread.drop(known)
	b.workers.put(worker.ID, worker)
}

// workerGone enters the end of a machine.
func (b *batch) workerGone(id cluster.MachineID) {
	b.workersUnread.drop(id)
	b.workers.drop(id)
	b.workersGone = append(b.workersGone, id)
}
