package authority

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
)

// handleMachinesListed updates the ledgers from the machine list. New machines will be
// sealed; machines that have been missing for longer than the lag are dropped with their
// replicas.
func (c *Controller) handleMachinesListed(now time.Time, list []cluster.Machine) []Effect {
	zone := make([]cluster.Machine, 0, len(list))
	for _, machine := range list {
		if machine.Zone == c.config.Zone {
			zone = append(zone, machine)
		}
	}
	c.tracker.RecordList(now, zone)
	for _, machine := range zone {
		if ledger := c.ledgerOf(machine.ID); ledger != nil {
			ledger.machine = machine
			continue
		}
		index, _ := c.findLedger(machine.ID)
		c.ledgers = slices.Insert(c.ledgers, index, newMachineLedger(machine))
	}
	c.ledgers = slices.DeleteFunc(c.ledgers, func(ledger *machineLedger) bool {
		return c.tracker.Gone(ledger.machine.ID)
	})
	return c.callEngines(now)
}

// findLedger returns the machine's index in the sorted ledgers, or where to insert it.
func (c *Controller) findLedger(id cluster.MachineID) (int, bool) {
	return slices.BinarySearchFunc(c.ledgers, id, func(ledger *machineLedger, id cluster.MachineID) int {
		return compareStrings(ledger.machine.ID, id)
	})
}

// ledgerOf returns the ledger of a machine, nil when there is none.
func (c *Controller) ledgerOf(id cluster.MachineID) *machineLedger {
	if index, found := c.findLedger(id); found {
		return c.ledgers[index]
	}
	return nil
}

// callEngines seals the machines that are not sealed and refreshes inventories that are
// due.
func (c *Controller) callEngines(now time.Time) []Effect {
	if !c.Holding() {
		return nil
	}
	var effects []Effect
	for _, ledger := range c.ledgers {
		if ledger.callInFlight && now.Sub(ledger.callStarted) >= c.config.CallTimeout {
			c.scheduleRetry(now, ledger)
		}
		if ledger.callInFlight || now.Before(ledger.nextCallAt) {
			continue
		}
		effect := c.chooseCall(now, ledger)
		if effect == nil {
			continue
		}
		ledger.callInFlight, ledger.callStarted = true, now
		effects = append(effects, effect)
	}
	return effects
}

// chooseCall returns the next call to an engine: a seal, an inventory read or none. A seal
// is not sent when the lease may have ended, because its answer would not count.
func (c *Controller) chooseCall(now time.Time, ledger *machineLedger) Effect {
	if !ledger.sealed && c.leaseIsCertain(now) {
		return SealMachine{Machine: ledger.machine, Token: c.token}
	}
	if ledger.hasEvidence {
		return ReadInventory{Machine: ledger.machine}
	}
	return nil
}

// handleSealed processes the answer to a seal. The answer counts only if the lease is
// still certain on receipt: the engine then stored this controller's token before any
// other controller could acquire the lease.
func (c *Controller) handleSealed(now time.Time, inventory cluster.Inventory) []Effect {
	ledger := c.ledgerOf(inventory.Machine)
	if ledger == nil || !c.Holding() {
		return nil
	}
	if inventory.Token > c.token {
		return c.handleStaleToken(now, StaleToken{Machine: inventory.Machine, Held: inventory.Token})
	}
	if inventory.Token < c.token {
		return nil
	}
	if !c.leaseIsCertain(now) || !ledger.applySeal(inventory) {
		c.scheduleRetry(now, ledger)
		return nil
	}
	c.scheduleNextCall(now, ledger)
	return nil
}

func (c *Controller) handleInventoryRead(now time.Time, event InventoryRead) []Effect {
	ledger := c.ledgerOf(event.Inventory.Machine)
	if ledger == nil || !c.Holding() {
		return nil
	}
	if event.Inventory.Token > c.token {
		return c.handleStaleToken(now, StaleToken{Machine: event.Inventory.Machine, Held: event.Inventory.Token})
	}
	ledger.applyInventory(event.Inventory, c.token)
	if event.Order != "" {
		ledger.settleOrder(event.Order)
	}
	c.scheduleNextCall(now, ledger)
	return c.sendDeferredOrders(now, ledger)
}

// scheduleNextCall schedules the next call after an answer. An offset derived from the
// machine's ID spreads the inventory reads of a zone over time.
func (c *Controller) scheduleNextCall(now time.Time, ledger *machineLedger) {
	ledger.callInFlight = false
	ledger.unansweredCalls = 0
	switch {
	case !ledger.sealed && c.leaseIsCertain(now):
		ledger.nextCallAt = now
	case !ledger.sealed || ledger.expectsChange():
		ledger.nextCallAt = now.Add(c.config.BusyInventoryInterval)
	default:
		spread := uint64(c.config.InventoryInterval / 4)
		machineOffset := xxhash.Sum64String(string(ledger.machine.ID)) % (spread + 1)
		ledger.nextCallAt = now.Add(c.config.InventoryInterval - time.Duration(machineOffset))
	}
}

func (c *Controller) scheduleRetry(now time.Time, ledger *machineLedger) {
	ledger.callInFlight = false
	ledger.unansweredCalls++
	ledger.nextCallAt = now.Add(c.config.retryDelay(ledger.unansweredCalls))
}

// handleEngineUnreachable marks the outcome of every unanswered order of the machine as
// unknown.
func (c *Controller) handleEngineUnreachable(now time.Time, id cluster.MachineID) {
	ledger := c.ledgerOf(id)
	if ledger == nil {
		return
	}
	c.scheduleRetry(now, ledger)
	for _, pending := range ledger.pending {
		if pending.waitsForBase {
			continue
		}
		pending.outcomeUnknown = true
		pending.resendAt = now.Add(c.config.retryDelay(ledger.unansweredCalls))
	}
}

func (c *Controller) handleOrderRefused(now time.Time, event OrderRefused) {
	ledger := c.ledgerOf(event.Machine)
	if ledger == nil {
		return
	}
	ledger.settleOrder(event.Order)
	ledger.dropOrdersWithoutBase()
	c.scheduleInventoryNow(now, event.Machine)
}

// scheduleInventoryNow schedules an inventory read for the next Tick. It follows a refusal
// that a sealed engine would not give, so the engine may have restarted.
func (c *Controller) scheduleInventoryNow(now time.Time, id cluster.MachineID) {
	if ledger := c.ledgerOf(id); ledger != nil && !ledger.callInFlight {
		ledger.nextCallAt = now
	}
}

// resendOrders sends unanswered orders again under the same ID.
func (c *Controller) resendOrders(now time.Time) []Effect {
	var effects []Effect
	for _, ledger := range c.ledgers {
		for _, pending := range ledger.pending {
			if pending.waitsForBase {
				continue
			}
			if !pending.outcomeUnknown && now.Sub(pending.sentAt) >= c.config.CallTimeout {
				pending.outcomeUnknown, pending.resendAt = true, now
			}
			if !pending.outcomeUnknown || now.Before(pending.resendAt) {
				continue
			}
			pending.resendAt = now.Add(max(c.config.CallTimeout, c.config.retryDelay(ledger.unansweredCalls)))
			effects = append(effects, SendOrder{Machine: ledger.machine, Order: pending.order})
		}
	}
	return effects
}

// nextOrderID returns a unique order ID, because tokens are never reused.
func (c *Controller) nextOrderID() string {
	c.orderCount++
	return fmt.Sprintf("%d-%d", c.token, c.orderCount)
}
