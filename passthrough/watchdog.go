package passthrough

import (
	"io"
	"sync"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/reachability"
	"github.com/valveslip/valveslip/routing"
)

// Limits on the silence of a machine. After them the router is asked whether another machine
// should take the request.
const (
	// plainTimeoutFactor and streamTimeoutFactor are the timeouts for the first byte, as a
	// multiple of the objective.
	plainTimeoutFactor  = 1.3
	streamTimeoutFactor = 1.5
	// minSilenceTimeout and maxSilenceTimeout bound both timeouts.
	minSilenceTimeout = 150 * time.Millisecond
	maxSilenceTimeout = 3 * time.Second
	// minStreamSilenceTimeout is the lower bound for the first event of a stream.
	minStreamSilenceTimeout = 800 * time.Millisecond
	// pauseTimeoutFactor is the timeout between two events, as a multiple of the longest pause
	// that is in time. minPauseTimeout is its lower bound.
	pauseTimeoutFactor = 2
	minPauseTimeout    = 600 * time.Millisecond
	// reportInterval is the time between two reports of the same silence: another machine may have
	// capacity by then, and the retry budget refills. It equals minSilenceTimeout because
	// objectives of 0.1 to 0.15 s are common.
	reportInterval = 150 * time.Millisecond
	// minBodyProgress is how many bytes of a buffered answer, or of an incomplete event, must come within a timeout
	// so that the machine does not count as silent: 27 KB/s at the shortest timeout.
	minBodyProgress = 4 << 10
	// maxTimerDelay is the largest delay of the timer in a process that runs normally. A larger
	// delay means that this process was stopped, and that input which arrived in the meantime is
	// still unread.
	maxTimerDelay = 300 * time.Millisecond
)

// firstByteTimeout returns how long to wait for the first byte of the answer.
func (a *attempt) firstByteTimeout() time.Duration {
	timeout := max(time.Duration(plainTimeoutFactor*float64(a.route.Objective)), minSilenceTimeout)
	if a.route.Kind == catalog.KindStream {
		timeout = max(time.Duration(streamTimeoutFactor*float64(a.route.Objective)), minStreamSilenceTimeout)
	}
	return min(timeout, maxSilenceTimeout)
}

// nextByteTimeout returns how long to wait for the next byte of a stream.
func (a *attempt) nextByteTimeout() time.Duration {
	if !a.headSent {
		return a.firstByteTimeout()
	}
	return max(pauseTimeoutFactor*a.route.LongestPause, minPauseTimeout)
}

// watchdog reports each silence of a machine that lasts too long to the router. It does not end
// the attempt itself. Only the router knows whether another attempt may follow; without one,
// ending the attempt would end the answer of a machine that may only be slow.
type watchdog struct {
	attempt *attempt
	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	// logged is true once the current silence has been logged.
	logged bool
	// armedAt is when the current silence began or was last reported, on the monotonic clock:
	// while this machine is suspended, the silence of other machines must not count.
	armedAt time.Time
	// inBody is true once the head of an answer has come that is buffered: a slow body says nothing about the path.
	inBody bool
	// paused is true while received data is relayed, stopped once the watchdog has ended.
	paused, stopped bool
}

// startWatchdog starts the watchdog of the attempt. It is inactive if no other attempt may follow
// or the route has no objective. The silence of a probe allows another probe.
func (a *attempt) startWatchdog() {
	needless := a.decision.Final && !a.decision.Probe
	a.watchdog = &watchdog{attempt: a, stopped: needless || a.route.Objective <= 0}
	a.watchdog.restart(a.firstByteTimeout())
}

// restart starts a new silence with the given timeout.
func (w *watchdog) restart(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timeout, w.logged, w.paused = timeout, false, false
	w.arm(timeout)
}

// pause suspends the watchdog until the next restart. While data is relayed, a caller that reads
// slowly causes the delay, not the machine.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// watchBody starts a new silence, and returns a body whose reads start another one with each minBodyProgress bytes. A
// machine that writes a byte at a time counts as silent.
func (w *watchdog) watchBody(body io.Reader) io.Reader {
	w.mu.Lock()
	w.inBody = true
	w.mu.Unlock()
	w.restart(w.attempt.firstByteTimeout())
	return &watchedBody{Reader: body, watchdog: w}
}

// watchedBody is the body of an answer that is buffered.
type watchedBody struct {
	io.Reader
	watchdog *watchdog
	// read counts the bytes since the last restart of the watchdog.
	read int
}

// Read implements io.Reader.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	if b.read += n; b.read >= minBodyProgress {
		b.read = 0
		b.watchdog.restart(b.watchdog.attempt.firstByteTimeout())
	}
	return n, err
}

// arm sets the timer. The caller must hold the mutex.
func (w *watchdog) arm(after time.Duration) {
	w.armedAt = time.Now()
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.expired)
		return
	}
	w.timer.Reset(after)
}

// stop ends the watchdog. It does nothing on a nil receiver.
func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// expired reports the silence to the router and repeats the report every reportInterval.
func (w *watchdog) expired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	silence, required := time.Since(w.armedAt), w.timeout
	if w.logged {
		required = reportInterval
	}
	switch {
	case w.paused, w.stopped:
		return
	case silence < required, silence > required+maxTimerDelay, w.attempt.conn.Sending(), w.attempt.conn.HasUnread():
		// The silence has ended, or it was caused by this process, which has not read what arrived, or by
		// the upload of the request body: the timeout starts again.
		w.arm(w.timeout)
		return
	}
	decision := &w.attempt.decision
	if !w.logged {
		w.logged = true
		w.attempt.Log.Write(eventlog.AttemptSilent{
			Request: decision.Request, Attempt: decision.Attempt, Machine: decision.Machine, Silent: silence,
		})
		if !w.inBody {
			w.attempt.recordPathFailure(reachability.Silence, errSilent)
		}
	}
	w.attempt.Decider.Report(routing.AttemptSilent{Request: decision.Request, Attempt: decision.Attempt})
	w.arm(reportInterval)
}
