package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// turnLasts is for how long a turn may be used: turns that are kept longer come together.
	turnLasts = time.Second
	// sendWithin is how long after its turn came an attempt is sent that was kept. Turns are
	// granted for three quarters of a limit: those of 6 s, used within 4 s, are 1.125 times what
	// the limit allows in 4 s.
	sendWithin = 2 * time.Second
)

// TurnDecided answers TurnWanted: one request may be sent to the machine after Wait if
// Granted, else another turn may be asked for then.
type TurnDecided struct {
	Machine cluster.MachineID
	Granted bool
	Wait    time.Duration
}

// TurnWanted asks for a turn at a machine with a limit.
type TurnWanted struct {
	Machine   cluster.MachineID
	PerSecond float64
}

func (TurnDecided) routingEvent() {}
func (TurnWanted) routingEffect() {}

// turns is what a router knows of a machine's limit and of its turns there.
type turns struct {
	// limited machines take perSecond requests a second of all routers; told is what the others
	// were told last.
	limited         bool
	perSecond, told float64
	// heardAt is when anybody last heard of the limit.
	heardAt int64
	// asked is set while a question is under way. A turn that was granted and not taken holds
	// from a time until another.
	asked       bool
	from, until int64
	// deniedUntil is until when no other turn is asked for.
	deniedUntil int64
	// restsUntil is until when the machine wants nothing from this router, limit or not, as it
	// said at restHeardAt.
	restsUntil, restHeardAt int64
}

// closed returns why no request may be sent now by the machine's own word, or empty.
func (t *turns) closed(nanos int64) FilterCause {
	switch {
	case nanos < t.restsUntil:
		return FilterResting
	case t.limited && (nanos < t.from || nanos >= t.until):
		return FilterLimited
	}
	return ""
}

// open reports whether a request may be sent now as far as the machine's own word goes.
func (t *turns) open(nanos int64) bool { return t.closed(nanos) == "" }

// take uses the turn, and returns until when the request must be sent; zero for any time.
func (t *turns) take() int64 {
	if !t.limited {
		return 0
	}
	t.until = 0
	return t.from + int64(sendWithin)
}

// giveBack returns the turn of a request that was not sent.
func (t *turns) giveBack(sendBy int64) {
	if sendBy == 0 || t.until > 0 {
		return
	}
	t.from = sendBy - int64(sendWithin)
	t.until = t.from + int64(turnLasts)
}

// opensAt is when the machine takes requests again as far as that is known.
func (t *turns) opensAt(nanos int64) int64 {
	switch {
	case nanos < t.restsUntil:
		return t.restsUntil
	case t.open(nanos) || t.asked:
		return nanos
	case nanos < t.from:
		return t.from
	}
	return max(t.deniedUntil, nanos)
}

// wantTurn asks for a turn at a machine, unless one is there, on its way or not to be had yet.
func (r *Router) wantTurn(m *machine) {
	t := &m.turns
	if t.asked || r.nanos < t.restsUntil || r.nanos < t.from || r.nanos < t.until || r.nanos < t.deniedUntil {
		return
	}
	t.asked = true
	r.emit(TurnWanted{Machine: m.id, PerSecond: t.perSecond})
}

// turnDecided takes the answer to a question.
func (r *Router) turnDecided(event *TurnDecided) {
	m := r.machines[event.Machine]
	if m == nil || !m.turns.asked {
		return
	}
	t := &m.turns
	t.asked = false
	at := r.nanos + int64(event.Wait)
	if event.Granted {
		t.from, t.until = at, at+int64(turnLasts)
	} else {
		t.deniedUntil = at
	}
	if at > r.nanos {
		r.wake(m, at)
	} else {
		r.freed = append(r.freed, m)
	}
	r.refuseClosed(m)
}
