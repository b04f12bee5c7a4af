package admin

import "sync"

// DefaultEventLogLength is the default number of events that an EventLog retains.
const DefaultEventLogLength = 4096

// EventLog retains the newest events in a ring buffer and notifies readers of new
// ones. A Backend can embed an EventLog. It is safe for concurrent use.
type EventLog struct {
	mutex sync.Mutex
	// ring holds the event with number n at index n modulo the ring's length.
	ring []Event
	// newest is the number of the newest event, zero if there is none.
	newest uint64
	// appended is closed and replaced when an event is appended.
	appended chan struct{}
}

// NewEventLog returns a log that retains the newest length events, at least one.
func NewEventLog(length int) *EventLog {
	return &EventLog{ring: make([]Event, max(1, length)), appended: make(chan struct{})}
}

// Append assigns the next number to the event and stores it. A full log drops its
// oldest event.
func (l *EventLog) Append(event Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.newest++
	event.Number = l.newest
	l.ring[l.newest%uint64(len(l.ring))] = event
	close(l.appended)
	l.appended = make(chan struct{})
}

// EventsAfter returns the retained events with a larger number, oldest first, and
// a channel that is closed when further events are appended. A number that has not
// been assigned yet must come from an earlier process of the node, so then all
// retained events are returned.
func (l *EventLog) EventsAfter(after uint64) ([]Event, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	length := uint64(len(l.ring))
	if after > l.newest {
		after = 0
	}
	if l.newest > length && after < l.newest-length {
		after = l.newest - length
	}
	events := make([]Event, 0, l.newest-after)
	for number := after + 1; number <= l.newest; number++ {
		events = append(events, l.ring[number%length])
	}
	return events, l.appended
}
