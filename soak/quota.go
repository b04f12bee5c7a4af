package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the period in which a node may use its share of a core.
	// quotaCheckInterval is the time between two checks of its usage, by which a node may
	// exceed the share.
	quotaPeriod        = 100 * time.Millisecond
	quotaCheckInterval = 4 * time.Millisecond
)

// quota limits one process to a share of a core. The process runs until it has used its share
// of a period and is suspended for the rest of it.
type quota struct {
	share       time.Duration
	pid         int
	usedAtStart time.Duration
	periodStart time.Time
	stopped     bool
}

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	// The clock ID of another process's CPU clock, computed as in clock_getcpuclockid.
	const scheduled = 2
	var used unix.Timespec
	err := unix.ClockGettime(int32(^pid<<3|scheduled), &used)
	return time.Duration(used.Nano()), err
}

// nextSignal returns the signal to send to the process, given the processor time that it has
// used until now; zero for none. A new period begins when the previous one is over and resumes
// a process that was suspended.
func (q *quota) nextSignal(now time.Time, used time.Duration) syscall.Signal {
	if now.Sub(q.periodStart) >= quotaPeriod {
		q.periodStart, q.usedAtStart = now, used
		return q.resume()
	}
	if q.stopped || used-q.usedAtStart < q.share {
		return 0
	}
	q.stopped = true
	return syscall.SIGSTOP
}

// resume returns the signal that resumes the process if it was suspended, and zero otherwise.
func (q *quota) resume() syscall.Signal {
	if !q.stopped {
		return 0
	}
	q.stopped = false
	return syscall.SIGCONT
}

// send sends a signal unless it is zero. It ignores errors, since the process may just have
// ended.
func (q *quota) send(signal syscall.Signal) {
	if signal != 0 {
		_ = syscall.Kill(q.pid, signal)
	}
}

// enforceCoreShare limits all nodes to their share of a core until the context ends.
func (r *run) enforceCoreShare(ctx context.Context) {
	share := r.options.Schedule.CoreShare
	if share <= 0 {
		return
	}
	ticker := time.NewTicker(quotaCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		for _, node := range r.nodes {
			node.meter.enforce(node, time.Duration(share*float64(quotaPeriod)), ctx.Err() != nil)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// quotaHolder holds the quota of a node's current process.
type quotaHolder struct {
	mu    sync.Mutex
	quota *quota
}

// enforce checks the quota of the node's current process, unless a fault has paused it. If
// over is set, it only resumes a suspended process.
func (m *quotaHolder) enforce(node *process, share time.Duration, over bool) {
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
		m.quota.send(m.quota.nextSignal(time.Now(), used))
	}
}
