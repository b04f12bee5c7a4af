package soak

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// usageInterval is the time between two measurements.
	usageInterval = time.Second
	// stallCheckInterval is the length of the sleeps whose delay is measured to detect stalls.
	stallCheckInterval = 50 * time.Millisecond
	// scarceFilesShare is the share of the limit of open files from which on bursts send no more calls, and
	// filesCheckInterval the time between two looks at it.
	scarceFilesShare   = 0.6
	filesCheckInterval = 50 * time.Millisecond
)

// Usage holds the maximum of each resource that a run used at any time.
type Usage struct {
	// Files is the number of open files of the soak's own process, which contains the proxies,
	// callers and simulated services.
	Files int `json:"files"`
	// OwnMB is the resident memory of the soak's own process, NodesMB that of all nodes
	// together.
	OwnMB   int `json:"own_mb"`
	NodesMB int `json:"nodes_mb"`
	// NodeFiles is the highest number of open files of a single node.
	NodeFiles int `json:"node_files"`
	// Stall is the longest delay of the soak's own process while it waited for the processor.
	// If it is far above a second, times of the run are unreliable.
	Stall time.Duration `json:"stall"`
}

// usageMeter measures the resource usage of a run. It is safe for concurrent use.
type usageMeter struct {
	mu      sync.Mutex
	maximum Usage
}

// watch measures until the context ends.
func (m *usageMeter) watch(ctx context.Context, pids func() []int) {
	var both sync.WaitGroup
	both.Go(func() { m.watchStalls(ctx) })
	both.Go(func() {
		for ctx.Err() == nil {
			m.add(measureUsage(pids()))
			sleepContext(ctx, usageInterval)
		}
	})
	both.Wait()
}

// watchStalls records how much longer than requested short sleeps last.
func (m *usageMeter) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		sleepContext(ctx, stallCheckInterval)
		m.add(Usage{Stall: max(time.Since(began)-stallCheckInterval, 0)})
	}
}

// watchFiles keeps track of whether the open files of the soak's own process come close to their limit, until
// the context ends. The connections of calls that have ended stay open at the proxies for as long as their node
// is paused, so that a limit of open calls alone does not bound them.
func (r *run) watchFiles(ctx context.Context, limit uint64) {
	for ctx.Err() == nil {
		r.filesScarce.Store(float64(openFiles(os.Getpid())) > scarceFilesShare*float64(limit))
		sleepContext(ctx, filesCheckInterval)
	}
}

// add merges one measurement into the maximum.
func (m *usageMeter) add(now Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maximum = Usage{
		Files: max(m.maximum.Files, now.Files), NodeFiles: max(m.maximum.NodeFiles, now.NodeFiles),
		OwnMB: max(m.maximum.OwnMB, now.OwnMB), NodesMB: max(m.maximum.NodesMB, now.NodesMB),
		Stall: max(m.maximum.Stall, now.Stall),
	}
}

// peak returns the maximum of each figure so far.
func (m *usageMeter) peak() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maximum
}

// measureUsage measures this process and the nodes. A process that has just ended counts as
// zero.
func measureUsage(pids []int) Usage {
	now := Usage{Files: openFiles(os.Getpid()), OwnMB: residentMB(os.Getpid())}
	for _, pid := range pids {
		now.NodesMB += residentMB(pid)
		now.NodeFiles = max(now.NodeFiles, openFiles(pid))
	}
	return now
}

// procPath returns the path of a file of a process under /proc.
func procPath(pid int, name string) string { return filepath.Join("/proc", strconv.Itoa(pid), name) }

// openFiles returns the number of open files of a process, zero if it can't be read.
func openFiles(pid int) int {
	entries, err := os.ReadDir(procPath(pid, "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// residentMB returns the resident memory of a process in megabytes of 2^20 bytes, zero if it
// can't be read.
func residentMB(pid int) int {
	text, err := os.ReadFile(procPath(pid, "statm"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// sleepContext waits for the given time or until the context ends.
func sleepContext(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// pids returns the process IDs of the running nodes.
func (r *run) pids() []int {
	var running []int
	for _, node := range r.nodes {
		if pid, runs := node.pid(); runs {
			running = append(running, pid)
		}
	}
	return running
}

// runningPID returns the process ID of the node, and false if none runs or a fault has paused
// it.
func (p *process) runningPID() (int, bool) {
	pid, running := p.pid()
	p.mu.Lock()
	defer p.mu.Unlock()
	return pid, running && p.pauses == 0
}

// pid returns the process ID of the node, and false if none runs.
func (p *process) pid() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0, false
	}
	return p.command.Process.Pid, true
}
