package agenda

import (
	"time"

	"github.com/valveslip/valveslip/internal/binaryheap"
)

// Agenda runs entries in the order of their times, those of one time in the order in which they
// were added. The zero value is empty and ready.
type Agenda struct {
	queue binaryheap.Heap[*entry]
	added int
}

// entry is what runs at a time.
type entry struct {
	at    time.Time
	order int
	run   func()
}

// Before implements binaryheap.Element.
func (e *entry) Before(other *entry) bool {
	return e.at.Before(other.at) || e.at.Equal(other.at) && e.order < other.order
}

// Moved implements binaryheap.Element; entries are never moved or removed.
func (e *entry) Moved(int) {}

// Add has a function run at a time.
func (a *Agenda) Add(at time.Time, run func()) {
	a.added++
	a.queue.Push(&entry{at: at, order: a.added, run: run})
}

// Len returns the number of entries.
func (a *Agenda) Len() int { return a.queue.Len() }

// Next takes the first entry out; false where none is due by end.
func (a *Agenda) Next(end time.Time) (at time.Time, run func(), due bool) {
	if a.queue.Len() == 0 || a.queue.First().at.After(end) {
		return time.Time{}, nil, false
	}
	first := a.queue.Pop()
	return first.at, first.run, true
}
