package shell

import (
	"crypto/sha256"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

const (
	storeName = "store"
	// inboxLength limits the peer messages that wait in the inbox. A dropped update leaves a gap
	// in the revisions, which the feed closes from the store.
	inboxLength = 32
	// slowStoreCall is the duration from which a call to the store is logged: half of the timeout
	// of a call that waits for changes.
	slowStoreCall = 300 * time.Millisecond
)

// follower follows the store's changes. The feed.Core decides from where they are read; the
// follower does the I/O and feeds the content to the fleet.Core.
type follower struct {
	*Node
	feed   *feed.Core
	filter *changeFilter
	// starts are the machine starts that were reported to the fleet.Core.
	starts machineStarts
	// gone are the machines whose entries are gone.
	gone goneWorkers
	// applied is the revision of the store's content that was last applied.
	applied keyvalue.Revision
	// configurationRevision is the revision of the last configuration that was decoded and
	// compiled.
	configurationRevision keyvalue.Revision
	// versionContents are the digests of the contents that the version in force has had.
	versionContents [][sha256.Size]byte
	// storeCalls is what was logged of the calls to the store, by the goroutines that make them.
	storeCalls storeCallLog
	// provenKey is the key that the feed keeps verifying; empty for none.
	provenKey string
	// source is the name of the current feed.Source, for the log and the metrics.
	source atomic.Value
	// knownAt is feed.Core.KnownAt in nanoseconds since the Unix epoch; zero before the first
	// read.
	knownAt atomic.Int64
	// era is the era of what was last applied.
	era atomic.Int64
	// staleSince is the time since which the node's view of the store counts as stale; zero while
	// it is fresh.
	staleSince time.Time
	// inbox holds messages of peers.
	inbox   chan feed.Event
	results chan feed.Event
	// configurations holds configurations that other nodes have in force.
	configurations chan []byte
	// firstReadLogged makes sure that the first full read of the store is logged once.
	firstReadLogged sync.Once
	// resync requests a full read of the store; peersChanged requests that the feed is told the
	// live nodes.
	resync, peersChanged chan struct{}
}

func newFollower(n *Node) *follower {
	f := &follower{
		Node: n, filter: newChangeFilter(n.options.Codec), starts: machineStarts{}, gone: goneWorkers{},
		inbox: make(chan feed.Event, inboxLength), results: make(chan feed.Event, 1), configurations: make(chan []byte, inboxLength), resync: make(chan struct{}, 1), peersChanged: make(chan struct{}, 1),
	}
	self := &n.options.Core.Self
	cfg := n.options.Feed
	cfg.Self = feed.Peer{ID: self.ID, Address: self.Address, Zone: self.Zone, Capacity: self.Capacity}
	cfg.Machine = self.Machine
	f.feed = feed.New(cfg, f.filter, n.options.Seed)
	f.source.Store(feed.SourceStore.String())
	return f
}

// receive queues a message of a peer and drops it if the inbox is full.
func (f *follower) receive(event feed.Event) {
	select {
	case f.inbox <- event:
	default:
	}
}

// requestResync requests a full read of the store.
func (f *follower) requestResync() { notify(f.resync) }

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
		case value := <-f.configurations:
			f.putInForce(value, 0)
		case <-f.peersChanged:
			event = feed.PeersChanged{Peers: f.livePeers()}
		case <-timer.C:
		}
		f.take(event)
		if era := f.options.Store.Era(); era > f.feed.Revision().Era() {
			f.stepFeed(feed.EraSeen{Era: era})
		}
		f.updateStaleness()
		if due := f.feed.NextDue(); !due.IsZero() {
			timer.Reset(max(due.Sub(f.Now()), 0))
		}
	}
}

// take takes one event; the content of the store counts unless it came too late.
func (f *follower) take(event feed.Event) {
	effects := slices.Clone(f.feed.Step(f.Now(), event))
	if read, isRead := event.(feed.ReadDone); isRead && read.Err == nil {
		f.takeRead(&read)
	}
	f.carryOut(effects)
}

// takeRead takes a full read unless the feed knows more.
func (f *follower) takeRead(read *feed.ReadDone) {
	known := f.feed.Revision()
	switch {
	case known == read.Revision:
		f.replace(read.Revision, read.Pairs)
	case !read.MorePages && known > read.Revision:
		f.options.Log.Write(eventlog.StoreReadDropped{Revision: read.Revision, Known: known})
	}
}

// stepFeed feeds one event to the feed.Core and starts the effects.
func (f *follower) stepFeed(event feed.Event) {
	f.carryOut(slices.Clone(f.feed.Step(f.Now(), event)))
}

// carryOut starts effects of the feed.Core. A key proof from a read is reported after the content
// of that read was applied.
func (f *follower) carryOut(effects []feed.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case feed.Read:
			go f.readStore(e)
		case feed.ReadStarter:
			go f.readStarter()
		case feed.ClaimStarter:
			go f.claimStarter(e)
		case feed.ReplaceContents:
			f.options.Log.Write(eventlog.SnapshotTaken{From: e.From, Revision: e.Revision, Pairs: len(e.Pairs), Took: e.Took})
			f.replace(e.Revision, e.Pairs)
		case feed.RequestSnapshot:
			f.transport.Send(e.Address, e.Request)
		case feed.SendSnapshot:
			f.transport.Send(e.Address, e.Part)
		case feed.Poll:
			go f.pollChanges(e)
		case feed.Apply:
			f.applyChanges(&e)
		case feed.SendUpdate:
			f.transport.Send(e.Address, e.Update)
		case feed.RequestChanges:
			f.transport.Send(e.Address, e.Request)
		case feed.Verify:
			go f.verifyKey(e)
		case feed.Proven:
			f.reportKeyProof(e)
		case feed.SendClock:
			f.transport.Send(e.Address, e.Told)
		case feed.SourceChanged:
			f.source.Store(e.Source.String())
			f.options.Log.Write(eventlog.FeedChanged{Source: e.Source.String(), Silent: e.Silent})
		}
	}
}

// storeCallLog is what was last logged of the calls to the store.
type storeCallLog struct {
	mutex sync.Mutex
	// lostAt is when the store was lost; zero while it answers.
	lostAt time.Time
	// lostCause is the cause of the last failure that was logged; empty while the store answers.
	lostCause string
	era       keyvalue.Era
}

// cause returns why the store does not answer; empty while it does.
func (l *storeCallLog) cause() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lostCause
}

// noteStoreCall counts the outcome of a store call and logs slow calls, the loss of the store
// with each new cause, and its return.
func (f *follower) noteStoreCall(o storeOperation, known keyvalue.Revision, began time.Time, err error) {
	f.countStoreCall(o, err)
	logged := &f.storeCalls
	logged.mutex.Lock()
	defer logged.mutex.Unlock()
	if era := f.options.Store.Era(); era != logged.era {
		f.options.Log.Write(eventlog.StoreEraChanged{Era: era, Before: logged.era})
		logged.era = era
	}
	if took := f.Now().Sub(began); took >= slowStoreCall {
		f.options.Log.Write(eventlog.StoreCallSlow{Call: string(o), Took: took, Known: known, Failed: err != nil})
	}
	switch cause := eventlog.CauseOf(err); {
	case err != nil && cause != logged.lostCause && f.context.Err() == nil:
		if logged.lostAt.IsZero() {
			logged.lostAt = f.Now()
		}
		logged.lostCause = cause
		f.options.Log.Write(eventlog.DependencyLost{Name: storeName, Cause: err.Error()})
	case err == nil && !logged.lostAt.IsZero():
		f.options.Log.Write(eventlog.DependencyBack{Name: storeName, After: f.Now().Sub(logged.lostAt)})
		logged.lostAt, logged.lostCause = time.Time{}, ""
	}
}

// deliverResult hands the outcome of a call to run. The results channel holds one entry because
// only one call is made at a time.
func (f *follower) deliverResult(event feed.Event) {
	select {
	case f.results <- event:
	case <-f.context.Done():
	}
}

// pollChanges asks the store for changes after a revision.
func (f *follower) pollChanges(call feed.Poll) {
	began := f.Now()
	changes, err := f.options.Store.Changes(f.context, "", call.After, call.MaxBytes)
	f.noteStoreCall(storePoll, call.After, began, err)
	if changes.Compacted {
		f.options.Log.Write(eventlog.DependencyLost{Name: "store history", Cause: "changes since the last answer are gone"})
	}
	if changes.TooLong {
		f.options.Log.Write(eventlog.DependencyLost{Name: "store history", Cause: "there are more changes than are worth reading"})
	}
	done := feed.PollDone{
		Began: began, Revision: changes.Revision, Compacted: changes.Compacted, EraEnded: changes.EraEnded, TooLong: changes.TooLong, Err: err,
	}
	for i := range changes.Events {
		pair := &changes.Events[i].KeyValue
		done.Changes = append(done.Changes, wire.StoreChange{
			Key: pair.Key, Value: pair.Value, Revision: pair.ModRevision, Deleted: changes.Events[i].Deleted,
		})
	}
	f.deliverResult(done)
}

// readStore reads all content of the store, or only its first page if the call asks for one page.
// The feed makes no other call until the result arrives.
func (f *follower) readStore(call feed.Read) {
	done := feed.ReadDone{Began: f.Now()}
	var pairs []keyvalue.KeyValue
	if call.OnePage {
		pairs, done.MorePages, done.Revision, done.Err = f.options.Store.FirstPage(f.context, "")
	} else {
		pairs, done.Revision, done.Err = f.options.Store.Range(f.context, "")
	}
	f.noteStoreCall(storeRead, call.Known, done.Began, done.Err)
	if done.Err == nil && !done.MorePages {
		f.firstReadLogged.Do(func() { f.logStartStage(stageRead) })
		done.Pairs = toStoreChanges(pairs)
	}
	f.deliverResult(done)
}

// toStoreChanges converts key-value pairs of the store to changes.
func toStoreChanges(pairs []keyvalue.KeyValue) []wire.StoreChange {
	converted := make([]wire.StoreChange, len(pairs))
	for i := range pairs {
		converted[i] = wire.StoreChange{Key: pairs[i].Key, Value: pairs[i].Value, Revision: pairs[i].ModRevision}
	}
	return converted
}

// replace replaces the node's view of the store by the store's full content.
func (f *follower) replace(revision keyvalue.Revision, pairs []wire.StoreChange) {
	batch := batch{revision: revision, at: f.Now(), restored: f.isRestored(revision)}
	listed := map[cluster.MachineID]bool{}
	for i := range pairs {
		f.addChange(&batch, &pairs[i])
		if strings.HasPrefix(pairs[i].Key, f.options.Codec.WorkersPrefix()) {
			listed[f.options.Codec.WorkerID(pairs[i].Key)] = true
		}
	}
	for _, name := range f.starts.retainOnly(listed) {
		if !batch.restored {
			f.gone.add(name, batch.at)
		}
	}
	holder := fleet.HolderRead{Restored: batch.restored}
	if batch.holder != nil {
		holder = *batch.holder
	}
	lastHolder := fleet.LastHolderRead{}
	if batch.lastHolder != nil {
		lastHolder = *batch.lastHolder
	}
	f.applyConfiguration(batch.configuration)
	// Poison records come before the machines: requests may be waiting, and would be sent as soon
	// as there is a machine.
	poisoned, nodes, workers := batch.poisonRead(), batch.nodesRead(), batch.workersRead()
	poisoned.Full, nodes.Full, workers.Full, batch.origins.Full = true, true, true, true
	f.step(poisoned)
	f.step(nodes)
	releases := fleet.ReleasesRead{Restored: batch.restored}
	if batch.releases != nil {
		releases = *batch.releases
	}
	f.step(releases)
	f.step(batch.origins)
	limits := fleet.LimitsRead{}
	if batch.limits != nil {
		limits = *batch.limits
	}
	f.step(limits)
	f.step(workers)
	f.step(lastHolder)
	f.step(holder)
	f.endBatch(&batch)
	f.step(fleet.StoreSynced{})
}

// isRestored reports whether the store came back from a copy between the content that was last applied
// and a revision.
func (f *follower) isRestored(revision keyvalue.Revision) bool {
	return f.applied != 0 && f.applied.Era() != revision.Era()
}

// endBatch tells the core the era of what was applied, if it is another one than before.
func (f *follower) endBatch(b *batch) {
	first := f.applied == 0
	f.applied = b.revision
	f.era.Store(int64(b.revision.Era()))
	if !first && !b.restored {
		return
	}
	f.step(fleet.EraBegan{Era: b.revision.Era()})
	if b.restored {
		f.configurationRevision = f.feed.RevisionOf(f.options.Codec.ConfigurationKey())
		f.options.Log.Write(eventlog.StoreRestored{Revision: b.revision})
	}
}

// applyChanges applies a list of changes to the node's view of the store.
func (f *follower) applyChanges(e *feed.Apply) {
	batch := batch{revision: e.Revision, at: f.Now(), restored: f.isRestored(e.Revision)}
	for i := range e.Changes {
		f.addChange(&batch, &e.Changes[i])
	}
	f.applyConfiguration(batch.configuration)
	if read := batch.poisonRead(); len(read.Records)+len(read.Undecodable)+len(read.Gone) > 0 {
		f.step(read)
	}
	if batch.releases != nil {
		f.step(*batch.releases)
	}
	if len(batch.origins.Records)+len(batch.origins.Gone) > 0 {
		f.step(batch.origins)
	}
	if batch.limits != nil {
		f.step(*batch.limits)
	}
	if read := batch.workersRead(); len(read.Workers)+len(read.Undecodable)+len(read.Gone) > 0 {
		f.step(read)
	}
	if read := batch.nodesRead(); len(read.Nodes)+len(read.Gone) > 0 {
		f.step(read)
	}
	if batch.lastHolder != nil {
		f.step(*batch.lastHolder)
	}
	if batch.holder != nil {
		f.step(*batch.holder)
	}
	f.endBatch(&batch)
}

// notifyPeersChanged requests that the feed is told the live nodes.
func (f *follower) notifyPeersChanged() { notify(f.peersChanged) }

// livePeers returns the live nodes as peers of the feed.
func (f *follower) livePeers() []feed.Peer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return toFeedPeers(f.core.Nodes())
}

// toFeedPeers converts node entries to peers of the feed.
func toFeedPeers(nodes []fleet.NodeEntry) []feed.Peer {
	peers := make([]feed.Peer, 0, len(nodes))
	for i := range nodes {
		n := &nodes[i]
		peers = append(peers, feed.Peer{ID: n.ID, Address: n.Address, Zone: n.Zone, Capacity: n.Capacity})
	}
	return peers
}
