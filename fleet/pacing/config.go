package pacing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// share is the part of a limit for which turns are granted: two pacers together grant one
	// and a half times the limit.
	share = 0.75
	// leastRate bounds the limits that are kept, in requests a second: a machine that takes
	// none would never be heard to take some again.
	leastRate = 0.1
	// longestWait is for how long a turn is granted ahead: a request that waits longer may be
	// served elsewhere meanwhile, and its turn would be lost.
	longestWait = time.Second
	// longestLine bounds for how long a node is told not to ask again because of others that
	// were told so before it.
	longestLine = 10 * time.Second
	// askPatience is how long a node waits for an answer: some twenty times what one takes
	// between two zones.
	askPatience = 60 * time.Millisecond
	// silentTime is for how long a node that did not answer isn't asked: requests that come
	// meanwhile don't wait for it, and one that was only slow is soon asked again.
	silentTime = time.Second
	// firstTurns are left out when a machine begins to be paced, for firstPause at most: it got
	// more than its limit until then, or a predecessor granted turns just now.
	firstTurns = 2
	firstPause = 4 * time.Second
	// aloneAfter is after what time without an answer of any node a node grants itself its part:
	// longer than lost messages last, since parts come on top of what two pacers grant.
	aloneAfter = 5 * time.Second
	// maxPacers bounds the nodes that are asked one after the other: with three at a time, as
	// there would be where messages are lost, turns would be granted for 2.25 times the limit.
	maxPacers = 2
	// alonePause is for how long a node that doesn't know the others yet is told not to ask again:
	// shorter than most callers wait, so that its first requests are served once it does.
	alonePause = 250 * time.Millisecond
	// idlePace is after what time without a question a machine is forgotten: longer than any turn
	// of the smallest limit is away.
	idlePace = time.Minute
)

// Peer is a live node.
type Peer struct {
	ID      cluster.NodeID
	Address string
	// Machine that the node runs on: its place in the order outlasts its restarts.
	Machine string
}
