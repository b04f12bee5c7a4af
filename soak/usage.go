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
	// usagePause spaces looks at what the run takes of the machine.
	usagePause = time.Second
	// stallTick is how often the run looks at its clock for a stall.
	stallTick = 50 * time.Millisecond
)

// Usage is the most that a run took of the machine at once.
type Usage struct {
	// Files are those open in the soak's own process, where proxies, callers and
	// stand-ins live.
	Files int `json:"files"`
	// OwnMB and NodesMB are resident memory, NodesMB that of all nodes together.
	OwnMB   int `json:"own_mb"`
	NodesMB int `json:"nodes_mb"`
	// NodeFiles are the most files that one node had open.
	NodeFiles int `json:"node_files"`
	// Stall is the longest time for which the soak's process itself was late: what it
	// was kept waiting for the processor. Far above a second, times are not to be relied on.
	Stall time.Duration `json:"stall"`
}

// usageMeter measures a run's usage.
type usageMeter struct {
	mu   sync.Mutex
	most Usage
}

// watch measures until the context ends.
func (m *usageMeter) watch(ctx context.Context, pids func() []int) {
	var both sync.WaitGroup
	both.Go(func() { m.watchStalls(ctx) })
	both.Go(func() {
		for ctx.Err() == nil {
			m.add(measure(pids()))
			pauseWithin(ctx, usagePause)
		}
	})
	both.Wait()
}

// watchStalls notes how much longer than asked for short pauses last.
func (m *usageMeter) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		pauseWithin(ctx, stallTick)
		m.add(Usage{Stall: max(time.Since(began)-stallTick, 0)})
	}
}

// add takes one measurement in.
func (m *usageMeter) add(now Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.most = Usage{
		Files: max(m.most.Files, now.Files), NodeFiles: max(m.most.NodeFiles, now.NodeFiles),
		OwnMB: max(m.most.OwnMB, now.OwnMB), NodesMB: max(m.most.NodesMB, now.NodesMB),
		Stall: max(m.most.Stall, now.Stall),
	}
}

// peak returns the most so far.
func (m *usageMeter) peak() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most
}

// measure looks at this process and at the nodes; one that has just ended counts zero.
func measure(pids []int) Usage {
	now := Usage{Files: openFiles(os.Getpid()), OwnMB: residentMB(os.Getpid())}
	for _, pid := range pids {
		now.NodesMB += residentMB(pid)
		now.NodeFiles = max(now.NodeFiles, openFiles(pid))
	}
	return now
}

// procPath is a file on a process.
func procPath(pid int, name string) string { return filepath.Join("/proc", strconv.Itoa(pid), name) }

// openFiles counts the open files of a process.
func openFiles(pid int) int {
	entries, err := os.ReadDir(procPath(pid, "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// residentMB is the memory of a process in megabytes of 2^20 bytes.
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

// pauseWithin waits for a time or the context's end.
func pauseWithin(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// pids lists the nodes' processes that run.
func (r *run) pids() []int {
	var running []int
	for _, node := range r.nodes {
		if pid, runs := node.pid(); runs {
			running = append(running, pid)
		}
	}
	return running
}

// runningPID returns the number of the node's process unless a fault has paused it.
func (p *process) runningPID() (int, bool) {
	pid, running := p.pid()
	p.mu.Lock()
	defer p.mu.Unlock()
	return pid, running && p.pauses == 0
}

// pid returns the number of the node's process, and whether one runs.
func (p *process) pid() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0, false
	}
	return p.command.Process.Pid, true
}
