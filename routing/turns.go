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
}

// TurnWanted requests a turn at a machine with a rate limit: the permission to send one request.
type TurnWanted struct {
	Machine   cluster.MachineID
	PerSecond float64
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
	// limitHeardAt is when any router last learned of the limit.
	limitHeardAt int64
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

// use uses up the turn and returns the time until which the request must be sent; zero for no
// bound.
func (t *turns) use() int64 {
	if !t.limited {
		return 0
	}
	t.validUntil = 0
	return t.validFrom + int64(turnSendWindow)
}

// restore returns the turn of a request that was not sent.
func (t *turns) restore(sendBy int64) {
	if sendBy == 0 || t.validUntil > 0 {
		return
	}
	t.validFrom = sendBy - int64(turnSendWindow)
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

// requestTurn requests a turn at a machine, unless one is valid, pending or denied for now.
func (r *Router) requestTurn(m *machine) {
	t := &m.turns
	if t.requested || r.nanos < t.restUntil || r.nanos < t.validFrom || r.nanos < t.validUntil || r.nanos < t.deniedUntil {
		return
	}
	t.requested = true
	r.emit(TurnWanted{Machine: m.id, PerSecond: t.perSecond})
}

// turnDecided applies the answer to a TurnWanted.
func (r *Router) turnDecided(event *TurnDecided) {
	m := r.machines[event.Machine]
	if m == nil || !m.turns.requested {
		return
	}
	t := &m.turns
	t.requested = false
	at := r.nanos + int64(event.Wait)
	if event.Granted {
		t.validFrom, t.validUntil = at, at+int64(turnValidity)
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
