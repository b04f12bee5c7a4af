package recovery

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/experiment"
	"github.com/valveslip/valveslip/simulation"
)

// Times of the trials.
const (
	warmTime    = 2 * time.Minute
	watchTime   = 2 * time.Minute
	restartTime = 8 * time.Second
	pauseTime   = time.Minute
	noticeTime  = 20 * time.Second
	outageTime  = time.Hour
	pollTime    = 50 * time.Millisecond
	// searchTime bounds the wait for a load in progress.
	searchTime = 5 * time.Minute
)

// Options of Measure.
type Options struct {
	// Scenario whose deployment and traffic is used; its faults are not.
	Scenario *experiment.Scenario
	// Seeds of each case, and the Workers that run at once.
	Seeds, Workers int
	// Progress is called after each trial; nil means none.
	Progress func()
}

// Report is the outcome of one case. Times are sorted.
type Report struct {
	Name string
	// Measure says from when to when the times count.
	Measure string
	Times   []time.Duration
	// Without counts the trials in which the end did not come within the time
	// watched, such as a model that nobody wanted any more.
	Without int
	// Violations of promises found by the checkers.
	Violations int
	// Served, Refused and Other count requests that arrived during an outage.
	Served, Refused, Other int
}

// Quantile returns the time at a share of the sorted times.
func (r *Report) Quantile(share float64) time.Duration {
	if len(r.Times) == 0 {
		return 0
	}
	return r.Times[min(int(share*float64(len(r.Times))), len(r.Times)-1)]
}

// measure is one case: it injects its fault in a fresh trial and returns the
// times measured, by the index of the measure, and false for one without end.
type measure struct {
	name     string
	duration time.Duration
	measures []string
	run      func(t *trial) []timed
}

// timed is one measured time.
type timed struct {
	time  time.Duration
	ended bool
}

func cases() []measure {
	const watched = warmTime + searchTime + watchTime
	return []measure{
		{"controller dies", watched, []string{"to a plan by another node"}, controllerDies},
		{"controller is paused for 1 min", watched, []string{"to a plan by another node", "from its resumption to its last plan"}, controllerPauses},
		{"controller dies, key-value answers lost", watched, []string{"to a plan by another node"}, answersLost},
		{"engine dies in a load", watched, []string{"to the next order to load the model"}, engineDies},
		{"machine is reclaimed in a load", watched, []string{"to the next order to load the model"}, machineReclaimed},
		{"key-value service down for 1 h, a third of the nodes restarts", warmTime + outageTime + watchTime,
			[]string{"longest time without a plan where the controller lived", "from its return to a plan where the controller restarted"}, outage},
	}
}

func controllerDies(t *trial) []timed {
	zone := t.zone()
	holder := t.controller(zone)
	from := t.now()
	t.world.Inject(simulation.Fault{Kind: simulation.FaultNodeCrash, Node: holder, Duration: restartTime})
	t.run(watchTime)
	return []timed{t.plan(from, zone, holder)}
}

func (t *trial) plan(from time.Time, zone cluster.ZoneID, except cluster.NodeID) timed {
	after, ended := t.planAfter(from, zone, except)
	return timed{after, ended}
}

func controllerPauses(t *trial) []timed {
	zone := t.zone()
	holder := t.controller(zone)
	from := t.now()
	t.world.Inject(simulation.Fault{Kind: simulation.FaultNodePause, Node: holder, Duration: pauseTime})
	t.run(pauseTime + watchTime)
	resumed := from.Add(pauseTime)
	last := timed{}
	for _, plan := range t.plans {
		if plan.node == holder && !plan.at.Before(resumed) {
			last = timed{plan.at.Sub(resumed), true}
		}
	}
	return []timed{t.plan(from, zone, holder), last}
}

func answersLost(t *trial) []timed {
	t.world.Inject(simulation.Fault{Kind: simulation.FaultKeyValueLost, Duration: watchTime})
	return controllerDies(t)
}

// findLoad waits for a load in progress.
func (t *trial) findLoad() (cluster.MachineID, cluster.ModelID, bool) {
	for end := t.now().Add(searchTime); t.now().Before(end); t.run(pollTime) {
		if machine, model, found := t.loading(); found {
			return machine, model, true
		}
	}
	return "", "", false
}

func engineDies(t *trial) []timed {
	return t.interruptLoad(simulation.Fault{Kind: simulation.FaultEngineCrash})
}

func machineReclaimed(t *trial) []timed {
	return t.interruptLoad(simulation.Fault{Kind: simulation.FaultMachineReclaim, Duration: noticeTime})
}

func (t *trial) interruptLoad(fault simulation.Fault) []timed {
	machine, model, found := t.findLoad()
	if !found {
		return []timed{{}}
	}
	from := t.now()
	fault.Machine = machine
	t.world.Inject(fault)
	t.run(watchTime)
	after, ended := t.loadAfter(from, model)
	return []timed{{after, ended}}
}

// outage takes the key-value service away. A third of the nodes restarts
// meanwhile, the controller of one zone among them.
func outage(t *trial) []timed {
	zone := t.zone()
	lost := t.controller(zone)
	from := t.now()
	t.countFrom = from
	t.world.Inject(simulation.Fault{Kind: simulation.FaultKeyValueDown, Duration: outageTime})
	t.run(outageTime / 6)
	t.world.Inject(simulation.Fault{Kind: simulation.FaultNodeCrash, Node: lost, Duration: restartTime})
	others := t.otherNodes(zone)
	for i := 1; i < len(t.world.Nodes())/3; i++ {
		t.run(outageTime / 6)
		t.world.Inject(simulation.Fault{Kind: simulation.FaultNodeCrash, Node: others[i%len(others)], Duration: restartTime})
	}
	back := from.Add(outageTime)
	t.world.Run(back)
	gap := time.Duration(0)
	for _, other := range t.survivingZones(zone) {
		gap = max(gap, t.longestGap(from, other))
	}
	t.run(watchTime)
	return []timed{{gap, true}, t.plan(back, zone, lost)}
}

// otherNodes lists the nodes of other zones that are not their controllers.
func (t *trial) otherNodes(zone cluster.ZoneID) []cluster.NodeID {
	var nodes []cluster.NodeID
	for _, process := range t.world.Nodes() {
		if process.Place.Zone != zone && process.ID != t.controller(process.Place.Zone) {
			nodes = append(nodes, process.ID)
		}
	}
	return nodes
}

func (t *trial) survivingZones(lost cluster.ZoneID) []cluster.ZoneID {
	var zones []cluster.ZoneID
	for _, process := range t.world.Nodes() {
		if zone := process.Place.Zone; zone != lost && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Measure runs every case with every seed and returns a report for each
// measure. The result does not depend on the number of workers.
func Measure(ctx context.Context, options Options) ([]Report, error) {
	var reports []Report
	for _, c := range cases() {
		results := make([][]timed, options.Seeds)
		trials := make([]*trial, options.Seeds)
		group, ctx := errgroup.WithContext(ctx)
		group.SetLimit(max(options.Workers, 1))
		for i := range options.Seeds {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				t, err := newTrial(*options.Scenario, uint64(i+1), c.duration)
				if err != nil {
					return eris.Wrap(err, c.name)
				}
				t.run(warmTime)
				results[i], trials[i] = c.run(t), t
				if options.Progress != nil {
					options.Progress()
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
		reports = append(reports, c.reports(results, trials)...)
	}
	return reports, nil
}

// reports sums the trials of a case up.
func (c *measure) reports(results [][]timed, trials []*trial) []Report {
	reports := make([]Report, len(c.measures))
	for m := range reports {
		report := &reports[m]
		report.Name, report.Measure = c.name, c.measures[m]
		for i, result := range results {
			if result[m].ended {
				report.Times = append(report.Times, result[m].time)
			} else {
				report.Without++
			}
			for _, count := range trials[i].world.Checkers.Count {
				report.Violations += count
			}
			report.Served += trials[i].served
			report.Refused += trials[i].refused
			report.Other += trials[i].other
		}
		slices.Sort(report.Times)
	}
	return reports
}
