package node

import (
	"slices"
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/wire"
)

// overflowWait is how long a request waits for one zone before its demand is
// also shown to the next zone that may load the model.
const overflowWait = 20 * time.Second

// demandReporter remembers what this router last told each zone.
type demandReporter struct {
	sequence uint64
	next     time.Time
	last     time.Time
	// told is when each zone last got a report and whether it was empty.
	told map[cluster.ZoneID]toldZone
}

type toldZone struct {
	at    time.Time
	empty bool
}

func newDemandReporter() *demandReporter {
	return &demandReporter{told: map[cluster.ZoneID]toldZone{}}
}

// reportNews reports a model that has just begun to wait.
func (c *Core) reportNews() {
	if c.now.Sub(c.demand.last) >= newsSpacing && c.router.NewlyWaiting() {
		c.sendDemand()
	}
}

// reportDemand reports at least every demandInterval.
func (c *Core) reportDemand() {
	if !c.now.Before(c.demand.next) {
		c.sendDemand()
		return
	}
	c.reportNews()
}

// sendDemand sends this router's demand to the zones that should load the
// models.
func (c *Core) sendDemand() {
	c.demand.last, c.demand.next = c.now, c.now.Add(quietDemandInterval)
	demand := c.router.Demand(c.now, true)
	if slices.ContainsFunc(demand.Models, func(m wire.ModelDemand) bool { return m.Waiting > 0 }) {
		c.demand.next = c.now.Add(demandInterval)
	}
	perZone := c.divideDemand(demand.Models)
	for _, zone := range append([]cluster.ZoneID(nil), c.cells.order...) {
		c.tellZone(zone, perZone[zone], demand.Scopes)
	}
}

// divideDemand assigns each model's demand to its preferred zone, and to further
// ones as its oldest request waits longer.
func (c *Core) divideDemand(models []wire.ModelDemand) map[cluster.ZoneID][]wire.ModelDemand {
	perZone := make(map[cluster.ZoneID][]wire.ModelDemand)
	for _, model := range models {
		zones := c.preferredZones(model.Model)
		reach := 1 + int(model.OldestWait/overflowWait)
		for i := 0; i < len(zones) && i < reach; i++ {
			perZone[zones[i].zone] = append(perZone[zones[i].zone], model)
		}
	}
	return perZone
}

// tellZone sends one zone its part; an empty one is repeated rarely, because
// its only use is to say that the router lives.
func (c *Core) tellZone(zone cluster.ZoneID, models []wire.ModelDemand, scopes []wire.ScopeDemand) {
	if zone != c.self.Zone {
		scopes = nil
	}
	empty := len(models) == 0 && len(scopes) == 0
	told := c.demand.told[zone]
	if empty && told.empty && c.now.Sub(told.at) < idleDemandInterval {
		return
	}
	c.demand.told[zone] = toldZone{at: c.now, empty: empty}
	c.demand.sequence++
	message := wire.Demand{
		From: c.self.ID, Zone: c.self.Zone, Sequence: c.demand.sequence,
		Full: true, Models: models, Scopes: scopes,
	}
	if zone == c.self.Zone && c.cellRole.controller.Holding() {
		c.cellRole.demandReceived(message)
		return
	}
	c.send(c.cells.cells[zone].address, message)
}

// demandLedger sums the routers' demand for one cell.
type demandLedger struct {
	routers map[cluster.NodeID]*routerDemand
	// order lists the routers, sorted by ID.
	order []cluster.NodeID
	// arrivals since the last plan, by model.
	arrivals map[cluster.ModelID]int
	// changed is true when a router began to wait for a model since the last
	// plan; growing queues are left to the periodic plan.
	changed bool
}

type routerDemand struct {
	zone     cluster.ZoneID
	sequence uint64
	at       time.Time
	models   []wire.ModelDemand
	scopes   []wire.ScopeDemand
}

func newDemandLedger() *demandLedger {
	return &demandLedger{
		routers:  map[cluster.NodeID]*routerDemand{},
		arrivals: map[cluster.ModelID]int{},
	}
}

// note takes over a router's report unless a newer one came before it.
func (l *demandLedger) note(now time.Time, demand wire.Demand) {
	known, ok := l.routers[demand.From]
	if ok && demand.Sequence <= known.sequence {
		return
	}
	if !ok {
		known = &routerDemand{}
		l.routers[demand.From] = known
		l.order = insertNode(l.order, demand.From)
	}
	for i := range demand.Models {
		model := &demand.Models[i]
		l.arrivals[model.Model] += model.Arrivals
		l.changed = l.changed || model.Waiting > 0 && !known.waits(model.Model)
	}
	known.zone, known.sequence, known.at = demand.Zone, demand.Sequence, now
	known.models, known.scopes = demand.Models, demand.Scopes
}

// waits reports whether the router's last report showed waiting requests of the
// model.
func (d *routerDemand) waits(model cluster.ModelID) bool {
	for i := range d.models {
		if d.models[i].Model == model {
			return d.models[i].Waiting > 0
		}
	}
	return false
}

func (l *demandLedger) forget(router cluster.NodeID) {
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

// expire forgets routers that have been silent for routerDemandTimeout.
func (l *demandLedger) expire(now time.Time) {
	for i := 0; i < len(l.order); i++ {
		if now.Sub(l.routers[l.order[i]].at) > routerDemandTimeout {
			l.forget(l.order[i])
			i--
		}
	}
}

// sum returns the demand by model for one plan and begins a new count of
// arrivals.
func (l *demandLedger) sum(now time.Time) map[cluster.ModelID]placement.Demand {
	total := make(map[cluster.ModelID]placement.Demand)
	for _, id := range l.order {
		router := l.routers[id]
		age := now.Sub(router.at)
		for i := range router.models {
			addDemand(total, &router.models[i], age)
		}
	}
	for model, arrivals := range l.arrivals {
		demand := total[model]
		demand.Arrivals = arrivals
		total[model] = demand
	}
	clear(l.arrivals)
	l.changed = false
	return total
}

func addDemand(total map[cluster.ModelID]placement.Demand, model *wire.ModelDemand, age time.Duration) {
	sum := total[model.Model]
	sum.Waiting += model.Waiting
	sum.Running += model.Running
	if model.Waiting > 0 {
		sum.OldestWait = max(sum.OldestWait, model.OldestWait+age)
		deadline := max(model.EarliestDeadline-age, 0)
		if sum.EarliestDeadline == 0 || deadline < sum.EarliestDeadline {
			sum.EarliestDeadline = deadline
		}
	}
	total[model.Model] = sum
}

func insertNode(list []cluster.NodeID, id cluster.NodeID) []cluster.NodeID {
	at := sort.Search(len(list), func(i int) bool { return list[i] >= id })
	list = append(list, "")
	copy(list[at+1:], list[at:])
	list[at] = id
	return list
}
