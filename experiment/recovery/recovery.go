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

// Durations of a trial and of its faults.
const (
	warmUpDuration        = 2 * time.Minute
	observationDuration   = 2 * time.Minute
	restartDelay          = 8 * time.Second
	pauseDuration         = time.Minute
	reclaimNoticeDuration = 20 * time.Second
	outageDuration        = time.Hour
	pollInterval          = 50 * time.Millisecond
	// loadSearchTimeout limits the wait for a load in progress.
	loadSearchTimeout = 5 * time.Minute
)

// Options configures Measure.
type Options struct {
	// Scenario defines the deployment and the traffic; its faults are ignored.
	Scenario *experiment.Scenario
	// Seeds is the number of seeds of each case, Workers the number of trials that run
	// concurrently.
	Seeds, Workers int
	// Progress is called after each trial unless nil.
	Progress func()
}

// Report holds the results of one interval of one test case. Times are sorted.
type Report struct {
	Name string
	// Measure describes where the measured interval ends.
	Measure string
	Times   []time.Duration
	// Without counts the trials in which the interval did not end within the observed time, for
	// example because a model was no longer requested.
	Without int
	// Violations counts the invariant violations that the checkers found.
	Violations int
	// Served, Refused and Other count the requests that arrived after the start of a key-value
	// outage, by outcome.
	Served, Refused, Other int
}

// Quantile returns the time at the given share of the sorted times, or zero if there are none.
func (r *Report) Quantile(share float64) time.Duration {
	if len(r.Times) == 0 {
		return 0
	}
	return r.Times[min(int(share*float64(len(r.Times))), len(r.Times)-1)]
}

// testCase is one fault. Its run function injects the fault into a trial after the warm-up and
// returns one interval for each element of measuredIntervals.
type testCase struct {
	name              string
	duration          time.Duration
	measuredIntervals []string
	run               func(t *trial) []interval
}

// interval is one measured time; completed is false if its end was not observed.
type interval struct {
	duration  time.Duration
	completed bool
}

// testCases returns all cases in the order of the reports.
func testCases() []testCase {
	const watched = warmUpDuration + loadSearchTimeout + observationDuration
	return []testCase{
		{"controller dies", watched, []string{"to a plan by another node"}, measureControllerCrash},
		{"controller is paused for 1 min", watched, []string{"to a plan by another node", "from its resumption to its last plan"}, measureControllerPause},
		{"controller dies, key-value answers lost", watched, []string{"to a plan by another node"}, measureCrashWithLostAnswers},
		{"engine dies in a load", watched, []string{"to the next order to load the model"}, measureEngineCrash},
		{"machine is reclaimed in a load", watched, []string{"to the next order to load the model"}, measureMachineReclaim},
		{"key-value service down for 1 h, a third of the nodes restarts", warmUpDuration + outageDuration + observationDuration,
			[]string{"longest time without a plan where the controller lived", "from its return to a plan where the controller restarted"}, measureKeyValueOutage},
	}
}

// measureControllerCrash measures the time until another node plans for the zone of a crashed controller.
func measureControllerCrash(t *trial) []interval {
	zone := t.selectedZone()
	controller := t.lastPlanner(zone)
	from := t.now()
	t.world.Inject(simulation.Fault{Kind: simulation.FaultNodeCrash, Node: controller, Duration: restartDelay})
	t.advance(observationDuration)
	return []interval{t.timeToPlan(from, zone, controller)}
}

// timeToPlan returns the time from from until a node other than except plans for the zone.
func (t *trial) timeToPlan(from time.Time, zone cluster.ZoneID, except cluster.NodeID) interval {
	after, ended := t.timeToPlanByOther(from, zone, except)
	return interval{after, ended}
}

// measureControllerPause measures the time until another node plans, and how long after its resumption the
// paused controller still plans with an expired lease.
func measureControllerPause(t *trial) []interval {
	zone := t.selectedZone()
	controller := t.lastPlanner(zone)
	from := t.now()
	t.world.Inject(simulation.Fault{Kind: simulation.FaultNodePause, Node: controller, Duration: pauseDuration})
	t.advance(pauseDuration + observationDuration)
	resumed := from.Add(pauseDuration)
	lastPlan := interval{}
	for _, plan := range t.plans {
		if plan.node == controller && !plan.plannedAt.Before(resumed) {
			lastPlan = interval{plan.plannedAt.Sub(resumed), true}
		}
	}
	return []interval{t.timeToPlan(from, zone, controller), lastPlan}
}

// measureCrashWithLostAnswers is measureControllerCrash while answers of the key-value service are lost.
func measureCrashWithLostAnswers(t *trial) []interval {
	t.world.Inject(simulation.Fault{Kind: simulation.FaultKeyValueAnswersLost, Duration: observationDuration})
	return measureControllerCrash(t)
}

// waitForLoad advances the trial until a load is in progress.
func (t *trial) waitForLoad() (cluster.MachineID, cluster.ModelID, bool) {
	for end := t.now().Add(loadSearchTimeout); t.now().Before(end); t.advance(pollInterval) {
		if machine, model, found := t.findLoadingEngine(); found {
			return machine, model, true
		}
	}
	return "", "", false
}

func measureEngineCrash(t *trial) []interval {
	return t.measureInterruptedLoad(simulation.Fault{Kind: simulation.FaultEngineCrash})
}

func measureMachineReclaim(t *trial) []interval {
	return t.measureInterruptedLoad(simulation.Fault{Kind: simulation.FaultMachineReclaim, Duration: reclaimNoticeDuration})
}

// measureInterruptedLoad injects the fault at a machine that loads a model, and measures the time until the
// model is ordered to load again.
func (t *trial) measureInterruptedLoad(fault simulation.Fault) []interval {
	machine, model, found := t.waitForLoad()
	if !found {
		return []interval{{}}
	}
	from := t.now()
	fault.Machine = machine
	t.world.Inject(fault)
	t.advance(observationDuration)
	after, ended := t.timeToNextLoad(from, model)
	return []interval{{after, ended}}
}

// measureKeyValueOutage makes the key-value service unavailable. During the outage a third of the
// nodes restarts, among them the controller of one zone.
func measureKeyValueOutage(t *trial) []interval {
	zone := t.selectedZone()
	restartedZone := t.lastPlanner(zone)
	from := t.now()
	t.countRequestsFrom = from
	t.world.Inject(simulation.Fault{Kind: simulation.FaultKeyValueDown, Duration: outageDuration})
	t.advance(outageDuration / 6)
	t.world.Inject(simulation.Fault{Kind: simulation.FaultNodeCrash, Node: restartedZone, Duration: restartDelay})
	others := t.nonControllersOutside(zone)
	for i := 1; i < len(t.world.Nodes())/3; i++ {
		t.advance(outageDuration / 6)
		t.world.Inject(simulation.Fault{Kind: simulation.FaultNodeCrash, Node: others[i%len(others)], Duration: restartDelay})
	}
	outageEnd := from.Add(outageDuration)
	t.world.Run(outageEnd)
	longestGap := time.Duration(0)
	for _, other := range t.zonesExcept(zone) {
		longestGap = max(longestGap, t.longestGap(from, other))
	}
	t.advance(observationDuration)
	return []interval{{longestGap, true}, t.timeToPlan(outageEnd, zone, restartedZone)}
}

// nonControllersOutside returns the nodes of other zones that are not the controllers there.
func (t *trial) nonControllersOutside(zone cluster.ZoneID) []cluster.NodeID {
	var nodes []cluster.NodeID
	for _, process := range t.world.Nodes() {
		if process.Place.Zone != zone && process.ID != t.lastPlanner(process.Place.Zone) {
			nodes = append(nodes, process.ID)
		}
	}
	return nodes
}

// zonesExcept returns all zones but the excluded one.
func (t *trial) zonesExcept(excluded cluster.ZoneID) []cluster.ZoneID {
	var zones []cluster.ZoneID
	for _, process := range t.world.Nodes() {
		if zone := process.Place.Zone; zone != excluded && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Measure runs every case with every seed and returns one report for each measured interval. The
// result does not depend on the number of workers.
func Measure(ctx context.Context, options Options) ([]Report, error) {
	var reports []Report
	for _, test := range testCases() {
		results := make([][]interval, options.Seeds)
		trials := make([]*trial, options.Seeds)
		group, ctx := errgroup.WithContext(ctx)
		group.SetLimit(max(options.Workers, 1))
		for i := range options.Seeds {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				t, err := newTrial(*options.Scenario, uint64(i+1), test.duration)
				if err != nil {
					return eris.Wrap(err, test.name)
				}
				t.advance(warmUpDuration)
				results[i], trials[i] = test.run(t), t
				if options.Progress != nil {
					options.Progress()
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
		reports = append(reports, test.buildReports(results, trials)...)
	}
	return reports, nil
}

// buildReports aggregates the trials of a case.
func (c *testCase) buildReports(results [][]interval, trials []*trial) []Report {
	reports := make([]Report, len(c.measuredIntervals))
	for m := range reports {
		report := &reports[m]
		report.Name, report.Measure = c.name, c.measuredIntervals[m]
		for i, result := range results {
			if result[m].completed {
				report.Times = append(report.Times, result[m].duration)
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
