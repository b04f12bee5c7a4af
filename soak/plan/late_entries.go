package plan

import "time"

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
	return drawIndependentSeries(seed, 8, size, meanLateEntryGap, func(d *generator, f *Fault) {
		f.Kind, f.For, f.Delay = WorkerLateEntry, d.uniformDuration(minLateDowntime, maxLateDowntime), d.uniformDuration(0, maxEntryDelay)
		f.Targets = []int{2 * d.random.IntN((size.Workers+1)/2)}
	})
}
