package recovery

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/experiment"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/simulation"
)

const (
	// faultedZone is the zone in which the faults are injected. interruptedModel and zoneModel may
	// only be placed in this zone, anyZoneModel in any zone.
	faultedZone      cluster.ZoneID  = "a"
	interruptedModel cluster.ModelID = "here-00"
	zoneModel        cluster.ModelID = "here-01"
	anyZoneModel     cluster.ModelID = "anywhere-00"

	// machineFaultDelay is the time from the load order to a fault of the engine or machine, so
	// that the fault interrupts the load.
	machineFaultDelay = 1500 * time.Millisecond
	// requestDelayAfterFault is the time from the fault to the requests for the models that are not
	// loaded.
	requestDelayAfterFault = 100 * time.Millisecond
	// processReplacementDelay is the time until a new process replaces a stopped one.
	processReplacementDelay = 10 * time.Second
	// lostAnswersDuration is how long lostAnswersShare of the answers of the key-value service are
	// lost.
	lostAnswersDuration = 30 * time.Second
	lostAnswersShare    = 0.5
	// reclaimNotice is the time between the notice of a reclaim and the loss of the machine.
	reclaimNotice   = 10 * time.Second
	zoneCutDuration = 10 * time.Minute
	// restartDelayInOutage is the time from the start of the outage until a third of the nodes
	// restart.
	restartDelayInOutage = 5 * time.Minute
	// observationAfterFault is how long a run continues after the end of the fault.
	observationAfterFault = 2 * time.Minute
	// faultOffsetStream selects the random stream of the fault's offset, apart from the other
	// streams of the seed.
	faultOffsetStream = 0x7265636f
	// requestDeadline is the deadline of the measured requests.
	requestDeadline = 10 * time.Minute
)

// serviceRun is the run of one fault with one seed.
type serviceRun struct {
	world *simulation.World
	fault Fault
	times ServiceTimes
	// faultAt is the time of the fault, zero before it.
	faultAt time.Time
	// loadOrdered is true once the load that the fault interrupts was ordered.
	loadOrdered bool
	// lastPlanAt is the time of the last plan by the zone's current controller.
	lastPlanAt     time.Time
	targetNode     *simulation.Node
	loadingMachine cluster.MachineID
	apportioner    *simulation.Node
}

// measureService runs one fault with one seed. The scenario must have the zone and the models of
// the built-in scenario named recovery.
func measureService(scenario *experiment.Scenario, fault Fault, seed uint64) (ServiceTimes, error) {
	notMeasured := time.Duration(-1)
	run := &serviceRun{fault: fault, times: ServiceTimes{
		Seed: seed, Apportioner: notMeasured, UnderWay: notMeasured, Here: notMeasured, Anywhere: notMeasured,
	}}
	policies, err := experiment.ParsePolicies("adaptive")
	if err != nil {
		return run.times, err
	}
	extended := *scenario
	extended.Duration = run.duration()
	run.world, err = experiment.NewWorld(&extended, policies[0], seed, experiment.WorldOptions{
		EncodeMessages: true, Tamper: simulation.DefectHooks{Effect: run.observeEffect}, Finished: run.recordResult,
	})
	if err != nil {
		return run.times, err
	}
	// The offset varies the time of the fault between two renewals of the lease.
	offset := time.Duration(rand.New(rand.NewPCG(seed, faultOffsetStream)).Int64N(int64(10 * time.Second)))
	requestAt := simulation.Epoch.Add(scenario.Warmup + offset)
	run.world.Kernel.At(requestAt, simulation.LabelArrival, run.requestInterruptedModel)
	run.world.Run(requestAt.Add(run.duration()))
	if run.faultAt.IsZero() {
		return run.times, eris.Errorf("seed %d: no load was ordered in zone %s", seed, faultedZone)
	}
	run.updatePlanningGap(run.world.Kernel.Now())
	run.times.Violations = run.world.Checkers.Violations
	run.times.violationCount = run.world.Checkers.Total()
	return run.times, nil
}

// duration returns the length of a run after its warm-up.
func (r *serviceRun) duration() time.Duration {
	switch r.fault {
	case FaultZoneCut:
		return zoneCutDuration + observationAfterFault
	case FaultKeyValueDown, FaultKeyValueRestarts, FaultKeyValueControllers:
		return outageDuration + observationAfterFault
	default:
		return pauseDuration + observationAfterFault
	}
}

// requestInterruptedModel requests the model whose load the fault interrupts. In an outage with
// restarts, it starts the outage first.
func (r *serviceRun) requestInterruptedModel() {
	r.targetNode = r.world.Controller(faultedZone)
	if r.fault == FaultKeyValueRestarts || r.fault == FaultKeyValueControllers {
		r.world.Inject(simulation.Fault{Kind: simulation.FaultKeyValueDown, Duration: outageDuration})
		r.world.Kernel.After(restartDelayInOutage, simulation.LabelFault, func() { r.sendRequest(interruptedModel) })
		return
	}
	r.sendRequest(interruptedModel)
}

// sendRequest sends a request to a node of the zone other than targetNode.
func (r *serviceRun) sendRequest(model cluster.ModelID) {
	r.world.SendRequest(simulation.Arrival{
		At: r.world.Kernel.Now(), Model: model, Zone: faultedZone, TokenPath: "/", Team: "/", Repeatable: true,
		Deadline: requestDeadline, PromptTokens: 100, Tokens: 20,
	}, r.targetNode)
}

// observeEffect records the plans of the zone and schedules the fault when the load to interrupt is
// ordered.
func (r *serviceRun) observeEffect(from *simulation.Node, effect node.Effect) node.Effect {
	switch e := effect.(type) {
	case node.PlanMade:
		if e.Zone == faultedZone && r.world.Controller(faultedZone) == from {
			r.updatePlanningGap(r.world.Kernel.Now())
			r.lastPlanAt = r.world.Kernel.Now()
		}
	case node.EngineCall:
		if !r.loadOrdered && e.Operation == node.EngineOrder && e.Order.Kind == cluster.OrderLoad &&
			e.Order.Model == interruptedModel {
			r.loadOrdered = true
			r.loadingMachine, r.targetNode = e.Machine.ID, from
			r.world.Kernel.After(r.faultDelay(), simulation.LabelFault, r.injectAndMeasure)
		}
	}
	return effect
}

// faultDelay returns the time from the load order to the fault.
func (r *serviceRun) faultDelay() time.Duration {
	switch r.fault {
	case FaultEngineCrash, FaultReclaimNotice, FaultReclaimSudden:
		return machineFaultDelay
	default:
		// The order has been sent and its answer has not arrived.
		return 0
	}
}

// updatePlanningGap updates the longest time without a plan with the gap that ends now.
func (r *serviceRun) updatePlanningGap(now time.Time) {
	if r.faultAt.IsZero() {
		return
	}
	since := r.lastPlanAt
	if since.Before(r.faultAt) {
		since = r.faultAt
	}
	r.times.Planning = max(r.times.Planning, now.Sub(since))
}

// injectAndMeasure injects the fault, requests the models that are not loaded and waits for a live
// apportioner.
func (r *serviceRun) injectAndMeasure() {
	world := r.world
	r.faultAt = world.Kernel.Now()
	r.apportioner = world.Apportioner()
	r.injectFault()
	world.Kernel.After(requestDelayAfterFault, simulation.LabelArrival, func() {
		r.sendRequest(zoneModel)
		r.sendRequest(anyZoneModel)
	})
	const apportionerPollInterval = 100 * time.Millisecond
	world.Kernel.Every(0, apportionerPollInterval, simulation.LabelFault, func() bool {
		if world.Apportioner() == nil {
			return true
		}
		r.times.Apportioner = world.Kernel.Now().Sub(r.faultAt)
		return false
	})
}

// injectFault injects the fault of the run.
func (r *serviceRun) injectFault() {
	world := r.world
	switch r.fault {
	case FaultControllerCrash:
		world.Inject(simulation.Fault{Node: r.targetNode.ID, Kind: simulation.FaultNodeCrash, Duration: processReplacementDelay})
	case FaultControllerPause:
		world.Inject(simulation.Fault{Node: r.targetNode.ID, Kind: simulation.FaultNodePause, Duration: pauseDuration})
	case FaultControllerStop:
		world.Inject(simulation.Fault{Node: r.targetNode.ID, Kind: simulation.FaultNodeStop, Duration: processReplacementDelay})
	case FaultCrashLostAnswers:
		world.KeyValue.LostAnswers = lostAnswersShare
		world.Kernel.After(lostAnswersDuration, simulation.LabelFault, func() { world.KeyValue.LostAnswers = 0 })
		world.Inject(simulation.Fault{Node: r.targetNode.ID, Kind: simulation.FaultNodeCrash, Duration: processReplacementDelay})
	case FaultApportionerCrash:
		if r.apportioner != nil {
			world.Inject(simulation.Fault{Node: r.apportioner.ID, Kind: simulation.FaultNodeCrash, Duration: processReplacementDelay})
		}
	case FaultEngineCrash:
		world.Inject(simulation.Fault{Machine: r.loadingMachine, Kind: simulation.FaultEngineCrash})
	case FaultReclaimNotice:
		world.Inject(simulation.Fault{Machine: r.loadingMachine, Kind: simulation.FaultMachineReclaim, Duration: reclaimNotice})
	case FaultReclaimSudden:
		world.Inject(simulation.Fault{Machine: r.loadingMachine, Kind: simulation.FaultMachineReclaim})
	case FaultZoneCut:
		world.Inject(simulation.Fault{Kind: simulation.FaultZoneIsolated, Zone: faultedZone, Duration: zoneCutDuration})
	case FaultKeyValueDown:
		world.Inject(simulation.Fault{Kind: simulation.FaultKeyValueDown, Duration: outageDuration})
	case FaultKeyValueRestarts, FaultKeyValueControllers:
		r.restartThirdOfNodes(r.fault == FaultKeyValueControllers)
	}
}

// restartThirdOfNodes restarts a third of the nodes: the controller of faultedZone and nodes of
// other zones, which are all controllers or all not.
func (r *serviceRun) restartThirdOfNodes(controllers bool) {
	const third = 3
	nodes := r.world.Nodes()
	remaining := len(nodes)/third - 1
	r.restartNode(r.targetNode)
	for _, candidate := range nodes {
		isController := r.world.Controller(candidate.Place.Zone) == candidate
		if candidate.Place.Zone != faultedZone && isController == controllers && remaining > 0 {
			remaining--
			r.restartNode(candidate)
		}
	}
}

// restartNode crashes a node, which restarts after processReplacementDelay.
func (r *serviceRun) restartNode(target *simulation.Node) {
	r.world.Inject(simulation.Fault{Kind: simulation.FaultNodeCrash, Node: target.ID, Duration: processReplacementDelay})
}

// recordResult counts a finished request and records the time to its first token.
func (r *serviceRun) recordResult(result simulation.Result) {
	if !r.faultAt.IsZero() && result.Arrival.At.After(r.faultAt) {
		r.times.Arrived++
		if result.Outcome == simulation.OutcomeServed {
			r.times.Served++
		}
	}
	if result.Outcome != simulation.OutcomeServed || r.faultAt.IsZero() {
		return
	}
	after := result.FirstToken.Sub(r.faultAt)
	switch result.Arrival.Model {
	case interruptedModel:
		r.times.UnderWay = after
	case zoneModel:
		r.times.Here = after
	case anyZoneModel:
		r.times.Anywhere = after
	}
}
