package soak

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/valveslip/valveslip/soak/plan"
)

// Limits of a run.
const (
	// MaxNodes bounds the processes.
	MaxNodes = 200
	// nodeMemory is the memory in bytes that a node may take, with what the soak itself
	// takes for it. Resident were 39 MB a node with 150 nodes, and 45 with 60 that got 12
	// requests a second each, of them 34 and 35 in the node; the rest is a reserve. All
	// must fit into half of the machine's memory.
	nodeMemory = 72 << 20
	// callFiles and nodeFiles are how many open files of the soak's own process calls may
	// take at most, and each node besides. They are most at the end of
	// a time for which all nodes stood still: after 10 s of that 104 nodes took 16,574, of
	// them 6,300 for 2,100 calls under way, three each, and 99 for each node, as all are
	// then asked for all models at once. As nodes have more connections between them the
	// more they are, and 120 met a limit of 20,000, a third is added. All must fit into the
	// limit that the process was started with, which it does not raise.
	callFiles = 6500
	nodeFiles = 135
	// filesPerCall of a call under way are its connection at the caller and both ends at the
	// proxy. Few nodes have few calls: the 60 runs with 4 nodes took 1,400 files at most.
	filesPerCall = 3
	// startAllowance and endAllowance of the duration are kept for the start and for
	// the recovery and end, so that faults have what is left.
	startAllowance = 3 * time.Second
	endAllowance   = 19 * time.Second
	// MinDuration leaves some time for faults.
	MinDuration = 30 * time.Second
	// defaultWorkers is how many workers' stand-ins a schedule is drawn for.
	defaultWorkers = 6
)

// Options of a run.
type Options struct {
	Schedule plan.Schedule
	// Duration bounds the whole run.
	Duration time.Duration
	// Binary is the program whose nodes are run, From an earlier build that they begin with;
	// empty for none.
	Binary, From string
	// LogDir keeps the settings and logs of the processes.
	LogDir string
	// Tick is called once a second.
	Tick func()
}

// Size is what a schedule for a run is drawn for.
func Size(nodes int, duration time.Duration) (plan.Size, error) {
	if duration < MinDuration {
		return plan.Size{}, eris.Errorf("a run takes at least %s", MinDuration)
	}
	if err := checkNodes(nodes); err != nil {
		return plan.Size{}, err
	}
	return plan.Size{Nodes: nodes, Workers: defaultWorkers, Span: duration - startAllowance - endAllowance}, nil
}

// DurationOf is how long a run of a schedule may take.
func DurationOf(schedule *plan.Schedule) time.Duration {
	return schedule.Span + startAllowance + endAllowance
}

// checkNodes refuses more processes than the machine bears.
func checkNodes(nodes int) error {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return eris.Wrap(err, "memory of the machine")
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return eris.Wrap(err, "limit of open files")
	}
	return bearable(nodes, uint64(info.Totalram)*uint64(info.Unit), files.Cur)
}

// bearable refuses more processes than a machine bears that has so much memory and lets a
// process open so many files.
func bearable(nodes int, memory, files uint64) error {
	byMemory, byFiles := memory/2/nodeMemory, nodesWithin(files)
	switch {
	case nodes < 1:
		return eris.New("nodes: must be positive")
	case nodes > MaxNodes:
		return eris.Errorf("nodes: at most %d processes are run", MaxNodes)
	case uint64(nodes) > byMemory:
		return eris.Errorf("nodes: at most %d, as each may take %d MB and all half of the machine's memory", byMemory, nodeMemory>>20)
	case nodes > byFiles:
		return eris.Errorf("nodes: at most %d, as one more may take %d open files with its calls, and the soak is allowed %d",
			byFiles, filesOf(byFiles+1), files)
	}
	return nil
}

// filesOf is how many files so many nodes and the calls to them may have open.
func filesOf(nodes int) uint64 {
	calls := filesPerCall * nodes * maxCalls(nodes)
	return uint64(min(calls, callFiles) + nodes*nodeFiles)
}

// nodesWithin counts the nodes, up to MaxNodes, for which so many open files are enough.
func nodesWithin(files uint64) int {
	nodes := 0
	for nodes < MaxNodes && filesOf(nodes+1) <= files {
		nodes++
	}
	return nodes
}
