package simulation

import (
	"strconv"
	"time"

	standin "github.com/valveslip/valveslip/standin/weights"
	"github.com/valveslip/valveslip/weights"
)

// WeightStoreConfig holds the store's limits.
type WeightStoreConfig struct {
	// StartsPerSecond bounds how many fetches begin a second; later ones try
	// again when the store tells them to.
	StartsPerSecond float64
	// Concurrency is how many fetches run at full speed; more share it.
	Concurrency int
	// BytesPerSecond of one fetch at full speed.
	BytesPerSecond float64
}

// WeightStore puts the stand-in of the weight store on the virtual clock.
type WeightStore struct {
	kernel  *Kernel
	state   *standin.State
	fetches map[string]*Fetch
	nextID  uint64
	timer   Timer
	updated time.Time
	// Started counts fetches, Retried the starts that were refused for the
	// rate, Busy integrates the running ones over time in seconds, Peak is the
	// most that ran at once.
	Started, Retried uint64
	Busy             float64
	Peak             int
}

// Fetch is one checkpoint on its way from the store to a machine.
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

// SetSpeed changes the store's speed as a share of full speed.
func (s *WeightStore) SetSpeed(speed float64) {
	s.state.SetSpeed(s.kernel.Now(), speed)
	s.progress()
}

// Status returns the published state.
func (s *WeightStore) Status() weights.Status { return s.state.Status(s.kernel.Now()) }

// Active returns the number of fetches that run now.
func (s *WeightStore) Active() int { return len(s.fetches) }

// Start begins a fetch, as soon as the start rate allows it, and calls done at
// its end.
func (s *WeightStore) Start(bytes int64, done func()) *Fetch {
	s.nextID++
	fetch := &Fetch{id: strconv.FormatUint(s.nextID, 10), bytes: bytes, done: done}
	s.try(fetch)
	return fetch
}

// try asks the store to begin a fetch.
func (s *WeightStore) try(fetch *Fetch) {
	if fetch.ended {
		return
	}
	retryAfter, ok := s.state.Start(s.kernel.Now(), fetch.id, fetch.bytes)
	if !ok {
		s.Retried++
		s.kernel.After(max(retryAfter, time.Millisecond), LabelStore, func() { s.try(fetch) })
		return
	}
	s.integrate()
	s.Started++
	s.fetches[fetch.id] = fetch
	s.Peak = max(s.Peak, len(s.fetches))
	s.progress()
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
	s.integrate()
	delete(s.fetches, fetch.id)
	s.state.Abort(s.kernel.Now(), fetch.id)
	s.progress()
}

// progress ends the fetches that are done and waits for the next one.
func (s *WeightStore) progress() {
	s.integrate()
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
		s.timer = s.kernel.At(next.Add(time.Microsecond), LabelStore, s.progress)
	}
}

// integrate adds the running fetches over the time since the last change.
func (s *WeightStore) integrate() {
	s.Busy += s.kernel.Now().Sub(s.updated).Seconds() * float64(len(s.fetches))
	s.updated = s.kernel.Now()
}
