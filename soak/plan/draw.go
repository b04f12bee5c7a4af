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
	// AllKilled is set for a run whose nodes are all killed at once, beside changes of the workers' software version.
	AllKilled bool
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
	if size.AllKilled && !size.Upgrades {
		schedule.Faults = append(schedule.Faults, drawAllKilled(seed, size)...)
		schedule.StreamEvents, schedule.TakeUps = killedStreamEvents, killedTakeUps
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
