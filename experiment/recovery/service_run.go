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
	// serviceZone is the zone that the faults hit; the scenario's models
	// serviceUnderWay and serviceHere may be held there only.
	serviceZone     cluster.ZoneID  = "a"
	serviceUnderWay cluster.ModelID = "here-00"
	serviceHere     cluster.ModelID = "here-01"
	serviceAnywhere cluster.ModelID = "anywhere-00"

	// midLoad is how long after the order a fault of the machine happens.
	midLoad = 1500 * time.Millisecond
	// askedAfter is how long after the fault the next requests come.
	askedAfter = 100 * time.Millisecond
	// replacement is how long a dead process takes to be replaced.
	replacement = 10 * time.Second
	// lostTime is how long answers of the key-value service are lost.
	lostTime = 30 * time.Second
	lostHalf = 0.5
	// reclaimNotice of a machine.
	reclaimNotice = 10 * time.Second
	zoneCutTime   = 10 * time.Minute
	// restartsAfter the begin of the outage a third of the nodes restart.
	restartsAfter = 5 * time.Minute
	// observed is how long a run goes on after the end of the fault.
	observed = 2 * time.Minute
	// offsetStream tells the random offset of the fault from other streams.
	offsetStream = 0x7265636f
	// serviceDeadline of the requests.
	serviceDeadline = 10 * time.Minute
)

// serviceRun is one fault in one seed.
type serviceRun struct {
	world *simulation.World
	fault Fault
	times ServiceTimes
	// began is when the fault happened, zero before.
	began time.Time
	// triggered is true once the load that the fault interrupts was ordered.
	triggered bool
	// planned is when the zone's newest controller last planned.
	planned time.Time
	victim  *simulation.Node
	machine cluster.MachineID
	appoint *simulation.Node
}

// measureService runs one fault in one seed. The scenario must have the zone
// and the models of the committed one named recovery.
func measureService(scenario *experiment.Scenario, fault Fault, seed uint64) (ServiceTimes, error) {
	never := time.Duration(-1)
	run := &serviceRun{fault: fault, times: ServiceTimes{
		Seed: seed, Apportioner: never, UnderWay: never, Here: never, Anywhere: never,
	}}
	policies, err := experiment.ParsePolicies("adaptive")
	if err != nil {
		return run.times, err
	}
	longer := *scenario
	longer.Duration = run.length()
	run.world, err = experiment.NewWorld(&longer, policies[0], seed, experiment.WorldOptions{
		EncodeMessages: true, Tamper: simulation.Tamper{Effect: run.observe}, Finished: run.finished,
	})
	if err != nil {
		return run.times, err
	}
	// The fault falls anywhere between two renewals of the lease.
	offset := time.Duration(rand.New(rand.NewPCG(seed, offsetStream)).Int64N(int64(10 * time.Second)))
	begin := simulation.Epoch.Add(scenario.Warmup + offset)
	run.world.Kernel.At(begin, simulation.LabelArrival, run.begin)
	run.world.Run(begin.Add(run.length()))
	if run.began.IsZero() {
		return run.times, eris.Errorf("seed %d: no load was ordered in zone %s", seed, serviceZone)
	}
	run.noPlan(run.world.Kernel.Now())
	run.times.Violations = run.world.Checkers.Violations
	run.times.violated = run.world.Checkers.Total()
	return run.times, nil
}

// length of a run after its warm-up.
func (r *serviceRun) length() time.Duration {
	switch r.fault {
	case FaultZoneCut:
		return zoneCutTime + observed
	case FaultKeyValueDown, FaultKeyValueRestarts, FaultKeyValueControllers:
		return outageTime + observed
	default:
		return pauseTime + observed
	}
}

// begin asks for the model whose load the fault interrupts.
func (r *serviceRun) begin() {
	r.victim = r.world.Controller(serviceZone)
	if r.fault == FaultKeyValueRestarts || r.fault == FaultKeyValueControllers {
		r.world.Inject(simulation.Fault{Kind: simulation.FaultKeyValueDown, Duration: outageTime})
		r.world.Kernel.After(restartsAfter, simulation.LabelFault, func() { r.ask(serviceUnderWay) })
		return
	}
	r.ask(serviceUnderWay)
}

// ask sends a request to a node of the zone that the fault leaves alone.
func (r *serviceRun) ask(model cluster.ModelID) {
	r.world.Ask(simulation.Arrival{
		At: r.world.Kernel.Now(), Model: model, Zone: serviceZone, TokenPath: "/", Team: "/", Repeatable: true,
		Deadline: serviceDeadline, PromptTokens: 100, Tokens: 20,
	}, r.victim)
}

// observe follows the plans of the zone and waits for the load to interrupt.
func (r *serviceRun) observe(from *simulation.Node, effect node.Effect) node.Effect {
	switch e := effect.(type) {
	case node.Planned:
		if e.Zone == serviceZone && r.world.Controller(serviceZone) == from {
			r.noPlan(r.world.Kernel.Now())
			r.planned = r.world.Kernel.Now()
		}
	case node.EngineCall:
		if !r.triggered && e.Operation == node.EngineOrder && e.Order.Kind == cluster.OrderLoad &&
			e.Order.Model == serviceUnderWay {
			r.triggered = true
			r.machine, r.victim = e.Machine.ID, from
			r.world.Kernel.After(r.delay(), simulation.LabelFault, r.strike)
		}
	}
	return effect
}

// delay of the fault after the order.
func (r *serviceRun) delay() time.Duration {
	switch r.fault {
	case FaultEngineCrash, FaultReclaimNotice, FaultReclaimSudden:
		return midLoad
	default:
		// The order is on its way, its answer has not come.
		return 0
	}
}

// noPlan notes the time without a plan that ends now.
func (r *serviceRun) noPlan(now time.Time) {
	if r.began.IsZero() {
		return
	}
	since := r.planned
	if since.Before(r.began) {
		since = r.began
	}
	r.times.Planning = max(r.times.Planning, now.Sub(since))
}

// strike makes the fault happen and asks for the cold models.
func (r *serviceRun) strike() {
	w := r.world
	r.began = w.Kernel.Now()
	r.appoint = w.Apportioner()
	r.inject()
	w.Kernel.After(askedAfter, simulation.LabelArrival, func() {
		r.ask(serviceHere)
		r.ask(serviceAnywhere)
	})
	const poll = 100 * time.Millisecond
	w.Kernel.Every(0, poll, simulation.LabelFault, func() bool {
		if w.Apportioner() == nil {
			return true
		}
		r.times.Apportioner = w.Kernel.Now().Sub(r.began)
		return false
	})
}

// inject makes the fault happen.
func (r *serviceRun) inject() {
	w := r.world
	switch r.fault {
	case FaultControllerCrash:
		w.Inject(simulation.Fault{Node: r.victim.ID, Kind: simulation.FaultNodeCrash, Duration: replacement})
	case FaultControllerPause:
		w.Inject(simulation.Fault{Node: r.victim.ID, Kind: simulation.FaultNodePause, Duration: pauseTime})
	case FaultControllerStop:
		w.Inject(simulation.Fault{Node: r.victim.ID, Kind: simulation.FaultNodeStop, Duration: replacement})
	case FaultCrashLostAnswers:
		w.KeyValue.LostAnswers = lostHalf
		w.Kernel.After(lostTime, simulation.LabelFault, func() { w.KeyValue.LostAnswers = 0 })
		w.Inject(simulation.Fault{Node: r.victim.ID, Kind: simulation.FaultNodeCrash, Duration: replacement})
	case FaultApportionerCrash:
		if r.appoint != nil {
			w.Inject(simulation.Fault{Node: r.appoint.ID, Kind: simulation.FaultNodeCrash, Duration: replacement})
		}
	case FaultEngineCrash:
		w.Inject(simulation.Fault{Machine: r.machine, Kind: simulation.FaultEngineCrash})
	case FaultReclaimNotice:
		w.Inject(simulation.Fault{Machine: r.machine, Kind: simulation.FaultMachineReclaim, Duration: reclaimNotice})
	case FaultReclaimSudden:
		w.Inject(simulation.Fault{Machine: r.machine, Kind: simulation.FaultMachineReclaim})
	case FaultZoneCut:
		w.Inject(simulation.Fault{Kind: simulation.FaultZoneCut, Zone: serviceZone, Duration: zoneCutTime})
	case FaultKeyValueDown:
		w.Inject(simulation.Fault{Kind: simulation.FaultKeyValueDown, Duration: outageTime})
	case FaultKeyValueRestarts, FaultKeyValueControllers:
		r.restartThird(r.fault == FaultKeyValueControllers)
	}
}

// restartThird restarts a third of the nodes: the zone's controller and, of the
// other zones, either the controllers too or none of them.
func (r *serviceRun) restartThird(controllers bool) {
	const third = 3
	nodes := r.world.Nodes()
	left := len(nodes)/third - 1
	r.restart(r.victim)
	for _, candidate := range nodes {
		holds := r.world.Controller(candidate.Place.Zone) == candidate
		if candidate.Place.Zone != serviceZone && holds == controllers && left > 0 {
			left--
			r.restart(candidate)
		}
	}
}

func (r *serviceRun) restart(victim *simulation.Node) {
	r.world.Inject(simulation.Fault{Kind: simulation.FaultNodeCrash, Node: victim.ID, Duration: replacement})
}

// finished takes the outcome of the requests that measure.
func (r *serviceRun) finished(result simulation.Result) {
	if !r.began.IsZero() && result.Arrival.At.After(r.began) {
		r.times.Arrived++
		if result.Outcome == simulation.OutcomeServed {
			r.times.Served++
		}
	}
	if result.Outcome != simulation.OutcomeServed || r.began.IsZero() {
		return
	}
	after := result.FirstToken.Sub(r.began)
	switch result.Arrival.Model {
	case serviceUnderWay:
		r.times.UnderWay = after
	case serviceHere:
		r.times.Here = after
	case serviceAnywhere:
		r.times.Anywhere = after
	}
}
