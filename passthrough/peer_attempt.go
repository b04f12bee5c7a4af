package passthrough

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// maxPeersPerAttempt bounds the nodes that are asked one after the other to send a request. Most
	// nodes may have lost their path too; each refuses within a round trip.
	maxPeersPerAttempt = 8
	// maxAbsentPeers bounds those that can't be reached, since each may take the time of a dial.
	maxAbsentPeers = 2
	// noPathRetryAfter is the Retry-After of a refusal because neither this node nor another one that
	// it knows reaches machines: about the time between two probes.
	noPathRetryAfter = 500 * time.Millisecond
)

// errPeerRefused is the cause of the failure of an attempt that a peer did not send.
var errPeerRefused = eris.New("the peer did not send the request")

// errNoRoom is the cause of the failure of an attempt whose message the node has no memory for.
var errNoRoom = eris.New("the node has no room for the message to the peer")

// exchangeDoubted runs the attempt while this node suspects its own path: on an established
// connection if those still work, otherwise through other nodes. It returns false if neither could
// be tried and the suspicion is not confirmed, so that the machine is to be tried directly.
func (a *attempt) exchangeDoubted(ctx context.Context) (*verdict.Error, bool) {
	if a.Path.AllowsEstablished() && a.attributes.RequestID != "" {
		if established := a.Pool.GetIdleFor(a.decision.Address, string(a.id)); established != nil {
			return a.exchangeOn(ctx, established), true
		}
	}
	return a.exchangeThroughPeers(ctx)
}

// exchangeThroughPeers asks other nodes, one after the other, to send the request until one does. Those that are
// overloaded for a moment are asked once more before the request is refused.
func (a *attempt) exchangeThroughPeers(ctx context.Context) (*verdict.Error, bool) {
	outcomes := map[PeerOutcome]int{}
	failure, sent := a.askPeers(ctx, outcomes)
	if !sent && a.Path.Lost() && outcomes[OutcomeUnknown] == 0 && a.Path.AwaitPeer(ctx) {
		failure, sent = a.askPeers(ctx, outcomes)
	}
	if sent {
		return failure, true
	}
	a.peer = nil
	switch {
	case outcomes[OutcomeUnknown] > 0:
		// Another machine may be known to them.
		a.unreached = true
		return verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "no other node knows machine %s", a.decision.Machine), true
	case !a.Path.Lost():
		return nil, false
	}
	a.unreached, a.withheld = true, true
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this node has no path to machines, and no other node sent the request").After(noPathRetryAfter), true
}

// askPeers asks each of several nodes until one sends the request. It returns false if none does, and counts the
// outcomes of those.
func (a *attempt) askPeers(ctx context.Context, outcomes map[PeerOutcome]int) (*verdict.Error, bool) {
	var tried []cluster.NodeID
	for len(tried) < maxPeersPerAttempt && outcomes[OutcomeNoAnswer] < maxAbsentPeers && ctx.Err() == nil {
		peer, found := a.Path.PickPeer(tried)
		if !found {
			break
		}
		tried = append(tried, peer.ID)
		failure, outcome := a.exchangeThrough(ctx, &peer)
		a.Path.PeerEnded(peer.ID, outcome)
		a.logThroughPeer(peer.ID, outcome)
		if !outcome.passesOn() {
			return failure, true
		}
		outcomes[outcome]++
	}
	return nil, false
}

func (a *attempt) logThroughPeer(peer cluster.NodeID, outcome PeerOutcome) {
	a.Log.Write(eventlog.AttemptThroughPeer{
		Request: a.id, Attempt: a.decision.Attempt, Machine: a.decision.Machine, Peer: peer, Outcome: string(outcome),
	})
}

// exchangeThrough runs the attempt through one other node.
func (a *attempt) exchangeThrough(ctx context.Context, peer *Peer) (*verdict.Error, PeerOutcome) {
	a.peer, a.peerOutcome = peer, OutcomeComplete
	a.unreached, a.processEnded, a.connectionBroken = false, false, false
	connection, err := a.Peers.Get(ctx, peer.Address)
	if err != nil {
		a.unreached = true
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeEngineFailed, "the peer can't be reached"), OutcomeNoAnswer
	}
	failure := a.exchangeOn(ctx, connection)
	if failure != nil && a.unreached && !a.withheld && a.peerOutcome == OutcomeComplete {
		// The connection to the peer failed before anything was sent.
		return failure, OutcomeNoAnswer
	}
	return failure, a.peerOutcome
}

// send writes the request on the connection: to the machine, or to the peer that sends it there.
func (a *attempt) send(forwarded *http.Request) error {
	if a.peer == nil {
		return a.conn.Send(forwarded, a.body)
	}
	size := int64(len(a.body))
	if !a.reserved.Grow(size) {
		return errors.Join(upstream.ErrNotSent, errNoRoom)
	}
	defer a.reserved.Shrink(size)
	outer, message, err := newPeerRequest(*a.peer, a.Self, a.decision.Machine, a.startForPeers(), a.remaining(), forwarded)
	if err != nil {
		return errors.Join(upstream.ErrNotSent, err)
	}
	a.peerRequest = outer
	return a.conn.Send(outer, message)
}

// startForPeers returns the start of the machine that a peer must find, empty for any.
func (a *attempt) startForPeers() cluster.MachineID {
	if a.decision.Start == "" || a.Dialect.StartRequest(a.decision.Start) == nil {
		return ""
	}
	return a.decision.Start
}

// nextHead reads the head of the next answer of the machine.
func (a *attempt) nextHead(forwarded *http.Request) (*http.Response, error) {
	if a.peer == nil {
		return a.conn.Head(forwarded)
	}
	outer, err := a.conn.Head(a.peerRequest)
	if err != nil {
		a.peerOutcome = OutcomeFailed
		if endedByPeer(err) {
			a.peerOutcome = OutcomeDisconnected
		}
		return nil, err
	}
	if outer.StatusCode == http.StatusOK && outer.Header.Get("Content-Type") == messageMediaType {
		return readPeerAnswer(outer, forwarded)
	}
	a.answerComplete = a.conn.Drain(outer, maxStaleAnswerBytes, refusalTimeout)
	a.peerOutcome = refusedPeerOutcome(outer)
	if a.peerOutcome == OutcomeOtherStart {
		a.otherStart = true
		a.Decider.Report(routing.MachineStartFound{Machine: a.decision.Machine, Start: cluster.MachineID(outer.Header.Get(headerPeerStart))})
	}
	return nil, eris.Wrapf(errPeerRefused, "outcome %s at peer %s", a.peerOutcome, a.peer.ID)
}

// refusedPeerOutcome returns the outcome for an answer of a peer that holds no answer of the machine. Without a stated
// outcome, only the statuses for an unknown path or an unreadable request show that nothing was sent.
func refusedPeerOutcome(outer *http.Response) PeerOutcome {
	if text := outer.Header.Get(headerPeerOutcome); isPeerOutcome(text) {
		return PeerOutcome(text)
	}
	switch outer.StatusCode {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusBadRequest:
		return OutcomeUnsupported
	}
	return OutcomeFailed
}

// endedByPeer reports whether an error shows that the peer's side has ended the connection or is gone, and not
// that the time of the request is over.
func endedByPeer(err error) bool { return endedByMachine(err) || errors.Is(err, syscall.ETIMEDOUT) }

// peerFailure returns the failure of an attempt that the peer ended with an outcome of its own.
func (a *attempt) peerFailure(err error) *verdict.Error {
	a.connectionBroken = a.peerOutcome == OutcomeBroken || a.peerOutcome == OutcomeEnded
	a.processEnded = a.peerOutcome == OutcomeEnded || a.peerOutcome == OutcomeRefused
	if !a.peerOutcome.notSent() {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeEngineFailed, "the machine did not answer")
	}
	a.unreached = true
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeEngineFailed, "the machine can't be reached")
}
