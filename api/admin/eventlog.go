package admin

import "sync"

// DefaultEventLogLength is how many events an EventLog keeps.
const DefaultEventLogLength = 4096

// EventLog keeps the newest events in bounded memory and wakes their readers.
// A Backend can embed one. It is safe for concurrent use.
type EventLog struct {
	mutex sync.Mutex
	// ring holds the event with number n at index n modulo its length.
	ring   []Event
	newest uint64
	more   chan struct{}
}

// NewEventLog returns a log that keeps length events.
func NewEventLog(length int) *EventLog {
	return &EventLog{ring: make([]Event, max(1, length)), more: make(chan struct{})}
}

// Append numbers the event and keeps it in place of the oldest.
func (l *EventLog) Append(event Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.newest++
	event.Number = l.newest
	l.ring[l.newest%uint64(len(l.ring))] = event
	close(l.more)
	l.more = make(chan struct{})
}

// EventsAfter returns the kept events with a larger number, oldest first, and a
// channel that is closed when there are more. A number that was not given out
// yet is of an earlier run of the node: all kept events follow it.
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
	return events, l.more
}
