package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the kills of all nodes. One comes soon after the last, or so late that the releases of before no longer
// count; closeShare of them come soon. killSeriesShare of the kills are followed by another one at once.
const (
	meanKillGap     = time.Second
	minCloseKillGap = 2500 * time.Millisecond
	minFarKillGap   = 12 * time.Second
	closeShare      = 0.5
	killSeriesShare = 0.25
	maxKillSpread   = 30 * time.Millisecond
	minKillDowntime = 200 * time.Millisecond
	maxKillDowntime = 1500 * time.Millisecond
	// killedStreamEvents makes streams last for 2 s, so that many are older than the interval at which their origins
	// are stored. killedTakeUps is how often callers try to take one up.
	killedStreamEvents = 50
	killedTakeUps      = 14
)

// Parameters of the changes of the workers' software version beside the kills. The later one comes up to maxComeTime
// before the kill or after the return, the earlier one leaves up to maxLeaveTime before or after.
const (
	maxComeTime  = time.Second
	maxLeaveTime = 1500 * time.Millisecond
	// unchangedShare of the kills come without a change, stayingShare of the changes leave workers of the earlier
	// version, and in backShare the later one comes before the kill and leaves while no node runs.
	unchangedShare = 0.2
	stayingShare   = 0.3
	backShare      = 0.3
	// firstKillRelease is the number of the first version that comes, above those that serve from the start.
	firstKillRelease   = maxReleases
	minReleaseDowntime = 30 * time.Millisecond
	maxReleaseDowntime = 1200 * time.Millisecond
	// killedStoreShare of the kills come beside a fault of the store.
	killedStoreShare = 0.4
)

// releaseChangeKinds are the kinds by which workers of another version take the place of others.
var releaseChangeKinds = []Kind{WorkerCrash, WorkerRestart, WorkerDrain}

// killStoreKinds are the faults of the store beside a kill of all nodes.
var killStoreKinds = []Kind{StoreDown, StoreRefuse, StoreLose, StoreRestore, StoreRefuseReleases, StoreLoseReleases}

// drawAllKilled draws kills of all nodes, with changes of the workers' software version and faults of the store around
// them. It uses a random source of its own, so the other faults of the seed stay the same.
func drawAllKilled(seed uint64, size Size) []Fault {
	d := &generator{random: rand.New(rand.NewPCG(seed, 10)), size: size}
	number := firstKillRelease
	var faults []Fault
	for at := firstFaultAt + d.killGap(minCloseKillGap); at < size.Span; at += d.nextKillGap() {
		kill := d.drawKillAll(at)
		faults = append(faults, kill)
		if d.random.Float64() < killSeriesShare {
			faults = append(faults, d.drawKillAll(kill.End()+d.uniformDuration(minKillDowntime, maxKillDowntime)))
		}
		if d.random.Float64() >= unchangedShare {
			number++
			faults = append(faults, d.drawReleaseChange(&kill, number)...)
		}
		if d.random.Float64() < killedStoreShare {
			faults = append(faults, d.drawKillStore(&kill))
		}
	}
	return faults
}

func (d *generator) killGap(least time.Duration) time.Duration {
	return least + d.exponentialGap(meanKillGap)
}

// nextKillGap draws the time to the next kill.
func (d *generator) nextKillGap() time.Duration {
	if d.random.Float64() < closeShare {
		return d.killGap(minCloseKillGap)
	}
	return d.killGap(minFarKillGap)
}

func (d *generator) drawKillAll(at time.Duration) Fault {
	kill := Fault{At: at, Kind: ProcessKillAll, For: d.uniformDuration(minKillDowntime, maxKillDowntime), Delay: d.uniformDuration(0, maxKillSpread)}
	for node := range d.size.Nodes {
		kill.Targets = append(kill.Targets, node)
	}
	return kill
}

// drawReleaseChange draws how engines of a later software version come, and those of the earlier one leave. Engines have
// the even numbers.
func (d *generator) drawReleaseChange(kill *Fault, number int) []Fault {
	engines := d.random.Perm((d.size.Workers + 1) / 2)
	for i := range engines {
		engines[i] *= 2
	}
	first := 1 + d.random.IntN(max(len(engines)-1, 1))
	if d.random.Float64() < backShare && number > firstKillRelease+1 {
		come := d.drawChange(kill.At-d.uniformDuration(minReleaseDowntime, maxLeaveTime), engines[:first], number)
		come.For = minReleaseDowntime
		return []Fault{come, d.drawChange(kill.At+d.uniformDuration(0, kill.For/2), engines[:first], number-1)}
	}
	changes := []Fault{d.drawChange(d.aroundKill(kill, maxComeTime), engines[:first], number)}
	if d.random.Float64() >= stayingShare && first < len(engines) {
		changes = append(changes, d.drawChange(d.aroundKill(kill, maxLeaveTime), engines[first:], number))
	}
	return changes
}

// aroundKill draws a time shortly before the kill, while the nodes are down, or shortly after their return.
func (d *generator) aroundKill(kill *Fault, within time.Duration) time.Duration {
	switch d.random.IntN(3) {
	case 0:
		return kill.At - d.uniformDuration(0, within)
	case 1:
		return kill.At + d.uniformDuration(0, kill.For)
	}
	return kill.End() + d.uniformDuration(0, within)
}

func (d *generator) drawChange(at time.Duration, workers []int, number int) Fault {
	targets := slices.Sorted(slices.Values(workers))
	return Fault{
		At: at, Kind: releaseChangeKinds[d.random.IntN(len(releaseChangeKinds))], Targets: targets, Release: fmt.Sprintf("v1.%d", number),
		For: d.uniformDuration(minReleaseDowntime, maxReleaseDowntime),
	}
}

// drawKillStore draws a fault of the store that begins before the kill or while the nodes are down.
func (d *generator) drawKillStore(kill *Fault) Fault {
	fault := Fault{Kind: killStoreKinds[d.random.IntN(len(killStoreKinds))], For: d.uniformDuration(minKillDowntime, maxKillDowntime)}
	fault.At = kill.At - maxComeTime + d.uniformDuration(0, maxComeTime+kill.For)
	if fault.Kind == StoreRestore {
		fault.Delay = d.uniformDuration(minCopyAge, maxLeaveTime)
	}
	return fault
}
