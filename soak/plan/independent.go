package plan

import (
	"math/rand/v2"
	"slices"
	"time"
)

// drawIndependent draws faults of one kind with a mean time of gap between two, and applies
// change to each. It uses a random source of its own, so the other faults of the seed stay
// the same.
func drawIndependent(source rand.Source, size Size, kind Kind, gap time.Duration, change func(d *generator, f *Fault)) []Fault {
	d := &generator{random: rand.New(source), size: size}
	var faults []Fault
	for at := firstFaultAt; at < size.Span; at += d.exponentialGap(gap) {
		fault := d.drawFault(kind, at)
		change(d, &fault)
		faults = append(faults, fault)
	}
	return faults
}

// drawIndependentSeries draws series of faults of workers as drawIndependent draws single ones, with a mean time of gap
// between two series. stream tells its random source from those of other series of the seed.
func drawIndependentSeries(seed, stream uint64, size Size, gap time.Duration, change func(d *generator, f *Fault)) []Fault {
	var faults []Fault
	for _, first := range drawIndependent(rand.NewPCG(seed, stream), size, WorkerRestart, gap, func(*generator, *Fault) {}) {
		d := &generator{random: rand.New(rand.NewPCG(seed, uint64(first.At))), size: size}
		at := first.At
		for range 1 + d.random.IntN(maxSeriesLength) {
			fault := first
			fault.At = at
			change(d, &fault)
			faults = append(faults, fault)
			at += d.uniformDuration(0, 2*maxSeriesGap)
		}
	}
	return faults
}

// Parameters of the caller bursts.
const (
	// meanBurstGap is the mean time between two bursts.
	meanBurstGap = 8 * time.Second
	// minBurstRate and maxBurstRate bound the rate of a burst in calls per second, which is
	// four to thirty times what callers otherwise send to a node.
	minBurstRate = 50
	maxBurstRate = 360
)

// drawBursts draws caller bursts.
func drawBursts(seed uint64, size Size) []Fault {
	return drawIndependent(rand.NewPCG(seed, ^seed), size, CallerBurst, meanBurstGap, func(d *generator, f *Fault) {
		f.Rate = minBurstRate + d.random.IntN(maxBurstRate-minBurstRate)
	})
}

// Parameters of the worker restarts: meanRestartGap is the mean time between two, minRestartDowntime
// and maxRestartDowntime bound the downtime. The range covers workers that return before their
// store entry expires and workers that return after it.
const (
	meanRestartGap     = 6 * time.Second
	minRestartDowntime = 200 * time.Millisecond
	maxRestartDowntime = 5 * time.Second
)

// drawRestarts draws restarts of workers that keep their ids.
func drawRestarts(seed uint64, size Size) []Fault {
	return drawIndependent(rand.NewPCG(^seed, seed), size, WorkerRestart, meanRestartGap, func(d *generator, f *Fault) {
		f.For = d.uniformDuration(minRestartDowntime, maxRestartDowntime)
	})
}

// Parameters of the rate limits that workers announce: meanLimitGap is the mean time between two,
// minLimitLength and maxLimitLength bound how long a worker announces one, which is long enough
// to check that it is kept, and maxLimitRate is the highest limit in requests per second.
const (
	meanLimitGap   = 9 * time.Second
	minLimitLength = 8 * time.Second
	maxLimitLength = 16 * time.Second
	maxLimitRate   = 3
)

// drawLimits draws faults in which a worker announces a rate limit.
func drawLimits(seed uint64, size Size) []Fault {
	return drawIndependent(rand.NewPCG(^seed, ^seed), size, WorkerLimit, meanLimitGap, func(d *generator, f *Fault) {
		f.For, f.Rate = d.uniformDuration(minLimitLength, maxLimitLength), 1+d.random.IntN(maxLimitRate)
	})
}

// Parameters of the announced leaves: meanLeaveGap is the mean time between two, minLeaveLead and
// maxLeaveLead bound how long a worker's answers announce the leave before its store entry does.
const (
	meanLeaveGap = 12 * time.Second
	minLeaveLead = 5 * time.Second
	maxLeaveLead = 9 * time.Second
)

// drawLeaves draws workers whose answers announce that they leave long before their store entries do.
func drawLeaves(seed uint64, size Size) []Fault {
	return drawIndependent(rand.NewPCG(seed, 1), size, WorkerLeave, meanLeaveGap, func(d *generator, f *Fault) {
		f.Targets, f.For = f.Targets[:1], d.uniformDuration(minLeaveLead, maxLeaveLead)
	})
}

// Parameters of the load shedding by workers: meanShedGap is the mean time between two faults,
// minShedBackoff and maxShedBackoff bound the back-off that the worker asks for.
const (
	meanShedGap    = 10 * time.Second
	minShedBackoff = 1500 * time.Millisecond
	maxShedBackoff = 4 * time.Second
)

// drawSheds draws workers that reject all requests and ask for a back-off.
func drawSheds(seed uint64, size Size) []Fault {
	return drawIndependent(rand.NewPCG(seed, 2), size, WorkerShed, meanShedGap, func(d *generator, f *Fault) {
		f.Delay = d.uniformDuration(minShedBackoff, maxShedBackoff)
	})
}

// Parameters of the cuts between nodes and all workers: meanPartitionGap is the mean time between two,
// minPartitionLength and maxPartitionLength bound how long one lasts, which is long enough to check what
// callers get after the time within which nodes must have found another way.
const (
	meanPartitionGap   = 11 * time.Second
	minPartitionLength = 5 * time.Second
	maxPartitionLength = 10 * time.Second
)

// drawPartitions draws cuts of some nodes, of every second or third one, as a zone is, and of all but one.
func drawPartitions(seed uint64, size Size) []Fault {
	if size.Nodes < 2 {
		return nil
	}
	return drawIndependent(rand.NewPCG(seed, 3), size, PathHang, meanPartitionGap, func(d *generator, f *Fault) {
		f.Kind = pathKinds[d.random.IntN(len(pathKinds))]
		f.For = d.uniformDuration(minPartitionLength, maxPartitionLength)
		f.Targets = d.partitionTargets()
	})
}

// partitionTargets draws the nodes of a cut, in ascending order.
func (d *generator) partitionTargets() []int {
	nodes := d.size.Nodes
	chosen := d.random.Perm(nodes)
	switch d.random.IntN(3) {
	case 0:
		chosen = chosen[:1+d.random.IntN(nodes-1)]
	case 1:
		zones := 2 + d.random.IntN(2)
		zone := d.random.IntN(zones)
		chosen = slices.DeleteFunc(chosen, func(node int) bool { return node%zones != zone || len(chosen) == 1 })
	default:
		chosen = chosen[:nodes-1]
	}
	slices.Sort(chosen)
	return chosen
}

// Parameters of the brittle workers: meanBrittleGap is the mean time between two faults, minBrittleLength
// and maxBrittleLength bound how long one lasts, minBearable and maxBearable what a worker may turn away
// within a second.
const (
	meanBrittleGap   = 16 * time.Second
	minBrittleLength = 6 * time.Second
	maxBrittleLength = 12 * time.Second
	minBearable      = 2
	maxBearable      = 5
)

// drawBrittle draws services all of whose workers are brittle. Every fourth worker, from the first or the
// third on, belongs to one of the plain services.
func drawBrittle(seed uint64, size Size) []Fault {
	return drawIndependent(rand.NewPCG(seed, 4), size, WorkerBrittle, meanBrittleGap, func(d *generator, f *Fault) {
		f.For = d.uniformDuration(minBrittleLength, maxBrittleLength)
		f.Rate = minBearable + d.random.IntN(maxBearable-minBearable+1)
		f.Targets = nil
		for worker := 1 + 2*d.random.IntN(2); worker < size.Workers; worker += 4 {
			f.Targets = append(f.Targets, worker)
		}
		if f.Targets == nil {
			f.Targets = []int{}
		}
	})
}

// Parameters of the times in which most callers come to one node: meanSkewGap is the mean time between two,
// minSkewLength and maxSkewLength bound how long one lasts, longer than the node has to get used to it.
const (
	meanSkewGap   = 14 * time.Second
	minSkewLength = 6 * time.Second
	maxSkewLength = 9 * time.Second
)

// drawSkews draws times in which most callers come to one node.
func drawSkews(seed uint64, size Size) []Fault {
	return drawIndependent(rand.NewPCG(seed, 6), size, CallerSkew, meanSkewGap, func(d *generator, f *Fault) {
		f.For = d.uniformDuration(minSkewLength, maxSkewLength)
		f.Targets = f.Targets[:1]
	})
}

// Parameters of the short silences of sound workers: meanSilenceGap is the mean time between two,
// minSilenceLength and maxSilenceLength bound how long one lasts.
const (
	meanSilenceGap   = 7 * time.Second
	minSilenceLength = 700 * time.Millisecond
	maxSilenceLength = 1300 * time.Millisecond
)

// drawSilences draws short silences of sound workers.
func drawSilences(seed uint64, size Size) []Fault {
	return drawIndependent(rand.NewPCG(seed, 5), size, WorkerSilence, meanSilenceGap, func(d *generator, f *Fault) {
		f.For = d.uniformDuration(minSilenceLength, maxSilenceLength)
		f.Targets = f.Targets[:1]
	})
}

// Parameters of the returns of the store from a copy: meanRestoreGap is the mean time between two,
// minCopyAge and maxCopyAge bound the age of the copy, minRestoreAbsence and maxRestoreAbsence how long
// the store is away. A copy may be older than the last return.
const (
	meanRestoreGap    = 7 * time.Second
	minCopyAge        = 300 * time.Millisecond
	maxCopyAge        = 5 * time.Second
	minRestoreAbsence = 20 * time.Millisecond
	maxRestoreAbsence = 2500 * time.Millisecond
)

// drawRestores draws returns of the store from a copy.
func drawRestores(seed uint64, size Size) []Fault {
	return drawIndependent(rand.NewPCG(seed, 7), size, StoreRestore, meanRestoreGap, func(d *generator, f *Fault) {
		f.Delay, f.For = d.uniformDuration(minCopyAge, maxCopyAge), d.uniformDuration(minRestoreAbsence, maxRestoreAbsence)
	})
}
