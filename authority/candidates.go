package authority

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// remainingCandidates returns the entry's candidates that have not gone.
func (z *zoneDivision) remainingCandidates(entry *cluster.ModelAllotment, tracker *MachineTracker) []cluster.MachineID {
	if entry == nil {
		return nil
	}
	if z.allMachinesRemain() {
		return entry.Candidates
	}
	var list []cluster.MachineID
	for _, id := range entry.Candidates {
		if !tracker.Gone(id) {
			list = append(list, id)
		}
	}
	return list
}

// chooseCandidates returns the machines of the zone that may hold the model, sorted. An
// empty list allows every machine.
//
// A candidate that may hold the model is dropped only once it has gone from the machine
// list, because a new controller looks for replicas on candidates only. An entry that
// allows every machine keeps doing so while the zone may hold the model.
func (d *division) chooseCandidates(zone *zoneDivision, model *settings.Model, c *zoneModel) []cluster.MachineID {
	inUse := c.currentEntry != nil && (c.upperBound > 0 || c.currentEntry.MaxReplicas > 0)
	small := len(zone.listedMachines) <= d.state.Config.CandidateCount
	if (inUse && len(c.currentEntry.Candidates) == 0) || (!inUse && small) {
		return nil
	}
	var list []cluster.MachineID
	if inUse {
		list = zone.remainingCandidates(c.currentEntry, d.state.Tracker)
	}
	return d.extendCandidates(zone, model, list)
}

// wantedCandidates returns how many candidates able to take the model it should have.
func (d *division) wantedCandidates(zone *zoneDivision, model *settings.Model) int {
	return max(d.state.Config.CandidateCount, min(2*model.Policy.MaxReplicas, len(zone.listedMachines)))
}

// countFittingMachines returns how many listed machines of the zone can take a model of
// the pool.
func (z *zoneDivision) countFittingMachines(pool string) int {
	if count, ok := z.fittingByPool[pool]; ok {
		return count
	}
	count := 0
	for _, machine := range z.listedMachines {
		if z.canHostPool(machine.ID, pool) {
			count++
		}
	}
	z.fittingByPool[pool] = count
	return count
}

// canHostPool reports whether the machine can take a model of the engine pool now. A
// machine whose pool is unknown counts as able to.
func (z *zoneDivision) canHostPool(id cluster.MachineID, pool string) bool {
	if z.leavingMachines[id] {
		return false
	}
	present, known := z.poolByMachine[id]
	return !known || pool == "" || present == pool
}

// extendCandidates adds machines in the order of rankMachines until enough of the list can
// take the model.
func (d *division) extendCandidates(zone *zoneDivision, model *settings.Model, list []cluster.MachineID) []cluster.MachineID {
	wanted := min(d.wantedCandidates(zone, model), zone.countFittingMachines(model.Policy.EnginePool))
	fitting := 0
	for _, id := range list {
		if zone.canHostPool(id, model.Policy.EnginePool) {
			fitting++
		}
	}
	if fitting >= wanted {
		return list
	}
	extended := slices.Clone(list)
	for _, id := range zone.rankMachines(model) {
		if fitting >= wanted {
			break
		}
		if !slices.Contains(list, id) && zone.canHostPool(id, model.Policy.EnginePool) {
			extended = append(extended, id)
			fitting++
		}
	}
	slices.Sort(extended)
	return extended
}

// rankMachines orders the zone's machines for a model by rendezvous hashing, taking one
// machine of each rack in turn. An adapter uses its base model's order.
func (z *zoneDivision) rankMachines(model *settings.Model) []cluster.MachineID {
	name := model.ID
	if model.Base != "" {
		name = model.Base
	}
	type scored struct {
		id    cluster.MachineID
		rack  string
		score uint64
		round int
	}
	list := make([]scored, len(z.listedMachines))
	for i, machine := range z.listedMachines {
		list[i] = scored{id: machine.ID, rack: machine.Rack, score: hashPair(string(name), string(machine.ID))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return compareStrings(a.id, b.id)
	})
	rounds := make(map[string]int)
	for i := range list {
		list[i].round = rounds[list[i].rack]
		rounds[list[i].rack]++
	}
	slices.SortStableFunc(list, func(a, b scored) int { return a.round - b.round })
	ids := make([]cluster.MachineID, len(list))
	for i := range list {
		ids[i] = list[i].id
	}
	return ids
}
