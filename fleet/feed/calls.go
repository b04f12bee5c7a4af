package feed

import (
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

const (
	// minRetryWait is the first mean wait after a failed call; it doubles up to maxRetryWait. Nodes
	// with the same source wait longer, so that together they make a call every minRetrySpacing at
	// first and every maxRetrySpacing in the end, but no longer than maxSharedRetryWait: the answer
	// that one of them gets is forwarded to all.
	minRetryWait       = 100 * time.Millisecond
	maxRetryWait       = 800 * time.Millisecond
	minRetrySpacing    = 30 * time.Millisecond
	maxRetrySpacing    = 100 * time.Millisecond
	maxSharedRetryWait = 2 * time.Second
	// maxBackoffDoublings of minRetryWait exceed each of the bounds above: 2^8 times 100 ms are 25
	// s.
	maxBackoffDoublings = 8
	// callTimeout is after how long a call without an answer counts as failed; a relay whose calls
	// fail sends keep-alives no more than this time and its back-off apart.
	callTimeout = 700 * time.Millisecond
	// relayRereadDelay and leafRereadDelay give the root, or the relays, the time to read the store and
	// to tell; rereadSpacing is the time between two nodes with the same source.
	relayRereadDelay = 60 * time.Millisecond
	leafRereadDelay  = 150 * time.Millisecond
	rereadSpacing    = 10 * time.Millisecond
	// eraCheckInterval is how often a node whose source does not notice a new era asks the store itself:
	// that, a turn and a read fit into the 2 s in which changes must be known.
	eraCheckInterval = 1200 * time.Millisecond
)

// nextCallDue returns when the next call may be due, zero while one is under way.
func (c *Core) callDue() time.Time {
	if c.callInFlight {
		return time.Time{}
	}
	if c.isUpToDate() {
		due := c.sourceReadAt.Add(c.sourceTimeout())
		if check := c.eraCheckDue(); check.Before(due) {
			due = check
		}
		return later(c.nextCallAt, due)
	}
	return later(c.nextCallAt, c.now)
}

// startCall makes the call that is due. There is at most one under way.
func (c *Core) startCall() {
	if c.callInFlight || c.now.Before(c.nextCallAt) || c.isUpToDate() || c.continueStartup() || c.askBackupRelay() {
		return
	}
	c.callInFlight, c.readInFlight = true, c.revision == 0 || (c.gapTooLong || c.rereadNeeded) && !c.pollsInsteadOfRead()
	c.sourceTimedOut = c.revision != 0 && c.tree.hasSource() && !c.sourceIsCurrent()
	if c.failures > 0 {
		c.askFallbackPeer()
	}
	if c.readInFlight {
		c.emit(Read{Known: c.revision, OnePage: c.revision == 0 && c.startup.phase == phaseReadFirstPage})
		return
	}
	c.emit(Poll{After: c.revision, MaxBytes: c.contents.maxHistoryBytes()})
}

// pollsInsteadOfRead reports whether a node that needs a full read polls for changes instead. It
// does so after every second failure, so that it learns of changes where only full reads fail.
func (c *Core) pollsInsteadOfRead() bool { return c.failures > 0 && c.failures%2 == 0 }

// callEnded records the end of a call and when the next one may begin.
func (c *Core) callEnded(err error) {
	c.callInFlight, c.readInFlight = false, false
	if err == nil {
		c.failures = 0
		c.nextCallAt = c.now.Add(c.pollInterval())
		return
	}
	wait := min(c.firstRetryWait()<<min(c.failures, maxBackoffDoublings), maxMeanRetryWait(c.nodesSharingCalls()))
	c.failures++
	c.failedAt = c.now
	c.nextCallAt = c.now.Add(c.jittered(wait))
	c.askFallbackPeer()
}

// firstRetryWait returns the mean wait after the first failed call.
func (c *Core) firstRetryWait() time.Duration {
	return max(minRetryWait, time.Duration(c.nodesSharingCalls())*minRetrySpacing)
}

// jittered returns a random wait from half the mean to one and a half times the mean.
func (c *Core) jittered(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(c.rand.Int64N(int64(mean)))
}

// storeAnswered records that the store answered a call made at the given time by another node, or
// another call of this one. If that is after this node's last failure, the next call is due after
// at most the first retry wait.
func (c *Core) storeAnswered(asked time.Time) {
	if c.callInFlight || c.failures == 0 || !asked.After(c.failedAt) {
		return
	}
	if soon := c.now.Add(c.jittered(c.firstRetryWait())); soon.Before(c.nextCallAt) {
		c.nextCallAt = soon
	}
}

// maxMeanRetryWait returns the longest mean wait between failed calls of that many nodes with the
// same source. Each wait is from half of it to one and a half times that.
func maxMeanRetryWait(nodes int) time.Duration {
	return min(max(maxRetryWait, time.Duration(nodes)*maxRetrySpacing), maxSharedRetryWait)
}

// nodesSharingCalls counts the nodes that make the same calls and would forward the answer to this
// one, itself included. Relays send a keep-alive whenever the store fails them; a node that has
// received none for longer than their back-off is cut off from them too, and retries without regard
// to others.
func (c *Core) nodesSharingCalls() int {
	relays := len(c.tree.relays) + 1
	if c.now.Sub(c.lastMessageAt) > maxMeanRetryWait(relays)*3/2+callTimeout {
		return 1
	}
	return c.tree.siblings
}

func (c *Core) pollInterval() time.Duration {
	if c.tree.forwards() {
		return c.cfg.RelayPollInterval
	}
	return c.cfg.PollInterval
}

// rereadTurn returns how long the node waits before it reads a store that has come back from a copy. The
// root reads first, then the relays, then the leaves, so that most nodes learn from another one first.
func (c *Core) rereadTurn() time.Duration {
	if c.now.Sub(c.lastMessageAt) > c.sourceTimeout()+callTimeout {
		// Nobody reaches this node.
		return 0
	}
	turn := time.Duration(c.tree.position) * rereadSpacing
	switch {
	case c.tree.role == leaf:
		return leafRereadDelay + turn
	case c.tree.role == relay && c.tree.hasRoot:
		return relayRereadDelay + turn
	}
	return 0
}

func (c *Core) readDone(e ReadDone) {
	c.callEnded(e.Err)
	if c.discardRead {
		c.discardRead, c.nextCallAt = false, c.now
		return
	}
	if e.Err != nil {
		c.sendKeepAlive()
		return
	}
	if e.MorePages {
		c.firstPageIncomplete()
		return
	}
	if e.Revision.Era() < c.revision.Era() {
		// The read began before the store came back from a copy.
		return
	}
	c.gapTooLong, c.rereadNeeded = false, false
	c.eraConfirmedAt = later(c.eraConfirmedAt, e.Began)
	if e.Revision < c.revision {
		// Updates have brought the node further than the read.
		return
	}
	c.fullReadAt = e.Began
	c.replace(e.Revision, e.Began, e.Pairs)
	c.recordProof(e.Began, c.knownKeyRevision())
}

// replace takes the complete contents of the store at the revision, read at the given time.
func (c *Core) replace(revision keyvalue.Revision, read time.Time, pairs []wire.StoreChange) {
	after := c.contents.revision
	first := c.contents.isEmpty()
	news := c.selectNews(c.contents.replace(pairs, revision))
	c.noteEra(c.revision, revision)
	c.mayMixEras = false
	c.revision, c.missesChanges = revision, false
	c.sourceReadAt, c.knownAt = later(c.sourceReadAt, read), later(c.knownAt, read)
	if first {
		c.startup = startup{}
		c.history.restart(revision)
		// An empty update shows the nodes below at once that they miss what was read.
		c.forward(revision, nil, c.sourceTimedOut)
		if !c.stateIsFresh() {
			// The read took long: poll for the changes since.
			c.nextCallAt = c.now
		}
		return
	}
	c.history.add(news, &c.contents)
	c.forward(after, news, c.sourceTimedOut)
}

func (c *Core) pollDone(e PollDone) {
	c.callEnded(e.Err)
	switch {
	case e.Err != nil:
		c.requestMissing()
		c.sendKeepAlive()
	case e.EraEnded:
		c.rereadNeeded, c.nextCallAt = true, c.now.Add(c.rereadTurn())
	case e.Compacted:
		// Watches of the store, also those of other nodes, may miss changes around a compaction.
		c.rereadNeeded, c.nextCallAt = true, c.now
	case e.TooLong:
		// What is known stays: an update may close the gap before the full read ends.
		c.gapTooLong, c.nextCallAt = true, c.now
		if c.askLastRelay() {
			c.nextCallAt = c.now.Add(peerAnswerTimeout)
		}
	default:
		c.missesChanges = false
		c.eraConfirmedAt = later(c.eraConfirmedAt, e.Began)
		c.knownAt = later(c.knownAt, e.Began)
		after := c.revision
		news := c.advance(e.Changes, e.Revision)
		c.apply(news, "")
		c.forward(after, news, c.sourceTimedOut)
	}
}
