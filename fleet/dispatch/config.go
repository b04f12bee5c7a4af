package dispatch

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/work"
)

const (
	// answerTimeout is how long a node waits for the dispatcher: about ten times a round trip
	// between two zones, and less than a tenth of the shortest objective of callers, 500 ms.
	answerTimeout = 40 * time.Millisecond
	// unresponsiveBackoff is how long a node is not asked after it missed answerTimeout, so that
	// requests don't wait for it in the meantime and a node that was only slow is soon asked
	// again.
	unresponsiveBackoff = time.Second
	// progressDelay is how long progress is batched: less than the prefill of the shortest prompt
	// takes.
	progressDelay = 15 * time.Millisecond
	// fullReportInterval is the time between full reports, so that a lost message is corrected
	// within the duration of a long answer.
	fullReportInterval = 5 * time.Second
	// maxTrackedAttempts bounds the attempts that a dispatcher tracks: 2,100 requests a second
	// that last 3.9 s each. Attempts above the bound are ignored in the estimates.
	maxTrackedAttempts = 8192
	// maxDispatchers bounds the nodes that are tried as dispatcher one after the other. With half
	// of all nodes dead, all six are dead in 1 of 64 cases by calculation; nodes then place by
	// themselves.
	maxDispatchers = 6
)

type Peer struct {
	ID      cluster.NodeID
	Address string
	// Machine is the name of the machine that the node runs on.
	Machine string
	// Capacity is the number of cores of the machine.
	Capacity float64
}

// Config configures a Core.
type Config struct {
	Self Peer
	// CacheTokens returns the prompt cache capacity, in tokens, of the engines that serve a model.
	CacheTokens func(model cluster.ModelID) int
	// FetchesCachedPrefixes is true if engines can fetch cached prefixes from each other.
	FetchesCachedPrefixes bool
	// Work configures the estimators of engine speed.
	Work work.Config
}
