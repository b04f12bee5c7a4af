package wire

import (
	"slices"
	"time"
)

// agingMessage is implemented by messages with times relative to the moment of sending.
type agingMessage interface {
	// delayedBy returns the message with its relative times adjusted for a delay before it
	// is sent. It does not modify slices of the message, which may be queued for several
	// peers.
	delayedBy(by time.Duration) Message
}

// adjustForDelay returns message with its relative times adjusted for the time that it was
// queued.
func adjustForDelay(message Message, delay time.Duration) Message {
	if m, isAging := message.(agingMessage); isAging {
		return m.delayedBy(delay)
	}
	return message
}

// delayedBy implements agingMessage.
func (m StoreChanges) delayedBy(by time.Duration) Message {
	m.Age += by
	return m
}

// delayedBy implements agingMessage.
func (m StoreSnapshot) delayedBy(by time.Duration) Message {
	m.Age += by
	return m
}

// delayedBy implements agingMessage.
func (m Demand) delayedBy(by time.Duration) Message {
	m.Models = slices.Clone(m.Models)
	for i := range m.Models {
		if model := &m.Models[i]; model.Waiting > 0 {
			model.OldestWait += by
			model.EarliestDeadline = max(model.EarliestDeadline-by, 0)
		}
	}
	return m
}

// delayedBy implements agingMessage.
func (m CellStatus) delayedBy(by time.Duration) Message {
	m.Replicas = slices.Clone(m.Replicas)
	for i := range m.Replicas {
		if replica := &m.Replicas[i]; replica.ReadyIn > 0 {
			// Zero would mean that the time is not known.
			replica.ReadyIn = max(replica.ReadyIn-by, time.Millisecond)
		}
	}
	m.Loads = slices.Clone(m.Loads)
	for i := range m.Loads {
		m.Loads[i].Age += by
	}
	m.Shares = slices.Clone(m.Shares)
	for i := range m.Shares {
		m.Shares[i].ExpiresIn = max(m.Shares[i].ExpiresIn-by, 0)
	}
	return m
}

// delayedBy implements agingMessage: the request has less time left.
func (m EngineRequest) delayedBy(by time.Duration) Message {
	m.Work.Objective -= by
	m.Work.Left -= by
	return m
}

// delayedBy implements agingMessage: the moment at which the request is to be sent stays the same.
func (m EngineAnswer) delayedBy(by time.Duration) Message {
	m.Delay = max(m.Delay-by, 0)
	return m
}

// delayedBy implements agingMessage: the moment at which the request may be sent stays the same.
func (m TurnAnswer) delayedBy(by time.Duration) Message {
	m.Wait = max(m.Wait-by, 0)
	return m
}

// delayedBy implements agingMessage.
func (m EngineNews) delayedBy(by time.Duration) Message {
	m.Attempts = slices.Clone(m.Attempts)
	for i := range m.Attempts {
		m.Attempts[i].Sent += by
	}
	return m
}
