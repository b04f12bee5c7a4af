package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// turnValidity is how long a turn may be used, 1 s. Turns that are kept longer would be used in
	// a burst.
	turnValidity = time.Second
	// turnSendWindow is how long after its turn a held attempt may be sent, 2 s. Turns are granted
	// for three quarters of a limit; those of 6 s, used within 4 s, are 1.125 times what the limit
	// allows in 4 s.
	turnSendWindow = 2 * time.Second
)

// TurnDecided answers TurnWanted. If Granted, one request may be sent to the machine after Wait;
// else another turn may be requested after Wait.
type TurnDecided struct {
	Machine cluster.MachineID
	Granted bool
	Wait    time.Duration
	// Turn is set if the turn must be returned.
	Turn SlotTurn
}

// TurnWanted requests a turn at a machine with a rate limit: the permission to send one request.
type TurnWanted struct {
	Machine   cluster.MachineID
	PerSecond float64
	// Concurrency is the number of requests that a brittle machine gets at a time; zero for others.
	// StatedPerSecond is the rate limit that it states besides, zero for none.
	Concurrency     int
	StatedPerSecond float64
}

func (TurnDecided) routingEvent() {}
func (TurnWanted) routingEffect() {}

// turns is the state of a machine's rate limit, of this router's turns there and of its rest
// period.
type turns struct {
	// limited machines take perSecond requests per second from all routers together;
	// publishedPerSecond is the limit last sent to the other routers.
	limited                       bool
	perSecond, publishedPerSecond float64
	// limitHeardAt is when any router last learned of the limit, limitChangedAt when perSecond last
	// changed.
	limitHeardAt, limitChangedAt int64
	// brittle, concurrency and statedPerSecond are those of the notice of a brittle machine, zero for
	// others. slotTurn is the turn that is valid and not used.
	brittle, concurrency int
	statedPerSecond      float64
	slotTurn             SlotTurn
	// requested is set while the answer to a TurnWanted is pending. A granted turn that is not used
	// is valid from validFrom until validUntil.
	requested             bool
	validFrom, validUntil int64
	// deniedUntil is the time until which no other turn is requested.
	deniedUntil int64
	// restUntil is the end of the rest period in which the machine wants no requests from this
	// router, stated at restHeardAt. It applies with or without a rate limit.
	restUntil, restHeardAt int64
}

// blockCause returns why the machine's rest period or rate limit allows no request now, or an empty
// cause.
func (t *turns) blockCause(nanos int64) FilterCause {
	switch {
	case nanos < t.restUntil:
		return FilterResting
	case t.limited && (nanos < t.validFrom || nanos >= t.validUntil):
		return FilterLimited
	}
	return ""
}

// allowsRequest reports whether the machine's rest period and rate limit allow a request now.
func (t *turns) allowsRequest(nanos int64) bool { return t.blockCause(nanos) == "" }

// useTurn uses up the machine's turn for a request, and states until when the request must be sent.
func (r *Router) useTurn(m *machine, user *request) {
	t := &m.turns
	user.sendBy, user.slotTurn = 0, t.slotTurn
	if !t.limited {
		return
	}
	t.validUntil, t.slotTurn = 0, SlotTurn{}
	user.sendBy = t.validFrom + int64(turnSendWindow)
}

// restoreTurn gives the turn of a request that was not sent back to the machine. One that must be
// returned is returned.
func (r *Router) restoreTurn(m *machine, user *request) {
	t := &m.turns
	if user.slotTurn.Number != 0 {
		r.releaseTurn(m, user.slotTurn)
		user.slotTurn = SlotTurn{}
		return
	}
	if user.sendBy == 0 || t.validUntil > 0 {
		return
	}
	t.validFrom = user.sendBy - int64(turnSendWindow)
	t.validUntil = t.validFrom + int64(turnValidity)
}

// availableAt returns when the machine takes requests again, as far as known.
func (t *turns) availableAt(nanos int64) int64 {
	switch {
	case nanos < t.restUntil:
		return t.restUntil
	case t.allowsRequest(nanos) || t.requested:
		return nanos
	case nanos < t.validFrom:
		return t.validFrom
	}
	return max(t.deniedUntil, nanos)
}

// validity returns how long a turn may be used.
func (t *turns) validity() int64 {
	if t.concurrency > 0 {
		return slotTurnValidity
	}
	return int64(turnValidity)
}

// requestTurn requests a turn at a machine, unless one is valid, pending or denied for now.
func (r *Router) requestTurn(m *machine) {
	t := &m.turns
	r.releaseUnusedTurn(m)
	if t.concurrency > 0 && r.hasTurnForEach(m) {
		return
	}
	if t.requested || r.nanos < t.restUntil || r.nanos < t.validFrom || r.nanos < t.validUntil || r.nanos < t.deniedUntil {
		return
	}
	t.requested = true
	r.emit(TurnWanted{Machine: m.id, PerSecond: t.perSecond, Concurrency: t.concurrency, StatedPerSecond: t.statedPerSecond})
}

// needsTurn reports whether a turn at a brittle machine that comes late would be used: requests wait for it
// and the machine has none.
func (r *Router) needsTurn(m *machine) bool {
	return m.turns.concurrency > 0 && m.turns.slotTurn.Number == 0 && m.nextModel(nil) != nil
}

// turnDecided applies the answer to a TurnWanted, which may come after a denial for want of an answer.
func (r *Router) turnDecided(event *TurnDecided) {
	m := r.machines[event.Machine]
	if m == nil || !m.turns.requested && !(event.Granted && r.needsTurn(m)) {
		if event.Turn.Number != 0 && event.Granted {
			r.emit(TurnReleased{Machine: event.Machine, Turn: event.Turn})
		}
		return
	}
	t := &m.turns
	r.releaseTurn(m, t.slotTurn)
	t.slotTurn = SlotTurn{}
	t.requested = false
	at := r.nanos + int64(event.Wait)
	if event.Granted {
		t.validFrom, t.validUntil, t.slotTurn = at, at+t.validity(), event.Turn
		if event.Turn.Number != 0 {
			r.wakeAt(m, t.validUntil)
		}
	} else {
		t.deniedUntil = at
	}
	if at > r.nanos {
		r.wakeAt(m, at)
	} else {
		r.freedMachines = append(r.freedMachines, m)
	}
	r.refuseUnservable(m)
}
