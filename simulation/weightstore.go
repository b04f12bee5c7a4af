package simulation

import (
	"math"
	"sort"
	"time"

	"github.com/valveslip/valveslip/platform/weights"
)

// overloadExponent says how fast one fetch slows down as the store runs more
// than its concurrency: at twice the concurrency each runs at 2^-1.5 of full
// speed, so overload costs total throughput too.
const overloadExponent = 1.5

// WeightStoreConfig holds the store's limits.
type WeightStoreConfig struct {
	// StartsPerSecond bounds how many fetches begin a second; later ones wait.
	StartsPerSecond float64
	// Concurrency is how many fetches run at full speed.
	Concurrency int
}

// WeightStore is the model of the rate-limited weight store. Fetches share its
// throughput; work is measured in seconds at full speed.
type WeightStore struct {
	kernel *Kernel
	config WeightStoreConfig
	// speed is the share of full speed, 1 when healthy.
	speed     float64
	fetches   []*Fetch
	nextID    uint64
	updated   time.Time
	timer     Timer
	nextStart time.Time
	// Started counts fetches, Busy integrates the running ones over time in
	// seconds, Peak is the most that ran at once.
	Started uint64
	Busy    float64
	Peak    int
}

// Fetch is one checkpoint on its way from the store to a machine.
type Fetch struct {
	id        uint64
	remaining float64
	running   bool
	canceled  bool
	done      func()
}

// NewWeightStore returns a healthy, idle store.
func NewWeightStore(kernel *Kernel, config WeightStoreConfig) *WeightStore {
	return &WeightStore{kernel: kernel, config: config, speed: 1, updated: kernel.Now(), nextStart: kernel.Now()}
}

// SetSpeed changes the store's speed as a share of full speed.
func (s *WeightStore) SetSpeed(speed float64) {
	s.advance()
	s.speed = math.Max(speed, 0.001)
	s.schedule()
}

// Status returns the published state.
func (s *WeightStore) Status() weights.Status {
	return weights.Status{
		StartsPerSecond: s.config.StartsPerSecond, Concurrency: s.config.Concurrency,
		Active: len(s.fetches), Speed: s.speed,
	}
}

// Active returns the number of fetches that run now.
func (s *WeightStore) Active() int { return len(s.fetches) }

// Start begins a fetch that takes the given time at full speed, once the start
// rate allows it, and calls done at its end.
func (s *WeightStore) Start(work time.Duration, done func()) *Fetch {
	s.nextID++
	fetch := &Fetch{id: s.nextID, remaining: work.Seconds(), done: done}
	start := s.kernel.Now()
	if start.Before(s.nextStart) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.config.StartsPerSecond))
	s.kernel.At(start, LabelStore, func() { s.begin(fetch) })
	return fetch
}

// Cancel ends a fetch without calling done.
func (s *WeightStore) Cancel(fetch *Fetch) {
	if fetch == nil || fetch.canceled {
		return
	}
	fetch.canceled = true
	if !fetch.running {
		return
	}
	s.advance()
	s.remove(fetch)
	s.schedule()
}

// begin lets a fetch run.
func (s *WeightStore) begin(fetch *Fetch) {
	if fetch.canceled {
		return
	}
	s.advance()
	fetch.running = true
	s.Started++
	s.fetches = append(s.fetches, fetch)
	s.Peak = max(s.Peak, len(s.fetches))
	s.schedule()
}

// rate is the speed of each running fetch.
func (s *WeightStore) rate() float64 {
	active := len(s.fetches)
	if active <= s.config.Concurrency {
		return s.speed
	}
	return s.speed * math.Pow(float64(s.config.Concurrency)/float64(active), overloadExponent)
}

// advance lets the running fetches progress up to now.
func (s *WeightStore) advance() {
	elapsed := s.kernel.Now().Sub(s.updated).Seconds()
	s.updated = s.kernel.Now()
	if elapsed <= 0 || len(s.fetches) == 0 {
		return
	}
	progress := elapsed * s.rate()
	s.Busy += elapsed * float64(len(s.fetches))
	for _, fetch := range s.fetches {
		fetch.remaining -= progress
	}
}

// schedule sets the timer for the next fetch to end.
func (s *WeightStore) schedule() {
	s.timer.Cancel()
	if len(s.fetches) == 0 {
		return
	}
	least := math.Inf(1)
	for _, fetch := range s.fetches {
		least = math.Min(least, fetch.remaining)
	}
	wait := time.Duration(math.Ceil(math.Max(least, 0) / s.rate() * float64(time.Second)))
	s.timer = s.kernel.After(wait, LabelStore, s.finish)
}

// finish ends the fetches that have no work left, in order of their start.
func (s *WeightStore) finish() {
	s.advance()
	const tolerance = 1e-6 // seconds, the rounding of the timer
	var ended []*Fetch
	for _, fetch := range s.fetches {
		if fetch.remaining <= tolerance {
			ended = append(ended, fetch)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].id < ended[j].id })
	for _, fetch := range ended {
		s.remove(fetch)
	}
	s.schedule()
	for _, fetch := range ended {
		if !fetch.canceled {
			fetch.canceled = true
			fetch.done()
		}
	}
}

// remove takes a fetch out of the running ones.
func (s *WeightStore) remove(fetch *Fetch) {
	for i, running := range s.fetches {
		if running == fetch {
			s.fetches = append(s.fetches[:i], s.fetches[i+1:]...)
			return
		}
	}
}
