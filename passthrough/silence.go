package passthrough

import (
	"sync"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/routing"
)

// Silence of a machine after which the core is asked whether another is to take the
// request.
const (
	// plainPatience and streamPatience are how many objectives the first byte
	// may take.
	plainPatience  = 1.3
	streamPatience = 1.5
	// minPatience and maxPatience bound both.
	minPatience = 150 * time.Millisecond
	maxPatience = 3 * time.Second
	// minStreamPatience bounds the wait for a stream's first event.
	minStreamPatience = 800 * time.Millisecond
	// pausePatience is how many of the longest pauses in time may pass between
	// two events, at least minPause.
	pausePatience = 2
	minPause      = 600 * time.Millisecond
	// askAgain spaces the questions during one silence: another machine may get room, and
	// the budget fills. As minPatience: an objective of 0.1 to 0.15 s is a usual one.
	askAgain = 150 * time.Millisecond
	// stoodStill is how late the timer fires at most in a process that runs; a later one
	// says that this process stood still, and what came meanwhile is yet to be read.
	stoodStill = 300 * time.Millisecond
)

// firstPatience is for how long the first byte is waited for.
func (a *attempt) firstPatience() time.Duration {
	patience := max(time.Duration(plainPatience*float64(a.route.Objective)), minPatience)
	if a.route.Kind == catalog.KindStream {
		patience = max(time.Duration(streamPatience*float64(a.route.Objective)), minStreamPatience)
	}
	return min(patience, maxPatience)
}

// nextPatience is for how long the next byte of a stream is waited for.
func (a *attempt) nextPatience() time.Duration {
	if !a.started {
		return a.firstPatience()
	}
	return max(pausePatience*a.route.LongestPause, minPause)
}

// watchdog tells the core each time that a machine has said nothing for too long. It ends
// no attempt: only the core knows whether another may follow, and an attempt that is ended
// without one ends the answer, at a machine that may only be slow.
type watchdog struct {
	attempt  *attempt
	mu       sync.Mutex
	timer    *time.Timer
	patience time.Duration
	// told is set once the log was told of the present silence.
	told bool
	// armed is when the present silence began to be counted, or was last told of, by the
	// steady clock: while this machine is suspended, no other one is silent.
	armed time.Time
	// paused is set while what came is passed on, quiet once nobody waits any more.
	paused, quiet bool
}

// watch begins to watch the attempt; nothing is watched where no other may follow.
func (a *attempt) watch() {
	a.watchdog = &watchdog{attempt: a, quiet: a.decision.Final || a.route.Objective <= 0}
	a.watchdog.wait(a.firstPatience())
}

// wait counts the silence anew.
func (w *watchdog) wait(patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.quiet {
		return
	}
	w.patience, w.told, w.paused = patience, false, false
	w.arm(patience)
}

// pause counts no silence until the next wait: a caller who reads slowly holds up what
// passes the answer on, not the machine.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// arm sets the timer. The caller holds the mutex.
func (w *watchdog) arm(after time.Duration) {
	w.armed = time.Now()
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.expired)
		return
	}
	w.timer.Reset(after)
}

// stop ends the watch, if there is one.
func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// expired asks whether another machine is to take the request, and goes on asking.
func (w *watchdog) expired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	counted, wanted := time.Since(w.armed), w.patience
	if w.told {
		wanted = askAgain
	}
	switch {
	case w.paused, w.quiet:
		return
	case counted < wanted, counted > wanted+stoodStill, w.attempt.conn.Sending():
		// The silence is over, or it is this process or the request's own body that
		// took the time: it is counted anew.
		w.arm(w.patience)
		return
	}
	decision := &w.attempt.decision
	if !w.told {
		w.told = true
		w.attempt.Log.Write(eventlog.AttemptSilent{
			Request: decision.Request, Attempt: decision.Attempt, Machine: decision.Machine, Silent: counted,
		})
	}
	w.attempt.Decider.Report(routing.AttemptSilent{Request: decision.Request, Attempt: decision.Attempt})
	w.arm(askAgain)
}
