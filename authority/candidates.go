package authority

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// remaining returns the entry's candidates that have not gone.
func (z *zoneDivision) remaining(entry *cluster.ModelAllotment, presence *Presence) []cluster.MachineID {
	if entry == nil {
		return nil
	}
	if z.allAlive() {
		return entry.Candidates
	}
	var list []cluster.MachineID
	for _, id := range entry.Candidates {
		if !presence.Gone(id) {
			list = append(list, id)
		}
	}
	return list
}

// candidates chooses the machines of the zone that may hold the model, sorted;
// none means any.
//
// A candidate that may hold the model is never dropped before it has gone from
// the machine list: a new controller looks for replicas on candidates only. An
// entry that allows every machine stays so while the zone may hold the model.
func (d *division) candidates(zone *zoneDivision, model *settings.Model, c *cell) []cluster.MachineID {
	inUse := c.entry != nil && (c.bound > 0 || c.entry.MaxReplicas > 0)
	small := len(zone.listed) <= d.state.Config.CandidateCount
	if (inUse && len(c.entry.Candidates) == 0) || (!inUse && small) {
		return nil
	}
	var list []cluster.MachineID
	if inUse {
		list = zone.remaining(c.entry, d.state.Presence)
	}
	return d.extendCandidates(zone, model, list)
}

// candidateCount is how many candidates that can take the model it should have.
func (d *division) candidateCount(zone *zoneDivision, model *settings.Model) int {
	return max(d.state.Config.CandidateCount, min(2*model.Policy.MaxReplicas, len(zone.listed)))
}

// fittingCount is how many machines of the zone can take a model of the pool.
func (z *zoneDivision) fittingCount(pool string) int {
	if count, ok := z.fitting[pool]; ok {
		return count
	}
	count := 0
	for _, machine := range z.listed {
		if z.fits(machine.ID, pool) {
			count++
		}
	}
	z.fitting[pool] = count
	return count
}

// fits reports whether the machine can take a model of the pool now. A machine
// of unknown pool may.
func (z *zoneDivision) fits(id cluster.MachineID, pool string) bool {
	if z.leaving[id] {
		return false
	}
	present, known := z.pools[id]
	return !known || pool == "" || present == pool
}

// extendCandidates adds machines in rendezvous order, those of other racks
// first, until enough of the list can take the model.
func (d *division) extendCandidates(zone *zoneDivision, model *settings.Model, list []cluster.MachineID) []cluster.MachineID {
	wanted := min(d.candidateCount(zone, model), zone.fittingCount(model.Policy.EnginePool))
	fitting := 0
	for _, id := range list {
		if zone.fits(id, model.Policy.EnginePool) {
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
		if !slices.Contains(list, id) && zone.fits(id, model.Policy.EnginePool) {
			extended = append(extended, id)
			fitting++
		}
	}
	slices.Sort(extended)
	return extended
}

// rankMachines orders the zone's machines for a model: by rendezvous hashing,
// taking one of each rack in turn. Adapters follow their base model.
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
	list := make([]scored, len(z.listed))
	for i, machine := range z.listed {
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
