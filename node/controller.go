package node

import (
	"errors"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/demand"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/membership"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/weights"
	"github.com/valveslip/valveslip/wire"
)

// candidacyDelayPerRank delays a node's attempt to become controller by its rank among
// the live nodes of the zone, so that they do not all write at once.
const candidacyDelayPerRank = 300 * time.Millisecond

// A node that finds the lease held by a suspected, dead or leaving node retries until
// the lease expires: at most once in challengeInterval, and while the holder is only
// suspected just the first maxSuspectChallengers nodes of the zone. This limits the
// load on the key-value service.
const (
	challengeInterval     = 500 * time.Millisecond
	maxSuspectChallengers = 2
)

// maxFirstStatusWait is the longest time a new controller's first plan waits for the
// weight store's status. Without a status, a plan assumes that the store allows one
// load at a time, and the planner raises that limit only slowly.
const maxFirstStatusWait = time.Second

// cellRole is this node's role in controlling its zone: the controller core, its
// lease, the demand it aggregates, its plans and the status it publishes.
type cellRole struct {
	core        *Core
	controller  *authority.Controller
	lease       *lease.Client
	planner     placement.Planner
	demand      *demand.Aggregator
	publisher   *statusPublisher
	prefixes    prefixRelay
	moves       cacheMoves
	storeStatus weights.Status
	loads       map[cluster.MachineID]cluster.LoadReport
	// vacantSince is the time since which the zone has had no live controller as far as
	// this node knows, zero while it has one.
	vacantSince time.Time
	// nextChallenge is the earliest time of the next attempt on a lease record that
	// another node holds.
	nextChallenge time.Time
	nextPlan      time.Time
	lastPlan      time.Time
	nextStoreRead time.Time
	nextLoadRead  time.Time
	// storeStatusDeadline ends the wait of plans for the weight store's first status.
	storeStatusDeadline time.Time
	inputsChanged       bool
	listVersion         uint64
	// minReplicas is the zone's share of minimum replica counts, nil when it must be
	// computed again.
	minReplicas map[cluster.ModelID]int
	// lastInventories is the version of the last inventory of each machine.
	lastInventories map[cluster.MachineID]inventoryVersion
	// expectedLoadEnds is the expected end of each load in progress.
	expectedLoadEnds map[replicaKey]time.Time
}

// inventoryVersion identifies one state of an engine's inventory.
type inventoryVersion struct{ epoch, sequence uint64 }

type replicaKey struct {
	machine cluster.MachineID
	model   cluster.ModelID
}

func newCellRole(core *Core) *cellRole {
	config := core.config.Controller
	config.Zone, config.Node = core.self.Zone, core.self.ID
	if config.BusyInventoryInterval == 0 {
		config.BusyInventoryInterval = busyInventoryInterval
	}
	role := &cellRole{core: core, controller: authority.NewController(config)}
	role.lease = newLease(core, keyCells+string(core.self.Zone))
	role.resetTerm()
	return role
}

// resetTerm drops the state that belongs to one term as controller.
func (r *cellRole) resetTerm() {
	if r.core.config.NewPlanner != nil {
		r.planner = r.core.config.NewPlanner()
	} else {
		r.planner = placement.NewPlanner(r.core.config.Placement)
	}
	r.demand = demand.New()
	r.publisher = newStatusPublisher(r)
	r.prefixes = newPrefixRelay()
	r.moves = newCacheMoves()
	r.loads = map[cluster.MachineID]cluster.LoadReport{}
	r.expectedLoadEnds = map[replicaKey]time.Time{}
	r.lastInventories = map[cluster.MachineID]inventoryVersion{}
	r.nextPlan, r.nextStoreRead, r.nextLoadRead = time.Time{}, time.Time{}, time.Time{}
	r.core.readMachinesAtNextTick()
}

// stepController passes an event to the controller core and carries out its effects.
func (r *cellRole) stepController(event authority.Event) {
	for _, effect := range r.controller.Step(r.core.now, event) {
		switch e := effect.(type) {
		case authority.AcquireLease:
			if r.mayAcquireLease() {
				r.lease.Acquire()
			}
		case authority.RenewLease:
			r.lease.Renew()
		case authority.ReleaseLease:
			r.lease.Release()
		case authority.SealMachine:
			r.core.emit(EngineCall{Operation: EngineSeal, Machine: e.Machine, Token: e.Token})
		case authority.ReadInventory:
			r.core.emit(EngineCall{Operation: EngineInventory, Machine: e.Machine, Token: r.controller.Token()})
		case authority.SendOrder:
			r.core.emit(EngineCall{Operation: EngineOrder, Machine: e.Machine, Token: e.Order.Token, Order: e.Order})
		case authority.SteppedDown:
			r.lease.Reset()
			r.resetTerm()
		}
	}
}

// mayAcquireLease reports whether this node should try to become controller now: the
// zone has no live controller, and the candidacy delay of this node's rank has passed.
func (r *cellRole) mayAcquireLease() bool {
	if r.core.draining {
		return false
	}
	claim, claimed := r.core.cells.latestClaims[r.core.self.Zone]
	heldByOther := claimed && claim.Node != r.core.self.ID
	if heldByOther && r.isUnsuspected(claim.Node) {
		r.vacantSince = time.Time{}
		return false
	}
	if r.core.now.Before(r.nextChallenge) || heldByOther && r.isAlive(claim.Node) && r.rank() >= maxSuspectChallengers {
		return false
	}
	if r.vacantSince.IsZero() {
		r.vacantSince = r.core.now
	}
	return r.core.now.Sub(r.vacantSince) >= time.Duration(r.rank())*candidacyDelayPerRank
}

// isUnsuspected reports whether membership considers the node alive. A suspected
// holder may be challenged, because only the lease record decides: a live holder keeps
// its lease.
func (r *cellRole) isUnsuspected(id cluster.NodeID) bool {
	member, known := r.core.members.Member(id)
	return known && member.State == membership.StateAlive
}

// isAlive reports whether a node is not known to be dead or leaving.
func (r *cellRole) isAlive(id cluster.NodeID) bool {
	if id == r.core.self.ID {
		return !r.core.draining
	}
	member, known := r.core.members.Member(id)
	return known && member.State != membership.StateDead && member.State != membership.StateLeaving
}

// rank returns the number of live nodes of the zone with a smaller ID.
func (r *cellRole) rank() int {
	rank := 0
	for _, member := range r.core.members.Members() {
		if member.Node.Zone == r.core.self.Zone && member.Node.ID < r.core.self.ID && r.isAlive(member.Node.ID) {
			rank++
		}
	}
	return rank
}

func (r *cellRole) leaseAnswered(answer KeyValueAnswered) {
	switch r.lease.Answered(leaseAnswerOf(answer)) {
	case lease.Acquired:
		r.resetTerm()
		// Records read in an earlier term may be outdated.
		r.core.restartRead()
		r.core.cells.recordClaim(wire.ControllerClaim{Zone: r.core.self.Zone, Node: r.core.self.ID, Token: r.lease.Token()})
		r.stepController(authority.LeaseAcquired{Token: r.lease.Token(), SentAt: r.lease.LeaseStart(), TTL: r.lease.GrantedTTL()})
		r.storeStatusDeadline = r.core.now.Add(maxFirstStatusWait)
		r.pollPlatform()
	case lease.HeldByOther:
		holder, token := r.lease.Holder()
		r.nextChallenge = r.core.now.Add(challengeInterval)
		r.core.claimReceived(wire.ControllerClaim{Zone: r.core.self.Zone, Node: cluster.NodeID(holder), Token: token})
	case lease.Renewed:
		r.stepController(authority.LeaseRenewed{SentAt: r.lease.LeaseStart(), TTL: r.lease.GrantedTTL()})
	case lease.Expired:
		r.stepController(authority.LeaseLost{})
	case lease.NoAnswer:
		r.stepController(authority.LeaseUnreachable{Unknown: verdict.Of(answer.Err) == verdict.MayHaveRun})
	}
}

// claimSuperseded ends this node's term when another node holds a newer token.
func (r *cellRole) claimSuperseded(claim wire.ControllerClaim) {
	if r.controller.Holding() && claim.Token > r.controller.Token() {
		r.stepController(authority.LeaseLost{})
	}
}

// resign releases the controller lease at once, so that another node can take over.
func (r *cellRole) resign() {
	if !r.controller.Holding() {
		return
	}
	r.stepController(authority.Resign{})
}

func (r *cellRole) tick() {
	r.stepController(authority.Tick{})
	if !r.controller.Holding() {
		return
	}
	r.pollPlatform()
	r.demand.Expire(r.core.now, routerDemandTimeout)
	r.planIfDue()
	r.publisher.tick()
	r.relayPrefixes()
	r.moveCaches()
}

// pollPlatform reads the weight store's status and the engines' load reports when due.
func (r *cellRole) pollPlatform() {
	now := r.core.now
	if !now.Before(r.nextStoreRead) {
		r.nextStoreRead = now.Add(storeStatusInterval)
		r.core.emit(ReadStoreStatus{})
	}
	if !now.Before(r.nextLoadRead) {
		r.nextLoadRead = now.Add(loadReportInterval)
		r.requestLoadReports()
	}
}

// requestLoadReports requests load reports from the engines that hold replicas.
func (r *cellRole) requestLoadReports() {
	for _, inventory := range r.controller.Inventories() {
		if len(inventory.Replicas) == 0 {
			continue
		}
		if machine, ok := r.controller.Machine(inventory.Machine); ok {
			r.core.emit(EngineCall{Operation: EngineReport, Machine: machine})
		}
	}
}

func (r *cellRole) engineAnswered(answer EngineAnswered) {
	switch answer.Call.Operation {
	case EngineReport:
		if answer.Err == nil {
			r.loads[answer.Report.Machine] = answer.Report
		}
		return
	case EngineMoveCache:
		r.cacheMoved(&answer)
		return
	}
	if answer.Call.Token != r.controller.Token() || !r.controller.Holding() {
		return
	}
	var stale *engine.StaleTokenError
	var refused *engine.RefusedError
	switch {
	case errors.As(answer.Err, &stale):
		r.stepController(authority.StaleToken{Machine: answer.Call.Machine.ID, Held: stale.Held})
	case errors.As(answer.Err, &refused) && answer.Call.Operation == EngineOrder:
		r.stepController(authority.OrderRefused{Machine: answer.Call.Machine.ID, Order: answer.Call.Order.ID})
	case answer.Err != nil:
		r.stepController(authority.EngineUnreachable{Machine: answer.Call.Machine.ID})
	case answer.Call.Operation == EngineSeal:
		r.stepController(authority.Sealed{Inventory: answer.Inventory})
	default:
		r.stepController(authority.InventoryRead{Inventory: answer.Inventory, Order: answer.Call.Order.ID})
	}
	if r.recordInventory(&answer) && r.controller.Holding() {
		r.inputsChanged, r.publisher.changed = true, true
		r.planIfDue()
		r.publisher.tick()
	}
}

// recordInventory reports whether an engine's answer has to be processed: it is a
// failure, or its inventory differs from the last one of the machine. Most inventory
// reads find no change.
func (r *cellRole) recordInventory(answer *EngineAnswered) bool {
	machine := answer.Call.Machine.ID
	if answer.Err != nil {
		delete(r.lastInventories, machine)
		return true
	}
	version := inventoryVersion{answer.Inventory.Epoch, answer.Inventory.Sequence}
	if r.lastInventories[machine] == version && answer.Call.Operation == EngineInventory {
		return false
	}
	r.lastInventories[machine] = version
	return true
}

// machinesListed passes the zone's part of the machine list to the controller and the
// whole list to the apportioner.
func (r *cellRole) machinesListed(listed MachinesListed) {
	own := make([]cluster.Machine, 0, len(listed.Machines))
	for _, machine := range listed.Machines {
		if machine.Zone == r.core.self.Zone {
			own = append(own, machine)
		}
	}
	if listed.Version != r.listVersion {
		r.listVersion, r.publisher.changed = listed.Version, true
	}
	r.core.apportioner.machinesListed(listed.Machines)
	r.stepController(authority.MachinesListed{Machines: own})
}

func (r *cellRole) storeStatusRead(read StoreStatusRead) {
	if read.Err == nil {
		r.storeStatus = read.Status
		r.storeStatusDeadline = time.Time{}
	}
}

// minimumShares returns the zone's share of minimum replica counts, recomputed after
// settings or allotments have changed.
func (r *cellRole) minimumShares() map[cluster.ModelID]int {
	if r.minReplicas == nil {
		r.minReplicas = r.core.minimumShares()
	}
	return r.minReplicas
}

func (r *cellRole) settingsChanged()  { r.inputsChanged, r.minReplicas = true, nil }
func (r *cellRole) allotmentChanged() { r.inputsChanged, r.publisher.changed = true, true }

func (r *cellRole) demandReceived(received wire.Demand) {
	if r.controller.Holding() {
		r.demand.Record(r.core.now, received)
		r.planIfDue()
	}
}

func (r *cellRole) forgetRouter(id cluster.NodeID) { r.demand.Forget(id) }

// planIfDue makes a plan when its inputs have changed or the next plan is due, and
// passes it to the controller core, which checks it against its own state again.
func (r *cellRole) planIfDue() {
	due := !r.core.now.Before(r.nextPlan)
	inputChange := (r.inputsChanged || r.demand.Changed()) && r.core.now.Sub(r.lastPlan) >= minPlanInterval
	if !due && !inputChange || !r.controller.Ready() || r.core.Snapshot() == nil || r.core.now.Before(r.storeStatusDeadline) {
		return
	}
	r.lastPlan = r.core.now
	r.inputsChanged = false
	state := r.controller.State(r.core.now)
	state.Settings = r.core.Snapshot()
	state.Demand = r.demand.Sum(r.core.now)
	state.Minimum = r.minimumShares()
	state.Store = r.storeShare()
	for i := range state.Machines {
		state.Machines[i].Load = r.loads[state.Machines[i].ID]
	}
	plan := r.planner.Plan(state)
	r.nextPlan = r.nextPlanTime(plan.Store, state.Store)
	r.recordExpectedLoadEnds(plan)
	r.core.apportioner.setPlannedReplicas(plan.Wanted)
	r.stepController(authority.PlanMade{Plan: plan})
	r.core.emit(PlanMade{Zone: r.core.self.Zone, Plan: plan})
}

// nextPlanTime returns when the next plan is due: after planInterval, or sooner if the
// weight store allows the next load start sooner. Below two starts per second, a start
// that is not used as soon as it is allowed is lost: up to one second of the 1.5 s
// between two starts of a zone.
func (r *cellRole) nextPlanTime(use placement.StoreUse, store placement.StoreState) time.Time {
	wait := planInterval
	if store.StartsPerSecond > 0 && use.Starts < 1 {
		wait = min(wait, time.Duration((1-use.Starts)/store.StartsPerSecond*float64(time.Second)))
	}
	return r.core.now.Add(wait)
}

// recordExpectedLoadEnds stores when loads should end, for the routers. Routers refuse
// requests based on these times, so only configured or observed load times are
// published, not assumed ones: a new controller assumes 9 s for 4 GiB, while a store
// may need less than 1 s.
func (r *cellRole) recordExpectedLoadEnds(plan placement.Plan) {
	for _, action := range plan.Actions {
		if action.Kind == cluster.OrderLoad && action.Founded {
			r.expectedLoadEnds[replicaKey{action.Machine, action.Model}] = r.core.now.Add(action.ExpectedTime)
		}
	}
}

// storeShare returns this cell's share of the weight store's limits: an equal share
// among the cells whose controller may order loads, or half of the free concurrency in
// addition to its own loads if that is more.
func (r *cellRole) storeShare() placement.StoreState {
	cells := r.countOrderingCells()
	equalShare := (r.storeStatus.Concurrency + cells - 1) / cells
	ownLoads := r.countLoadingReplicas()
	free := max(0, r.storeStatus.Concurrency-r.storeStatus.Active)
	speed := r.storeStatus.Speed
	if speed <= 0 {
		speed = 1
	}
	return placement.StoreState{
		StartsPerSecond: r.storeStatus.StartsPerSecond / float64(cells),
		Concurrency:     max(1, equalShare, ownLoads+free/2),
		Speed:           speed,
	}
}

// countOrderingCells returns the number of cells whose controller may order loads,
// including this node's cell.
func (r *cellRole) countOrderingCells() int {
	count := 1
	for zone := range r.core.cells.latestClaims {
		if zone != ApportionerZone && zone != r.core.self.Zone && r.core.hasLiveController(zone) {
			count++
		}
	}
	return count
}

func (r *cellRole) countLoadingReplicas() int {
	count := 0
	for _, inventory := range r.controller.Inventories() {
		for _, replica := range inventory.Replicas {
			if replica.State == cluster.ReplicaLoading {
				count++
			}
		}
	}
	return count
}
