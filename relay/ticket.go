package relay

import (
	"context"
	"sync"

	"github.com/valveslip/valveslip/routing"
)

// Decider admits requests and decides on their attempts. Its methods never wait for the
// network.
type Decider interface {
	// Submit asks to admit a request. The decisions on it are delivered to the
	// returned ticket; the last one is its only routing.Finish.
	Submit(request routing.Request) *Ticket
	// Report informs the core of an event of a request.
	Report(event routing.Event)
}

// Ticket is the queue of the effects of one request. Deliver never blocks, so that a
// slow request cannot delay the core. The queue's length is bounded by the number of the
// request's attempts.
type Ticket struct {
	mutex     sync.Mutex
	pending   []routing.Effect
	interrupt context.CancelFunc
	ready     chan struct{}
	observe   func(routing.Effect)
}

// NewTicket returns an empty queue. The goroutine of the request calls observe, unless
// it is nil, with each effect that it takes from the queue.
func NewTicket(observe func(routing.Effect)) *Ticket {
	return &Ticket{ready: make(chan struct{}, 1), observe: observe}
}

// Deliver appends an effect to the queue. A CancelAttempt or Finish also interrupts the
// running attempt.
func (t *Ticket) Deliver(effect routing.Effect) {
	t.mutex.Lock()
	t.pending = append(t.pending, effect)
	var interrupt context.CancelFunc
	switch effect.(type) {
	case routing.CancelAttempt, routing.Finish:
		interrupt = t.interrupt
	}
	t.mutex.Unlock()
	if interrupt != nil {
		interrupt()
	}
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// Next removes and returns the oldest effect. It waits until there is one or ctx ends.
func (t *Ticket) Next(ctx context.Context) (routing.Effect, error) {
	for {
		if effect, ok := t.Take(); ok {
			return effect, nil
		}
		select {
		case <-t.ready:
		case <-ctx.Done():
			if effect, ok := t.Take(); ok {
				return effect, nil
			}
			return nil, ctx.Err()
		}
	}
}

// Take removes and returns the oldest effect, if there is one. It does not wait.
func (t *Ticket) Take() (routing.Effect, bool) {
	effect, found := t.pop()
	if found && t.observe != nil {
		t.observe(effect)
	}
	return effect, found
}

// pop removes and returns the oldest effect without calling observe.
func (t *Ticket) pop() (routing.Effect, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.pending) == 0 {
		return nil, false
	}
	effect := t.pending[0]
	t.pending = t.pending[1:]
	return effect, true
}

// OnInterrupt sets the function that interrupts the running attempt; nil removes it. If
// an interrupting effect is already queued, cancel is called at once.
func (t *Ticket) OnInterrupt(cancel context.CancelFunc) {
	t.mutex.Lock()
	t.interrupt = cancel
	interrupted := false
	for _, effect := range t.pending {
		switch effect.(type) {
		case routing.CancelAttempt, routing.Finish:
			interrupted = true
		}
	}
	t.mutex.Unlock()
	if interrupted && cancel != nil {
		cancel()
	}
}
