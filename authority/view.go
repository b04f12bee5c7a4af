package authority

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/wire"
)

// State returns the snapshot a plan is made from. The caller adds Settings,
// Demand, Store and the machines' Load.
//
// A machine that takes no orders is shown with Sealed false. A machine without
// evidence is shown with unknown replicas of the models it may hold, as many as
// the allotment leaves room for: so a planner loads no replica too many, nor
// unloads a good one because of one that may not exist.
func (c *Controller) State(now time.Time) placement.State {
	state := placement.State{Now: now, Zone: c.config.Zone, Token: c.token, Allotment: c.allotment}
	if c.allotment == nil {
		state.Allotment = &cluster.Allotment{Zone: c.config.Zone}
	}
	state.Machines = make([]placement.Machine, 0, len(c.machines))
	for _, entry := range c.machines {
		state.Machines = append(state.Machines, c.machineState(entry))
	}
	c.addUnknown(&state)
	return state
}

func (c *Controller) machineState(entry *machineLedger) placement.Machine {
	inventory := &entry.inventory
	return placement.Machine{
		ID: entry.machine.ID, Rack: entry.machine.Rack, Pool: inventory.Pool,
		Sealed:      entry.sealed && entry.responsive() && c.permitted[entry.machine.ID],
		Leaving:     entry.machine.Leaving || inventory.Leaving || !c.presence.inLatest(entry.machine.ID),
		MemoryBytes: inventory.MemoryBytes, Accelerators: inventory.Accelerators, Slots: inventory.Slots,
		Replicas: entry.slots(), Cached: inventory.Cached,
	}
}

// addUnknown adds replicas that may exist on machines without evidence.
func (c *Controller) addUnknown(state *placement.State) {
	missing := c.machinesWithoutEvidence()
	if len(missing) == 0 {
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
		for _, id := range missing {
			if room <= 0 {
				break
			}
			if !mayHold(allotted, id) {
				continue
			}
			position := unknownPosition(state, index, id)
			state.Machines[position].Replicas = append(state.Machines[position].Replicas,
				placement.Slot{Model: allotted.Model, State: cluster.ReplicaLoading, Unknown: true})
			room--
		}
	}
	slices.SortFunc(state.Machines, func(a, b placement.Machine) int { return compareStrings(a.ID, b.ID) })
}

// unknownPosition finds the machine in the state, or adds it when it is named
// by the record but not in the machine list.
func unknownPosition(state *placement.State, index map[cluster.MachineID]int, id cluster.MachineID) int {
	if position, ok := index[id]; ok {
		return position
	}
	state.Machines = append(state.Machines, placement.Machine{ID: id, Leaving: true})
	index[id] = len(state.Machines) - 1
	return index[id]
}

// machinesWithoutEvidence returns the record's machines without evidence.
func (c *Controller) machinesWithoutEvidence() []cluster.MachineID {
	if c.allotment == nil {
		return nil
	}
	var missing []cluster.MachineID
	for _, id := range c.allotment.Machines {
		if c.withoutEvidence(id) {
			missing = append(missing, id)
		}
	}
	return missing
}

// confirmedCounts returns confirmed for every model of the ledger.
func (c *Controller) confirmedCounts() map[cluster.ModelID]int {
	counts := make(map[cluster.ModelID]int)
	for _, entry := range c.machines {
		if !entry.known {
			continue
		}
		for i := range entry.inventory.Replicas {
			counts[entry.inventory.Replicas[i].Model]++
		}
		for _, pending := range entry.pending {
			_, found := entry.inventory.Find(pending.order.Model)
			if !found && pending.order.Kind == cluster.OrderLoad {
				counts[pending.order.Model]++
			}
		}
	}
	return counts
}

// Report returns how many replicas of each model the zone may hold, sorted by
// model; models that it can't hold are left out. The caller adds Wanted.
func (c *Controller) Report() []wire.ZoneModelReport {
	counts := c.confirmedCounts()
	missing := c.machinesWithoutEvidence()
	if len(missing) > 0 {
		for i := range c.allotment.Models {
			allotted := &c.allotment.Models[i]
			for _, id := range missing {
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

// AllotmentRevision returns the revision of the record in use, zero for none.
// It must be sent with the Report of the same moment.
func (c *Controller) AllotmentRevision() int64 {
	if c.allotment == nil {
		return 0
	}
	return c.allotment.Revision
}

// Inventories returns the newest evidence of each machine, sorted by machine.
func (c *Controller) Inventories() []cluster.Inventory {
	list := make([]cluster.Inventory, 0, len(c.machines))
	for _, entry := range c.machines {
		if entry.known {
			list = append(list, entry.inventory)
		}
	}
	return list
}

// Machine returns the list entry of a machine of the cell.
func (c *Controller) Machine(id cluster.MachineID) (cluster.Machine, bool) {
	entry := c.machine(id)
	if entry == nil {
		return cluster.Machine{}, false
	}
	return entry.machine, true
}

// Responsive reports whether the machine's engine answers. What it holds when it
// does not is no use to callers, though it still counts.
func (c *Controller) Responsive(id cluster.MachineID) bool {
	entry := c.machine(id)
	return entry != nil && entry.responsive()
}

// FreeBytes returns the memory of sealed machines that nothing occupies.
func (c *Controller) FreeBytes() int64 {
	free := int64(0)
	for _, entry := range c.machines {
		if entry.sealed {
			free += max(0, entry.inventory.MemoryBytes-entry.usedBytes())
		}
	}
	return free
}

// PoolReports lists the machines with evidence by engine pool, all sorted.
func (c *Controller) PoolReports() []wire.PoolReport {
	machines := make(map[string][]cluster.MachineID)
	for _, entry := range c.machines {
		if entry.known {
			machines[entry.inventory.Pool] = append(machines[entry.inventory.Pool], entry.machine.ID)
		}
	}
	reports := make([]wire.PoolReport, 0, len(machines))
	for _, pool := range sortedKeys(machines) {
		reports = append(reports, wire.PoolReport{Pool: pool, Machines: machines[pool]})
	}
	return reports
}
