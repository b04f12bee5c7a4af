package plan

import (
	"math/rand/v2"
	"slices"
	"time"
)

// How faults are drawn.
const (
	// meanGap is the mean time between two draws.
	meanGap = 1100 * time.Millisecond
	// firstAt lets requests run before the first fault.
	firstAt = time.Second
	// longest bounds how long a fault lasts, shortest is its least length.
	longest  = 4 * time.Second
	shortest = 200 * time.Millisecond
	// longShare of the faults last up to longLasting, but end as early as others.
	longShare   = 0.1
	longLasting = 10 * time.Second
	// longestDelay bounds what delays add.
	longestDelay = 900 * time.Millisecond
	// seriesShare of the draws make a series of up to seriesLength faults of one
	// kind, spaced by up to seriesGap, so that they overlap or follow each other.
	seriesShare  = 0.25
	seriesLength = 4
	seriesGap    = 1200 * time.Millisecond
	// allShare of the faults strike all targets, severalShare more than one.
	allShare     = 0.12
	severalShare = 0.25
	// unfencedShare of the seeds run workers that don't check fences.
	unfencedShare = 0.25
)

// Size is what a schedule is drawn for.
type Size struct {
	Nodes, Workers int
	Span           time.Duration
	// Upgrades is set for a run that begins with an earlier build.
	Upgrades bool
}

// drawer draws one schedule.
type drawer struct {
	random *rand.Rand
	size   Size
	total  int
}

// Draw returns the schedule of a seed. Equal seeds and sizes give equal schedules.
func Draw(seed uint64, size Size) Schedule {
	d := &drawer{random: rand.New(rand.NewPCG(seed, seed)), size: size}
	for _, known := range kinds {
		d.total += known.weight
	}
	schedule := Schedule{
		Seed: seed, Nodes: size.Nodes, Workers: size.Workers, Span: size.Span,
		Fencing: d.random.Float64() >= unfencedShare,
	}
	for at := firstAt; at < size.Span; at += d.gap(meanGap) {
		schedule.Faults = append(schedule.Faults, d.series(at)...)
	}
	schedule.Faults = append(schedule.Faults, drawLater(seed, size)...)
	if !size.Upgrades {
		// Earlier builds don't tell the starts of one worker from each other, nor read what
		// workers say of themselves.
		schedule.Faults = append(schedule.Faults, drawRestarts(seed, size)...)
		schedule.Faults = append(schedule.Faults, drawLimits(seed, size)...)
		schedule.Faults = append(schedule.Faults, drawLeaves(seed, size)...)
		schedule.Faults = append(schedule.Faults, drawSheds(seed, size)...)
	}
	if size.Upgrades {
		drawUpgrades(&schedule)
	}
	schedule.Faults = slices.DeleteFunc(schedule.Faults, func(f Fault) bool { return f.At >= size.Span })
	slices.SortStableFunc(schedule.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	spareStops(schedule.Faults)
	schedule.Faults = slices.DeleteFunc(schedule.Faults, func(f Fault) bool { return f.Targets != nil && len(f.Targets) == 0 })
	return schedule
}

// How faults of the later kinds are drawn.
const (
	// laterGap is the mean time between two of them.
	laterGap = 8 * time.Second
	// leastRate and mostRate bound the calls a second of a burst: four to thirty times what
	// callers send to a node else.
	leastRate = 50
	mostRate  = 360
)

// drawBeside draws faults of one kind, one after the other in a mean time of gap, and changes each.
func drawBeside(source rand.Source, size Size, kind Kind, gap time.Duration, change func(d *drawer, f *Fault)) []Fault {
	d := &drawer{random: rand.New(source), size: size}
	var faults []Fault
	for at := firstAt; at < size.Span; at += d.gap(gap) {
		fault := d.fault(kind, at)
		change(d, &fault)
		faults = append(faults, fault)
	}
	return faults
}

// drawLater draws the faults of the later kinds.
func drawLater(seed uint64, size Size) []Fault {
	return drawBeside(rand.NewPCG(seed, ^seed), size, CallerBurst, laterGap, func(d *drawer, f *Fault) {
		f.Rate = leastRate + d.random.IntN(mostRate-leastRate)
	})
}

// restartGap is the mean time between two restarts of workers, shortestAway and longestAway
// bound for how long they are away: from before their entry lapses until after it.
const (
	restartGap   = 6 * time.Second
	shortestAway = 200 * time.Millisecond
	longestAway  = 5 * time.Second
)

// drawRestarts draws workers that start again under their ids.
func drawRestarts(seed uint64, size Size) []Fault {
	return drawBeside(rand.NewPCG(^seed, seed), size, WorkerRestart, restartGap, func(d *drawer, f *Fault) {
		f.For = d.between(shortestAway, longestAway)
	})
}

// How limits are drawn: limitGap is the mean time between two, shortestLimit and longestLimit
// bound how long a worker names one, which is long enough to be judged, and mostLimit is the
// greatest, in requests a second.
const (
	limitGap      = 9 * time.Second
	shortestLimit = 8 * time.Second
	longestLimit  = 16 * time.Second
	mostLimit     = 3
)

// drawLimits draws workers that name a limit.
func drawLimits(seed uint64, size Size) []Fault {
	return drawBeside(rand.NewPCG(^seed, ^seed), size, WorkerLimit, limitGap, func(d *drawer, f *Fault) {
		f.For, f.Rate = d.between(shortestLimit, longestLimit), 1+d.random.IntN(mostLimit)
	})
}

// How leaves are drawn that the entry tells late: leaveGap is the mean time between two,
// shortestLeave and longestLeave bound by how much.
const (
	leaveGap      = 12 * time.Second
	shortestLeave = 5 * time.Second
	longestLeave  = 9 * time.Second
)

// drawLeaves draws workers whose answers say that they leave long before their entries do.
func drawLeaves(seed uint64, size Size) []Fault {
	return drawBeside(rand.NewPCG(seed, 1), size, WorkerLeave, leaveGap, func(d *drawer, f *Fault) {
		f.Targets, f.For = f.Targets[:1], d.between(shortestLeave, longestLeave)
	})
}

// How workers are drawn that turn requests away: shedGap is the mean time between two, shortestRest
// and longestRest bound the rest that they ask for.
const (
	shedGap      = 10 * time.Second
	shortestRest = 1500 * time.Millisecond
	longestRest  = 4 * time.Second
)

// drawSheds draws workers that turn all requests away and ask for rest.
func drawSheds(seed uint64, size Size) []Fault {
	return drawBeside(rand.NewPCG(seed, 2), size, WorkerShed, shedGap, func(d *drawer, f *Fault) {
		f.Delay = d.between(shortestRest, longestRest)
	})
}

// stopTime is how long a planned stop may take, with what is given beyond its grace time.
const stopTime = 11 * time.Second

// spareStops lets every second planned stop end: its processes are not killed or paused
// until then, else hardly any stop could be judged.
func spareStops(faults []Fault) {
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
			if disturbs && other.End() >= faults[i].At && other.At <= faults[i].At+stopTime {
				other.Targets = spared(other.Targets, faults[i].Targets)
			}
		}
	}
}

// spared returns the targets that are not among others.
func spared(targets, others []int) []int {
	return slices.DeleteFunc(slices.Clone(targets), func(target int) bool { return slices.Contains(others, target) })
}

// gap draws an exponential pause, in whole milliseconds.
func (d *drawer) gap(mean time.Duration) time.Duration {
	return time.Duration(d.random.ExpFloat64() * float64(mean)).Truncate(time.Millisecond)
}

// between draws an even time, in whole milliseconds.
func (d *drawer) between(least, most time.Duration) time.Duration {
	return (least + time.Duration(d.random.Float64()*float64(most-least))).Truncate(time.Millisecond)
}

// series draws one fault or several of the same kind.
func (d *drawer) series(at time.Duration) []Fault {
	kind := d.kind()
	count := 1
	if d.random.Float64() < seriesShare {
		count += 1 + d.random.IntN(seriesLength-1)
	}
	faults := make([]Fault, 0, count)
	for range count {
		faults = append(faults, d.fault(kind, at))
		at += d.between(0, seriesGap)
	}
	return faults
}

// kind draws a kind by weight.
func (d *drawer) kind() Kind {
	n := d.random.IntN(d.total)
	for _, known := range kinds {
		if n -= known.weight; n < 0 {
			return known.Kind
		}
	}
	return LinkReset
}

// fault draws the rest of a fault.
func (d *drawer) fault(kind Kind, at time.Duration) Fault {
	fault := Fault{At: at, Kind: kind}
	known, _ := describe(kind)
	if known.lasts {
		fault.For = d.length(at)
	}
	switch known.class {
	case onLink:
		fault.Link = links[d.random.IntN(len(links))]
		count := d.size.Nodes
		if fault.Link == LinkWorker {
			count = d.size.Workers
		}
		fault.Targets = d.targets(count)
	case onNodes:
		fault.Targets = d.targets(d.size.Nodes)
	case onWorkers:
		fault.Targets = d.targets(d.size.Workers)
	}
	if kind == LinkDelay || kind == StoreSlow || kind == WorkerLateOrders {
		fault.Delay = d.between(shortest/10, longestDelay)
	}
	return fault
}

// length draws how long a fault lasts.
func (d *drawer) length(at time.Duration) time.Duration {
	if d.random.Float64() >= longShare {
		return d.between(shortest, longest)
	}
	return min(d.between(longest, longLasting), max(d.size.Span-at, 0)+longest)
}

// targets draws one, several or all of count.
func (d *drawer) targets(count int) []int {
	chosen := d.random.Perm(count)
	switch draw := d.random.Float64(); {
	case draw < allShare:
	case draw < allShare+severalShare && count > 2:
		chosen = chosen[:2+d.random.IntN(count-2)]
	default:
		chosen = chosen[:1]
	}
	slices.Sort(chosen)
	return chosen
}
