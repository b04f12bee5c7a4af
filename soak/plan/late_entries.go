package plan

import (
	"math/rand/v2"
	"time"
)

// Parameters of the starts of workers that are not in their entries yet: meanLateEntryGap is the mean time between
// two series, minLateDowntime and maxLateDowntime bound the downtime, maxEntryDelay the time until the entry is
// written.
const (
	meanLateEntryGap = 4 * time.Second
	minLateDowntime  = 100 * time.Millisecond
	maxLateDowntime  = 1500 * time.Millisecond
	maxEntryDelay    = 3 * time.Second
)

// drawLateEntries draws series of starts of engines that are not in their entries yet. Engines have the even numbers.
func drawLateEntries(seed uint64, size Size) []Fault {
	var faults []Fault
	for _, first := range drawIndependent(rand.NewPCG(seed, 8), size, WorkerLateEntry, meanLateEntryGap, func(*generator, *Fault) {}) {
		d := &generator{random: rand.New(rand.NewPCG(seed, uint64(first.At))), size: size}
		at := first.At
		for range 1 + d.random.IntN(maxSeriesLength) {
			fault := first
			fault.At, fault.For, fault.Delay = at, d.uniformDuration(minLateDowntime, maxLateDowntime), d.uniformDuration(0, maxEntryDelay)
			fault.Targets = []int{2 * d.random.IntN((size.Workers+1)/2)}
			faults = append(faults, fault)
			at += d.uniformDuration(0, 2*maxSeriesGap)
		}
	}
	return faults
}
