package explore

import (
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
)

// Variant is a deliberately broken world around the unchanged cores.
type Variant string

// The variants. VariantNone is the world as it should be.
const (
	VariantNone Variant = "none"
	// VariantNoSealing: engines answer seals but follow any token.
	VariantNoSealing Variant = "no sealing"
	// VariantTrustLostAnswers: an order without answer is taken as not run.
	VariantTrustLostAnswers Variant = "trusting lost answers"
	// VariantNoReservation: an order counts as done as soon as it is sent, so
	// its memory and count are not reserved.
	VariantNoReservation Variant = "no reservation"
	// VariantFreshEngines: a restarted engine accepts any order, whatever its
	// token and the run it is meant for.
	VariantFreshEngines Variant = "fresh engines accept orders"
	// VariantAssumeSealed: a controller is told that all machines are sealed
	// and empty without asking them.
	VariantAssumeSealed Variant = "assumed seals"
	// VariantListedOnly: records name only the machines that their reader has
	// listed, so others are overlooked.
	VariantListedOnly Variant = "listed machines only"
	// VariantEndlessLease: a controller never doubts its lease, so answers to
	// seals count and records come into use however late.
	VariantEndlessLease Variant = "endless lease"
	// VariantNoEscrow: the apportioner takes lowered counts as confirmed.
	VariantNoEscrow Variant = "no escrow"
	// VariantNoGuard: apportionings don't compare the guard record.
	VariantNoGuard Variant = "no guard"
)

// ignoresTokens reports whether engines accept orders of any token.
func (v Variant) ignoresTokens() bool { return v == VariantNoSealing }

// lost returns what the controller is told of a call without answer.
func (s *search) lost(w *world, c *call) authority.Event {
	id := w.engines[c.machine].id
	if s.variant == VariantTrustLostAnswers && c.kind == callOrder {
		return authority.OrderRefused{Machine: id, Order: c.order.ID}
	}
	return authority.EngineUnreachable{Machine: id}
}

// afterSend lets a broken world misinform the controller once a call is sent.
func (s *search) afterSend(w *world, c *call) {
	core := w.own(c.controller)
	engine := &w.engines[c.machine]
	switch {
	case s.variant == VariantNoReservation && c.kind == callOrder:
		core.Step(w.now, authority.OrderRefused{Machine: engine.id, Order: c.order.ID})
	case s.variant == VariantAssumeSealed && c.kind == callSeal:
		inventory := cluster.Inventory{Machine: engine.id, Token: c.token, Epoch: engine.epoch, MemoryBytes: s.scenario.Memory}
		core.Step(w.now, authority.Sealed{Inventory: inventory})
	}
}

// record is the allotment as the controller reads it.
func (s *search) record(w *world, controller int) cluster.Allotment {
	allotment := w.kv.allotment
	if s.variant != VariantListedOnly {
		return allotment
	}
	var listed []cluster.MachineID
	for _, id := range allotment.Machines {
		if _, ok := w.nodes[controller].core.Machine(id); ok {
			listed = append(listed, id)
		}
	}
	allotment.Machines = listed
	return allotment
}

// leaseSentAt is the time from which the controller counts its lease.
func (s *search) leaseSentAt(w *world) time.Time {
	if s.variant == VariantEndlessLease {
		return w.kv.sentAt.AddDate(1, 0, 0)
	}
	return w.kv.sentAt
}
