package simulation

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/internal/binaryheap"
)

// Epoch is the virtual time at which every simulation starts.
var Epoch = time.Date(2030, time.January, 7, 0, 0, 0, 0, time.UTC)

// Kernel is a discrete-event loop on a virtual clock. It is single-threaded:
// all state of a simulation belongs to the goroutine that calls Run. Events at
// the same instant happen in the order in which they were scheduled, so a run is
// a function of its seed alone.
type Kernel struct {
	now      time.Time
	seed     uint64
	queue    binaryheap.Heap[*event]
	sequence uint64
	executed uint64
	digest   *xxhash.Digest
	buffer   [24]byte
	after    func()
}

// event is one scheduled call.
type event struct {
	at       time.Time
	sequence uint64
	label    Label
	run      func()
	canceled bool
}

// Label names the kind of an event in the event log hash.
type Label uint32

// Timer cancels a scheduled event.
type Timer struct{ event *event }

// Cancel prevents the event; it is harmless after the event has happened.
func (t Timer) Cancel() {
	if t.event != nil {
		t.event.canceled = true
	}
}

// NewKernel returns a kernel at Epoch whose random streams derive from seed.
func NewKernel(seed uint64) *Kernel {
	return &Kernel{now: Epoch, seed: seed, digest: xxhash.New()}
}

// Now returns the virtual time.
func (k *Kernel) Now() time.Time { return k.now }

// Executed returns how many events have happened.
func (k *Kernel) Executed() uint64 { return k.executed }

// Hash returns the hash of the event log so far. Two runs of one seed have the
// same hash.
func (k *Kernel) Hash() uint64 { return k.digest.Sum64() }

// Stream returns the random stream of a purpose. Streams of different purposes
// are independent, so drawing more for one does not disturb another.
func (k *Kernel) Stream(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(k.seed, xxhash.Sum64String(purpose)))
}

// AfterEach sets a function that is called after every event; the promise
// checkers hang there.
func (k *Kernel) AfterEach(check func()) { k.after = check }

// At schedules run at the given time, not before now.
func (k *Kernel) At(at time.Time, label Label, run func()) Timer {
	if at.Before(k.now) {
		at = k.now
	}
	k.sequence++
	scheduled := &event{at: at, sequence: k.sequence, label: label, run: run}
	k.queue.Push(scheduled)
	return Timer{event: scheduled}
}

// After schedules run after a delay.
func (k *Kernel) After(delay time.Duration, label Label, run func()) Timer {
	return k.At(k.now.Add(delay), label, run)
}

// Every schedules run each interval, first after offset, until it returns false.
func (k *Kernel) Every(offset, interval time.Duration, label Label, run func() bool) {
	var again func()
	again = func() {
		if run() {
			k.After(interval, label, again)
		}
	}
	k.After(offset, label, again)
}

// Run executes events until the queue is empty or the next one lies after
// until; then the clock stands at until.
func (k *Kernel) Run(until time.Time) {
	for k.queue.Len() > 0 && !k.queue.First().at.After(until) {
		next := k.queue.Pop()
		if next.canceled {
			continue
		}
		k.now = next.at
		k.executed++
		k.fold(uint64(next.label), uint64(next.at.UnixNano()), next.sequence)
		next.run()
		if k.after != nil {
			k.after()
		}
	}
	if k.now.Before(until) {
		k.now = until
	}
}

// Record folds a value into the event log hash, for decisions whose effect is
// not an event of its own.
func (k *Kernel) Record(label Label, value uint64) {
	k.fold(uint64(label), uint64(k.now.UnixNano()), value)
}

// fold adds three words to the event log hash.
func (k *Kernel) fold(label, at, value uint64) {
	binary.LittleEndian.PutUint64(k.buffer[0:], label)
	binary.LittleEndian.PutUint64(k.buffer[8:], at)
	binary.LittleEndian.PutUint64(k.buffer[16:], value)
	_, _ = k.digest.Write(k.buffer[:])
}

// Before implements binaryheap.Element: by time, then by order of scheduling.
func (e *event) Before(other *event) bool {
	if !e.at.Equal(other.at) {
		return e.at.Before(other.at)
	}
	return e.sequence < other.sequence
}

// Moved implements binaryheap.Element; events are never moved or removed.
func (e *event) Moved(int) {}
