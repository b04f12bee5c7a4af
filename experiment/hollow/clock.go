package hollow

import (
	"time"

	"github.com/valveslip/valveslip/internal/binaryheap"
)

// scheduledEvent is a function to call at a time. sequence keeps the order of scheduling among
// equal times.
type scheduledEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

// Before implements binaryheap.Element: events are ordered by time, then by order of scheduling.
func (s scheduledEvent) Before(other scheduledEvent) bool {
	if !s.at.Equal(other.at) {
		return s.at.Before(other.at)
	}
	return s.sequence < other.sequence
}

// Moved implements binaryheap.Element. Positions are not tracked, because events are never updated.
func (s scheduledEvent) Moved(int) {}

// clock holds the virtual time and the scheduled events.
type clock struct {
	now      time.Time
	sequence uint64
	events   binaryheap.Heap[scheduledEvent]
}

// schedule calls run after the delay.
func (c *clock) schedule(delay time.Duration, run func()) {
	c.sequence++
	c.events.Push(scheduledEvent{at: c.now.Add(delay), sequence: c.sequence, run: run})
}

// runUntil runs all events up to end and advances the time to end.
func (c *clock) runUntil(end time.Time) {
	for c.events.Len() > 0 && !c.events.First().at.After(end) {
		next := c.events.Pop()
		c.now = next.at
		next.run()
	}
	c.now = end
}
