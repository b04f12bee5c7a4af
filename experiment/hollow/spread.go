package hollow

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/settings"
)

// Scheme is a way to spread configuration.
type Scheme string

// The schemes that are compared.
const (
	// SchemeDelta is what nodes run: edits pushed to a few peers and asked for
	// by heartbeats, snapshots where edits do not reach back.
	SchemeDelta Scheme = "delta"
	// SchemeDeltaPull is the same without pushes.
	SchemeDeltaPull Scheme = "pull"
	// SchemeSnapshot sends nothing but whole trees, on request.
	SchemeSnapshot Scheme = "snapshot"
	// SchemeWatch lets every node watch the key-value service.
	SchemeWatch Scheme = "watch"
)

// Schemes lists all.
func Schemes() []Scheme {
	return []Scheme{SchemeDelta, SchemeDeltaPull, SchemeSnapshot, SchemeWatch}
}

// SpreadOptions of a measurement.
type SpreadOptions struct {
	Scheme                Scheme
	Nodes, Regions, Zones int
	Seed                  uint64
	Loss                  float64
	// OldVersion is the share of nodes of the previous version.
	OldVersion float64
	Duration   time.Duration
	// EditInterval between single edits; every BurstInterval, BurstEdits come
	// within BurstTime.
	EditInterval, BurstInterval, BurstTime time.Duration
	BurstEdits                             int
	// Models and Adapters of the tree.
	Models, Adapters int
	// Faults adds restarts, pauses, an outage of the key-value service, and a
	// region cut off.
	Faults bool
	// RestartInterval, PauseInterval and PauseMean of Faults; OutageTime and
	// CutTime are the lengths of the outage and the cut.
	RestartInterval, PauseInterval, PauseMean time.Duration
	OutageTime, CutTime                       time.Duration
	// EventsPerSecond is how many watch events the key-value service sends.
	EventsPerSecond float64
}

// SpreadReport is the result.
type SpreadReport struct {
	Scheme Scheme
	Edits  int
	// InForce holds, for each edit and node, the time from its acceptance
	// until it was in force. Nodes of the cut-off region are left out for
	// edits of that time; for a paused node time counts from the resumption.
	InForce Durations
	// CutOff holds the times from the end of the cut for those left out.
	CutOff Durations
	// Started holds the times from the start of a process until it had the
	// newest configuration of that moment, during the outage and otherwise.
	Started, StartedInOutage Durations
	// Behind counts nodes that do not have the last edit at the end.
	Behind int
	// StepsBack counts configurations that came in force after newer ones.
	StepsBack int
	Usage     Usage
	// TreeBytes is the size of a snapshot, EditBytes the mean size of an edit.
	TreeBytes, EditBytes int
	// Compiles and Decodes of trees a node a second.
	Compiles, Decodes float64
	// ServiceEvents is how many watch events the key-value service sent.
	ServiceEvents int
}

// spreadRun is a measurement in progress.
type spreadRun struct {
	*Deployment
	options SpreadOptions
	report  SpreadReport
	service service
	// held is the revision in force by node, restarts by process.
	held      []int64
	cutRegion int
	cutStart  time.Time
	cutEnd    time.Time
	editBytes int
}

// commitTime is when the accepted edit of a revision was accepted.
func (r *spreadRun) commitTime(revision int64) time.Time { return r.service.times[revision] }

// MeasureSpread runs a deployment in which operators edit the tree.
func MeasureSpread(options SpreadOptions) (SpreadReport, error) {
	run := &spreadRun{
		options: options,
		report:  SpreadReport{Scheme: options.Scheme},
		held:    make([]int64, options.Nodes),
		// The region that is cut off is not that of the service.
		cutRegion: options.Regions - 1,
	}
	run.Deployment = NewDeployment(Options{
		Nodes: options.Nodes, Regions: options.Regions, Zones: options.Zones,
		Seed: options.Seed, Loss: options.Loss, OldVersion: options.OldVersion,
		Replication: options.Scheme.replication(), WatchAll: options.Scheme == SchemeWatch,
	})
	if err := run.service.open(run, options.Models, options.Adapters); err != nil {
		return SpreadReport{}, err
	}
	run.report.TreeBytes = len(run.service.tree.Encode())
	run.onInForce = run.observe
	run.onLoadNeeded = run.service.loadLater
	for _, n := range run.nodes {
		if run.watches(n) {
			run.service.loadLater(n)
		}
	}
	run.Run(warmUp)
	run.measure()
	return run.report, nil
}

// replication is the configuration of the cores for a scheme.
func (s Scheme) replication() replication.Config {
	switch s {
	case SchemeDeltaPull:
		return replication.Config{Fanout: -1}
	case SchemeSnapshot:
		return replication.Config{Fanout: -1, BacklogEntries: -1}
	default:
		return replication.Config{}
	}
}

// measure runs the time that counts.
func (r *spreadRun) measure() {
	r.resetTraffic()
	r.shared.compiles, r.shared.decodes, r.service.events = 0, 0, 0
	r.report.InForce, r.report.Started = nil, nil
	before := processorTime()
	end := r.clock.now.Add(r.options.Duration)
	r.every(r.options.EditInterval, end, r.edit)
	for at := r.options.BurstInterval; at < r.options.Duration; at += r.options.BurstInterval {
		for i := range r.options.BurstEdits {
			r.clock.after(at+time.Duration(i)*r.options.BurstTime/time.Duration(r.options.BurstEdits), r.edit)
		}
	}
	if r.options.Faults {
		r.scheduleFaults(end)
	}
	r.Run(r.options.Duration)
	r.report.Usage = r.usage(r.options.Duration, processorTime()-before)
	nodeSeconds := r.options.Duration.Seconds() * float64(len(r.nodes))
	r.report.Compiles = float64(r.shared.compiles) / nodeSeconds
	r.report.Decodes = float64(r.shared.decodes) / nodeSeconds
	r.report.ServiceEvents = r.service.events
	if r.report.Edits > 0 {
		r.report.EditBytes = r.editBytes / r.report.Edits
	}
	r.Run(settleTime)
	for _, n := range r.nodes {
		if n.replication.Stamp() != r.service.stamp {
			r.report.Behind++
		}
	}
}

// edit commits one edit of one key at the service. It is put off while the
// service is down.
func (r *spreadRun) edit() {
	if r.service.down {
		r.clock.after(time.Second, r.edit)
		return
	}
	entry := r.service.commit(r.faults.IntN(r.options.Adapters))
	r.report.Edits++
	r.editBytes += len(entry.Edit.Encode())
}

// watches reports whether a node reads the service: the first running node of a
// zone stands for its controller.
func (r *spreadRun) watches(n *node) bool {
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

// observe measures a configuration that came in force at a node.
func (r *spreadRun) observe(at *node, stamp settings.Stamp) {
	held := r.held[at.index]
	if stamp.Revision < held {
		r.report.StepsBack++
	}
	r.held[at.index] = stamp.Revision
	if held == 0 {
		r.observeStart(at, stamp.Revision)
		return
	}
	for revision := held + 1; revision <= stamp.Revision; revision++ {
		r.observeEdit(at, revision)
	}
}

func (r *spreadRun) observeEdit(at *node, revision int64) {
	from := r.commitTime(revision)
	if from.Before(at.started) {
		// It was accepted before the process ran.
		return
	}
	if at.region == r.cutRegion && r.clock.now.After(r.cutStart) && from.Before(r.cutEnd) {
		r.report.CutOff = append(r.report.CutOff, max(0, r.clock.now.Sub(r.cutEnd)))
		return
	}
	if !at.pausedUntil.IsZero() && at.pausedUntil.After(from) {
		from = at.pausedUntil
	}
	r.report.InForce = append(r.report.InForce, r.clock.now.Sub(from))
}

// observeStart measures the first configuration of a process, if it is the one
// that was newest when the process started.
func (r *spreadRun) observeStart(at *node, revision int64) {
	if revision < r.service.stamp.Revision && r.commitTime(revision+1).Before(at.started) {
		// An older one came first; the wait goes on.
		r.held[at.index] = 0
		return
	}
	from := at.started
	if at.pausedUntil.After(from) {
		from = at.pausedUntil
	}
	waited := r.clock.now.Sub(from)
	if r.service.wasDown(at.started) {
		r.report.StartedInOutage = append(r.report.StartedInOutage, waited)
	} else {
		r.report.Started = append(r.report.Started, waited)
	}
}

// treeOf builds a tree of the wanted size.
func treeOf(models, adapters int) (*settings.Tree, error) {
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
	_, tree, err := settings.Empty().Validate(edit)
	return tree, err
}

func teamPath(team int) string { return fmt.Sprintf("/team-%02d", team) }

func adapterPath(adapter int) string {
	const teams = 40
	return fmt.Sprintf("%s/adapter-%04d", teamPath(adapter%teams), adapter)
}

// scheduleFaults plans the faults: restarts and pauses all the time, the outage
// in the second quarter, the cut in the third.
func (r *spreadRun) scheduleFaults(end time.Time) {
	r.every(r.options.RestartInterval, end, r.restartOne)
	r.every(r.options.PauseInterval, end, func() {
		r.randomRunning().pause(time.Duration(r.faults.ExpFloat64() * float64(r.options.PauseMean)))
	})
	r.clock.after(r.options.Duration/4, func() { r.service.outage(r.options.OutageTime) })
	r.clock.after(r.options.Duration/2, func() {
		r.cutStart, r.cutEnd = r.clock.now, r.clock.now.Add(r.options.CutTime)
		r.network.blocked = func(from, to *node) bool {
			return (from.region == r.cutRegion) != (to.region == r.cutRegion)
		}
		r.clock.after(r.options.CutTime, func() {
			r.network.blocked = nil
			r.service.resume(func(n *node) bool { return n.region == r.cutRegion })
		})
	})
}

// downTime of a node that is replaced.
const downTime = 5 * time.Second

// restartOne replaces the process of a random node, and hands the watch of the
// service to the next node of its zone after the lease has lapsed.
func (r *spreadRun) restartOne() {
	n := r.randomRunning()
	watched := r.watches(n)
	n.crash()
	r.held[n.index] = 0
	r.clock.after(downTime, n.start)
	switch {
	case r.options.Scheme == SchemeWatch:
		r.clock.after(downTime, func() { r.service.loadLater(n) })
	case watched:
		r.clock.after(downTime+leaseTime, func() {
			for _, successor := range r.nodes {
				if successor.identity.Zone == n.identity.Zone && r.watches(successor) {
					r.service.loadLater(successor)
				}
			}
		})
	}
}

// cutOff reports whether a node cannot reach the service now.
func (r *spreadRun) cutOff(n *node) bool {
	return n.region == r.cutRegion && !r.clock.now.Before(r.cutStart) && r.clock.now.Before(r.cutEnd)
}
