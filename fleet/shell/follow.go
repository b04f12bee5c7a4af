package shell

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/keyvalue"
)

const (
	rangeTimeout = 2 * time.Second
	// retryWait is the first wait after a failed call; it doubles up to
	// longestRetryWait.
	retryWait        = 100 * time.Millisecond
	longestRetryWait = 800 * time.Millisecond
	storeName        = "store"
)

// follower reads the store and follows its changes.
type follower struct {
	*Node
	// revision up to which everything has been read; zero before the first read.
	revision int64
	// configuration is the revision of the configuration read last.
	configuration int64
	failures      int
	lostAt        time.Time
}

// follow follows the store until the node ends.
func (n *Node) follow() {
	f := &follower{Node: n}
	for n.context.Err() == nil {
		err := f.round()
		if err != nil && n.context.Err() == nil {
			f.failed(err)
		}
	}
}

// round reads everything if it must and watches until the watch ends.
func (f *follower) round() error {
	if f.revision == 0 {
		if err := f.read(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(f.context)
	defer cancel()
	var stale atomic.Bool
	go func() {
		select {
		case <-f.resync:
			// This process stood still: what it knows is old.
			stale.Store(true)
			cancel()
		case <-f.rewatch:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := f.options.Store.Watch(ctx, "", f.revision+1, f.changed)
	f.metrics.called(storeName, err)
	if stale.Load() {
		f.revision = 0
	}
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// failed notes that the store could not be reached and waits.
func (f *follower) failed(err error) {
	if f.lostAt.IsZero() {
		f.lostAt = time.Now()
		f.options.Log.Write(eventlog.DependencyLost{Name: storeName, Cause: err.Error()})
	}
	wait := min(retryWait<<min(f.failures, 8), longestRetryWait)
	f.failures++
	wait = wait/2 + rand.N(wait)
	select {
	case <-time.After(wait):
	case <-f.context.Done():
	}
}

// reached notes that the store answered.
func (f *follower) reached() {
	f.failures = 0
	if !f.lostAt.IsZero() {
		f.options.Log.Write(eventlog.DependencyBack{Name: storeName, After: time.Since(f.lostAt)})
		f.lostAt = time.Time{}
	}
}

// read reads everything that is in the store.
func (f *follower) read() error {
	ctx, cancel := context.WithTimeout(f.context, rangeTimeout)
	defer cancel()
	pairs, revision, err := f.options.Store.Range(ctx, "")
	f.metrics.called(storeName, err)
	if err != nil {
		return err
	}
	f.reached()
	batch := batch{revision: revision}
	for i := range pairs {
		f.sort(&batch, &pairs[i], false)
	}
	workers := fleet.WorkersRead{Workers: batch.workers, Full: true, Revision: revision}
	nodes := fleet.NodesRead{Nodes: batch.nodes, Full: true}
	holder := fleet.HolderRead{}
	if batch.holder != nil {
		holder = *batch.holder
	}
	f.configured(batch.configuration)
	f.step(workers)
	f.step(nodes)
	if batch.last != nil {
		f.step(*batch.last)
	}
	f.step(holder)
	f.step(fleet.StoreSynced{})
	f.revision = revision
	return nil
}

// batch is what changed, by kind.
type batch struct {
	revision      int64
	configuration *keyvalue.KeyValue
	workers       []catalog.Worker
	workersGone   []cluster.MachineID
	nodes         []fleet.NodeEntry
	nodesGone     []cluster.NodeID
	holder        *fleet.HolderRead
	last          *fleet.LastHolderRead
}

// sort enters one pair.
func (f *follower) sort(b *batch, pair *keyvalue.KeyValue, deleted bool) {
	codec := f.options.Codec
	switch {
	case pair.Key == codec.ConfigurationKey():
		if !deleted {
			b.configuration = pair
		}
	case strings.HasPrefix(pair.Key, codec.WorkersPrefix()):
		f.sortWorker(b, pair, deleted)
	case pair.Key == fleet.KeyHolder:
		b.holder = &fleet.HolderRead{}
		if entry, err := fleet.DecodeNodeEntry(pair.Value); err == nil && !deleted {
			b.holder.Node, b.holder.Token = entry, cluster.FencingToken(pair.ModRevision)
		}
	case pair.Key == fleet.KeyLast:
		if entry, err := fleet.DecodeNodeEntry(pair.Value); err == nil && !deleted {
			b.last = &fleet.LastHolderRead{Node: entry, Revision: pair.ModRevision}
		}
	case strings.HasPrefix(pair.Key, fleet.KeyNodes):
		if deleted {
			b.nodesGone = append(b.nodesGone, cluster.NodeID(strings.TrimPrefix(pair.Key, fleet.KeyNodes)))
		} else if entry, err := fleet.DecodeNodeEntry(pair.Value); err == nil {
			b.nodes = append(b.nodes, entry)
		}
	}
}

// sortWorker enters a machine's entry. Of several changes of one machine the last
// counts.
func (f *follower) sortWorker(b *batch, pair *keyvalue.KeyValue, deleted bool) {
	id := f.options.Codec.WorkerID(pair.Key)
	for i := range b.workers {
		if b.workers[i].ID == id {
			b.workers = append(b.workers[:i], b.workers[i+1:]...)
			break
		}
	}
	if deleted {
		b.workersGone = append(b.workersGone, id)
		return
	}
	worker, err := f.options.Codec.DecodeWorker(pair.Key, pair.Value)
	if err != nil {
		f.options.Log.Write(eventlog.WorkerGone{Machine: id, Cause: err.Error()})
		return
	}
	b.workers = append(b.workers, worker)
}

// changed takes one answer of the watch.
func (f *follower) changed(changes keyvalue.WatchBatch) {
	f.reached()
	if changes.Compacted {
		f.options.Log.Write(eventlog.DependencyLost{Name: "store history", Cause: "changes since the last answer are gone"})
		f.revision = 0
		return
	}
	f.revision = max(f.revision, changes.Revision)
	if len(changes.Events) == 0 {
		return
	}
	batch := batch{revision: changes.Revision}
	for i := range changes.Events {
		f.sort(&batch, &changes.Events[i].KeyValue, changes.Events[i].Deleted)
	}
	f.configured(batch.configuration)
	if len(batch.workers)+len(batch.workersGone) > 0 {
		f.step(fleet.WorkersRead{Workers: batch.workers, Gone: batch.workersGone, Revision: changes.Revision})
	}
	if len(batch.nodes)+len(batch.nodesGone) > 0 {
		f.step(fleet.NodesRead{Nodes: batch.nodes, Gone: batch.nodesGone})
	}
	if batch.last != nil {
		f.step(*batch.last)
	}
	if batch.holder != nil {
		f.step(*batch.holder)
	}
	select {
	case <-time.After(f.options.Coalesce):
	case <-f.context.Done():
	}
}

// configured puts a configuration in force. One that can't be read or compiled
// leaves the one before it.
func (f *follower) configured(pair *keyvalue.KeyValue) {
	if pair == nil || pair.ModRevision <= f.configuration {
		return
	}
	began := time.Now()
	configuration, err := f.options.Codec.DecodeConfiguration(pair.Value)
	var compiled *catalog.Compiled
	if err == nil {
		compiled, err = configuration.Compile()
	}
	if err != nil {
		f.options.Log.Write(eventlog.ConfigurationRejected{Revision: pair.ModRevision, Cause: err.Error()})
		return
	}
	f.configuration = pair.ModRevision
	if known := f.compiled.Load(); known != nil && known.Version >= compiled.Version {
		return
	}
	// The core knows a service before a request for it can come.
	f.step(fleet.ConfigurationRead{Compiled: compiled})
	f.compiled.Store(compiled)
	f.options.Log.Write(eventlog.ConfigurationInForce{
		Version: compiled.Version, Routes: len(compiled.Routes), Services: len(compiled.Services), Took: time.Since(began),
	})
}
