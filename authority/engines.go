package authority

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
)

// listed follows the machine list: new machines are to be sealed, machines that
// have been missing for longer than the lag are forgotten with their replicas.
func (c *Controller) listed(now time.Time, list []cluster.Machine) []Effect {
	zone := make([]cluster.Machine, 0, len(list))
	for _, machine := range list {
		if machine.Zone == c.config.Zone {
			zone = append(zone, machine)
		}
	}
	c.presence.Listed(now, zone)
	for _, machine := range zone {
		if entry := c.machine(machine.ID); entry != nil {
			entry.machine = machine
			continue
		}
		position, _ := c.find(machine.ID)
		c.machines = slices.Insert(c.machines, position, newMachineLedger(machine))
	}
	c.machines = slices.DeleteFunc(c.machines, func(entry *machineLedger) bool {
		return c.presence.Gone(entry.machine.ID)
	})
	return c.callEngines(now)
}

// find returns where the machine is, or belongs, among the sorted ones.
func (c *Controller) find(id cluster.MachineID) (int, bool) {
	return slices.BinarySearchFunc(c.machines, id, func(entry *machineLedger, id cluster.MachineID) int {
		return compareStrings(entry.machine.ID, id)
	})
}

// machine returns the ledger of a machine, nil when it is not listed.
func (c *Controller) machine(id cluster.MachineID) *machineLedger {
	if position, found := c.find(id); found {
		return c.machines[position]
	}
	return nil
}

// callEngines seals the machines that are not sealed and refreshes inventories.
func (c *Controller) callEngines(now time.Time) []Effect {
	if !c.Holding() {
		return nil
	}
	var effects []Effect
	for _, entry := range c.machines {
		if entry.calling && now.Sub(entry.calledAt) >= c.config.CallTimeout {
			c.callFailed(now, entry)
		}
		if entry.calling || now.Before(entry.nextCall) {
			continue
		}
		effect := c.nextCall(now, entry)
		if effect == nil {
			continue
		}
		entry.calling, entry.calledAt = true, now
		effects = append(effects, effect)
	}
	return effects
}

// nextCall chooses between a seal and an inventory. A seal is not sent when the
// lease may have ended: its answer would not count.
func (c *Controller) nextCall(now time.Time, entry *machineLedger) Effect {
	if !entry.sealed && c.leaseCertain(now) {
		return SealMachine{Machine: entry.machine, Token: c.token}
	}
	if entry.known {
		return ReadInventory{Machine: entry.machine}
	}
	return nil
}

// machineSealed takes a seal's answer. It counts only while the lease is
// certain at its receipt: the engine then followed this controller before any
// other could acquire the lease.
func (c *Controller) machineSealed(now time.Time, inventory cluster.Inventory) []Effect {
	entry := c.machine(inventory.Machine)
	if entry == nil || !c.Holding() {
		return nil
	}
	if inventory.Token > c.token {
		return c.staleToken(now, StaleToken{Machine: inventory.Machine, Held: inventory.Token})
	}
	if inventory.Token < c.token {
		return nil
	}
	if !c.leaseCertain(now) || !entry.sealedBy(inventory) {
		c.callFailed(now, entry)
		return nil
	}
	c.callAnswered(now, entry)
	return nil
}

func (c *Controller) inventoryRead(now time.Time, event InventoryRead) []Effect {
	entry := c.machine(event.Inventory.Machine)
	if entry == nil || !c.Holding() {
		return nil
	}
	if event.Inventory.Token > c.token {
		return c.staleToken(now, StaleToken{Machine: event.Inventory.Machine, Held: event.Inventory.Token})
	}
	entry.read(event.Inventory, c.token)
	if event.Order != "" {
		entry.settle(event.Order)
	}
	c.callAnswered(now, entry)
	return c.sendWaiting(now, entry)
}

// callAnswered schedules the next inventory. The machine's own part spreads the
// calls of a zone over the interval.
func (c *Controller) callAnswered(now time.Time, entry *machineLedger) {
	entry.calling = false
	entry.failures = 0
	switch {
	case !entry.sealed && c.leaseCertain(now):
		entry.nextCall = now
	case !entry.sealed || entry.busy():
		entry.nextCall = now.Add(c.config.BusyInventoryInterval)
	default:
		spread := uint64(c.config.InventoryInterval / 4)
		own := xxhash.Sum64String(string(entry.machine.ID)) % (spread + 1)
		entry.nextCall = now.Add(c.config.InventoryInterval - time.Duration(own))
	}
}

func (c *Controller) callFailed(now time.Time, entry *machineLedger) {
	entry.calling = false
	entry.failures++
	entry.nextCall = now.Add(c.config.retryDelay(entry.failures))
}

// engineUnreachable makes every order that the machine has not answered
// unknown.
func (c *Controller) engineUnreachable(now time.Time, id cluster.MachineID) {
	entry := c.machine(id)
	if entry == nil {
		return
	}
	c.callFailed(now, entry)
	for _, pending := range entry.pending {
		if pending.waiting {
			continue
		}
		pending.unknown = true
		pending.resendAt = now.Add(c.config.retryDelay(entry.failures))
	}
}

func (c *Controller) orderRefused(now time.Time, event OrderRefused) {
	entry := c.machine(event.Machine)
	if entry == nil {
		return
	}
	entry.settle(event.Order)
	entry.dropStranded()
	c.readSoon(now, event.Machine)
}

// readSoon has the machine's inventory read at the next Tick: its engine
// refused what a sealed one accepts, so it may have restarted.
func (c *Controller) readSoon(now time.Time, id cluster.MachineID) {
	if entry := c.machine(id); entry != nil && !entry.calling {
		entry.nextCall = now
	}
}

// resendOrders gives unanswered orders again under their ID.
func (c *Controller) resendOrders(now time.Time) []Effect {
	var effects []Effect
	for _, entry := range c.machines {
		for _, pending := range entry.pending {
			if pending.waiting {
				continue
			}
			if !pending.unknown && now.Sub(pending.sentAt) >= c.config.CallTimeout {
				pending.unknown, pending.resendAt = true, now
			}
			if !pending.unknown || now.Before(pending.resendAt) {
				continue
			}
			pending.resendAt = now.Add(max(c.config.CallTimeout, c.config.retryDelay(entry.failures)))
			effects = append(effects, SendOrder{Machine: entry.machine, Order: pending.order})
		}
	}
	return effects
}

// orderID is unique: tokens are never used twice.
func (c *Controller) orderID() string {
	c.orders++
	return fmt.Sprintf("%d-%d", c.token, c.orders)
}
