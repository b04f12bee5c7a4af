package authority

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Controller is the pure state machine that controls one zone (cell). It acquires and
// renews the zone's lease, seals the zone's machines, accounts for their memory and turns
// plans into fenced orders.
//
// Safety does not depend on the lease. A controller gives orders only to machines that it
// has sealed, and it counts every machine that it has not sealed as holding whatever an
// earlier lease holder may have loaded there. The lease's duration matters in two places
// only: an answer to a seal counts, and an allotment comes into use, only while the lease
// is certainly held. Otherwise a former holder could take over an engine that has
// restarted and lost its token, or use a machine that its successor does not know of.
type Controller struct {
	config ControllerConfig

	token             cluster.FencingToken
	highestToken      cluster.FencingToken
	leaseCertainUntil time.Time
	leaseTTL          time.Duration
	lastRenewalSent   time.Time
	nextRenewal       time.Time
	nextAcquisition   time.Time
	orderCount        uint64

	tracker *MachineTracker
	// baseModels maps adapters that plans have named to their base models.
	baseModels map[cluster.ModelID]cluster.ModelID
	// ledgers has the zone's machines that are listed or have not gone, sorted by ID.
	ledgers   []*machineLedger
	allotment *cluster.Allotment
	// pendingAllotment is a newer allotment that was read while the lease was not certain.
	pendingAllotment *cluster.Allotment
	// modelAllotments and permittedMachines index the allotment by model and by machine.
	modelAllotments   map[cluster.ModelID]*cluster.ModelAllotment
	permittedMachines map[cluster.MachineID]bool
}

// NewController returns a node's controller for its zone. It gives no orders until it has
// acquired the lease.
func NewController(config ControllerConfig) *Controller {
	config = config.withDefaults()
	return &Controller{
		config:     config,
		tracker:    NewMachineTracker(config.MachineLag),
		baseModels: make(map[cluster.ModelID]cluster.ModelID),
	}
}

// Token returns the fencing token, zero while the lease is not held.
func (c *Controller) Token() cluster.FencingToken { return c.token }

// Holding reports whether this controller acts for the zone. A later controller may have
// superseded it without its knowledge; the engines then refuse its orders.
func (c *Controller) Holding() bool { return c.token != 0 }

// Ready reports whether a plan can lead to orders: at least one machine is sealed.
func (c *Controller) Ready() bool {
	for _, ledger := range c.ledgers {
		if ledger.sealed {
			return true
		}
	}
	return false
}

// Step processes one event and returns the effects that the caller must carry out. The
// time must not go back between calls.
func (c *Controller) Step(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case LeaseAcquired:
		return c.handleLeaseAcquired(now, event)
	case LeaseRenewed:
		c.handleLeaseRenewed(now, event)
	case LeaseLost:
		return c.handleLeaseLost(now)
	case LeaseUnreachable:
		c.handleLeaseUnreachable(now, event)
	case MachinesListed:
		return c.handleMachinesListed(now, event.Machines)
	case AllotmentRead:
		c.handleAllotmentRead(now, event)
	case Sealed:
		return c.handleSealed(now, event.Inventory)
	case InventoryRead:
		return c.handleInventoryRead(now, event)
	case EngineUnreachable:
		c.handleEngineUnreachable(now, event.Machine)
	case OrderRefused:
		c.handleOrderRefused(now, event)
	case StaleToken:
		return c.handleStaleToken(now, event)
	case PlanMade:
		return c.handlePlanMade(now, event.Plan)
	case Resign:
		return c.handleResign(now)
	case Tick:
		return c.handleTick(now)
	}
	return nil
}

// leaseIsCertain reports whether no other controller can have acquired the lease before
// now, provided that the clocks run at nearly the same rate.
func (c *Controller) leaseIsCertain(now time.Time) bool {
	return c.Holding() && now.Before(c.leaseCertainUntil)
}

// extendLease sets the lease's end and next renewal after it was acquired or renewed.
func (c *Controller) extendLease(sentAt time.Time, ttl time.Duration) {
	expiry := sentAt.Add(ttl - ttl/leaseSafetyDivisor)
	if expiry.After(c.leaseCertainUntil) {
		c.leaseCertainUntil = expiry
	}
	c.leaseTTL = ttl
	c.lastRenewalSent = sentAt
	c.nextRenewal = sentAt.Add(ttl / renewalDivisor)
}

func (c *Controller) handleLeaseAcquired(now time.Time, event LeaseAcquired) []Effect {
	if event.Token <= c.highestToken {
		return nil
	}
	c.token, c.highestToken = event.Token, event.Token
	c.leaseCertainUntil = time.Time{}
	c.extendLease(event.SentAt, event.TTL)
	c.orderCount = 0
	c.pendingAllotment = nil
	c.setAllotment(nil)
	for _, ledger := range c.ledgers {
		ledger.reset(now)
	}
	return c.callEngines(now)
}

func (c *Controller) handleLeaseRenewed(now time.Time, event LeaseRenewed) {
	if c.Holding() {
		c.extendLease(event.SentAt, event.TTL)
		c.installPendingAllotment(now)
	}
}

func (c *Controller) handleLeaseLost(now time.Time) []Effect {
	c.nextAcquisition = now.Add(c.config.acquireRetryDelay())
	if !c.Holding() {
		return nil
	}
	return c.stepDown("the lease record has gone or names another holder")
}

// handleLeaseUnreachable schedules the next attempt. A lease holder continues beyond the
// lease's end. After a call that may have taken effect the next attempt comes soon,
// because that call has already waited for its timeout.
func (c *Controller) handleLeaseUnreachable(now time.Time, event LeaseUnreachable) {
	switch {
	case c.Holding() && event.Unknown:
		c.nextRenewal = now.Add(c.config.AcquireInterval)
	case c.Holding():
		c.nextRenewal = now.Add(c.leaseTTL / renewalDivisor)
	case event.Unknown:
		c.nextAcquisition = now.Add(c.config.AcquireInterval)
	default:
		c.nextAcquisition = now.Add(c.config.acquireRetryDelay())
	}
}

func (c *Controller) handleStaleToken(now time.Time, event StaleToken) []Effect {
	if !c.Holding() || event.Held <= c.token {
		c.scheduleInventoryNow(now, event.Machine)
		return nil
	}
	c.nextAcquisition = now.Add(c.config.acquireRetryDelay())
	return c.stepDown(fmt.Sprintf("machine %s follows token %d", event.Machine, event.Held))
}

func (c *Controller) handleResign(now time.Time) []Effect {
	c.nextAcquisition = now.Add(c.config.acquireRetryDelay())
	if !c.Holding() {
		return nil
	}
	// ReleaseLease comes first, because stepDown resets the token.
	return append([]Effect{ReleaseLease{}}, c.stepDown("planned stop")...)
}

// stepDown gives up the token and discards everything learned under it.
func (c *Controller) stepDown(cause string) []Effect {
	c.token = 0
	c.pendingAllotment = nil
	c.setAllotment(nil)
	for _, ledger := range c.ledgers {
		ledger.reset(time.Time{})
	}
	return []Effect{SteppedDown{Cause: cause}}
}

func (c *Controller) handleTick(now time.Time) []Effect {
	if !c.Holding() {
		if now.Before(c.nextAcquisition) {
			return nil
		}
		c.nextAcquisition = now.Add(c.config.AcquireInterval)
		return []Effect{AcquireLease{Zone: c.config.Zone}}
	}
	var effects []Effect
	if !now.Before(c.nextRenewal) {
		c.nextRenewal = now.Add(c.leaseTTL / renewalDivisor)
		effects = append(effects, RenewLease{})
	}
	effects = append(effects, c.callEngines(now)...)
	return append(effects, c.resendOrders(now)...)
}

// handleAllotmentRead stores an allotment that is not older than the known one and
// installs it while the lease is certain. Whoever acquires the lease later then reads this
// allotment or a newer one. A superseded holder that still reads allotments would
// otherwise use machines that its successor does not know of.
func (c *Controller) handleAllotmentRead(now time.Time, event AllotmentRead) {
	switch {
	case !c.Holding() || event.Allotment.Zone != c.config.Zone:
		return
	case event.ReadRevision < 0 || cluster.FencingToken(event.ReadRevision) < c.token:
		return
	case event.Allotment.Revision < c.AllotmentRevision():
		return
	case c.pendingAllotment != nil && event.Allotment.Revision < c.pendingAllotment.Revision:
		return
	}
	allotment := event.Allotment
	c.pendingAllotment = &allotment
	c.installPendingAllotment(now)
}

// installPendingAllotment puts the newest allotment into use if the lease is certain.
func (c *Controller) installPendingAllotment(now time.Time) {
	if c.pendingAllotment == nil || !c.leaseIsCertain(now) {
		return
	}
	c.setAllotment(c.pendingAllotment)
	c.pendingAllotment = nil
}

func (c *Controller) setAllotment(allotment *cluster.Allotment) {
	c.allotment = allotment
	c.modelAllotments = make(map[cluster.ModelID]*cluster.ModelAllotment)
	c.permittedMachines = make(map[cluster.MachineID]bool)
	if allotment == nil {
		return
	}
	for i := range allotment.Models {
		c.modelAllotments[allotment.Models[i].Model] = &allotment.Models[i]
	}
	for _, id := range allotment.Machines {
		c.permittedMachines[id] = true
	}
}
