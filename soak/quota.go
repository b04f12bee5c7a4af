package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the time in which a node may use its share of a core, and quotaLook how
	// often is looked at what it has used: it may use that much more.
	quotaPeriod = 100 * time.Millisecond
	quotaLook   = 4 * time.Millisecond
)

// quota holds one process to a share of a core: it runs until it has used its share of a
// period, and stands still for the rest of that.
type quota struct {
	share   time.Duration
	pid     int
	used    time.Duration
	began   time.Time
	stopped bool
}

// processorTime is what a process has used of the processors.
func processorTime(pid int) (time.Duration, error) {
	// The number of a process's own clock, as clock_getcpuclockid makes it.
	const scheduled = 2
	var used unix.Timespec
	err := unix.ClockGettime(int32(^pid<<3|scheduled), &used)
	return time.Duration(used.Nano()), err
}

// signal says what a process is to be sent at a time when it has used so much of the
// processors: zero for nothing. A period begins when the one before is over, and lets a process
// go on that used up its share.
func (q *quota) signal(now time.Time, used time.Duration) syscall.Signal {
	if now.Sub(q.began) >= quotaPeriod {
		q.began, q.used = now, used
		return q.resume()
	}
	if q.stopped || used-q.used < q.share {
		return 0
	}
	q.stopped = true
	return syscall.SIGSTOP
}

// resume has a process that was stopped go on.
func (q *quota) resume() syscall.Signal {
	if !q.stopped {
		return 0
	}
	q.stopped = false
	return syscall.SIGCONT
}

// send sends a signal, unless it is none. A process that has just ended needs none.
func (q *quota) send(signal syscall.Signal) {
	if signal != 0 {
		_ = syscall.Kill(q.pid, signal)
	}
}

// holdToShare holds all nodes to their share of a core until the context ends.
func (r *run) holdToShare(ctx context.Context) {
	share := r.options.Schedule.CoreShare
	if share <= 0 {
		return
	}
	ticker := time.NewTicker(quotaLook)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		for _, node := range r.nodes {
			node.meter.hold(node, time.Duration(share*float64(quotaPeriod)), ctx.Err() != nil)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// meter is the quota of a node's present process.
type meter struct {
	mu    sync.Mutex
	quota *quota
}

// hold looks at the present process, unless a fault has paused it; over ends that.
func (m *meter) hold(node *process, share time.Duration, over bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pid, running := node.runningPID()
	if m.quota != nil && (!running || m.quota.pid != pid) {
		m.quota = nil
	}
	if !running {
		return
	}
	if over {
		if m.quota != nil {
			m.quota.send(m.quota.resume())
		}
		return
	}
	if m.quota == nil {
		m.quota = &quota{share: share, pid: pid}
	}
	if used, err := processorTime(pid); err == nil {
		m.quota.send(m.quota.signal(time.Now(), used))
	}
}
