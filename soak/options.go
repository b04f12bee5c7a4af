package soak

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/valveslip/valveslip/soak/plan"
)

// Limits and defaults of a run.
const (
	// MaxNodes limits the number of node processes.
	MaxNodes = 200
	// nodeMemoryBytes is the memory allowed per node, including what the soak itself needs for
	// it. Resident memory was 39 MB per node with 150 nodes, and 45 MB with 60 nodes at 12
	// requests per second each, of which the nodes themselves took 34 and 35 MB; the rest is a
	// reserve. All nodes together must fit into half of the machine's memory.
	nodeMemoryBytes = 72 << 20
	// maxCallFiles limits the open files of the soak's own process for calls, filesPerNode
	// those for anything else per node. Usage is highest at the end of a pause of all nodes.
	// After a pause of 10 s, 104 nodes took 16,574 files: 6,300 for 2,100 open calls with
	// three each, and 99 per node, since all nodes are then asked for all models at once.
	// Connections between nodes grow with their number, and 120 nodes reached a limit of
	// 20,000, so the value has a reserve of a third. The total must fit into the limit that
	// the process was started with, which it does not raise.
	maxCallFiles = 6500
	filesPerNode = 135
	// filesPerCall is the number of files of an open call: the caller's connection and both
	// ends at the proxy. With few nodes there are few calls: 60 runs with 4 nodes took at most
	// 1,400 files.
	filesPerCall = 3
	// startAllowance and endAllowance are the parts of the duration reserved for the start and
	// for recovery and shutdown. Faults are injected in the rest.
	startAllowance = 3 * time.Second
	endAllowance   = 19 * time.Second
	// MinDuration is the shortest run that leaves time for faults.
	MinDuration = 30 * time.Second
	// defaultWorkers is the number of simulated workers in a drawn schedule.
	defaultWorkers = 6
	// AllKilledWorkers is that number where all nodes are killed at once, so that several workers of each software
	// version serve.
	AllKilledWorkers = 12
)

// Options configure a run.
type Options struct {
	Schedule plan.Schedule
	// Duration is the time limit of the faults and of the recovery from them. The limits that
	// workers announce last follow; they take finalLimitTime.
	Duration time.Duration
	// AwaitJudgement is how long the run goes on at most until each promise that it tested can be judged. On a busy
	// machine nodes serve less, and the checks have fewer observations.
	AwaitJudgement time.Duration
	// Binary is the program that the nodes run. From is an earlier build that they start with;
	// empty for none.
	Binary, From string
	// LogDir is the directory for the settings and logs of the processes.
	LogDir string
	// Tick is called once a second.
	Tick func()
}

// Size returns the size to draw a schedule for, given the number of nodes and the duration of
// the run.
func Size(nodes int, duration time.Duration) (plan.Size, error) {
	if duration < MinDuration {
		return plan.Size{}, eris.Errorf("duration: a run needs at least %s", MinDuration)
	}
	if err := checkNodeLimits(nodes); err != nil {
		return plan.Size{}, err
	}
	return plan.Size{Nodes: nodes, Workers: defaultWorkers, Span: duration - startAllowance - endAllowance}, nil
}

// DurationOf returns how long a run of a schedule may take.
func DurationOf(schedule *plan.Schedule) time.Duration {
	return schedule.Span + startAllowance + endAllowance
}

// checkNodeLimits returns an error if this machine can't run the given number of nodes.
func checkNodeLimits(nodes int) error {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return eris.Wrap(err, "read the machine's memory size")
	}
	files, err := fileLimit()
	if err != nil {
		return err
	}
	return checkNodeCount(nodes, uint64(info.Totalram)*uint64(info.Unit), files)
}

// fileLimit returns the limit of open files of this process.
func fileLimit() (uint64, error) {
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return 0, eris.Wrap(err, "read the limit of open files")
	}
	return files.Cur, nil
}

// checkNodeCount returns an error if a machine with the given memory in bytes and limit of
// open files per process can't run the given number of nodes.
func checkNodeCount(nodes int, memory, files uint64) error {
	byMemory, byFiles := memory/2/nodeMemoryBytes, maxNodesForFiles(files)
	switch {
	case nodes < 1:
		return eris.New("nodes: must be positive")
	case nodes > MaxNodes:
		return eris.Errorf("nodes: at most %d processes are supported", MaxNodes)
	case uint64(nodes) > byMemory:
		return eris.Errorf("nodes: at most %d, since each may take %d MB and all together half of the machine's memory", byMemory, nodeMemoryBytes>>20)
	case nodes > byFiles:
		return eris.Errorf("nodes: at most %d, since one more could need %d open files in all, and the limit of the soak's process is %d",
			byFiles, filesNeeded(byFiles+1), files)
	}
	return nil
}

// filesNeeded returns how many files the soak's process may have open for the given number of
// nodes and the calls to them.
func filesNeeded(nodes int) uint64 {
	calls := filesPerCall * nodes * maxOpenCalls(nodes)
	return uint64(min(calls, maxCallFiles) + nodes*filesPerNode)
}

// maxNodesForFiles returns how many nodes, up to MaxNodes, a limit of open files suffices for.
func maxNodesForFiles(files uint64) int {
	nodes := 0
	for nodes < MaxNodes && filesNeeded(nodes+1) <= files {
		nodes++
	}
	return nodes
}
