package shell

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

const (
	storeName = "store"
	// inboxLength bounds the messages of peers that wait. An update that is dropped shows
	// as a gap, which the store fills.
	inboxLength = 32
	// slowStoreCall is from when on a call to the store has a line of its own: half of
	// what one may take that waits for changes.
	slowStoreCall = 300 * time.Millisecond
)

// follower follows the store's changes by what a feed.Core decides.
type follower struct {
	*Node
	feed *feed.Core
	news *newsFilter
	// starts are those of machines, as of what the core was told.
	starts starts
	// configuration is the revision of the configuration read last.
	configuration int64
	lostAt        time.Time
	// lostBy is the cause of the failure of which the log was told last.
	lostBy string
	// proves is the key that the feed is to prove, empty for none.
	proves string
	// source is the name of the feed.Source, for the log.
	source atomic.Value
	// knownAt is feed.Core.KnownAt in nanoseconds since the epoch, zero for never.
	knownAt atomic.Int64
	// oldSince is since when the log has it that what is known is old, zero for not.
	oldSince time.Time
	// inbox holds messages of peers.
	inbox   chan feed.Event
	results chan feed.Event
	// wasRead tells the log of the first reading of everything.
	wasRead sync.Once
	// resync has everything read again, peers the feed told of the live nodes.
	resync, peers chan struct{}
}

func newFollower(n *Node) *follower {
	f := &follower{
		Node: n, news: newNewsFilter(n.options.Codec), starts: starts{},
		inbox: make(chan feed.Event, inboxLength), results: make(chan feed.Event, 1), resync: make(chan struct{}, 1), peers: make(chan struct{}, 1),
	}
	self := &n.options.Core.Self
	cfg := n.options.Feed
	cfg.Self = feed.Peer{ID: self.ID, Address: self.Address, Zone: self.Zone, Capacity: self.Capacity}
	cfg.Machine = self.Machine
	f.feed = feed.New(cfg, f.news, n.options.Seed)
	f.source.Store(feed.SourceStore.String())
	return f
}

// receive takes a message of a peer.
func (f *follower) receive(event feed.Event) {
	select {
	case f.inbox <- event:
	default:
	}
}

// invalidate has everything read again.
func (f *follower) invalidate() { signalOnce(f.resync) }

// run follows the store until the node ends.
func (f *follower) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var event feed.Event = feed.Tick{}
		select {
		case <-f.context.Done():
			return
		case <-f.resync:
			event = feed.Invalidated{}
		case event = <-f.inbox:
		case event = <-f.results:
		case <-f.peers:
			event = feed.PeersChanged{Peers: f.livePeers()}
		case <-timer.C:
		}
		f.take(event)
		f.noteKnowledge()
		if due := f.feed.NextDue(); !due.IsZero() {
			timer.Reset(max(due.Sub(f.Now()), 0))
		}
	}
}

// take takes one event; the content of the store counts unless it came too late.
func (f *follower) take(event feed.Event) {
	effects := slices.Clone(f.feed.Step(f.Now(), event))
	if read, isRead := event.(feed.ReadDone); isRead && read.Err == nil && f.feed.Revision() == read.Revision {
		f.replace(read.Revision, read.Pairs)
	}
	f.carryOut(effects)
}

// feedStep feeds the core and begins its effects.
func (f *follower) feedStep(event feed.Event) {
	f.carryOut(slices.Clone(f.feed.Step(f.Now(), event)))
}

// carryOut begins effects. What a reading proves is proven of the content that it brought.
func (f *follower) carryOut(effects []feed.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case feed.Read:
			go f.read(e)
		case feed.ReadStarter:
			go f.readStarter()
		case feed.ClaimStart:
			go f.claimStart(e)
		case feed.Replace:
			f.options.Log.Write(eventlog.SnapshotTaken{From: e.From, Revision: e.Revision, Pairs: len(e.Pairs), Took: e.Took})
			f.replace(e.Revision, e.Pairs)
		case feed.AskSnapshot:
			f.transport.Send(e.Address, e.Request)
		case feed.SendSnapshot:
			f.transport.Send(e.Address, e.Part)
		case feed.Poll:
			go f.poll(e)
		case feed.Apply:
			f.apply(&e)
		case feed.Send:
			f.transport.Send(e.Address, e.Update)
		case feed.Ask:
			f.transport.Send(e.Address, e.Request)
		case feed.Verify:
			go f.verify(e)
		case feed.Proven:
			f.proven(e)
		case feed.TellClock:
			f.transport.Send(e.Address, e.Told)
		case feed.SourceChanged:
			f.source.Store(e.Source.String())
			f.options.Log.Write(eventlog.FeedChanged{Source: e.Source.String(), Silent: e.Silent})
		}
	}
}

// called counts a call's outcome and notes whether the store can be reached, and for
// what other cause it can't be.
func (f *follower) called(o storeOperation, known int64, began time.Time, err error) {
	f.calledStore(o, err)
	if took := f.Now().Sub(began); took >= slowStoreCall {
		f.options.Log.Write(eventlog.StoreCallSlow{Call: string(o), Took: took, Known: known, Failed: err != nil})
	}
	switch cause := eventlog.CauseOf(err); {
	case err != nil && cause != f.lostBy && f.context.Err() == nil:
		if f.lostAt.IsZero() {
			f.lostAt = f.Now()
		}
		f.lostBy = cause
		f.options.Log.Write(eventlog.DependencyLost{Name: storeName, Cause: err.Error()})
	case err == nil && !f.lostAt.IsZero():
		f.options.Log.Write(eventlog.DependencyBack{Name: storeName, After: f.Now().Sub(f.lostAt)})
		f.lostAt, f.lostBy = time.Time{}, ""
	}
}

// result hands a call's outcome to run; one call is made at a time.
func (f *follower) result(event feed.Event) {
	select {
	case f.results <- event:
	case <-f.context.Done():
	}
}

// poll asks the store for changes.
func (f *follower) poll(call feed.Poll) {
	began := f.Now()
	changes, err := f.options.Store.Changes(f.context, "", call.After, call.Most)
	f.called(storePoll, call.After, began, err)
	if changes.Compacted {
		f.options.Log.Write(eventlog.DependencyLost{Name: "store history", Cause: "changes since the last answer are gone"})
	}
	if changes.TooLong {
		f.options.Log.Write(eventlog.DependencyLost{Name: "store history", Cause: "there are more changes than are worth reading"})
	}
	done := feed.PollDone{
		Began: began, Revision: changes.Revision, Compacted: changes.Compacted, TooLong: changes.TooLong, Err: err,
	}
	for i := range changes.Events {
		pair := &changes.Events[i].KeyValue
		done.Changes = append(done.Changes, wire.StoreChange{
			Key: pair.Key, Value: pair.Value, Revision: pair.ModRevision, Deleted: changes.Events[i].Deleted,
		})
	}
	f.result(done)
}

// read reads everything that is in the store, or one page of it. While it does, run waits for
// it: no other call is under way.
func (f *follower) read(call feed.Read) {
	done := feed.ReadDone{Began: f.Now()}
	var pairs []keyvalue.KeyValue
	if call.OnePage {
		pairs, done.Large, done.Revision, done.Err = f.options.Store.FirstPage(f.context, "")
	} else {
		pairs, done.Revision, done.Err = f.options.Store.Range(f.context, "")
	}
	f.called(storeRead, call.Known, done.Began, done.Err)
	if done.Err == nil && !done.Large {
		f.wasRead.Do(func() { f.stage(stageRead) })
		done.Pairs = storePairs(pairs)
	}
	f.result(done)
}

// storePairs converts pairs of the store.
func storePairs(pairs []keyvalue.KeyValue) []wire.StoreChange {
	converted := make([]wire.StoreChange, len(pairs))
	for i := range pairs {
		converted[i] = wire.StoreChange{Key: pairs[i].Key, Value: pairs[i].Value, Revision: pairs[i].ModRevision}
	}
	return converted
}

// replace takes the whole content of the store.
func (f *follower) replace(revision int64, pairs []wire.StoreChange) {
	batch := batch{revision: revision}
	named := map[cluster.MachineID]bool{}
	for i := range pairs {
		f.sort(&batch, &pairs[i])
		if strings.HasPrefix(pairs[i].Key, f.options.Codec.WorkersPrefix()) {
			named[f.options.Codec.WorkerID(pairs[i].Key)] = true
		}
	}
	f.starts.keep(named)
	holder := fleet.HolderRead{}
	if batch.holder != nil {
		holder = *batch.holder
	}
	f.configured(batch.configuration)
	// What must not be sent comes before where to: requests may wait.
	poisoned, nodes, workers := batch.poisonRead(), batch.nodesRead(), batch.workersRead()
	poisoned.Full, nodes.Full, workers.Full = true, true, true
	f.step(poisoned)
	f.step(nodes)
	f.step(workers)
	if batch.last != nil {
		f.step(*batch.last)
	}
	f.step(holder)
	f.step(fleet.StoreSynced{})
}

// apply takes changes.
func (f *follower) apply(e *feed.Apply) {
	batch := batch{revision: e.Revision}
	for i := range e.Changes {
		f.sort(&batch, &e.Changes[i])
	}
	f.configured(batch.configuration)
	if read := batch.poisonRead(); len(read.Records)+len(read.Unread)+len(read.Gone) > 0 {
		f.step(read)
	}
	if read := batch.workersRead(); len(read.Workers)+len(read.Unread)+len(read.Gone) > 0 {
		f.step(read)
	}
	if read := batch.nodesRead(); len(read.Nodes)+len(read.Gone) > 0 {
		f.step(read)
	}
	if batch.last != nil {
		f.step(*batch.last)
	}
	if batch.holder != nil {
		f.step(*batch.holder)
	}
}

// peersSettled has the feed told of the live nodes.
func (f *follower) peersSettled() { signalOnce(f.peers) }

// livePeers lists the live nodes.
func (f *follower) livePeers() []feed.Peer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return feedPeers(f.core.Nodes())
}

// feedPeers lists nodes as the feed knows them.
func feedPeers(nodes []fleet.NodeEntry) []feed.Peer {
	peers := make([]feed.Peer, 0, len(nodes))
	for i := range nodes {
		n := &nodes[i]
		peers = append(peers, feed.Peer{ID: n.ID, Address: n.Address, Zone: n.Zone, Capacity: n.Capacity})
	}
	return peers
}

// configured puts a configuration in force. One that can't be read or compiled
// leaves the one before it.
func (f *follower) configured(pair *wire.StoreChange) {
	if pair == nil || pair.Revision <= f.configuration {
		return
	}
	began := f.Now()
	configuration, err := f.options.Codec.DecodeConfiguration(pair.Value)
	var compiled *catalog.Compiled
	if err == nil {
		compiled, err = configuration.Compile()
	}
	if err != nil {
		f.metrics.unreadable.WithLabelValues(unreadableConfiguration).Inc()
		f.options.Log.Write(eventlog.ConfigurationRejected{Revision: pair.Revision, Cause: err.Error()})
		return
	}
	f.configuration = pair.Revision
	if known := f.compiled.Load(); known != nil && known.Version >= compiled.Version {
		return
	}
	// The core knows a service before a request for it can come.
	f.step(fleet.ConfigurationRead{Compiled: compiled})
	f.compiled.Store(compiled)
	f.wantProof(compiled)
	f.options.Log.Write(eventlog.ConfigurationInForce{
		Version: compiled.Version, Routes: len(compiled.Routes), Services: len(compiled.Services), Took: f.Now().Sub(began),
	})
}
