package shell

import (
	"sync"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue/lease"
)

// storeCallInterval is the time between two log lines on store calls: the interval at which the
// metrics are collected.
const storeCallInterval = 5 * time.Second

// storeOperation is a kind of store call, as the metrics label it.
type storeOperation string

// The kinds of store calls.
const (
	storeRead   storeOperation = "store read"
	storePoll   storeOperation = "store poll"
	storeGrant  storeOperation = "store grant"
	storeWrite  storeOperation = "store write"
	storeRenew  storeOperation = "store renewal"
	storeRevoke storeOperation = "store lease end"
	storeVerify storeOperation = "store verification"
)

// operationOf returns the kind of store call of a lease operation.
func operationOf(o lease.Operation) storeOperation {
	switch o {
	case lease.Grant:
		return storeGrant
	case lease.KeepAlive:
		return storeRenew
	case lease.Revoke:
		return storeRevoke
	}
	return storeWrite
}

// storeCallCounts counts the store calls of the current interval.
type storeCallCounts struct {
	mu     sync.Mutex
	counts map[storeOperation]int
	failed int
}

// add counts one call.
func (c *storeCallCounts) add(o storeOperation, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[storeOperation]int{}
	}
	c.counts[o]++
	if err != nil {
		c.failed++
	}
}

// takeCounts returns the counts and resets them; false if there were no calls.
func (c *storeCallCounts) takeCounts() (eventlog.StoreCalls, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.counts) == 0 {
		return eventlog.StoreCalls{}, false
	}
	line := eventlog.StoreCalls{
		Span: storeCallInterval, Reads: c.counts[storeRead], Polls: c.counts[storePoll], Grants: c.counts[storeGrant],
		Writes: c.counts[storeWrite], Renewals: c.counts[storeRenew], Ends: c.counts[storeRevoke], Verifies: c.counts[storeVerify], Failed: c.failed,
	}
	clear(c.counts)
	c.failed = 0
	return line, true
}

// countStoreCall counts a store call in the metrics and for the log.
func (n *Node) countStoreCall(o storeOperation, err error) {
	n.metrics.countCall(string(o), err)
	n.storeCallCounts.add(o, err)
}

// logStoreCalls logs the counts of each interval until the node ends.
func (f *follower) logStoreCalls() {
	ticker := time.NewTicker(storeCallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.context.Done():
			return
		case <-ticker.C:
		}
		if line, called := f.storeCallCounts.takeCounts(); called {
			line.Source = f.source.Load().(string)
			f.options.Log.Write(line)
		}
	}
}
