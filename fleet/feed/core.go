package feed

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// Core follows the store for one node. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	filter Filter
	rand   *rand.Rand
	now    time.Time
	tree   tree
	// revision is the one up to which all changes are known; zero before the first read.
	revision keyvalue.Revision
	// sourceReadAt is when the newest data that came from the node's source was read from the
	// store, knownAt when the newest data from anywhere was.
	sourceReadAt, knownAt time.Time
	// lastMessageAt is when the last update or snapshot part arrived, whatever its content.
	lastMessageAt time.Time
	// callInFlight is set while a call is under way. discardRead is set if the result of the full
	// read under way must be discarded, as it began before the node was invalidated.
	callInFlight, discardRead bool
	// readInFlight is set while the call under way is a full read.
	readInFlight bool
	// gapTooLong is set while a full read is due because the missing changes exceed the limit of a
	// poll; an update that closes the gap clears it. rereadNeeded is set while a full read is due
	// because the history was compacted or the process paused. The node keeps what it knows and
	// goes on taking updates and polls meanwhile, as a full read may take long, fail, or be asked
	// for again before it ends.
	gapTooLong, rereadNeeded bool
	// sourceTimedOut is set when the last call was made because the source was silent.
	sourceTimedOut bool
	// missesChanges is set when a relay announced changes that it did not send; announcedRevision
	// is the newest of them.
	missesChanges     bool
	announcedRevision keyvalue.Revision
	// eraUnapplied is set while the last step to a new era has not been applied.
	eraUnapplied bool
	failures     int
	// failedAt is when the last call failed.
	failedAt   time.Time
	nextCallAt time.Time
	source     Source
	// lastRelayID is the node whose update or first snapshot was last taken or announced changes.
	lastRelayID cluster.NodeID
	// askedRelayID is the node that was last asked for missing changes.
	askedRelayID cluster.NodeID
	// fallbackPeer answers for the store where the node has no source.
	fallbackPeer fallbackPeer
	// eraConfirmedAt is when this node's last read or poll that was answered began. sourceKnowsEras is set
	// if the node that keeps this one up to date tells the eras of the store apart.
	eraConfirmedAt  time.Time
	sourceKnowsEras bool
	// mayMixEras is set while what this node knows came in part from a node that does not notice a new
	// era. It may then be a state that the store never had.
	mayMixEras bool
	// startup is how the node learns the contents of the store at first, snapshots what it sends to
	// other nodes that start.
	startup   startup
	snapshots snapshotServer
	// forwardedUntil is until when the node that sent the snapshot forwards changes to this one. By
	// then both know the tree of the fleet.
	forwardedUntil time.Time
	// backupRelay is the relay that was last asked in place of a silent one.
	backupRelay backupRelay
	// lastRequester is the node that last requested changes. It becomes the fallback peer while no
	// other node is known.
	lastRequester Peer
	// fullReadAt is when the last full read that was taken began; zero after an invalidation.
	fullReadAt time.Time
	// lastRelayedReadAt is the time of the newest read that was forwarded.
	lastRelayedReadAt time.Time
	contents          contents
	history           history
	proof             keyProof
	effects           []Effect
}

// New returns a Core that has read nothing yet.
func New(cfg Config, f Filter, seed uint64) *Core {
	cfg = cfg.withDefaults()
	return &Core{cfg: cfg, filter: f, rand: rand.New(rand.NewPCG(seed, 1)), tree: newTree(&cfg, nil)}
}

// Step handles one event and returns the effects, valid until the next Step.
func (c *Core) Step(now time.Time, e Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case PeersChanged:
		before := c.tree
		c.tree = newTree(&c.cfg, e.Peers)
		c.introduce(before)
	case ReadDone:
		c.readDone(e)
	case PollDone:
		c.pollDone(e)
	case UpdateReceived:
		c.updateReceived(&e.Update)
	case ChangesRequested:
		c.changesRequested(&e.Request)
	case StarterRead:
		c.starterRead(e)
	case StarterClaimed:
		c.starterClaimed(e)
	case SnapshotRequested:
		c.snapshotRequested(&e.Request)
	case SnapshotReceived:
		c.snapshotReceived(&e.Part)
	case Invalidated:
		c.invalidate()
	case EraSeen:
		c.eraSeen(e.Era)
	case KeyProven:
		c.keyProven(e.Key)
	case VerifyDone:
		c.verifyDone(e)
	case ClockReceived:
		c.clockReceived(e.Told)
	}
	c.serveWaiting()
	c.updateSource()
	c.startCall()
	c.verify()
	return c.effects
}

// NextDue returns when the next Tick has something to do; zero while that depends on calls under
// way.
func (c *Core) NextDue() time.Time {
	due, verify := c.callDue(), c.verifyDue()
	if due.IsZero() || !verify.IsZero() && verify.Before(due) {
		return verify
	}
	return due
}

// Revision returns the revision up to which all changes are known.
func (c *Core) Revision() keyvalue.Revision { return c.revision }

// RevisionOf returns the revision of the newest known value of a key, zero for none.
func (c *Core) RevisionOf(key string) keyvalue.Revision { return c.contents.keys[key].revision }

// KnownAt returns the time at which what the node knows was read from the store, by itself or by a
// peer: all of the store's changes up to then are known. Zero before the first read.
func (c *Core) KnownAt() time.Time { return c.knownAt }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// sourceTimeout returns how long the node waits for its source. The timeouts of nodes with the same
// source differ, so that one of them polls the store and forwards the answer to the others.
func (c *Core) sourceTimeout() time.Duration {
	position := time.Duration(c.tree.position)
	switch {
	case c.hasSnapshotSource() && !c.tree.hasSource():
		return max(c.cfg.LeafSourceTimeout, c.cfg.SourceTimeout)
	case c.tree.role == leaf && c.tree.hasRoot:
		return c.cfg.LeafSourceTimeout + position*c.cfg.LeafTimeoutStep
	case c.tree.role == leaf:
		return c.cfg.SourceTimeout + position*c.cfg.LeafTimeoutStep
	}
	return c.cfg.SourceTimeout + position*c.cfg.RelayTimeoutStep
}

// sourceIsCurrent reports whether the source's newest read is younger than the source timeout.
func (c *Core) sourceIsCurrent() bool { return c.now.Sub(c.sourceReadAt) < c.sourceTimeout() }

// isFedByPeer reports whether another node keeps this one up to date.
func (c *Core) isFedByPeer() bool {
	return c.revision != 0 && !c.missesChanges && (c.tree.hasSource() || c.hasSnapshotSource()) && c.sourceIsCurrent()
}

// hasSnapshotSource reports whether the node that sent the snapshot still forwards changes.
func (c *Core) hasSnapshotSource() bool { return c.now.Before(c.forwardedUntil) }

// isUpToDate reports whether no call to the store is needed.
func (c *Core) isUpToDate() bool {
	return c.isFedByPeer() && !c.gapTooLong && !c.rereadNeeded && c.now.Before(c.eraCheckDue())
}

// eraCheckDue returns when the node must ask the store itself whether it is still in the known era:
// never, unless its source is of a build that does not notice a new era.
func (c *Core) eraCheckDue() time.Time {
	if c.sourceKnowsEras {
		return c.now.Add(eraCheckInterval)
	}
	return c.eraConfirmedAt.Add(eraCheckInterval)
}

// eraSeen handles an era that another call to the store has shown.
func (c *Core) eraSeen(era keyvalue.Era) {
	if c.revision == 0 || era <= c.revision.Era() || c.rereadNeeded || c.callInFlight {
		return
	}
	c.rereadNeeded, c.nextCallAt = true, c.now.Add(c.rereadTurn())
}

// advance applies changes up to the revision and returns those that were unknown and carry news.
func (c *Core) advance(changes []wire.StoreChange, revision keyvalue.Revision) []wire.StoreChange {
	unknown := slices.DeleteFunc(slices.Clone(changes), func(s wire.StoreChange) bool { return s.Revision <= c.revision })
	c.eraUnapplied = c.eraUnapplied || revision.Era() > c.revision.Era()
	c.revision = max(c.revision, revision)
	c.contents.applyChanges(unknown, c.revision)
	return c.selectNews(unknown)
}

// selectNews returns the changes that carry news.
func (c *Core) selectNews(changes []wire.StoreChange) []wire.StoreChange {
	var news []wire.StoreChange
	for i := range changes {
		if c.filter.IsNews(&changes[i]) {
			news = append(news, changes[i])
		}
	}
	return news
}

// apply applies news. A new era is applied also without news, since it gives new revisions to what has been applied.
func (c *Core) apply(news []wire.StoreChange, relay string) {
	if len(news) > 0 {
		c.history.add(news, &c.contents)
	}
	if len(news) > 0 || c.eraUnapplied {
		c.eraUnapplied = false
		c.emit(Apply{Revision: c.revision, Changes: news, Relay: relay})
	}
}

// invalidate requires a full read and discards the one under way. Until it ends the node goes on
// from what it knows. Earlier versions forgot the known revision and took no updates until the read
// had ended: an overloaded node that paused again before each read had ended served from its first
// read for as long as it was overloaded.
func (c *Core) invalidate() {
	c.discardRead, c.fullReadAt = c.readInFlight, time.Time{}
	c.rereadNeeded = c.revision != 0
	c.nextCallAt = c.now
}

// updateSource emits SourceChanged when the source of changes is another one.
func (c *Core) updateSource() {
	source := SourceStore
	viaPeer := c.isFedByPeer() || c.missesChanges
	switch {
	case viaPeer && c.tree.forwards():
		source = SourcePeerRelay
	case viaPeer:
		source = SourcePeer
	case c.tree.forwards():
		source = SourceRelay
	}
	if source != c.source {
		c.source = source
		c.emit(SourceChanged{Source: source, Silent: c.now.Sub(c.sourceReadAt)})
	}
}
