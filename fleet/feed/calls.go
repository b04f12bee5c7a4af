package feed

import (
	"time"

	"github.com/valveslip/valveslip/wire"
)

const (
	// retryWait is the first wait after a failed call; it doubles up to
	// longestRetryWait. Nodes with the same source wait longer, so that together they
	// make a call each retrySpacing at first and each longestSpacing in the end, but no
	// longer than sharedRetryWait: the answer that one of them gets is passed on to all.
	retryWait        = 100 * time.Millisecond
	longestRetryWait = 800 * time.Millisecond
	retrySpacing     = 30 * time.Millisecond
	longestSpacing   = 100 * time.Millisecond
	sharedRetryWait  = 2 * time.Second
	// maxDoublings of retryWait lead past any of the bounds above.
	maxDoublings = 8
	// callPatience is after how long a call that nobody answers fails; chosen, not measured.
	callPatience = 700 * time.Millisecond
)

// callDue is when the next call for changes may be due, zero while one is under way.
func (c *Core) callDue() time.Time {
	if c.calling {
		return time.Time{}
	}
	if c.upToDate() {
		return later(c.callAt, c.heardAt.Add(c.silence()))
	}
	return later(c.callAt, c.now)
}

// call makes the call that is due, one at a time.
func (c *Core) call() {
	if c.calling || c.now.Before(c.callAt) || c.upToDate() || c.beginStart() || c.askSubstitute() {
		return
	}
	c.calling, c.reading = true, c.revision == 0 || (c.whole || c.anew) && !c.asksForChanges()
	c.steppingIn = c.revision != 0 && c.tree.hasSource() && !c.heard()
	if c.failures > 0 {
		c.askHelper()
	}
	if c.reading {
		c.emit(Read{Known: c.revision, OnePage: c.revision == 0 && c.start.phase == startPage})
		return
	}
	c.emit(Poll{After: c.revision, Most: c.contents.worthReading()})
}

// asksForChanges reports whether a node that is to read everything asks for changes instead:
// after each second failure, so that it learns of them where only reads of everything fail.
func (c *Core) asksForChanges() bool { return c.failures > 0 && c.failures%2 == 0 }

// ended notes the end of a call and when the next may begin.
func (c *Core) ended(err error) {
	c.calling, c.reading = false, false
	if err == nil {
		c.failures = 0
		c.callAt = c.now.Add(c.interval())
		return
	}
	wait := min(c.firstWait()<<min(c.failures, maxDoublings), longestWait(c.callersBeside()))
	c.failures++
	c.failedAt = c.now
	c.callAt = c.now.Add(c.about(wait))
	c.askHelper()
}

// firstWait is the mean wait after the first failed call.
func (c *Core) firstWait() time.Duration {
	return max(retryWait, time.Duration(c.callersBeside())*retrySpacing)
}

// about returns a wait of half to one and a half of the mean.
func (c *Core) about(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(c.rand.Int64N(int64(mean)))
}

// answered notes that the store has answered another node, or another question of this one, that
// was asked at a time. Where this one's last call failed before that, the next one is due after no
// more than the first wait.
func (c *Core) answered(asked time.Time) {
	if c.calling || c.failures == 0 || !asked.After(c.failedAt) {
		return
	}
	if soon := c.now.Add(c.about(c.firstWait())); soon.Before(c.callAt) {
		c.callAt = soon
	}
}

// longestWait is the mean wait between failed calls of nodes that make the same ones; they
// wait from half of it to one and a half.
func longestWait(callers int) time.Duration {
	return min(max(longestRetryWait, time.Duration(callers)*longestSpacing), sharedRetryWait)
}

// callersBeside counts the nodes that make the same calls and would tell this one what they
// learn, this one included. Relays that the store fails say so each time; a node that hears
// of none for longer is cut off from them too, and waits for nobody.
func (c *Core) callersBeside() int {
	relays := len(c.tree.relays) + 1
	if c.now.Sub(c.hearsAt) > longestWait(relays)*3/2+callPatience {
		return 1
	}
	return c.tree.siblings
}

func (c *Core) interval() time.Duration {
	if c.tree.passesOn() {
		return c.cfg.RelayInterval
	}
	return c.cfg.Interval
}

func (c *Core) readDone(e ReadDone) {
	c.ended(e.Err)
	if c.stale {
		c.stale, c.callAt = false, c.now
		return
	}
	if e.Err != nil {
		c.tellAlive()
		return
	}
	if e.Large {
		c.pageWasNotAll()
		return
	}
	c.whole, c.anew = false, false
	if e.Revision < c.revision {
		// Relays have told more meanwhile.
		return
	}
	c.readAt = e.Began
	c.replace(e.Revision, e.Began, e.Pairs)
	c.prove(e.Began, c.provenRevision())
}

// replace takes everything that was in the store at a revision, as it was read at a time.
func (c *Core) replace(revision int64, read time.Time, pairs []wire.StoreChange) {
	after := c.contents.revision
	first := c.contents.empty()
	news := c.news(c.contents.replace(pairs, revision))
	c.revision, c.urgent = revision, false
	c.heardAt, c.knownAt = later(c.heardAt, read), later(c.knownAt, read)
	if first {
		c.start = start{}
		c.history.restart(revision)
		// Those that this node relays to learn at once that they miss what was read.
		c.passOn(revision, nil, c.steppingIn)
		if !c.isNew() {
			// Reading took long: what has changed since comes first.
			c.callAt = c.now
		}
		return
	}
	c.history.add(news, &c.contents)
	c.passOn(after, news, c.steppingIn)
}

func (c *Core) pollDone(e PollDone) {
	c.ended(e.Err)
	switch {
	case e.Err != nil:
		c.ask()
		c.tellAlive()
	case e.Compacted:
		// Calls for changes may hear nothing for a while around that, those of others too.
		c.anew, c.callAt = true, c.now
	case e.TooLong:
		// What is known stays: relays may close the gap before everything is read.
		c.whole, c.callAt = true, c.now
		if c.askRelay() {
			c.callAt = c.now.Add(answerWait)
		}
	default:
		c.urgent = false
		c.knownAt = later(c.knownAt, e.Began)
		after := c.revision
		news := c.take(e.Changes, e.Revision)
		c.apply(news, "")
		c.passOn(after, news, c.steppingIn)
	}
}
