package hollow

import (
	"time"

	"github.com/valveslip/valveslip/internal/binaryheap"
)

// scheduled is something that happens at a time. Number keeps the order of
// scheduling among equal times.
type scheduled struct {
	at     time.Time
	number uint64
	run    func()
}

// Before implements binaryheap.Element: by time, then by order of scheduling.
func (s scheduled) Before(other scheduled) bool {
	if !s.at.Equal(other.at) {
		return s.at.Before(other.at)
	}
	return s.number < other.number
}

// Moved implements binaryheap.Element; what is scheduled is never moved.
func (s scheduled) Moved(int) {}

// clock is virtual time with its agenda.
type clock struct {
	now    time.Time
	number uint64
	agenda binaryheap.Heap[scheduled]
}

// after schedules run.
func (c *clock) after(delay time.Duration, run func()) {
	c.number++
	c.agenda.Push(scheduled{at: c.now.Add(delay), number: c.number, run: run})
}

// runUntil lets time pass up to end.
func (c *clock) runUntil(end time.Time) {
	for c.agenda.Len() > 0 && !c.agenda.First().at.After(end) {
		next := c.agenda.Pop()
		c.now = next.at
		next.run()
	}
	c.now = end
}
