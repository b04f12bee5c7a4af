package feed

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

const (
	// verifyEvery is how often a node that asks the store for itself, or for others, has it
	// confirm the proven key. What others know is then at most this and two pauses of relays
	// older than the store, 1.3 s.
	verifyEvery = 700 * time.Millisecond
	// verifyAfter is the age of the proof from which on any node asks the store itself: above
	// what relays pass on, and so far below the bound on keys of 4.5 s that three calls fit.
	verifyAfter = 2 * time.Second
	// verifyRetry is the first mean wait after a failed call; it doubles up to
	// longestVerifyRetry.
	verifyRetry        = 300 * time.Millisecond
	longestVerifyRetry = 1200 * time.Millisecond
	// tellClockAgain spaces clocks told to a node that has echoed none yet, and renewEcho
	// those told to one that has: two clocks differ by less than 1 ms after it.
	tellClockAgain = 300 * time.Millisecond
	renewEcho      = 10 * time.Second
	// maxEchoes bounds the clocks kept of other nodes; a full table starts anew.
	maxEchoes = 1024
)

// proof is until when the value of one key is known to have been the newest. A watch that
// brings nothing proves nothing, since it may hear nothing while changes are made: only an
// answer of the store on the key itself does. Other nodes learn of it with their changes. A
// message may be on its way for any time, so its age can't be stated by its sender: the
// receiver tells its own clock first, and the sender says by how much the proof lies before
// or after the reception of that.
type proof struct {
	// key is empty while nothing is to be proven.
	key string
	// at is by this node's clock; revision is that of the value that was the newest then.
	at       time.Time
	revision int64
	// found is the newest revision of the value that was applied ahead of the changes.
	found int64

	verifying bool
	verifyAt  time.Time
	failures  int
	// echoes are the clocks that other nodes told.
	echoes map[cluster.NodeID]echo
	// told is when this node told its clock to another one last.
	told map[cluster.NodeID]time.Time
}

// echo is another node's clock, and when it came by this node's.
type echo struct {
	sent       int64
	receivedAt time.Time
}

// KeyProven names the key whose value must be proven to be the newest; empty ends that.
type KeyProven struct{ Key string }

// VerifyDone brings the outcome of a Verify.
type VerifyDone struct {
	Began    time.Time
	Revision int64
	// Found is the value in the store where it is another one.
	Found *wire.StoreChange
	Err   error
}

// ClockHeard brings the clock of a node that this one passes changes on to.
type ClockHeard struct{ Told wire.ClockTold }

func (KeyProven) feedEvent()  {}
func (VerifyDone) feedEvent() {}
func (ClockHeard) feedEvent() {}

// Verify asks the store whether the value of a key is still that of a revision.
type Verify struct {
	Key      string
	Revision int64
}

// Proven says that the value of Revision of the proven key was the newest at At. What was
// applied before holds it, or a newer one.
type Proven struct {
	At       time.Time
	Revision int64
}

// TellClock tells a node this one's clock.
type TellClock struct {
	Address string
	Told    wire.ClockTold
}

func (Verify) feedEffect()    {}
func (Proven) feedEffect()    {}
func (TellClock) feedEffect() {}

// keyProven begins or ends to prove a key. The reading that brought its first value proves it:
// whoever learns from that what is to be proven need not ask the store once more.
func (c *Core) keyProven(key string) {
	if key == c.proof.key {
		return
	}
	c.proof = proof{key: key, echoes: map[cluster.NodeID]echo{}, told: map[cluster.NodeID]time.Time{}, verifying: c.proof.verifying}
	c.proof.verifyAt = c.now
	if !c.readAt.IsZero() {
		c.prove(c.readAt, c.provenRevision())
	}
}

// provenRevision is the revision of the proven key as far as is known.
func (c *Core) provenRevision() int64 {
	return max(c.contents.keys[c.proof.key].revision, c.proof.found)
}

// verifyDue is when the store is to be asked, zero for not.
func (c *Core) verifyDue() time.Time {
	p := &c.proof
	if p.key == "" || p.verifying || c.provenRevision() == 0 {
		return time.Time{}
	}
	due := p.at.Add(verifyEvery)
	if c.fed() {
		due = p.at.Add(verifyAfter + time.Duration(c.tree.position)*c.cfg.LeafStep)
	}
	return later(due, p.verifyAt)
}

// verify asks the store when that is due.
func (c *Core) verify() {
	due := c.verifyDue()
	if due.IsZero() || c.now.Before(due) {
		return
	}
	c.proof.verifying = true
	c.emit(Verify{Key: c.proof.key, Revision: c.provenRevision()})
}

// verifyDone takes the store's answer. A value that a watch has not told is applied and
// passed on at once.
func (c *Core) verifyDone(e VerifyDone) {
	p := &c.proof
	p.verifying = false
	if e.Err != nil {
		wait := min(verifyRetry<<min(p.failures, maxDoublings), longestVerifyRetry)
		p.failures++
		p.verifyAt = c.now.Add(wait/2 + time.Duration(c.rand.Int64N(int64(wait))))
		return
	}
	p.failures = 0
	c.answered(e.Began)
	if p.key == "" || c.stale {
		return
	}
	if e.Found == nil {
		c.prove(e.Began, e.Revision)
		return
	}
	if e.Found.Key != p.key || c.revision == 0 {
		return
	}
	if e.Found.Revision > c.provenRevision() {
		// It comes again with the changes, which others may have missed.
		p.found = e.Found.Revision
		changes := []wire.StoreChange{*e.Found}
		c.emit(Apply{Revision: c.revision, Changes: changes})
		c.prove(e.Began, e.Found.Revision)
		c.passOn(c.revision, changes, true)
		return
	}
	c.prove(e.Began, e.Found.Revision)
}

// prove notes that a revision was the newest at a time, if what is known holds it.
func (c *Core) prove(at time.Time, revision int64) {
	if c.proof.key == "" || revision == 0 || c.provenRevision() < revision || !at.After(c.proof.at) {
		return
	}
	c.proof.at, c.proof.revision = at, revision
	c.emit(Proven{At: at, Revision: revision})
}

// proofOf fills in what an update tells a node of the proof.
func (c *Core) proofOf(id cluster.NodeID, u wire.StoreChanges) wire.StoreChanges {
	if c.proof.key == "" || c.proof.at.IsZero() {
		return u
	}
	u.Proven = c.proof.revision
	if told, known := c.proof.echoes[id]; known {
		u.Echo, u.Lead = told.sent, told.receivedAt.Sub(c.proof.at)
	}
	return u
}

// proofReceived takes the proof that came with an update. The clock that it echoes was
// received after it was told, so that the proof is no older than it seems.
func (c *Core) proofReceived(u *wire.StoreChanges) {
	if c.proof.key == "" || u.Proven == 0 || c.stale {
		return
	}
	if u.Echo != 0 {
		at := time.Unix(0, u.Echo).Add(-u.Lead)
		if !at.After(c.now) {
			c.prove(at, u.Proven)
		}
	}
	c.tellClock(u)
}

// tellClock tells a node that passes changes on this node's clock where it has none, or an
// old one.
func (c *Core) tellClock(u *wire.StoreChanges) {
	peer, known := c.tree.peers[u.From]
	again := renewEcho
	if u.Echo == 0 {
		again = tellClockAgain
	}
	if !known || c.now.Sub(c.proof.told[u.From]) < again {
		return
	}
	if len(c.proof.told) >= maxEchoes {
		clear(c.proof.told)
	}
	c.proof.told[u.From] = c.now
	c.emit(TellClock{Address: peer.Address, Told: wire.ClockTold{From: c.cfg.Self.ID, Sent: c.now.UnixNano()}})
}

// clockHeard notes another node's clock.
func (c *Core) clockHeard(told wire.ClockTold) {
	if c.proof.key == "" {
		return
	}
	if len(c.proof.echoes) >= maxEchoes {
		clear(c.proof.echoes)
	}
	c.proof.echoes[told.From] = echo{sent: told.Sent, receivedAt: c.now}
}
