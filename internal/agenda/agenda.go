package agenda

import (
	"time"

	"github.com/valveslip/valveslip/internal/binaryheap"
)

// EventQueue is a queue of functions ordered by their scheduled times. Functions of the same time
// are ordered as they were scheduled. The zero value is an empty queue that is ready for use.
type EventQueue struct {
	queue        binaryheap.Heap[*entry]
	lastSequence int
}

// entry is a function with its scheduled time. The sequence number orders entries of the
// same time.
type entry struct {
	at       time.Time
	sequence int
	run      func()
}

// Before implements binaryheap.Element.
func (e *entry) Before(other *entry) bool {
	return e.at.Before(other.at) || e.at.Equal(other.at) && e.sequence < other.sequence
}

// Moved implements binaryheap.Element. It ignores the index, because entries are never fixed
// or removed by index.
func (e *entry) Moved(int) {}

// Schedule adds a function that runs at a time.
func (a *EventQueue) Schedule(at time.Time, run func()) {
	a.lastSequence++
	a.queue.Push(&entry{at: at, sequence: a.lastSequence, run: run})
}

// Len returns the number of scheduled functions.
func (a *EventQueue) Len() int { return a.queue.Len() }

// Next removes the first scheduled function and returns it with its time. It returns false if
// no function is scheduled at or before end.
func (a *EventQueue) Next(end time.Time) (at time.Time, run func(), due bool) {
	if a.queue.Len() == 0 || a.queue.First().at.After(end) {
		return time.Time{}, nil, false
	}
	first := a.queue.Pop()
	return first.at, first.run, true
}
