package feed

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Core follows the store for one node; it is not safe for concurrent use.
type Core struct {
	cfg    Config
	filter Filter
	rand   *rand.Rand
	now    time.Time
	tree   tree
	// revision up to which everything is known; zero before the first read.
	revision int64
	// heardAt is the time of the newest reading that the node's source passed on,
	// knownAt of the newest one of all.
	heardAt, knownAt time.Time
	// hearsAt is when any node was heard of last, whatever it knew.
	hearsAt time.Time
	// calling is set while a call is under way, stale once its outcome must not count: a read
	// of everything that began before it was asked for again.
	calling, stale bool
	// reading is set while that call reads everything.
	reading bool
	// whole is set while everything is to be read since more changed than is worth reading, until
	// an update closes the gap; anew when the history is gone and after a standstill, until it
	// was read. What is known stays, and updates and calls for changes count
	// meanwhile: reading everything may take long, fail, or be asked for again before it ends.
	whole, anew bool
	// steppingIn is set when the last call was made because the source was silent.
	steppingIn bool
	// urgent is set when a relay named changes that it did not pass on, the newest of revision
	// named.
	urgent   bool
	named    int64
	failures int
	// failedAt is when the last call failed.
	failedAt time.Time
	callAt   time.Time
	source   Source
	// relayID names the relay that was heard of last.
	relayID cluster.NodeID
	// helper answers for the store where nobody else does.
	helper helper
	// start is how a node that knows nothing learns everything, and snapshots what it sends
	// to others that ask.
	start     start
	snapshots snapshots
	// adoptedUntil is until when the node that everything was learned of passes changes on to
	// this one: the tree of the fleet is known by then.
	adoptedUntil time.Time
	// substitute is the relay that was asked last in place of the silent one.
	substitute substitute
	// greeter asked this node last; it is asked in turn while no other node is known.
	greeter Peer
	// readAt is when the last reading of everything that counted began.
	readAt time.Time
	// passedOn is the time of the newest reading that was passed on.
	passedOn time.Time
	contents contents
	history  history
	proof    proof
	effects  []Effect
}

// New returns a core that knows nothing yet.
func New(cfg Config, f Filter, seed uint64) *Core {
	cfg = cfg.withDefaults()
	return &Core{cfg: cfg, filter: f, rand: rand.New(rand.NewPCG(seed, 1)), tree: newTree(&cfg, nil)}
}

// Step takes one event and returns the effects, valid until the next Step.
func (c *Core) Step(now time.Time, e Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case PeersChanged:
		before := c.tree
		c.tree = newTree(&c.cfg, e.Peers)
		c.greet(before)
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
	case KeyProven:
		c.keyProven(e.Key)
	case VerifyDone:
		c.verifyDone(e)
	case ClockHeard:
		c.clockHeard(e.Told)
	}
	c.serveWaiting()
	c.noteSource()
	c.call()
	c.verify()
	return c.effects
}

// NextDue returns when the next Tick has something to do; zero while that is up to calls
// under way.
func (c *Core) NextDue() time.Time {
	due, verify := c.callDue(), c.verifyDue()
	if due.IsZero() || !verify.IsZero() && verify.Before(due) {
		return verify
	}
	return due
}

// Revision returns up to where everything is known.
func (c *Core) Revision() int64 { return c.revision }

// KnownAt is when the store was read last by whoever told of it: what is known was everything
// then. Zero before the first reading.
func (c *Core) KnownAt() time.Time { return c.knownAt }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// silence is for how long this node waits for its source. Nodes with the same source
// have different patience, so that one of them steps in and the others hear of it.
func (c *Core) silence() time.Duration {
	position := time.Duration(c.tree.position)
	switch {
	case c.adopted() && !c.tree.hasSource():
		return max(c.cfg.LeafSilence, c.cfg.Silence)
	case c.tree.role == leaf && c.tree.rooted:
		return c.cfg.LeafSilence + position*c.cfg.LeafStep
	case c.tree.role == leaf:
		return c.cfg.Silence + position*c.cfg.LeafStep
	}
	return c.cfg.Silence + position*c.cfg.RelayStep
}

// heard reports whether what is known was read recently enough.
func (c *Core) heard() bool { return c.now.Sub(c.heardAt) < c.silence() }

// fed reports whether another node keeps this one up to date.
func (c *Core) fed() bool {
	return c.revision != 0 && !c.urgent && (c.tree.hasSource() || c.adopted()) && c.heard()
}

// adopted reports whether the node that everything was learned of still passes changes on.
func (c *Core) adopted() bool { return c.now.Before(c.adoptedUntil) }

// upToDate reports whether nothing needs to be asked of the store.
func (c *Core) upToDate() bool { return c.fed() && !c.whole && !c.anew }

// take notes changes that bring what is known up to a revision, and returns those that
// were not known and say something new.
func (c *Core) take(changes []wire.StoreChange, revision int64) []wire.StoreChange {
	unknown := slices.DeleteFunc(slices.Clone(changes), func(s wire.StoreChange) bool { return s.Revision <= c.revision })
	c.revision = max(c.revision, revision)
	c.contents.note(unknown, c.revision)
	return c.news(unknown)
}

// news returns the changes that say something new.
func (c *Core) news(changes []wire.StoreChange) []wire.StoreChange {
	var news []wire.StoreChange
	for i := range changes {
		if c.filter.News(&changes[i]) {
			news = append(news, changes[i])
		}
	}
	return news
}

func (c *Core) apply(news []wire.StoreChange, relay string) {
	if len(news) > 0 {
		c.history.add(news, &c.contents)
		c.emit(Apply{Revision: c.revision, Changes: news, Relay: relay})
	}
}

// invalidate has everything read again; such a read under way doesn't count. Until then the
// node goes on from what it knows. It used to forget up to where it knows, and took nothing of
// what its relay told until the read had ended: one that stood still for a moment each time
// before that served by what it had known at first, for as long as it was busy.
func (c *Core) invalidate() {
	c.stale, c.readAt = c.reading, time.Time{}
	c.anew = c.revision != 0
	c.callAt = c.now
}

// noteSource tells when the source of changes is another one.
func (c *Core) noteSource() {
	source := SourceStore
	fed := c.fed() || c.urgent
	switch {
	case fed && c.tree.passesOn():
		source = SourcePeerRelay
	case fed:
		source = SourcePeer
	case c.tree.passesOn():
		source = SourceRelay
	}
	if source != c.source {
		c.source = source
		c.emit(SourceChanged{Source: source, Silent: c.now.Sub(c.heardAt)})
	}
}
