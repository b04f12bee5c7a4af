package demand

import (
	"slices"
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/wire"
)

// Aggregator aggregates the routers' demand for one cell.
type Aggregator struct {
	routers map[cluster.NodeID]*routerDemand
	// order lists the routers, sorted by ID.
	order []cluster.NodeID
	// arrivals holds the arrivals since the last plan, by model.
	arrivals map[cluster.ModelID]arrivals
	// changed is set when a router that had no waiting requests of a model reports some after the
	// last plan. Growth of a queue is left to the periodic plan.
	newlyWaiting bool
}

// arrivals counts requests and the tokens of their prompts. A report has only the sum of tokens of
// its requests. Prompts of equal length give the least sum of squares, which is assumed here; a
// router that reports each second seldom has two new requests of one model.
type arrivals struct {
	requests, tokens int
	// sumOfSquares is the sum of the squared prompt lengths, in tokens.
	sumOfSquares float64
}

func (a *arrivals) add(model *wire.ModelDemand) {
	a.requests += model.Arrivals
	a.tokens += model.PromptTokens
	a.sumOfSquares += float64(model.PromptTokens) * float64(model.PromptTokens) / float64(max(model.Arrivals, 1))
}

// routerDemand is the last report of one router.
type routerDemand struct {
	zone       cluster.ZoneID
	sequence   uint64
	reportedAt time.Time
	models     []wire.ModelDemand
	scopes     []wire.ScopeDemand
}

// New returns an empty Aggregator.
func New() *Aggregator {
	return &Aggregator{
		routers:  map[cluster.NodeID]*routerDemand{},
		arrivals: map[cluster.ModelID]arrivals{},
	}
}

// Record replaces a router's demand by its new report, unless a newer one was received before.
func (l *Aggregator) Record(now time.Time, demand wire.Demand) {
	known, ok := l.routers[demand.From]
	if ok && demand.Sequence <= known.sequence {
		return
	}
	if !ok {
		known = &routerDemand{}
		l.routers[demand.From] = known
		l.order = insertSorted(l.order, demand.From)
	}
	for i := range demand.Models {
		model := &demand.Models[i]
		if model.Arrivals > 0 {
			sum := l.arrivals[model.Model]
			sum.add(model)
			l.arrivals[model.Model] = sum
		}
		l.newlyWaiting = l.newlyWaiting || model.Waiting > 0 && !known.hasWaiting(model.Model)
	}
	known.zone, known.sequence, known.reportedAt = demand.Zone, demand.Sequence, now
	known.models, known.scopes = demand.Models, demand.Scopes
}

// hasWaiting reports whether the router's last report has waiting requests of the model.
func (d *routerDemand) hasWaiting(model cluster.ModelID) bool {
	for i := range d.models {
		if d.models[i].Model == model {
			return d.models[i].Waiting > 0
		}
	}
	return false
}

// Forget removes a router's demand.
func (l *Aggregator) Forget(router cluster.NodeID) {
	if _, ok := l.routers[router]; !ok {
		return
	}
	delete(l.routers, router)
	for i, id := range l.order {
		if id == router {
			l.order = append(l.order[:i], l.order[i+1:]...)
			break
		}
	}
}

// Expire removes routers without a report within the timeout.
func (l *Aggregator) Expire(now time.Time, timeout time.Duration) {
	for i := 0; i < len(l.order); i++ {
		if now.Sub(l.routers[l.order[i]].reportedAt) > timeout {
			l.Forget(l.order[i])
			i--
		}
	}
}

// Sum returns the demand by model for one plan and resets the count of arrivals.
func (l *Aggregator) Sum(now time.Time) map[cluster.ModelID]placement.Demand {
	total := make(map[cluster.ModelID]placement.Demand)
	for _, id := range l.order {
		router := l.routers[id]
		age := now.Sub(router.reportedAt)
		for i := range router.models {
			addDemand(total, &router.models[i], age)
		}
	}
	for model, sum := range l.arrivals {
		demand := total[model]
		demand.Arrivals, demand.PromptTokens, demand.PromptSquareSum = sum.requests, sum.tokens, sum.sumOfSquares
		total[model] = demand
	}
	clear(l.arrivals)
	l.newlyWaiting = false
	return total
}

// addDemand adds a router's demand for one model, from a report of the given age.
func addDemand(total map[cluster.ModelID]placement.Demand, model *wire.ModelDemand, age time.Duration) {
	sum := total[model.Model]
	sum.Waiting += model.Waiting
	sum.Running += model.Running
	sum.Objective = max(sum.Objective, model.Objective)
	if model.Waiting > 0 {
		sum.OldestWait = max(sum.OldestWait, model.OldestWait+age)
		deadline := max(model.EarliestDeadline-age, 0)
		if sum.EarliestDeadline == 0 || deadline < sum.EarliestDeadline {
			sum.EarliestDeadline = deadline
		}
	}
	total[model.Model] = sum
}

// insertSorted inserts a node into a list that is sorted by ID.
func insertSorted(list []cluster.NodeID, id cluster.NodeID) []cluster.NodeID {
	at := sort.Search(len(list), func(i int) bool { return list[i] >= id })
	list = append(list, "")
	copy(list[at+1:], list[at:])
	list[at] = id
	return list
}

// Changed reports whether a router has begun to have waiting requests of a model since the last
// Sum.
func (l *Aggregator) Changed() bool { return l.newlyWaiting }

// Routers lists the routers with a report, sorted by ID.
func (l *Aggregator) Routers() []cluster.NodeID { return slices.Clone(l.order) }

// Zone returns the zone of a router by its last report.
func (l *Aggregator) Zone(router cluster.NodeID) cluster.ZoneID {
	if known := l.routers[router]; known != nil {
		return known.zone
	}
	return ""
}

// Scopes returns the demand for limited scopes in a router's last report.
func (l *Aggregator) Scopes(router cluster.NodeID) []wire.ScopeDemand {
	if known := l.routers[router]; known != nil {
		return known.scopes
	}
	return nil
}

// RoutersNaming lists the routers whose last report names a model for which names returns true.
func (l *Aggregator) RoutersNaming(names func(model cluster.ModelID) bool) []cluster.NodeID {
	var wanting []cluster.NodeID
	for _, id := range l.order {
		if slices.ContainsFunc(l.routers[id].models, func(m wire.ModelDemand) bool { return names(m.Model) }) {
			wanting = append(wanting, id)
		}
	}
	return wanting
}

// HasWaiting reports whether any router's last report has waiting requests.
func (l *Aggregator) HasWaiting() bool {
	for _, id := range l.order {
		if slices.ContainsFunc(l.routers[id].models, func(m wire.ModelDemand) bool { return m.Waiting > 0 }) {
			return true
		}
	}
	return false
}
