package simulation

import (
	"strconv"
	"time"

	standin "github.com/valveslip/valveslip/standin/weights"
	"github.com/valveslip/valveslip/weights"
)

// WeightStoreConfig holds the store's limits.
type WeightStoreConfig struct {
	// StartsPerSecond bounds the fetches that start per second. The store tells a
	// refused fetch when to retry.
	StartsPerSecond float64
	// Concurrency is the number of fetches that can run at full speed. More
	// fetches share their throughput.
	Concurrency int
	// BytesPerSecond is the full speed of one fetch.
	BytesPerSecond float64
}

// WeightStore runs the stand-in of the weight store on the virtual clock.
type WeightStore struct {
	kernel  *Kernel
	state   *standin.State
	fetches map[string]*Fetch
	nextID  uint64
	timer   Timer
	updated time.Time
	// Started counts the started fetches, Retried the starts that the rate limit
	// refused. Busy is the sum of the running times of all fetches in seconds.
	// Peak is the largest number of fetches that ran at once.
	Started, Retried uint64
	Busy             float64
	Peak             int
}

// Fetch is the transfer of one checkpoint from the store to a machine.
type Fetch struct {
	id    string
	bytes int64
	ended bool
	done  func()
}

// NewWeightStore returns a healthy, idle store.
func NewWeightStore(kernel *Kernel, config WeightStoreConfig) *WeightStore {
	state := standin.NewState(standin.Config{
		StartsPerSecond: config.StartsPerSecond, Concurrency: config.Concurrency, BytesPerSecond: config.BytesPerSecond,
	})
	return &WeightStore{kernel: kernel, state: state, fetches: map[string]*Fetch{}, updated: kernel.Now()}
}

// SetSpeed sets the store's speed as a share of its full speed.
func (s *WeightStore) SetSpeed(speed float64) {
	s.state.SetSpeed(s.kernel.Now(), speed)
	s.advance()
}

// Status returns the status that the store publishes.
func (s *WeightStore) Status() weights.Status { return s.state.Status(s.kernel.Now()) }

// Active returns the number of fetches that run now.
func (s *WeightStore) Active() int { return len(s.fetches) }

// Start starts a fetch as soon as the start rate allows it, and calls done when
// the fetch is complete.
func (s *WeightStore) Start(bytes int64, done func()) *Fetch {
	s.nextID++
	fetch := &Fetch{id: strconv.FormatUint(s.nextID, 10), bytes: bytes, done: done}
	s.tryStart(fetch)
	return fetch
}

// tryStart asks the store to start a fetch, and retries when the store refuses.
func (s *WeightStore) tryStart(fetch *Fetch) {
	if fetch.ended {
		return
	}
	retryAfter, ok := s.state.Start(s.kernel.Now(), fetch.id, fetch.bytes)
	if !ok {
		s.Retried++
		s.kernel.After(max(retryAfter, time.Millisecond), LabelStore, func() { s.tryStart(fetch) })
		return
	}
	s.updateBusy()
	s.Started++
	s.fetches[fetch.id] = fetch
	s.Peak = max(s.Peak, len(s.fetches))
	s.advance()
}

// Cancel ends a fetch without calling done.
func (s *WeightStore) Cancel(fetch *Fetch) {
	if fetch == nil || fetch.ended {
		return
	}
	fetch.ended = true
	if _, running := s.fetches[fetch.id]; !running {
		return
	}
	s.updateBusy()
	delete(s.fetches, fetch.id)
	s.state.Abort(s.kernel.Now(), fetch.id)
	s.advance()
}

// advance ends the complete fetches and schedules itself for the next end.
func (s *WeightStore) advance() {
	s.updateBusy()
	for _, id := range s.state.Advance(s.kernel.Now()) {
		fetch := s.fetches[id]
		if fetch == nil {
			continue
		}
		delete(s.fetches, id)
		fetch.ended = true
		s.kernel.After(0, LabelStore, fetch.done)
	}
	s.timer.Cancel()
	if next, ok := s.state.Next(); ok {
		s.timer = s.kernel.At(next.Add(time.Microsecond), LabelStore, s.advance)
	}
}

// updateBusy adds the running time of the fetches since the last call to Busy.
func (s *WeightStore) updateBusy() {
	s.Busy += s.kernel.Now().Sub(s.updated).Seconds() * float64(len(s.fetches))
	s.updated = s.kernel.Now()
}
