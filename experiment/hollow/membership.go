package hollow

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/membership"
)

// MembershipOptions of a measurement.
type MembershipOptions struct {
	Nodes, Regions, Zones int
	Seed                  uint64
	// Loss is the share of messages lost.
	Loss float64
	// OldVersion is the share of nodes of the previous version.
	OldVersion float64
	Duration   time.Duration
	// CrashInterval between crashes; a crashed node is down for DownTime and
	// then starts anew at its address.
	CrashInterval, DownTime time.Duration
	// PauseInterval between pauses of random nodes, whose length is
	// exponential with mean PauseMean, at most PauseMax.
	PauseInterval, PauseMean, PauseMax time.Duration
}

// MembershipReport is the result.
type MembershipReport struct {
	Nodes   int
	Crashes int
	// InZone and Anywhere hold the times from a crash until each running node
	// of the zone, or of all zones, gave the crashed one up.
	InZone, Anywhere Durations
	// Missed counts pairs of crash and node that did not notice in DownTime.
	Missed int
	// Pauses, and how many of them made any node give up the paused one, by
	// whether they were shorter than the time for suspicion.
	ShortPauses, ShortPausesGivenUp int
	LongPauses, LongPausesGivenUp   int
	// Returned holds the times from the end of such a pause until the last
	// node took the paused one for running again.
	Returned Durations
	// FalseDeaths counts running and not recently paused nodes that any node
	// gave up.
	FalseDeaths int
	// StillWrong counts pairs of running nodes that do not know each other at
	// the end, after SettleTime without faults.
	StillWrong int
	Usage      Usage
}

// Times around the measurement.
const (
	warmUp     = 4 * time.Minute
	settleTime = time.Minute
	// recently is how long a pause excuses a node for.
	recently = 20 * time.Second
)

// membershipRun gathers the observations.
type membershipRun struct {
	*Deployment
	options MembershipOptions
	report  MembershipReport
	// crashed holds, by process, when it crashed.
	crashed map[cluster.NodeID]time.Time
	noticed map[cluster.NodeID]int
	// falsely holds processes that were given up without cause.
	falsely map[cluster.NodeID]bool
	pauses  map[cluster.NodeID]*pauseRecord
}

// pauseRecord is one pause of a process.
type pauseRecord struct {
	end     time.Time
	long    bool
	givenUp bool
	// missing is how many nodes hold the process to be dead.
	missing int
}

// MeasureMembership runs a deployment with faults.
func MeasureMembership(options MembershipOptions) MembershipReport {
	run := &membershipRun{
		Deployment: NewDeployment(Options{
			Nodes: options.Nodes, Regions: options.Regions, Zones: options.Zones,
			Seed: options.Seed, Loss: options.Loss, OldVersion: options.OldVersion,
		}),
		options: options,
		report:  MembershipReport{Nodes: options.Nodes},
		crashed: map[cluster.NodeID]time.Time{},
		noticed: map[cluster.NodeID]int{},
		falsely: map[cluster.NodeID]bool{},
		pauses:  map[cluster.NodeID]*pauseRecord{},
	}
	run.Run(warmUp)
	run.onChange = run.observe
	run.resetTraffic()
	before := processorTime()
	end := run.clock.now.Add(options.Duration)
	if options.CrashInterval > 0 {
		run.every(options.CrashInterval, end, run.crashOne)
	}
	if options.PauseInterval > 0 {
		run.every(options.PauseInterval, end, run.pauseOne)
	}
	run.Run(options.Duration)
	run.report.Usage = run.usage(options.Duration, processorTime()-before)
	run.Run(options.DownTime + options.PauseMax + settleTime)
	run.report.StillWrong = run.disagreements()
	run.report.FalseDeaths = len(run.falsely)
	return run.report
}

// crashOne crashes a random node and restarts it after DownTime.
func (r *membershipRun) crashOne() {
	n := r.randomRunning()
	id := n.identity.ID
	r.crashed[id] = r.clock.now
	r.report.Crashes++
	n.crash()
	r.clock.after(r.options.DownTime, func() {
		for _, other := range r.nodes {
			if other != n && other.running && !other.paused() && other.started.Before(r.crashed[id]) {
				if member, known := other.membership.Member(id); known && member.Running() {
					r.report.Missed++
				}
			}
		}
		n.start()
	})
}

// pauseOne pauses a random node.
func (r *membershipRun) pauseOne() {
	n := r.randomRunning()
	length := time.Duration(r.faults.ExpFloat64() * float64(r.options.PauseMean))
	length = min(length, r.options.PauseMax)
	long := length >= shortestDetection
	if long {
		r.report.LongPauses++
	} else {
		r.report.ShortPauses++
	}
	n.pause(length)
	r.pauses[n.identity.ID] = &pauseRecord{end: n.pausedUntil, long: long}
}

// shortestDetection is the least time from the last answer of a member until it
// can be given up: two probes and the suspicion.
const shortestDetection = 6 * time.Second

// observe takes note of what one node thinks of another.
func (r *membershipRun) observe(at *node, member membership.Member) {
	id := member.Node.ID
	if member.State == membership.StateDead {
		r.observeDeath(at, id, member)
		return
	}
	pause := r.pauses[id]
	if pause == nil || pause.missing == 0 || member.State == membership.StateSuspect {
		return
	}
	if pause.missing--; pause.missing == 0 {
		r.report.Returned = append(r.report.Returned, max(0, r.clock.now.Sub(pause.end)))
	}
}

func (r *membershipRun) observeDeath(at *node, id cluster.NodeID, member membership.Member) {
	subject := r.byID[id]
	if at.recentlyPaused() && subject.identity.ID == id && subject.running {
		// The observer gives up what others gave up while it was paused, or is
		// itself at fault; the subject counts where others see it.
		return
	}
	if crashedAt, crashed := r.crashed[id]; crashed {
		delay := r.clock.now.Sub(crashedAt)
		r.report.Anywhere = append(r.report.Anywhere, delay)
		if at.identity.Zone == member.Node.Zone {
			r.report.InZone = append(r.report.InZone, delay)
		}
		return
	}
	pause := r.pauses[id]
	if pause == nil || r.clock.now.Sub(pause.end) > recently {
		r.falsely[id] = true
		return
	}
	pause.missing++
	if pause.givenUp {
		return
	}
	pause.givenUp = true
	if pause.long {
		r.report.LongPausesGivenUp++
	} else {
		r.report.ShortPausesGivenUp++
	}
}

func (n *node) recentlyPaused() bool {
	return !n.pausedAt.IsZero() && n.deployment.clock.now.Sub(n.pausedUntil) < recently
}

// disagreements counts pairs of running nodes where one does not take the
// other for alive, and pairs where one takes a dead process for running.
func (d *Deployment) disagreements() int {
	wrong := 0
	for _, at := range d.nodes {
		running := 0
		for _, member := range at.membership.Members() {
			if !member.Running() {
				continue
			}
			subject := d.byID[member.Node.ID]
			if !subject.running || subject.identity.ID != member.Node.ID {
				wrong++
				continue
			}
			running++
		}
		wrong += len(d.nodes) - 1 - running
	}
	return wrong
}
