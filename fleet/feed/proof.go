package feed

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

const (
	// verifyInterval is how often a node that polls the store has it confirm the proven key. What
	// other nodes know is then at most this time and two pauses of relays older than the store, 1.3
	// s.
	verifyInterval = 700 * time.Millisecond
	// maxFedProofAge is the age of its proof at which a node that a peer keeps up to date asks the
	// store itself. It is above the age of proofs that relays forward, and so far below the bound on
	// the use of revoked API keys, 4.5 s, that three calls fit in between.
	maxFedProofAge = 2 * time.Second
	// minVerifyRetryWait is the first mean wait after a failed call; it doubles up to
	// maxVerifyRetryWait.
	minVerifyRetryWait = 300 * time.Millisecond
	maxVerifyRetryWait = 1200 * time.Millisecond
	// clockRetryInterval is the pause before a node's clock is sent again to a peer that has not
	// echoed it, clockRenewInterval that for a peer that has: two clocks drift apart by less than 1
	// ms in 10 s.
	clockRetryInterval = 300 * time.Millisecond
	clockRenewInterval = 10 * time.Second
	// maxPeerClocks limits the clocks kept of other nodes, and the times at which this node sent
	// its own. A full table is emptied; nodes send their clocks again.
	maxPeerClocks = 1024
)

// keyProof is a proof that the known value of one key was the newest in the store at some time.
// Only an answer of the store about the key itself proves that: a watch that reports nothing proves
// nothing, since it may miss changes. Updates carry the proof to other nodes. The sender of an
// update can't state the age of the proof, as a message may be in transit for any time. Therefore
// the receiver sends its own clock first, and the sender echoes that clock and states by how much
// the proof lies before or after the reception of it.
type keyProof struct {
	// key is empty while nothing is to be proven.
	key string
	// provenAt is the time of the proof by this node's clock, revision that of the value that was
	// the newest then.
	provenAt time.Time
	revision keyvalue.Revision
	// foundRevision is the newest revision of the value that was applied ahead of the other
	// changes.
	foundRevision keyvalue.Revision

	verifying bool
	verifyAt  time.Time
	failures  int
	// peerClocks are the clocks that other nodes sent.
	peerClocks map[cluster.NodeID]peerClock
	// clockSentAt is when this node last sent its clock to each node.
	clockSentAt map[cluster.NodeID]time.Time
}

// peerClock is another node's clock and the time of its arrival by this node's clock.
type peerClock struct {
	sent       int64
	receivedAt time.Time
}

// KeyProven names the key whose value must be proven to be the newest. An empty key ends that.
type KeyProven struct{ Key string }

// VerifyDone is the outcome of a Verify.
type VerifyDone struct {
	Began    time.Time
	Revision keyvalue.Revision
	// Found is the newest value in the store if its revision differs from the one that was asked
	// about.
	Found *wire.StoreChange
	Err   error
}

// ClockReceived is the clock of a node that this one forwards changes to.
type ClockReceived struct{ Told wire.ClockTold }

func (KeyProven) feedEvent()     {}
func (VerifyDone) feedEvent()    {}
func (ClockReceived) feedEvent() {}

// Verify asks the store whether the newest value of a key still has the given revision.
type Verify struct {
	Key      string
	Revision keyvalue.Revision
}

// Proven reports that the value of Revision was the newest of the proven key at At. The values
// applied so far include it or a newer one.
type Proven struct {
	At       time.Time
	Revision keyvalue.Revision
}

// SendClock sends this node's clock to another node.
type SendClock struct {
	Address string
	Told    wire.ClockTold
}

func (Verify) feedEffect()    {}
func (Proven) feedEffect()    {}
func (SendClock) feedEffect() {}

// keyProven starts or ends the proof of a key. The full read that brought the first value of the
// key proves it, so that a node that learns from that read which key to prove needs no further
// call.
func (c *Core) keyProven(key string) {
	if key == c.proof.key {
		return
	}
	c.proof = keyProof{key: key, peerClocks: map[cluster.NodeID]peerClock{}, clockSentAt: map[cluster.NodeID]time.Time{}, verifying: c.proof.verifying}
	c.proof.verifyAt = c.now
	if !c.fullReadAt.IsZero() {
		c.recordProof(c.fullReadAt, c.knownKeyRevision())
	}
}

// knownKeyRevision returns the newest known revision of the proven key.
func (c *Core) knownKeyRevision() keyvalue.Revision {
	return max(c.contents.keys[c.proof.key].revision, c.proof.foundRevision)
}

// verifyDue returns when the store is to be asked about the key, zero for not at all.
func (c *Core) verifyDue() time.Time {
	p := &c.proof
	if p.key == "" || p.verifying || c.knownKeyRevision() == 0 {
		return time.Time{}
	}
	due := p.provenAt.Add(verifyInterval)
	if c.isFedByPeer() {
		due = p.provenAt.Add(maxFedProofAge + time.Duration(c.tree.position)*c.cfg.LeafTimeoutStep)
	}
	return later(due, p.verifyAt)
}

// verify asks the store about the key when that is due.
func (c *Core) verify() {
	due := c.verifyDue()
	if due.IsZero() || c.now.Before(due) {
		return
	}
	c.proof.verifying = true
	c.emit(Verify{Key: c.proof.key, Revision: c.knownKeyRevision()})
}

// verifyDone takes the store's answer about the key. A value that is newer than the known one is
// applied and forwarded at once.
func (c *Core) verifyDone(e VerifyDone) {
	p := &c.proof
	p.verifying = false
	if e.Err != nil {
		wait := min(minVerifyRetryWait<<min(p.failures, maxBackoffDoublings), maxVerifyRetryWait)
		p.failures++
		p.verifyAt = c.now.Add(wait/2 + time.Duration(c.rand.Int64N(int64(wait))))
		return
	}
	p.failures = 0
	c.storeAnswered(e.Began)
	if p.key == "" || c.discardRead {
		return
	}
	if e.Found == nil {
		c.recordProof(e.Began, e.Revision)
		return
	}
	if e.Found.Key != p.key || c.revision == 0 {
		return
	}
	if e.Found.Revision > c.knownKeyRevision() {
		// The value comes again with the changes up to it, which other nodes may lack.
		p.foundRevision = e.Found.Revision
		changes := []wire.StoreChange{*e.Found}
		c.emit(Apply{Revision: c.revision, Changes: changes})
		c.recordProof(e.Began, e.Found.Revision)
		c.forward(c.revision, changes, true)
		return
	}
	c.recordProof(e.Began, e.Found.Revision)
}

// recordProof records that a revision of the key was the newest at the given time, if the node
// knows that revision and the proof is newer than the present one.
func (c *Core) recordProof(at time.Time, revision keyvalue.Revision) {
	if c.proof.key == "" || revision == 0 || c.knownKeyRevision() < revision || !at.After(c.proof.provenAt) {
		return
	}
	if revision.Era() != c.knownKeyRevision().Era() {
		// A value of a later era may be older than the one that was proven.
		return
	}
	c.proof.provenAt, c.proof.revision = at, revision
	c.emit(Proven{At: at, Revision: revision})
}

// attachProof adds the proof to an update for a node.
func (c *Core) attachProof(id cluster.NodeID, u wire.StoreChanges) wire.StoreChanges {
	if c.proof.key == "" || c.proof.provenAt.IsZero() {
		return u
	}
	u.Proven = c.proof.revision
	if told, known := c.proof.peerClocks[id]; known {
		u.Echo, u.Lead = told.sent, told.receivedAt.Sub(c.proof.provenAt)
	}
	return u
}

// proofReceived takes the proof of an update. The sender received the echoed clock after this node
// sent it, so that the proof is no older than the computed age.
func (c *Core) proofReceived(u *wire.StoreChanges) {
	if c.proof.key == "" || u.Proven == 0 || c.discardRead {
		return
	}
	if u.Echo != 0 {
		at := time.Unix(0, u.Echo).Add(-u.Lead)
		if !at.After(c.now) {
			c.recordProof(at, u.Proven)
		}
	}
	c.sendClock(u)
}

// sendClock sends this node's clock to the sender of an update that echoed none, or if the last one
// sent is old.
func (c *Core) sendClock(u *wire.StoreChanges) {
	peer, known := c.tree.peers[u.From]
	interval := clockRenewInterval
	if u.Echo == 0 {
		interval = clockRetryInterval
	}
	if !known || c.now.Sub(c.proof.clockSentAt[u.From]) < interval {
		return
	}
	if len(c.proof.clockSentAt) >= maxPeerClocks {
		clear(c.proof.clockSentAt)
	}
	c.proof.clockSentAt[u.From] = c.now
	c.emit(SendClock{Address: peer.Address, Told: wire.ClockTold{From: c.cfg.Self.ID, Sent: c.now.UnixNano()}})
}

// clockReceived records another node's clock.
func (c *Core) clockReceived(told wire.ClockTold) {
	if c.proof.key == "" {
		return
	}
	if len(c.proof.peerClocks) >= maxPeerClocks {
		clear(c.proof.peerClocks)
	}
	c.proof.peerClocks[told.From] = peerClock{sent: told.Sent, receivedAt: c.now}
}
