package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// overdueWaitFraction is the fraction of its time that a request waits for its model's
// preferred zone. After that the zone may not load the model in time: its share of the
// weight store limits its load starts, even if its machines have room.
const overdueWaitFraction = 0.2

// demandSpreader divides models that wait for a load by hashing with bounded loads:
// each goes to the first zone in its order that has fewer of them than an even share.
type demandSpreader struct {
	// modelCounts counts, by zone, the assigned models that no zone holds or loads.
	modelCounts map[cluster.ZoneID]int
	total       int
	overdue     []overdueModel
	// assignedZones is the zone assigned to each base model, which its adapters follow.
	assignedZones map[cluster.ModelID]cluster.ZoneID
}

// overdueModel is a model that its preferred zone may not load in time.
type overdueModel struct {
	demand wire.ModelDemand
	// zones lists the model's zones in its order of preference; the first
	// equivalentZones of them are equally suited to load it.
	zones           []*cell
	equivalentZones int
	// baseModel is an adapter's base model, or the model itself.
	baseModel     cluster.ModelID
	baseModelHash uint64
}

func newDemandSpreader() *demandSpreader {
	return &demandSpreader{modelCounts: map[cluster.ZoneID]int{}, assignedZones: map[cluster.ModelID]cluster.ZoneID{}}
}

// add records a model with its zones, the preferred one first, and returns true if the
// model is to be divided over the equivalent zones.
func (s *demandSpreader) add(demand wire.ModelDemand, baseModel cluster.ModelID, zones []*cell, equivalentZones int) bool {
	if demand.Waiting == 0 || len(zones) == 0 || len(zones[0].replicaMachines[demand.Model]) > 0 {
		return false
	}
	s.total++
	if !isOverdue(&demand) {
		s.modelCounts[zones[0].zone]++
		s.assignedZones[baseModel] = zones[0].zone
		return false
	}
	s.overdue = append(s.overdue, overdueModel{demand: demand, zones: zones, equivalentZones: equivalentZones, baseModel: baseModel, baseModelHash: xxhash.Sum64String(string(baseModel))})
	return true
}

// isOverdue reports whether the model's oldest request has waited for
// overdueWaitFraction of its time.
func isOverdue(demand *wire.ModelDemand) bool {
	allowed := demand.OldestWait + demand.EarliestDeadline
	return demand.OldestWait > 0 && demand.OldestWait >= time.Duration(overdueWaitFraction*float64(allowed))
}

// divide assigns each overdue model to one zone. All routers process the models in the
// same order, so routers that know the same models assign each to the same zone.
func (s *demandSpreader) divide(perZone map[cluster.ZoneID][]wire.ModelDemand) {
	slices.SortFunc(s.overdue, func(a, b overdueModel) int {
		return cmp.Or(cmp.Compare(a.baseModelHash, b.baseModelHash), cmp.Compare(a.demand.Model, b.demand.Model))
	})
	for i := range s.overdue {
		model := &s.overdue[i]
		chosen := s.chooseZone(model)
		s.modelCounts[model.zones[chosen].zone]++
		s.assignedZones[model.baseModel] = model.zones[chosen].zone
		rest := slices.Delete(slices.Clone(model.zones), chosen, chosen+1)
		assignDemand(perZone, model.demand, append([]*cell{model.zones[chosen]}, rest...))
	}
}

// chooseZone returns the index of the zone assigned to the model's base model, else of
// the first zone below an even share, else of the equivalent zone with the fewest
// models.
func (s *demandSpreader) chooseZone(model *overdueModel) int {
	if assigned, ok := s.assignedZones[model.baseModel]; ok {
		if index := slices.IndexFunc(model.zones, func(zone *cell) bool { return zone.zone == assigned }); index >= 0 {
			return index
		}
	}
	maxModels := (s.total + model.equivalentZones - 1) / model.equivalentZones
	least := 0
	for i, zone := range model.zones[:model.equivalentZones] {
		if s.modelCounts[zone.zone] < maxModels {
			return i
		}
		if s.modelCounts[zone.zone] < s.modelCounts[model.zones[least].zone] {
			least = i
		}
	}
	return least
}
