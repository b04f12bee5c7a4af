package exchange

import (
	"sync"

	"github.com/valveslip/valveslip/wire"
)

// Table holds the open questions. Its zero value is ready; it is safe for
// concurrent use.
type Table struct {
	mutex  sync.Mutex
	number uint64
	open   map[uint64]chan<- wire.Message
}

// Open returns the number of a new question that expects at most the given
// number of answers, and where they arrive. Forget ends it.
func (t *Table) Open(answers int) (number uint64, arrived <-chan wire.Message) {
	channel := make(chan wire.Message, answers)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.open == nil {
		t.open = make(map[uint64]chan<- wire.Message)
	}
	t.number++
	t.open[t.number] = channel
	return t.number, channel
}

// Forget drops a question; later answers to it are ignored.
func (t *Table) Forget(number uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.open, number)
}

// Deliver hands an answer to its question. It never waits: an answer that is
// not expected is dropped.
func (t *Table) Deliver(number uint64, answer wire.Message) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if channel, open := t.open[number]; open {
		select {
		case channel <- answer:
		default:
		}
	}
}
