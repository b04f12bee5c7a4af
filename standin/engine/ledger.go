package engine

import (
	"sync"

	"github.com/valveslip/valveslip/cluster"
)

// Ledger is a Recorder that counts the runs of each prompt over all the engines
// that share it. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[uint64]int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[uint64]int{}} }

// Ran implements Recorder.
func (l *Ledger) Ran(_ cluster.RequestID, _ cluster.Attempt, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[seed]++
}

// Runs returns the number of runs of the prompt with the seed.
func (l *Ledger) Runs(seed uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[seed]
}

// Count returns the number of runs of each prompt, in the order of the seeds.
func (l *Ledger) Count(seeds []uint64) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make([]int, len(seeds))
	for i, seed := range seeds {
		counts[i] = l.runs[seed]
	}
	return counts
}

// Total returns the number of runs of all prompts.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, runs := range l.runs {
		total += runs
	}
	return total
}
