package passthrough

import (
	"context"
	"errors"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/responsehead"
	"github.com/valveslip/valveslip/reachability"
	"github.com/valveslip/valveslip/upstream"
)

// Path observes this node's own connections to machines and knows the other nodes, through which
// machines can be reached while it has lost its own path to them.
type Path interface {
	// Failed records that a connection to a machine failed.
	Failed(address string, kind reachability.Kind, cause string)
	// Suspected reports whether this node has probably lost its path to all machines, and Lost
	// whether probes have confirmed that.
	Suspected() bool
	Lost() bool
	// AllowsEstablished reports whether an established connection to a machine may be used while
	// the path is suspected.
	AllowsEstablished() bool
	// AwaitVerdict waits until probes have confirmed or refuted a suspicion, and returns whether
	// failures of connections are still attributed to the path. It returns at once unless the path
	// is suspected, several machines failed and nothing was heard from any since the first failure.
	AwaitVerdict(ctx context.Context) bool
	// Vouch reports whether this node's path works at present: data arrived from a machine a moment
	// ago, or a probe is answered.
	Vouch(ctx context.Context) bool
	// PickPeer returns a node that may reach machines, except the excluded ones, and false if there
	// is none.
	PickPeer(excluded []cluster.NodeID) (Peer, bool)
	// PeerDrains records that a peer is stopping, so that others are asked before it.
	PeerDrains(id cluster.NodeID)
	// AwaitPeer waits until a node that has a path and was overloaded a moment ago may be picked again, and
	// returns false without a wait if there is none.
	AwaitPeer(ctx context.Context) bool
	// PeerEnded records the outcome of a request to a peer.
	PeerEnded(id cluster.NodeID, outcome PeerOutcome)
}

// Peer is another node.
type Peer struct {
	ID      cluster.NodeID
	Address string
}

// verdictTimeout bounds the wait for probes before the failure of a connection is attributed to its
// machine. A probe is answered within a round trip; the caller waits meanwhile.
const verdictTimeout = 250 * time.Millisecond

// recordPathFailure reports a failure of the connection to the machine, unless the caller's leaving
// caused it or the connection leads to another node.
func (a *attempt) recordPathFailure(kind reachability.Kind, err error) {
	if a.Path == nil || a.peer != nil || errors.Is(err, context.Canceled) || a.request.Context().Err() != nil {
		return
	}
	a.Path.Failed(a.decision.Address, kind, err.Error())
}

// recordUnanswered reports that the connection failed before the head of the answer arrived.
func (a *attempt) recordUnanswered(err error) {
	if invalidAnswer(err) {
		return
	}
	kind := reachability.Silence
	if !a.conn.Reused() {
		kind = reachability.NoConnection
	}
	a.recordPathFailure(kind, err)
}

// invalidAnswer reports whether an error comes from what the machine answered: the path to it works.
func invalidAnswer(err error) bool {
	return errors.Is(err, upstream.ErrHeadTooLong) || errors.Is(err, responsehead.ErrInvalid) || errors.Is(err, errForeignAnswer)
}

// errSilent is the failure of a machine whose answer is overdue.
var errSilent = errors.New("the machine is silent")

// pathSuspected reports whether this node has probably lost its path to all machines.
func (a *attempt) pathSuspected() bool { return a.Path != nil && a.Path.Suspected() }

// pathDoubted reports whether a failure of this attempt may be one of the way to the machine: of this node's path,
// or of the connection to the peer. What a peer reports of the machine counts.
func (a *attempt) pathDoubted() bool {
	switch {
	case a.answered || a.engineFull || a.modelMissing:
		return false
	case a.peer != nil:
		return a.peerOutcome == OutcomeDisconnected
	}
	return a.pathSuspected()
}

// withdrawEvidence discards evidence that the machine has ended if this node's path to all machines
// is at fault.
func (a *attempt) withdrawEvidence(ctx context.Context) {
	if a.peer != nil || a.Path == nil || !a.connectionBroken && !a.processEnded {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	if a.Path.AwaitVerdict(ctx) {
		a.connectionBroken, a.processEnded = false, false
	}
}
