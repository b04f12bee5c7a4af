package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// A brittle machine gets requests by turns, as one with a rate limit does, but a turn lasts until its
// request has ended there: its process ends by what it has to turn away, whichever router sent that, so
// that all routers together must not send more at a time than it has slots.
const (
	// brittleDecrease is the factor by which a rejection lowers the number of turns that are given
	// out at a time, at most once within decreaseInterval: rejections that follow at once come of the
	// same overload.
	brittleDecrease  = 0.6
	decreaseInterval = int64(200 * time.Millisecond)
	// increaseInterval is the time without a change after which the number rises. It is the time over
	// which machines count rejections, so that an increase too far shows before the next one.
	increaseInterval = int64(time.Second)
	// increaseDivisor is the part of the number, one eighth, by which it rises.
	increaseDivisor = 8
	// minStatedPerSecond is the lowest limit that a brittle machine is taken to state, since zero stands
	// for none.
	minStatedPerSecond = 0.001
	// slotTurnValidity is how long a turn may wait for its request. It is short because an unused turn
	// keeps others from the slot.
	slotTurnValidity = int64(50 * time.Millisecond)
)

// TurnReleased returns a turn at a brittle machine that has ended or will not be used.
type TurnReleased struct {
	Machine cluster.MachineID
	Turn    SlotTurn
}

func (TurnReleased) routingEffect() {}

// SlotTurn identifies a turn that lasts until its request has ended; zero for one that does not.
type SlotTurn struct {
	Number int64
	// By is the node that granted it.
	By cluster.NodeID
}

// limitBrittle returns the notice of a brittle machine with the number of turns that may be used at a
// time and, for nodes that know only rates, with the rate that follows from it.
func (r *Router) limitBrittle(m *machine, notice Notice) Notice {
	notice.Concurrency = r.brittleConcurrency(m, notice.Rejected)
	if notice.Limited {
		notice.StatedPerSecond = max(notice.PerSecond, minStatedPerSecond)
	}
	rate := float64(notice.Concurrency) / r.longestService(m).Seconds()
	if !notice.Limited || rate < notice.PerSecond {
		notice.Limited, notice.PerSecond = true, rate
	}
	return notice
}

// brittleConcurrency returns the next number of turns.
func (r *Router) brittleConcurrency(m *machine, rejected bool) int {
	t := &m.turns
	if !t.limited || t.concurrency == 0 {
		return max(m.slots, 1)
	}
	sinceChange := r.nanos - t.limitChangedAt
	turns := t.concurrency
	switch {
	case rejected && sinceChange >= decreaseInterval:
		turns = int(brittleDecrease * float64(turns))
	case !rejected && sinceChange >= increaseInterval:
		turns += max(turns/increaseDivisor, 1)
	}
	return min(max(turns, 1), max(m.slots, 1))
}

// longestService returns the longest of the mean service times of the models that a machine holds.
func (r *Router) longestService(m *machine) time.Duration {
	longest := 0.0
	for _, replica := range m.replicas {
		longest = max(longest, replica.model.serviceTime(&r.config))
	}
	return max(time.Duration(longest), time.Millisecond)
}

// releaseTurn returns a turn that was used or will not be.
func (r *Router) releaseTurn(m *machine, turn SlotTurn) {
	if turn.Number != 0 {
		r.emit(TurnReleased{Machine: m.id, Turn: turn})
	}
}

// releaseUnusedTurn returns the machine's turn if it is no longer valid.
func (r *Router) releaseUnusedTurn(m *machine) {
	t := &m.turns
	if t.slotTurn.Number != 0 && r.nanos >= t.validUntil {
		r.releaseTurn(m, t.slotTurn)
		t.slotTurn = SlotTurn{}
	}
}

// hasTurnForEach reports whether turns are pending or valid for all requests that wait for the machine's
// models, and at least one. Others would be lost.
func (r *Router) hasTurnForEach(m *machine) bool {
	for _, held := range m.replicas {
		turns := 0
		for _, tier := range held.model.tiers {
			for _, replica := range tier {
				if replica.machine.turns.pendingOrValid(r.nanos) {
					turns++
				}
			}
		}
		if turns < max(held.model.queue.Len(), 1) {
			return false
		}
	}
	return true
}

// pendingOrValid reports whether a turn was requested or may be used now or later.
func (t *turns) pendingOrValid(nanos int64) bool {
	return t.requested || nanos < t.validUntil
}
