package hollow

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/membership"
)

// MembershipOptions configures MeasureMembership.
type MembershipOptions struct {
	Nodes, Regions, Zones int
	Seed                  uint64
	// Loss is the share of messages that are lost.
	Loss float64
	// PreviousVersionShare is the share of nodes that use the previous version of the message
	// schemas.
	PreviousVersionShare float64
	Duration             time.Duration
	// CrashInterval is the mean time between crashes. A crashed node is down for DownTime, then a
	// new process starts at its address.
	CrashInterval, DownTime time.Duration
	// PauseInterval is the mean time between pauses of random nodes. The length of a pause is
	// exponentially distributed with mean PauseMean and is at most PauseMax.
	PauseInterval, PauseMean, PauseMax time.Duration
}

// MembershipReport holds the results of MeasureMembership.
type MembershipReport struct {
	Nodes   int
	Crashes int
	// InZone and Anywhere hold the times from a crash until each running node of the same zone, or
	// of all zones, declared the crashed node dead.
	InZone, Anywhere Durations
	// Missed counts the pairs of a crash and a node that did not detect it within DownTime.
	Missed int
	// The pauses, and how many of them made any node declare the paused one dead. Long pauses last
	// at least the minimum detection time.
	ShortPauses, ShortPausesGivenUp int
	LongPauses, LongPausesGivenUp   int
	// Returned holds, for each pause after which the node was declared dead, the time from the end
	// of the pause until the last node considered it running again.
	Returned Durations
	// FalseDeaths counts the running and not recently paused nodes that any node declared dead.
	FalseDeaths int
	// StillWrong counts the wrong beliefs at the end, after a time without faults: running nodes
	// that another node does not consider running, and ended processes that a node considers
	// running.
	StillWrong int
	Usage      Usage
}

// Durations before and after the measurement.
const (
	warmUpDuration = 4 * time.Minute
	settleDuration = time.Minute
	// pauseGracePeriod is how long after its pause a node may still be declared dead without an
	// error, and its own observations are ignored.
	pauseGracePeriod = 20 * time.Second
)

// membershipRun is a measurement in progress.
type membershipRun struct {
	*Deployment
	options MembershipOptions
	report  MembershipReport
	// crashTimes holds the time of each crash by process.
	crashTimes map[cluster.NodeID]time.Time
	noticed    map[cluster.NodeID]int
	// falselyDeclaredDead holds the processes that were declared dead although they were running
	// and not recently paused.
	falselyDeclaredDead map[cluster.NodeID]bool
	pauses              map[cluster.NodeID]*pauseRecord
}

// pauseRecord is one pause of a process.
type pauseRecord struct {
	endsAt       time.Time
	isLong       bool
	declaredDead bool
	// nodesBelievingDead is the number of nodes that consider the process dead.
	nodesBelievingDead int
}

// MeasureMembership runs a deployment with faults and returns its measurements.
func MeasureMembership(options MembershipOptions) MembershipReport {
	run := &membershipRun{
		Deployment: NewDeployment(Options{
			Nodes: options.Nodes, Regions: options.Regions, Zones: options.Zones,
			Seed: options.Seed, Loss: options.Loss, PreviousVersionShare: options.PreviousVersionShare,
		}),
		options:             options,
		report:              MembershipReport{Nodes: options.Nodes},
		crashTimes:          map[cluster.NodeID]time.Time{},
		noticed:             map[cluster.NodeID]int{},
		falselyDeclaredDead: map[cluster.NodeID]bool{},
		pauses:              map[cluster.NodeID]*pauseRecord{},
	}
	run.Run(warmUpDuration)
	run.onMemberChange = run.observeMember
	run.resetTraffic()
	before := cpuTime()
	end := run.clock.now.Add(options.Duration)
	if options.CrashInterval > 0 {
		run.scheduleRandomly(options.CrashInterval, end, run.crashRandomNode)
	}
	if options.PauseInterval > 0 {
		run.scheduleRandomly(options.PauseInterval, end, run.pauseRandomNode)
	}
	run.Run(options.Duration)
	run.report.Usage = run.computeUsage(options.Duration, cpuTime()-before)
	run.Run(options.DownTime + options.PauseMax + settleDuration)
	run.report.StillWrong = run.countMembershipErrors()
	run.report.FalseDeaths = len(run.falselyDeclaredDead)
	return run.report
}

// crashRandomNode crashes a random node and restarts it after DownTime.
func (r *membershipRun) crashRandomNode() {
	n := r.randomRunning()
	id := n.identity.ID
	r.crashTimes[id] = r.clock.now
	r.report.Crashes++
	n.crash()
	r.clock.schedule(r.options.DownTime, func() {
		for _, other := range r.nodes {
			if other != n && other.running && !other.paused() && other.startedAt.Before(r.crashTimes[id]) {
				if member, known := other.membership.Member(id); known && member.Running() {
					r.report.Missed++
				}
			}
		}
		n.start()
	})
}

// pauseRandomNode pauses a random node for a random duration.
func (r *membershipRun) pauseRandomNode() {
	n := r.randomRunning()
	duration := time.Duration(r.faults.ExpFloat64() * float64(r.options.PauseMean))
	duration = min(duration, r.options.PauseMax)
	isLong := duration >= minDetectionTime
	if isLong {
		r.report.LongPauses++
	} else {
		r.report.ShortPauses++
	}
	n.pause(duration)
	r.pauses[n.identity.ID] = &pauseRecord{endsAt: n.pausedUntil, isLong: isLong}
}

// minDetectionTime is the minimum time from the last response of a member until it can be declared
// dead: two probes and the suspicion timeout.
const minDetectionTime = 6 * time.Second

// observeMember records that the observer changed the state of a member.
func (r *membershipRun) observeMember(observer *node, member membership.Member) {
	id := member.Node.ID
	if member.State == membership.StateDead {
		r.observeDeath(observer, id, member)
		return
	}
	pause := r.pauses[id]
	if pause == nil || pause.nodesBelievingDead == 0 || member.State == membership.StateSuspect {
		return
	}
	if pause.nodesBelievingDead--; pause.nodesBelievingDead == 0 {
		r.report.Returned = append(r.report.Returned, max(0, r.clock.now.Sub(pause.endsAt)))
	}
}

// observeDeath records that the observer declared a member dead, and classifies it as the detection of a crash, the
// effect of a pause or an error.
func (r *membershipRun) observeDeath(observer *node, id cluster.NodeID, member membership.Member) {
	subject := r.byID[id]
	if observer.recentlyPaused() && subject.identity.ID == id && subject.running {
		// A paused observer repeats what others declared while it was paused, or is itself at
		// fault. Only the observations of other nodes count.
		return
	}
	if crashedAt, crashed := r.crashTimes[id]; crashed {
		delay := r.clock.now.Sub(crashedAt)
		r.report.Anywhere = append(r.report.Anywhere, delay)
		if observer.identity.Zone == member.Node.Zone {
			r.report.InZone = append(r.report.InZone, delay)
		}
		return
	}
	pause := r.pauses[id]
	if pause == nil || r.clock.now.Sub(pause.endsAt) > pauseGracePeriod {
		r.falselyDeclaredDead[id] = true
		return
	}
	pause.nodesBelievingDead++
	if pause.declaredDead {
		return
	}
	pause.declaredDead = true
	if pause.isLong {
		r.report.LongPausesGivenUp++
	} else {
		r.report.ShortPausesGivenUp++
	}
}

// recentlyPaused reports whether the node is paused, or was within pauseGracePeriod.
func (n *node) recentlyPaused() bool {
	return !n.pausedAt.IsZero() && n.deployment.clock.now.Sub(n.pausedUntil) < pauseGracePeriod
}

// countMembershipErrors counts the pairs of running nodes in which the first does not consider the
// second running, and the ended processes that a node considers running.
func (d *Deployment) countMembershipErrors() int {
	errorCount := 0
	for _, observer := range d.nodes {
		running := 0
		for _, member := range observer.membership.Members() {
			if !member.Running() {
				continue
			}
			subject := d.byID[member.Node.ID]
			if !subject.running || subject.identity.ID != member.Node.ID {
				errorCount++
				continue
			}
			running++
		}
		errorCount += len(d.nodes) - 1 - running
	}
	return errorCount
}
