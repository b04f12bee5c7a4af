package explore

import (
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
)

// Variant is a deliberately broken environment of the unchanged code under test.
type Variant string

// The variants. VariantNone is the correct environment.
const (
	VariantNone Variant = "none"
	// VariantNoSealing: engines answer seals but accept orders with any token.
	VariantNoSealing Variant = "no sealing"
	// VariantTrustLostAnswers: the controller takes an order without an answer as refused.
	VariantTrustLostAnswers Variant = "trusting lost answers"
	// VariantNoReservation: an order counts as settled as soon as it is sent, so its
	// memory and replica are not reserved.
	VariantNoReservation Variant = "no reservation"
	// VariantFreshEngines: a restarted engine accepts any order, whatever the order's
	// token and the run that it is meant for.
	VariantFreshEngines Variant = "fresh engines accept orders"
	// VariantAssumeSealed: the controller is told that every machine is sealed and empty,
	// without a call to the machine.
	VariantAssumeSealed Variant = "assumed seals"
	// VariantListedOnly: the controller's allotment lacks the machines that are not in the
	// machine list that it has read.
	VariantListedOnly Variant = "listed machines only"
	// VariantEndlessLease: a controller always takes its lease as certain, so answers to
	// seals count and allotments come into use however late.
	VariantEndlessLease Variant = "endless lease"
	// VariantNoEscrow: the apportioner takes lowered counts as confirmed.
	VariantNoEscrow Variant = "no escrow"
	// VariantNoGuard: transactions of apportioners don't compare the guard key.
	VariantNoGuard Variant = "no guard"
)

// ignoresTokens reports whether engines accept orders with any token.
func (v Variant) ignoresTokens() bool { return v == VariantNoSealing }

// lostCallEvent returns the event that tells the controller of a call without an answer.
func (s *takeoverSearch) lostCallEvent(state *takeoverState, c *call) authority.Event {
	id := state.engines[c.machine].id
	if s.variant == VariantTrustLostAnswers && c.kind == callOrder {
		return authority.OrderRefused{Machine: id, Order: c.order.ID}
	}
	return authority.EngineUnreachable{Machine: id}
}

// misinformController gives the controller the false information of a broken variant after
// a call was sent.
func (s *takeoverSearch) misinformController(state *takeoverState, c *call) {
	core := state.ownCore(c.controller)
	engine := &state.engines[c.machine]
	switch {
	case s.variant == VariantNoReservation && c.kind == callOrder:
		core.Step(state.now, authority.OrderRefused{Machine: engine.id, Order: c.order.ID})
	case s.variant == VariantAssumeSealed && c.kind == callSeal:
		inventory := cluster.Inventory{Machine: engine.id, Token: c.token, Epoch: engine.epoch, MemoryBytes: s.scenario.Memory}
		core.Step(state.now, authority.Sealed{Inventory: inventory})
	}
}

// allotmentAsRead returns the allotment as the controller reads it.
func (s *takeoverSearch) allotmentAsRead(state *takeoverState, controller int) cluster.Allotment {
	allotment := state.kv.allotment
	if s.variant != VariantListedOnly {
		return allotment
	}
	var listed []cluster.MachineID
	for _, id := range allotment.Machines {
		if _, ok := state.controllers[controller].core.Machine(id); ok {
			listed = append(listed, id)
		}
	}
	allotment.Machines = listed
	return allotment
}

// leaseStart returns the time from which the controller counts its lease.
func (s *takeoverSearch) leaseStart(state *takeoverState) time.Time {
	if s.variant == VariantEndlessLease {
		return state.kv.sentAt.AddDate(1, 0, 0)
	}
	return state.kv.sentAt
}
