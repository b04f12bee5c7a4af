package exchange

import (
	"sync"

	"github.com/valveslip/valveslip/wire"
)

// Table holds the requests that await answers. Its zero value is ready for use. It is safe for
// concurrent use.
type Table struct {
	mutex   sync.Mutex
	number  uint64
	pending map[uint64]chan<- wire.Message
}

// Open registers a request that expects at most the given number of answers. It returns the number
// of the request and the channel on which the answers arrive. The caller must call Forget with the
// number when it stops waiting.
func (t *Table) Open(answers int) (number uint64, arrived <-chan wire.Message) {
	channel := make(chan wire.Message, answers)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.pending == nil {
		t.pending = make(map[uint64]chan<- wire.Message)
	}
	t.number++
	t.pending[t.number] = channel
	return t.number, channel
}

// Forget removes a request. Later answers to it are ignored.
func (t *Table) Forget(number uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.pending, number)
}

// Deliver sends an answer to the channel of its request. It never blocks: an unexpected answer is
// dropped.
func (t *Table) Deliver(number uint64, answer wire.Message) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if channel, open := t.pending[number]; open {
		select {
		case channel <- answer:
		default:
		}
	}
}
