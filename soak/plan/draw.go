package plan

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the random fault generation.
const (
	// meanFaultGap is the mean time between two draws of a fault or series.
	meanFaultGap = 1100 * time.Millisecond
	// firstFaultAt leaves time for requests to run before the first fault.
	firstFaultAt = time.Second
	// maxFaultLength and minFaultLength bound how long an ordinary fault lasts.
	maxFaultLength = 4 * time.Second
	minFaultLength = 200 * time.Millisecond
	// longFaultShare is the share of faults that last up to maxLongFaultLength. They
	// end no later after the span than ordinary faults do.
	longFaultShare     = 0.1
	maxLongFaultLength = 10 * time.Second
	// maxDelay bounds the delay that a fault adds.
	maxDelay = 900 * time.Millisecond
	// seriesShare is the share of draws that yield a series of up to maxSeriesLength
	// faults of one kind, at most maxSeriesGap apart, so that they overlap or follow
	// each other closely.
	seriesShare     = 0.25
	maxSeriesLength = 4
	maxSeriesGap    = 1200 * time.Millisecond
	// allTargetsShare of the faults apply to all targets, severalTargetsShare to more than
	// one but not all.
	allTargetsShare     = 0.12
	severalTargetsShare = 0.25
	// unfencedShare is the share of seeds whose workers don't check fencing tokens.
	unfencedShare = 0.25
	// Of seedsPerReleases seeds in a row, one has workers of a single release.
	seedsPerReleases = 2
	// Of seedsPerHarmfulPart seeds in a row, one has requests with a part that crashes engines.
	seedsPerHarmfulPart = 3
)

// Size describes the run that a schedule is drawn for.
type Size struct {
	Nodes, Workers int
	Span           time.Duration
	// Upgrades is set for a run whose nodes start with an earlier build.
	Upgrades bool
	// Restores is set for a run whose store comes back from copies.
	Restores bool
	// LateEntries is set for a run whose workers start again before their entries say so.
	LateEntries bool
	// Surplus is set for a run whose workers send answers that nobody expects, or answers without end.
	Surplus bool
}

// generator draws the faults of one schedule.
type generator struct {
	random      *rand.Rand
	size        Size
	totalWeight int
}

// Draw returns the schedule of a seed. Equal seeds and sizes give equal schedules.
func Draw(seed uint64, size Size) Schedule {
	d := &generator{random: rand.New(rand.NewPCG(seed, seed)), size: size}
	for _, known := range kinds {
		d.totalWeight += known.weight
	}
	schedule := Schedule{
		Seed: seed, Nodes: size.Nodes, Workers: size.Workers, Span: size.Span,
		Fencing: d.random.Float64() >= unfencedShare,
	}
	for at := firstFaultAt; at < size.Span; at += d.exponentialGap(meanFaultGap) {
		schedule.Faults = append(schedule.Faults, d.drawSeries(at)...)
	}
	schedule.Faults = append(schedule.Faults, drawBursts(seed, size)...)
	if !size.Upgrades {
		// Earlier builds don't distinguish successive starts of one worker and ignore the
		// limits, leave announcements and back-off requests in workers' answers.
		schedule.Faults = append(schedule.Faults, drawRestarts(seed, size)...)
		schedule.Faults = append(schedule.Faults, drawLimits(seed, size)...)
		schedule.Faults = append(schedule.Faults, drawLeaves(seed, size)...)
		schedule.Faults = append(schedule.Faults, drawSheds(seed, size)...)
		schedule.Faults = append(schedule.Faults, drawPartitions(seed, size)...)
		schedule.Faults = append(schedule.Faults, drawBrittle(seed, size)...)
		schedule.Faults = append(schedule.Faults, drawSilences(seed, size)...)
	}
	if size.LateEntries && !size.Upgrades {
		schedule.Faults = append(schedule.Faults, drawLateEntries(seed, size)...)
	}
	if size.Surplus {
		schedule.Faults = append(schedule.Faults, drawSurplus(seed, size)...)
	}
	if size.Restores {
		schedule.Faults = append(schedule.Faults, drawRestores(seed, size)...)
	}
	schedule.HarmfulPart = !size.Upgrades && seed%seedsPerHarmfulPart == 1
	if size.Upgrades {
		drawUpgrades(&schedule)
	} else if seed%seedsPerReleases != 0 {
		// Earlier builds don't know that streams may not go on at another release.
		schedule.Releases = 2
		schedule.Faults = append(schedule.Faults, drawSkews(seed, size)...)
	}
	schedule.Faults = slices.DeleteFunc(schedule.Faults, func(f Fault) bool { return f.At >= size.Span })
	slices.SortStableFunc(schedule.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	protectStops(schedule.Faults)
	schedule.Faults = slices.DeleteFunc(schedule.Faults, func(f Fault) bool { return f.Targets != nil && len(f.Targets) == 0 })
	return schedule
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

// maxStopDuration is the longest that a planned stop may take: its grace period and the allowed
// overrun.
const maxStopDuration = 11 * time.Second

// protectStops removes kills and pauses that would interrupt every second planned stop, from
// the first on. Otherwise hardly any stop would complete and could be checked.
func protectStops(faults []Fault) {
	stops := 0
	for i := range faults {
		if faults[i].Kind != ProcessStop {
			continue
		}
		if stops++; stops%2 == 0 {
			continue
		}
		for j := range faults {
			other := &faults[j]
			disturbs := other.Kind == ProcessKill || other.Kind == ProcessPause
			if disturbs && other.End() >= faults[i].At && other.At <= faults[i].At+maxStopDuration {
				other.Targets = excludeTargets(other.Targets, faults[i].Targets)
			}
		}
	}
}

// excludeTargets returns the targets that are not in others.
func excludeTargets(targets, others []int) []int {
	return slices.DeleteFunc(slices.Clone(targets), func(target int) bool { return slices.Contains(others, target) })
}

// exponentialGap draws an exponentially distributed duration in whole milliseconds.
func (d *generator) exponentialGap(mean time.Duration) time.Duration {
	return time.Duration(d.random.ExpFloat64() * float64(mean)).Truncate(time.Millisecond)
}

// uniformDuration draws a uniformly distributed duration in whole milliseconds.
func (d *generator) uniformDuration(least, most time.Duration) time.Duration {
	return (least + time.Duration(d.random.Float64()*float64(most-least))).Truncate(time.Millisecond)
}

// drawSeries draws one fault, or several of the same kind, starting at the given time.
func (d *generator) drawSeries(at time.Duration) []Fault {
	kind := d.drawKind()
	count := 1
	if d.random.Float64() < seriesShare {
		count += 1 + d.random.IntN(maxSeriesLength-1)
	}
	faults := make([]Fault, 0, count)
	for range count {
		faults = append(faults, d.drawFault(kind, at))
		at += d.uniformDuration(0, maxSeriesGap)
	}
	return faults
}

// drawKind draws a kind with a probability proportional to its weight.
func (d *generator) drawKind() Kind {
	n := d.random.IntN(d.totalWeight)
	for _, known := range kinds {
		if n -= known.weight; n < 0 {
			return known.Kind
		}
	}
	return LinkReset
}

// drawFault draws the duration, link, targets and delay of a fault of the given kind.
func (d *generator) drawFault(kind Kind, at time.Duration) Fault {
	fault := Fault{At: at, Kind: kind}
	known, _ := lookUpKind(kind)
	if known.hasDuration {
		fault.For = d.faultLength(at)
	}
	switch known.class {
	case onLink:
		fault.Link = links[d.random.IntN(len(links))]
		count := d.size.Nodes
		if fault.Link == LinkWorker {
			count = d.size.Workers
		}
		fault.Targets = d.drawTargets(count)
	case onNodes:
		fault.Targets = d.drawTargets(d.size.Nodes)
	case onWorkers:
		fault.Targets = d.drawTargets(d.size.Workers)
	}
	if kind == LinkDelay || kind == StoreSlow || kind == WorkerLateOrders {
		fault.Delay = d.uniformDuration(minFaultLength/10, maxDelay)
	}
	return fault
}

// faultLength draws how long a fault that begins at the given time lasts.
func (d *generator) faultLength(at time.Duration) time.Duration {
	if d.random.Float64() >= longFaultShare {
		return d.uniformDuration(minFaultLength, maxFaultLength)
	}
	return min(d.uniformDuration(maxFaultLength, maxLongFaultLength), max(d.size.Span-at, 0)+maxFaultLength)
}

// drawTargets draws one, several or all of count targets, in ascending order.
func (d *generator) drawTargets(count int) []int {
	chosen := d.random.Perm(count)
	switch draw := d.random.Float64(); {
	case draw < allTargetsShare:
	case draw < allTargetsShare+severalTargetsShare && count > 2:
		chosen = chosen[:2+d.random.IntN(count-2)]
	default:
		chosen = chosen[:1]
	}
	slices.Sort(chosen)
	return chosen
}
