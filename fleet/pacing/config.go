package pacing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// grantedShare is the share of a machine's limit for which one pacer grants turns. Two pacers
	// that are active at the same time then grant 1.5 times the limit together.
	grantedShare = 0.75
	// minPerSecond is the lowest limit that is enforced, in requests per second: a machine that
	// received no requests at all could never report a higher limit.
	minPerSecond = 0.1
	// maxTurnWait bounds how far ahead a turn is granted, because a request that waits longer may
	// be served by another machine meanwhile, and its turn would be lost.
	maxTurnWait = time.Second
	// maxQueueDelay bounds the part of a denied node's retry delay that accounts for the nodes
	// denied before it: a longer queue does not extend it.
	maxQueueDelay = 10 * time.Second
	// answerTimeout is how long a node waits for a pacer's answer: about twenty times the round
	// trip between two zones.
	answerTimeout = 60 * time.Millisecond
	// unresponsiveBackoff is how long a pacer that missed the timeout is skipped: requests that
	// arrive meanwhile don't wait for it, and a pacer that was only slow is soon asked again.
	unresponsiveBackoff = time.Second
	// skippedFirstTurns is the number of turns skipped when pacing of a machine begins, for at
	// most the longer of maxFirstDelay and one interval: the machine received more than its limit
	// until then, or a previous pacer has just granted turns.
	skippedFirstTurns = 2
	maxFirstDelay     = 4 * time.Second
	// isolatedAfter is the time without an answer from any node after which a node grants itself
	// an even share. It is longer than message loss usually lasts, since even shares add to the
	// turns that two pacers grant.
	isolatedAfter = 5 * time.Second
	// maxPacers bounds the nodes that are asked one after the other. With three pacers active at
	// a time, as message loss would cause, 2.25 times the limit would be granted.
	maxPacers = 2
	// noPeersRetryDelay is the retry delay given while the node does not know the other nodes
	// yet. It is shorter than most callers wait, so that the first requests can still be served.
	noPeersRetryDelay = 250 * time.Millisecond
	// idleTimeout is the time without a request after which a machine's turn schedule is dropped:
	// longer than the wait for any granted turn at the smallest limit.
	idleTimeout = time.Minute
)

// Peer is a live node.
type Peer struct {
	ID      cluster.NodeID
	Address string
	// Machine is the host that the node runs on. Pacers are ranked by it, so that the order
	// survives restarts.
	Machine string
}
