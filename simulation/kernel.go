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

// Kernel is a discrete-event loop on a virtual clock. It is single-threaded: all
// state of a simulation belongs to the goroutine that calls Run. Events with the
// same time run in scheduling order, so that a run depends on its seed alone.
type Kernel struct {
	now        time.Time
	seed       uint64
	queue      binaryheap.Heap[*event]
	sequence   uint64
	executed   uint64
	digest     *xxhash.Digest
	hashBuffer [24]byte
	afterEach  func()
}

// event is one scheduled function call.
type event struct {
	at       time.Time
	sequence uint64
	label    Label
	run      func()
	canceled bool
}

// Label is the kind of an event. It is part of the event log hash.
type Label uint32

// Timer cancels a scheduled event.
type Timer struct{ event *event }

// Cancel prevents the event from running. It has no effect on an event that has
// run, or on the zero Timer.
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

// Executed returns the number of events that have run.
func (k *Kernel) Executed() uint64 { return k.executed }

// Hash returns the hash of the event log so far. Equal seeds give equal hashes.
func (k *Kernel) Hash() uint64 { return k.digest.Sum64() }

// Stream returns a new random stream that is derived from the seed and the
// purpose. Drawing from the stream of one purpose does not change another's.
func (k *Kernel) Stream(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(k.seed, xxhash.Sum64String(purpose)))
}

// AfterEach sets a function that is called after every event.
func (k *Kernel) AfterEach(check func()) { k.afterEach = check }

// At schedules run at the given time, or now if the time has passed.
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

// Every schedules run after offset and then at each interval until run returns
// false.
func (k *Kernel) Every(offset, interval time.Duration, label Label, run func() bool) {
	var repeat func()
	repeat = func() {
		if run() {
			k.After(interval, label, repeat)
		}
	}
	k.After(offset, label, repeat)
}

// Run executes all events up to and including until, then sets the clock to
// until.
func (k *Kernel) Run(until time.Time) {
	for k.queue.Len() > 0 && !k.queue.First().at.After(until) {
		next := k.queue.Pop()
		if next.canceled {
			continue
		}
		k.now = next.at
		k.executed++
		k.addToHash(uint64(next.label), uint64(next.at.UnixNano()), next.sequence)
		next.run()
		if k.afterEach != nil {
			k.afterEach()
		}
	}
	if k.now.Before(until) {
		k.now = until
	}
}

// Record adds a value to the event log hash. It is for decisions that schedule
// no event of their own.
func (k *Kernel) Record(label Label, value uint64) {
	k.addToHash(uint64(label), uint64(k.now.UnixNano()), value)
}

// addToHash adds three words to the event log hash.
func (k *Kernel) addToHash(label, at, value uint64) {
	binary.LittleEndian.PutUint64(k.hashBuffer[0:], label)
	binary.LittleEndian.PutUint64(k.hashBuffer[8:], at)
	binary.LittleEndian.PutUint64(k.hashBuffer[16:], value)
	_, _ = k.digest.Write(k.hashBuffer[:])
}

// Before implements binaryheap.Element. It orders events by time, then by
// scheduling order.
func (e *event) Before(other *event) bool {
	if !e.at.Equal(other.at) {
		return e.at.Before(other.at)
	}
	return e.sequence < other.sequence
}

// Moved implements binaryheap.Element. It does nothing because canceled events
// stay in the heap and no event needs its index.
func (e *event) Moved(int) {}
