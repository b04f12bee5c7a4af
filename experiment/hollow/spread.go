package hollow

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/settings"
)

// Scheme is a method of distributing configuration.
type Scheme string

// The schemes that are compared.
const (
	// SchemeDelta is the production scheme: edits are pushed to a few peers and requested after
	// heartbeats that show a newer revision. Nodes that are too far behind get snapshots.
	SchemeDelta Scheme = "delta"
	// SchemeDeltaPull is SchemeDelta without pushes.
	SchemeDeltaPull Scheme = "pull"
	// SchemeSnapshot sends only whole trees, on request.
	SchemeSnapshot Scheme = "snapshot"
	// SchemeWatch makes every node watch the key-value service.
	SchemeWatch Scheme = "watch"
)

// Schemes returns all schemes.
func Schemes() []Scheme {
	return []Scheme{SchemeDelta, SchemeDeltaPull, SchemeSnapshot, SchemeWatch}
}

// SpreadOptions configures MeasureSpread.
type SpreadOptions struct {
	Scheme                Scheme
	Nodes, Regions, Zones int
	Seed                  uint64
	Loss                  float64
	// PreviousVersionShare is the share of nodes that use the previous version of the message
	// schemas.
	PreviousVersionShare float64
	Duration             time.Duration
	// EditInterval is the mean time between single edits. Every BurstInterval, BurstEdits further
	// edits follow within BurstTime.
	EditInterval, BurstInterval, BurstTime time.Duration
	BurstEdits                             int
	// Models and Adapters are their numbers in the tree.
	Models, Adapters int
	// Faults adds restarts, pauses, an outage of the key-value service and the partition of one
	// region.
	Faults bool
	// RestartInterval and PauseInterval are the mean times between these faults, PauseMean the mean
	// length of a pause. OutageTime and PartitionTime are the lengths of the outage and of the
	// partition.
	RestartInterval, PauseInterval, PauseMean time.Duration
	OutageTime, PartitionTime                 time.Duration
	// EventsPerSecond is the rate at which the key-value service sends watch events.
	EventsPerSecond float64
}

// SpreadReport holds the results of MeasureSpread.
type SpreadReport struct {
	Scheme Scheme
	Edits  int
	// InForce holds, for each edit and node, the time from the commit until it was active on the
	// node. It excludes nodes of the partitioned region for edits before the end of the partition.
	// For a node that was paused since the commit, the time counts from the end of the pause.
	InForce Durations
	// CutOff holds the times from the end of the partition for the excluded edits and nodes.
	CutOff Durations
	// Started and StartedInOutage hold the times from the start of a process until it had the
	// configuration that was newest at its start, for processes started outside and during the
	// outage.
	Started, StartedInOutage Durations
	// Behind counts the nodes that do not have the last edit at the end.
	Behind int
	// StepsBack counts the configurations that became active after newer ones.
	StepsBack int
	Usage     Usage
	// TreeBytes is the size of a snapshot, EditBytes the mean size of an edit.
	TreeBytes, EditBytes int
	// Compiles and Decodes are the numbers of trees that a node compiles and decodes per second.
	Compiles, Decodes float64
	// ServiceEvents is the number of watch events that the key-value service sent.
	ServiceEvents int
}

// spreadRun is a measurement in progress.
type spreadRun struct {
	*Deployment
	options SpreadOptions
	report  SpreadReport
	service keyValueService
	// activeRevisions holds the revision that is active on each node, by index; zero if its process
	// has none yet.
	activeRevisions   []int64
	partitionedRegion int
	partitionStart    time.Time
	partitionEnd      time.Time
	totalEditBytes    int
}

// commitTime returns the time at which a revision was committed.
func (r *spreadRun) commitTime(revision int64) time.Time { return r.service.commitTimes[revision] }

// MeasureSpread runs a deployment whose configuration is edited, and returns its measurements.
func MeasureSpread(options SpreadOptions) (SpreadReport, error) {
	run := &spreadRun{
		options:         options,
		report:          SpreadReport{Scheme: options.Scheme},
		activeRevisions: make([]int64, options.Nodes),
		// The service is in another region than the partitioned one.
		partitionedRegion: options.Regions - 1,
	}
	run.Deployment = NewDeployment(Options{
		Nodes: options.Nodes, Regions: options.Regions, Zones: options.Zones,
		Seed: options.Seed, Loss: options.Loss, PreviousVersionShare: options.PreviousVersionShare,
		Replication: options.Scheme.replicationConfig(), WatchAll: options.Scheme == SchemeWatch,
	})
	if err := run.service.initialize(run, options.Models, options.Adapters); err != nil {
		return SpreadReport{}, err
	}
	run.report.TreeBytes = len(run.service.tree.Encode())
	run.onActivated = run.observeActivation
	run.onLoadNeeded = run.service.scheduleLoad
	for _, n := range run.nodes {
		if run.isWatcher(n) {
			run.service.scheduleLoad(n)
		}
	}
	run.Run(warmUpDuration)
	run.runMeasurement()
	return run.report, nil
}

// replicationConfig returns the configuration of the replication cores for a scheme.
func (s Scheme) replicationConfig() replication.Config {
	switch s {
	case SchemeDeltaPull:
		return replication.Config{Fanout: -1}
	case SchemeSnapshot:
		return replication.Config{Fanout: -1, BacklogEntries: -1}
	default:
		return replication.Config{}
	}
}

// runMeasurement runs the measured part after the warm-up and fills in the report.
func (r *spreadRun) runMeasurement() {
	r.resetTraffic()
	r.treeCache.compiles, r.treeCache.decodes, r.service.sentEvents = 0, 0, 0
	r.report.InForce, r.report.Started = nil, nil
	before := cpuTime()
	end := r.clock.now.Add(r.options.Duration)
	r.scheduleRandomly(r.options.EditInterval, end, r.commitRandomEdit)
	for at := r.options.BurstInterval; at < r.options.Duration; at += r.options.BurstInterval {
		for i := range r.options.BurstEdits {
			r.clock.schedule(at+time.Duration(i)*r.options.BurstTime/time.Duration(r.options.BurstEdits), r.commitRandomEdit)
		}
	}
	if r.options.Faults {
		r.scheduleFaults(end)
	}
	r.Run(r.options.Duration)
	r.report.Usage = r.computeUsage(r.options.Duration, cpuTime()-before)
	nodeSeconds := r.options.Duration.Seconds() * float64(len(r.nodes))
	r.report.Compiles = float64(r.treeCache.compiles) / nodeSeconds
	r.report.Decodes = float64(r.treeCache.decodes) / nodeSeconds
	r.report.ServiceEvents = r.service.sentEvents
	if r.report.Edits > 0 {
		r.report.EditBytes = r.totalEditBytes / r.report.Edits
	}
	r.Run(settleDuration)
	for _, n := range r.nodes {
		if n.replication.Stamp() != r.service.stamp {
			r.report.Behind++
		}
	}
}

// commitRandomEdit commits an edit of a random adapter. It is delayed while the service is down.
func (r *spreadRun) commitRandomEdit() {
	if r.service.down {
		r.clock.schedule(time.Second, r.commitRandomEdit)
		return
	}
	entry := r.service.commitEdit(r.faults.IntN(r.options.Adapters))
	r.report.Edits++
	r.totalEditBytes += len(entry.Edit.Encode())
}

// isWatcher reports whether a node watches the service. Except with SchemeWatch, the first running
// node of each zone acts as its controller and is the only watcher of the zone.
func (r *spreadRun) isWatcher(n *node) bool {
	if r.options.Scheme == SchemeWatch {
		return true
	}
	for _, other := range r.nodes {
		if other.running && other.identity.Zone == n.identity.Zone {
			return other == n
		}
	}
	return false
}

// observeActivation measures a configuration that became active on a node.
func (r *spreadRun) observeActivation(observer *node, stamp settings.Stamp) {
	previous := r.activeRevisions[observer.index]
	if stamp.Revision < previous {
		r.report.StepsBack++
	}
	r.activeRevisions[observer.index] = stamp.Revision
	if previous == 0 {
		r.recordStartDelay(observer, stamp.Revision)
		return
	}
	for revision := previous + 1; revision <= stamp.Revision; revision++ {
		r.recordEditDelay(observer, revision)
	}
}

// recordEditDelay records the time from the commit of a revision to its activation on a node.
func (r *spreadRun) recordEditDelay(observer *node, revision int64) {
	from := r.commitTime(revision)
	if from.Before(observer.startedAt) {
		// The edit was committed before the process started.
		return
	}
	if observer.region == r.partitionedRegion && r.clock.now.After(r.partitionStart) && from.Before(r.partitionEnd) {
		r.report.CutOff = append(r.report.CutOff, max(0, r.clock.now.Sub(r.partitionEnd)))
		return
	}
	if !observer.pausedUntil.IsZero() && observer.pausedUntil.After(from) {
		from = observer.pausedUntil
	}
	r.report.InForce = append(r.report.InForce, r.clock.now.Sub(from))
}

// recordStartDelay records the time to the first configuration of a process, if it is at least as
// new as the one at the start of the process.
func (r *spreadRun) recordStartDelay(observer *node, revision int64) {
	if revision < r.service.stamp.Revision && r.commitTime(revision+1).Before(observer.startedAt) {
		// The process has an older configuration; it still waits for the newest one.
		r.activeRevisions[observer.index] = 0
		return
	}
	from := observer.startedAt
	if observer.pausedUntil.After(from) {
		from = observer.pausedUntil
	}
	delay := r.clock.now.Sub(from)
	if r.service.wasDownAt(observer.startedAt) {
		r.report.StartedInOutage = append(r.report.StartedInOutage, delay)
	} else {
		r.report.Started = append(r.report.Started, delay)
	}
}

// buildTree returns a tree with the given numbers of models and adapters.
func buildTree(models, adapters int) (*settings.Tree, error) {
	const teams = 40
	edit := settings.Edit{ID: "tree", Author: "experiment"}
	add := func(path string, kind settings.Kind, values map[string]settings.Value) {
		edit.Changes = append(edit.Changes, settings.Change{Path: path, Create: kind, Set: values})
	}
	for team := range teams {
		add(teamPath(team), settings.KindTeam, map[string]settings.Value{"keep_alive": `"10m"`, "max_concurrency": "40"})
	}
	for model := range models {
		add(fmt.Sprintf("/model-%02d", model), settings.KindModel, map[string]settings.Value{"memory": `"16GiB"`, "max_replicas": "8"})
	}
	for adapter := range adapters {
		add(adapterPath(adapter), settings.KindAdapter, map[string]settings.Value{
			settings.KeyBase: settings.Value(fmt.Sprintf(`"model-%02d"`, adapter%models)), "memory": `"512MiB"`, "version": `"2"`,
		})
	}
	_, tree, err := settings.EmptyTree().Validate(edit)
	return tree, err
}

func teamPath(team int) string { return fmt.Sprintf("/team-%02d", team) }

func adapterPath(adapter int) string {
	const teams = 40
	return fmt.Sprintf("%s/adapter-%04d", teamPath(adapter%teams), adapter)
}

// scheduleFaults schedules the faults: restarts and pauses at random times, the outage after a
// quarter of the measurement, the partition after half of it.
func (r *spreadRun) scheduleFaults(end time.Time) {
	r.scheduleRandomly(r.options.RestartInterval, end, r.restartRandomNode)
	r.scheduleRandomly(r.options.PauseInterval, end, func() {
		r.randomRunning().pause(time.Duration(r.faults.ExpFloat64() * float64(r.options.PauseMean)))
	})
	r.clock.schedule(r.options.Duration/4, func() { r.service.startOutage(r.options.OutageTime) })
	r.clock.schedule(r.options.Duration/2, func() {
		r.partitionStart, r.partitionEnd = r.clock.now, r.clock.now.Add(r.options.PartitionTime)
		r.network.isBlocked = func(from, to *node) bool {
			return (from.region == r.partitionedRegion) != (to.region == r.partitionedRegion)
		}
		r.clock.schedule(r.options.PartitionTime, func() {
			r.network.isBlocked = nil
			r.service.reloadWatchers(func(n *node) bool { return n.region == r.partitionedRegion })
		})
	})
}

// restartDuration is the time until a new process replaces a crashed one.
const restartDuration = 5 * time.Second

// restartRandomNode replaces the process of a random node. If it was the watcher of its zone, the
// next node of the zone takes over the watch after the lease has expired.
func (r *spreadRun) restartRandomNode() {
	n := r.randomRunning()
	wasWatcher := r.isWatcher(n)
	n.crash()
	r.activeRevisions[n.index] = 0
	r.clock.schedule(restartDuration, n.start)
	switch {
	case r.options.Scheme == SchemeWatch:
		r.clock.schedule(restartDuration, func() { r.service.scheduleLoad(n) })
	case wasWatcher:
		r.clock.schedule(restartDuration+leaseDuration, func() {
			for _, successor := range r.nodes {
				if successor.identity.Zone == n.identity.Zone && r.isWatcher(successor) {
					r.service.scheduleLoad(successor)
				}
			}
		})
	}
}

// isPartitioned reports whether a node cannot reach the service because of the partition.
func (r *spreadRun) isPartitioned(n *node) bool {
	return n.region == r.partitionedRegion && !r.clock.now.Before(r.partitionStart) && r.clock.now.Before(r.partitionEnd)
}
