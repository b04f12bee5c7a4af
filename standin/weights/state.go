package weights

import (
	"math"
	"sort"
	"time"

	"github.com/valveslip/valveslip/weights"
)

// Config of a State.
type Config struct {
	// StartsPerSecond of loads; zero means unlimited. One second's worth may
	// come at once.
	StartsPerSecond float64
	// Concurrency of loads at full speed; beyond it they share the same
	// bandwidth. Zero means unlimited.
	Concurrency int
	// BytesPerSecond of one load at full speed.
	BytesPerSecond float64
}

// State is the weight store. It is not safe for concurrent use.
type State struct {
	config    Config
	speed     float64
	now       time.Time
	allowance float64
	// remaining bytes of each load.
	remaining map[string]float64
	finished  []string
	peak      int
}

// NewState returns an idle store at full speed.
func NewState(config Config) *State {
	return &State{
		config: config, speed: 1, remaining: map[string]float64{},
		allowance: max(1, config.StartsPerSecond),
	}
}

// Start begins a load. When the store refuses, it says how long to wait.
func (s *State) Start(now time.Time, id string, bytes int64) (retryAfter time.Duration, ok bool) {
	s.advance(now)
	if _, running := s.remaining[id]; running {
		return 0, true
	}
	if s.config.StartsPerSecond > 0 {
		if s.allowance < 1 {
			return time.Duration((1 - s.allowance) / s.config.StartsPerSecond * float64(time.Second)), false
		}
		s.allowance--
	}
	s.remaining[id] = float64(bytes)
	s.peak = max(s.peak, len(s.remaining))
	return 0, true
}

// Abort ends a load without finishing it.
func (s *State) Abort(now time.Time, id string) {
	s.advance(now)
	delete(s.remaining, id)
}

// SetSpeed changes the store's speed, as a share of full speed from 0 to 1.
func (s *State) SetSpeed(now time.Time, speed float64) {
	s.advance(now)
	s.speed = min(max(speed, 0), 1)
}

// Advance lets time pass and returns the loads that finished, in order.
func (s *State) Advance(now time.Time) []string {
	s.advance(now)
	finished := s.finished
	s.finished = nil
	return finished
}

// Next returns when the next load finishes if nothing changes.
func (s *State) Next() (time.Time, bool) {
	if len(s.finished) > 0 {
		return s.now, true
	}
	rate := s.rate()
	if rate <= 0 {
		return time.Time{}, false
	}
	return s.now.Add(duration(s.least() / rate)), true
}

// Status is what the store publishes.
func (s *State) Status(now time.Time) weights.Status {
	s.advance(now)
	return weights.Status{
		StartsPerSecond: s.config.StartsPerSecond, Concurrency: s.config.Concurrency,
		Active: len(s.remaining), Speed: s.speed * s.share(),
	}
}

// Peak is the largest number of loads that ran at once.
func (s *State) Peak() int { return s.peak }

// share of full speed that each load gets.
func (s *State) share() float64 {
	if s.config.Concurrency <= 0 || len(s.remaining) <= s.config.Concurrency {
		return 1
	}
	return float64(s.config.Concurrency) / float64(len(s.remaining))
}

// rate of each load in bytes a second; zero when none runs.
func (s *State) rate() float64 {
	if len(s.remaining) == 0 {
		return 0
	}
	return s.config.BytesPerSecond * s.speed * s.share()
}

// least is the fewest remaining bytes of any load.
func (s *State) least() float64 {
	least := math.Inf(1)
	for _, bytes := range s.remaining {
		least = min(least, bytes)
	}
	return least
}

// advance moves every load forward to now, one finish at a time, because each
// finish changes the others' rate.
func (s *State) advance(now time.Time) {
	if s.now.IsZero() {
		s.now = now
	}
	start := s.now
	for s.now.Before(now) {
		rate := s.rate()
		if rate <= 0 {
			s.now = now
			break
		}
		step := min(duration(s.least()/rate), now.Sub(s.now))
		s.now = s.now.Add(step)
		s.progress(rate * step.Seconds())
	}
	if s.config.StartsPerSecond > 0 {
		s.allowance = min(s.allowance+s.now.Sub(start).Seconds()*s.config.StartsPerSecond, max(1, s.config.StartsPerSecond))
	}
}

// leftover bytes are a rounding error.
const leftover = 1e-3

// progress takes bytes off every load and finishes those with nothing left.
func (s *State) progress(bytes float64) {
	var done []string
	for id, left := range s.remaining {
		left -= bytes
		s.remaining[id] = left
		if left < leftover {
			done = append(done, id)
		}
	}
	sort.Strings(done)
	for _, id := range done {
		delete(s.remaining, id)
	}
	s.finished = append(s.finished, done...)
}

// duration converts seconds, rounded up to whole nanoseconds.
func duration(seconds float64) time.Duration {
	return time.Duration(min(math.Ceil(seconds*float64(time.Second)), math.MaxInt64/2))
}
