package authority

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/wire"
)

// State returns the snapshot from which a plan is computed. The caller adds Settings,
// Demand, Store and the machines' Load.
//
// A machine that takes no orders has Sealed false. A machine without evidence is listed
// with unknown replicas of the models that it may hold, as many as the allotment leaves
// room for. The planner then neither loads a replica beyond the allotment nor unloads a
// working one because of one that may not exist.
func (c *Controller) State(now time.Time) placement.State {
	state := placement.State{Now: now, Zone: c.config.Zone, Token: c.token, Allotment: c.allotment}
	if c.allotment == nil {
		state.Allotment = &cluster.Allotment{Zone: c.config.Zone}
	}
	state.Machines = make([]placement.Machine, 0, len(c.ledgers))
	for _, ledger := range c.ledgers {
		state.Machines = append(state.Machines, c.machineState(ledger))
	}
	c.addPossibleReplicas(&state)
	return state
}

func (c *Controller) machineState(ledger *machineLedger) placement.Machine {
	inventory := &ledger.inventory
	return placement.Machine{
		ID: ledger.machine.ID, Rack: ledger.machine.Rack, Pool: inventory.Pool,
		Sealed:      ledger.sealed && ledger.isResponsive() && c.permittedMachines[ledger.machine.ID],
		Leaving:     ledger.machine.Leaving || inventory.Leaving || !c.tracker.isInLatestList(ledger.machine.ID),
		MemoryBytes: inventory.MemoryBytes, Accelerators: inventory.Accelerators, Slots: inventory.Slots,
		Replicas: ledger.plannerSlots(), Cached: inventory.Cached,
	}
}

// addPossibleReplicas adds the replicas that may exist on machines without evidence.
func (c *Controller) addPossibleReplicas(state *placement.State) {
	unconfirmed := c.machinesLackingEvidence()
	if len(unconfirmed) == 0 {
		return
	}
	index := make(map[cluster.MachineID]int, len(state.Machines))
	for i := range state.Machines {
		index[state.Machines[i].ID] = i
	}
	counts := c.confirmedCounts()
	for i := range c.allotment.Models {
		allotted := &c.allotment.Models[i]
		room := allotted.MaxReplicas - counts[allotted.Model]
		for _, id := range unconfirmed {
			if room <= 0 {
				break
			}
			if !mayHold(allotted, id) {
				continue
			}
			position := findOrAddMachine(state, index, id)
			state.Machines[position].Replicas = append(state.Machines[position].Replicas,
				placement.Replica{Model: allotted.Model, State: cluster.ReplicaLoading, Unknown: true})
			room--
		}
	}
	slices.SortFunc(state.Machines, func(a, b placement.Machine) int { return compareStrings(a.ID, b.ID) })
}

// findOrAddMachine returns the machine's index in the state. It adds a machine that the
// allotment names and the machine list lacks.
func findOrAddMachine(state *placement.State, index map[cluster.MachineID]int, id cluster.MachineID) int {
	if position, ok := index[id]; ok {
		return position
	}
	state.Machines = append(state.Machines, placement.Machine{ID: id, Leaving: true})
	index[id] = len(state.Machines) - 1
	return index[id]
}

// machinesLackingEvidence returns the allotment's machines for which lacksEvidence is
// true.
func (c *Controller) machinesLackingEvidence() []cluster.MachineID {
	if c.allotment == nil {
		return nil
	}
	var unconfirmed []cluster.MachineID
	for _, id := range c.allotment.Machines {
		if c.lacksEvidence(id) {
			unconfirmed = append(unconfirmed, id)
		}
	}
	return unconfirmed
}

// confirmedCounts returns, for every model of the ledgers, the number of replicas and
// pending loads.
func (c *Controller) confirmedCounts() map[cluster.ModelID]int {
	counts := make(map[cluster.ModelID]int)
	for _, ledger := range c.ledgers {
		if !ledger.hasEvidence {
			continue
		}
		for i := range ledger.inventory.Replicas {
			counts[ledger.inventory.Replicas[i].Model]++
		}
		for _, pending := range ledger.pending {
			_, found := ledger.inventory.Find(pending.order.Model)
			if !found && pending.order.Kind == cluster.OrderLoad {
				counts[pending.order.Model]++
			}
		}
	}
	return counts
}

// Report returns how many replicas of each model the zone may hold, sorted by model,
// without the models that it can't hold. The caller adds Wanted.
func (c *Controller) Report() []wire.ZoneModelReport {
	counts := c.confirmedCounts()
	unconfirmed := c.machinesLackingEvidence()
	if len(unconfirmed) > 0 {
		for i := range c.allotment.Models {
			allotted := &c.allotment.Models[i]
			for _, id := range unconfirmed {
				if mayHold(allotted, id) {
					counts[allotted.Model]++
				}
			}
		}
	}
	reports := make([]wire.ZoneModelReport, 0, len(counts))
	for _, model := range slices.Sorted(maps.Keys(counts)) {
		reports = append(reports, wire.ZoneModelReport{Model: model, Held: counts[model]})
	}
	return reports
}

// AllotmentRevision returns the revision of the allotment in use, zero for none. It must
// be sent together with a Report of the same moment.
func (c *Controller) AllotmentRevision() int64 {
	if c.allotment == nil {
		return 0
	}
	return c.allotment.Revision
}

// Inventories returns the newest inventory of each machine, sorted by machine.
func (c *Controller) Inventories() []cluster.Inventory {
	list := make([]cluster.Inventory, 0, len(c.ledgers))
	for _, ledger := range c.ledgers {
		if ledger.hasEvidence {
			list = append(list, ledger.inventory)
		}
	}
	return list
}

// Machine returns a machine of the zone as the machine list has it.
func (c *Controller) Machine(id cluster.MachineID) (cluster.Machine, bool) {
	ledger := c.ledgerOf(id)
	if ledger == nil {
		return cluster.Machine{}, false
	}
	return ledger.machine, true
}

// Responsive reports whether the machine's engine answers calls. The replicas of an engine
// that doesn't answer take no requests, but still count against memory and the allotment.
func (c *Controller) Responsive(id cluster.MachineID) bool {
	ledger := c.ledgerOf(id)
	return ledger != nil && ledger.isResponsive()
}

// FreeBytes returns the unoccupied memory of all sealed machines.
func (c *Controller) FreeBytes() int64 {
	free := int64(0)
	for _, ledger := range c.ledgers {
		if ledger.sealed {
			free += max(0, ledger.inventory.MemoryBytes-ledger.usedBytes())
		}
	}
	return free
}

// PoolReports returns the machines with evidence by engine pool, sorted by pool and
// machine.
func (c *Controller) PoolReports() []wire.PoolReport {
	machines := make(map[string][]cluster.MachineID)
	for _, ledger := range c.ledgers {
		if ledger.hasEvidence {
			machines[ledger.inventory.Pool] = append(machines[ledger.inventory.Pool], ledger.machine.ID)
		}
	}
	reports := make([]wire.PoolReport, 0, len(machines))
	for _, pool := range sortedKeys(machines) {
		reports = append(reports, wire.PoolReport{Pool: pool, Machines: machines[pool]})
	}
	return reports
}
