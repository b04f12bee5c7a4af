package pacing

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

const (
	// slotTurnLife is how long a turn at a brittle machine counts if it is not returned, because its
	// node has ended or the message was lost. It is longer than most requests take.
	slotTurnLife = 5 * time.Second
	// slotTurnWait is how long a request for a turn is kept until one is returned. It is shorter than
	// answerTimeout, after which the other pacer is asked.
	slotTurnWait = 15 * time.Millisecond
	// slotRetryDelay is the retry delay of a request that was kept in vain. It is short because a turn
	// may come back at any moment.
	slotRetryDelay = 5 * time.Millisecond
	// firstTurnsTime is the time over which a pacer that begins gives out the first turns: requests
	// that a predecessor granted, or that nobody paced, are still running.
	firstTurnsTime = time.Second
	// slotPacerLoss is how long a pacer must be silent until the next one is asked for turns at brittle
	// machines. Both would grant all turns otherwise whenever an answer is late, so that it is longer than
	// a busy node stalls and than most requests run.
	slotPacerLoss = time.Second
	// lateRetryDelay is the retry delay of a request to a pacer that did not answer in time. It is long
	// enough that a busy pacer is not asked more often for it.
	lateRetryDelay = 50 * time.Millisecond
)

// slotKey identifies a turn by the node that asked for it and its number.
type slotKey struct {
	node   cluster.NodeID
	number int64
}

// waitingSlot is a request for a turn that is kept until one is returned.
type waitingSlot struct {
	key slotKey
	// address is where the answer goes, empty for this node's own request.
	address string
	until   time.Time
}

// slotSchedule grants turns at one brittle machine, at most slots at a time.
type slotSchedule struct {
	slots int
	// perSecond is the rate limit that the machine states besides, zero for none.
	perSecond float64
	// expiries holds when each granted turn ceases to count.
	expiries map[slotKey]time.Time
	waiting  []waitingSlot
	// beganAt is when the schedule began.
	beganAt       time.Time
	lastRequestAt time.Time
}

// free returns how many turns may be granted now.
func (s *slotSchedule) free(now time.Time) int {
	for key, expiry := range s.expiries {
		if !now.Before(expiry) {
			delete(s.expiries, key)
		}
	}
	slots := s.slots
	if age := now.Sub(s.beganAt); age < firstTurnsTime {
		slots = int(float64(slots) * age.Seconds() / firstTurnsTime.Seconds())
	}
	return slots - len(s.expiries)
}

// slotScheduleFor returns the schedule of a brittle machine.
func (c *Core) slotScheduleFor(machine cluster.MachineID, slots int, perSecond float64) *slotSchedule {
	schedule := c.slotSchedules[machine]
	if schedule == nil {
		schedule = &slotSchedule{expiries: map[slotKey]time.Time{}, beganAt: c.now}
		c.slotSchedules[machine] = schedule
	}
	first := c.pacers(machine)[0].ID == c.self.ID
	if !first && c.now.Sub(schedule.lastRequestAt) >= firstTurnsTime {
		// The pacer in whose place this node was asked has granted turns meanwhile.
		schedule.beganAt = c.now
	}
	schedule.slots, schedule.perSecond, schedule.lastRequestAt = slots, perSecond, c.now
	return schedule
}

// requestSlotTurn requests a turn at a brittle machine from the first pacer that has not been silent for
// slotPacerLoss. It returns false if there is none.
func (c *Core) requestSlotTurn(request TurnRequested) bool {
	for _, p := range c.pacers(request.Machine) {
		since, silent := c.silentSince[p.ID]
		switch {
		case p.ID == c.self.ID:
			c.requestSlot(request.Machine, request.Slots, request.StatedPerSecond, slotKey{c.self.ID, c.nextNumber()}, "")
			return true
		case !silent || c.now.Sub(since) < slotPacerLoss || !c.now.Before(c.unresponsiveUntil[p.ID]):
			c.sendRequest(p, request)
			return true
		}
	}
	return false
}

// slotRequestExpired handles a request for a turn at a brittle machine that was not answered in time. While
// its pacer may only be late, the request is denied.
func (c *Core) slotRequestExpired(number int64, request *pendingRequest) {
	c.expiredSlots[number] = request.request.Machine
	since, silent := c.silentSince[request.to]
	if !silent {
		since = c.now
		c.silentSince[request.to] = since
	}
	if c.now.Sub(since) < slotPacerLoss {
		c.emit(TurnDecided{Machine: request.request.Machine, Wait: lateRetryDelay, By: request.to})
		return
	}
	c.unresponsiveUntil[request.to] = c.now.Add(unresponsiveBackoff)
	c.requestTurn(request.request)
}

// requestSlot grants a turn at a brittle machine, or keeps the request until one is returned.
func (c *Core) requestSlot(machine cluster.MachineID, slots int, perSecond float64, key slotKey, address string) {
	schedule := c.slotScheduleFor(machine, slots, perSecond)
	schedule.waiting = append(schedule.waiting, waitingSlot{key: key, address: address, until: c.now.Add(slotTurnWait)})
	c.serveWaiting(machine, schedule)
}

// serveWaiting grants free turns to the requests that wait, in order, and denies those that waited for too
// long.
func (c *Core) serveWaiting(machine cluster.MachineID, schedule *slotSchedule) {
	free := schedule.free(c.now)
	kept := schedule.waiting[:0]
	for _, waiting := range schedule.waiting {
		switch {
		case !c.now.Before(waiting.until):
			c.answerSlot(machine, &waiting, false, slotRetryDelay)
		case free > 0:
			wait, granted := c.rateWait(machine, schedule)
			if granted {
				free--
				schedule.expiries[waiting.key] = c.now.Add(wait + slotTurnLife)
			}
			c.answerSlot(machine, &waiting, granted, wait)
		default:
			kept = append(kept, waiting)
		}
	}
	schedule.waiting = kept
}

// rateWait takes a turn of the rate that a brittle machine states, if it states one. It returns after which
// time the turn may be used, or when to ask again.
func (c *Core) rateWait(machine cluster.MachineID, schedule *slotSchedule) (wait time.Duration, granted bool) {
	if schedule.perSecond == 0 {
		return 0, true
	}
	interval := turnInterval(schedule.perSecond)
	return c.scheduleFor(machine, interval).grantNext(c.now, interval)
}

// answerSlot answers a request for a turn.
func (c *Core) answerSlot(machine cluster.MachineID, waiting *waitingSlot, granted bool, wait time.Duration) {
	if waiting.address == "" {
		c.emit(TurnDecided{Machine: machine, Granted: granted, Wait: wait, By: c.self.ID, Number: waiting.key.number})
		return
	}
	c.emit(Send{Address: waiting.address, Message: wire.TurnAnswer{From: c.self.ID, Number: waiting.key.number, Granted: granted, Wait: wait}})
}

// grantedLate hands on a turn that was granted after its request had timed out. Whoever asked for it uses it
// or returns it.
func (c *Core) grantedLate(m *wire.TurnAnswer) {
	machine := c.expiredSlots[m.Number]
	if !m.Granted || machine == "" {
		return
	}
	delete(c.expiredSlots, m.Number)
	c.emit(TurnDecided{Machine: machine, Granted: true, By: m.From, Number: m.Number})
}

// returnTurn returns a turn to the node that granted it.
func (c *Core) returnTurn(e *TurnReturned) {
	if e.By == c.self.ID {
		c.slotReturned(e.Machine, slotKey{c.self.ID, e.Number})
		return
	}
	for _, peer := range c.peers {
		if peer.ID == e.By {
			c.emit(Send{Address: peer.Address, Message: wire.TurnReturned{From: c.self.ID, Number: e.Number, Machine: e.Machine}})
			return
		}
	}
}

// slotReturned frees a turn that this node granted.
func (c *Core) slotReturned(machine cluster.MachineID, key slotKey) {
	if schedule := c.slotSchedules[machine]; schedule != nil {
		delete(schedule.expiries, key)
		c.serveWaiting(machine, schedule)
	}
}

// serveAllWaiting serves the requests that wait at all machines.
func (c *Core) serveAllWaiting() {
	if len(c.slotSchedules) == 0 {
		return
	}
	for _, machine := range slices.Sorted(maps.Keys(c.slotSchedules)) {
		if schedule := c.slotSchedules[machine]; len(schedule.waiting) > 0 {
			c.serveWaiting(machine, schedule)
		}
	}
}

// slotsDue returns when the first request that waits must be answered, zero for none. During
// firstTurnsTime turns become free by time alone.
func (c *Core) slotsDue() time.Time {
	var next time.Time
	for _, schedule := range c.slotSchedules {
		for i := range schedule.waiting {
			if until := schedule.waiting[i].until; next.IsZero() || until.Before(next) {
				next = until
			}
		}
	}
	return next
}
