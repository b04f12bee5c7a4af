package authority

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Controller decides, as a pure state machine, for one cell (zone): it holds
// the cell's lease, seals the cell's machines, keeps the ledger of their memory
// and turns plans into fenced orders.
//
// Safety does not rest on the lease. A controller gives orders only to machines
// that it sealed, and each counts every machine that it has not sealed as
// holding whatever an earlier holder may have loaded there. The lease's time
// matters in two places only: the answer to a seal counts, and a record comes
// into use, only while the lease is certain to be held. So a former holder can't
// take over an engine that has restarted and has forgotten its token, nor a
// machine of which its successor does not know.
type Controller struct {
	config ControllerConfig

	token     cluster.FencingToken
	highest   cluster.FencingToken
	expiry    time.Time
	ttl       time.Duration
	renewedAt time.Time
	renewDue  time.Time
	acquireAt time.Time
	orders    uint64

	presence *Presence
	// bases gives the base model of adapters that plans have named.
	bases map[cluster.ModelID]cluster.ModelID
	// machines are the listed ones that have not gone, sorted by ID.
	machines  []*machineLedger
	allotment *cluster.Allotment
	// offered is a newer record that was read while the lease was not certain.
	offered *cluster.Allotment
	// limits and permitted index the allotment by model and machine.
	limits    map[cluster.ModelID]*cluster.ModelAllotment
	permitted map[cluster.MachineID]bool
}

// NewController returns the controller core of one node for its zone. It holds
// nothing until it has acquired the lease.
func NewController(config ControllerConfig) *Controller {
	config = config.withDefaults()
	return &Controller{
		config:   config,
		presence: NewPresence(config.MachineLag),
		bases:    make(map[cluster.ModelID]cluster.ModelID),
	}
}

// Token returns the fencing token, zero while the cell is not held.
func (c *Controller) Token() cluster.FencingToken { return c.token }

// Holding reports whether this controller acts for the cell. It may have been
// superseded without knowing; the engines then refuse its orders.
func (c *Controller) Holding() bool { return c.token != 0 }

// Ready reports whether plans can be made: at least one machine is sealed.
func (c *Controller) Ready() bool {
	for _, machine := range c.machines {
		if machine.sealed {
			return true
		}
	}
	return false
}

// Step takes one event at a time and returns what the shell must do. Times
// never go backwards between calls.
func (c *Controller) Step(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case LeaseAcquired:
		return c.acquired(now, event)
	case LeaseRenewed:
		c.renewed(now, event)
	case LeaseLost:
		return c.leaseLost(now)
	case LeaseUnreachable:
		c.leaseUnreachable(now, event)
	case MachinesListed:
		return c.listed(now, event.Machines)
	case AllotmentRead:
		c.allotmentRead(now, event)
	case Sealed:
		return c.machineSealed(now, event.Inventory)
	case InventoryRead:
		return c.inventoryRead(now, event)
	case EngineUnreachable:
		c.engineUnreachable(now, event.Machine)
	case OrderRefused:
		c.orderRefused(now, event)
	case StaleToken:
		return c.staleToken(now, event)
	case PlanMade:
		return c.planMade(now, event.Plan)
	case Resign:
		return c.resign(now)
	case Tick:
		return c.tick(now)
	}
	return nil
}

// leaseCertain reports whether no other controller can have acquired the lease
// before now, given that clocks run at nearly the same rate.
func (c *Controller) leaseCertain(now time.Time) bool {
	return c.Holding() && now.Before(c.expiry)
}

// extend moves the certain end of the lease.
func (c *Controller) extend(sentAt time.Time, ttl time.Duration) {
	expiry := sentAt.Add(ttl - ttl/leaseMarginDivisor)
	if expiry.After(c.expiry) {
		c.expiry = expiry
	}
	c.ttl = ttl
	c.renewedAt = sentAt
	c.renewDue = sentAt.Add(ttl / renewDivisor)
}

func (c *Controller) acquired(now time.Time, event LeaseAcquired) []Effect {
	if event.Token <= c.highest {
		return nil
	}
	c.token, c.highest = event.Token, event.Token
	c.expiry = time.Time{}
	c.extend(event.SentAt, event.TTL)
	c.orders = 0
	c.offered = nil
	c.setAllotment(nil)
	for _, machine := range c.machines {
		machine.forget(now)
	}
	return c.callEngines(now)
}

func (c *Controller) renewed(now time.Time, event LeaseRenewed) {
	if c.Holding() {
		c.extend(event.SentAt, event.TTL)
		c.installOffered(now)
	}
}

func (c *Controller) leaseLost(now time.Time) []Effect {
	c.acquireAt = now.Add(c.config.acquireDelay())
	if !c.Holding() {
		return nil
	}
	return c.stepDown("the lease record has gone or names another holder")
}

// leaseUnreachable keeps the holder going beyond the lease's end; only the time
// of the next attempt changes. A call without an answer has already waited for
// its time-out.
func (c *Controller) leaseUnreachable(now time.Time, event LeaseUnreachable) {
	switch {
	case c.Holding() && event.Unknown:
		c.renewDue = now.Add(c.config.AcquireInterval)
	case c.Holding():
		c.renewDue = now.Add(c.ttl / renewDivisor)
	case event.Unknown:
		c.acquireAt = now.Add(c.config.AcquireInterval)
	default:
		c.acquireAt = now.Add(c.config.acquireDelay())
	}
}

func (c *Controller) staleToken(now time.Time, event StaleToken) []Effect {
	if !c.Holding() || event.Held <= c.token {
		c.readSoon(now, event.Machine)
		return nil
	}
	c.acquireAt = now.Add(c.config.acquireDelay())
	return c.stepDown(fmt.Sprintf("machine %s follows token %d", event.Machine, event.Held))
}

func (c *Controller) resign(now time.Time) []Effect {
	c.acquireAt = now.Add(c.config.acquireDelay())
	if !c.Holding() {
		return nil
	}
	// The lease is released first: stepping down forgets it.
	return append([]Effect{ReleaseLease{}}, c.stepDown("planned stop")...)
}

// stepDown forgets everything that was learned under the token.
func (c *Controller) stepDown(cause string) []Effect {
	c.token = 0
	c.offered = nil
	c.setAllotment(nil)
	for _, machine := range c.machines {
		machine.forget(time.Time{})
	}
	return []Effect{SteppedDown{Cause: cause}}
}

func (c *Controller) tick(now time.Time) []Effect {
	if !c.Holding() {
		if now.Before(c.acquireAt) {
			return nil
		}
		c.acquireAt = now.Add(c.config.AcquireInterval)
		return []Effect{AcquireLease{Zone: c.config.Zone}}
	}
	var effects []Effect
	if !now.Before(c.renewDue) {
		c.renewDue = now.Add(c.ttl / renewDivisor)
		effects = append(effects, RenewLease{})
	}
	effects = append(effects, c.callEngines(now)...)
	return append(effects, c.resendOrders(now)...)
}

// allotmentRead keeps a record that is not older than the known one and installs
// it while the lease is certain: whoever acquires the lease later then reads
// this record or a newer one. A superseded holder that still reads records
// would otherwise use machines of which its successor does not know.
func (c *Controller) allotmentRead(now time.Time, event AllotmentRead) {
	switch {
	case !c.Holding() || event.Allotment.Zone != c.config.Zone:
		return
	case event.ReadRevision < 0 || cluster.FencingToken(event.ReadRevision) < c.token:
		return
	case event.Allotment.Revision < c.AllotmentRevision():
		return
	case c.offered != nil && event.Allotment.Revision < c.offered.Revision:
		return
	}
	allotment := event.Allotment
	c.offered = &allotment
	c.installOffered(now)
}

// installOffered puts the newest record in use once the lease is certain.
func (c *Controller) installOffered(now time.Time) {
	if c.offered == nil || !c.leaseCertain(now) {
		return
	}
	c.setAllotment(c.offered)
	c.offered = nil
}

func (c *Controller) setAllotment(allotment *cluster.Allotment) {
	c.allotment = allotment
	c.limits = make(map[cluster.ModelID]*cluster.ModelAllotment)
	c.permitted = make(map[cluster.MachineID]bool)
	if allotment == nil {
		return
	}
	for i := range allotment.Models {
		c.limits[allotment.Models[i].Model] = &allotment.Models[i]
	}
	for _, id := range allotment.Machines {
		c.permitted[id] = true
	}
}
