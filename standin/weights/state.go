package weights

import (
	"math"
	"sort"
	"time"

	"github.com/valveslip/valveslip/weights"
)

// Config configures a State.
type Config struct {
	// StartsPerSecond limits how many loads may start per second, with a burst
	// of one second's starts. Zero means unlimited.
	StartsPerSecond float64
	// Concurrency is how many loads can run at the full transfer rate; more
	// loads share the same total bandwidth. Zero means unlimited.
	Concurrency int
	// BytesPerSecond is the full transfer rate of one load.
	BytesPerSecond float64
}

// State models the weight store. It is not safe for concurrent use.
type State struct {
	config Config
	// speed is the current transfer rate as a share of the full rate.
	speed float64
	now   time.Time
	// startTokens are the tokens of the bucket that limits starts.
	startTokens float64
	// remainingBytes is keyed by load ID.
	remainingBytes map[string]float64
	// finishedLoads are the IDs that Advance has not returned yet.
	finishedLoads []string
	peakLoads     int
}

// NewState returns a store without loads at the full transfer rate.
func NewState(config Config) *State {
	return &State{
		config: config, speed: 1, remainingBytes: map[string]float64{},
		startTokens: max(1, config.StartsPerSecond),
	}
}

// Start begins a load. If the start rate is exceeded, it returns false and the
// time until the next start is allowed.
func (s *State) Start(now time.Time, id string, bytes int64) (retryAfter time.Duration, ok bool) {
	s.advance(now)
	if _, running := s.remainingBytes[id]; running {
		return 0, true
	}
	if s.config.StartsPerSecond > 0 {
		if s.startTokens < 1 {
			return time.Duration((1 - s.startTokens) / s.config.StartsPerSecond * float64(time.Second)), false
		}
		s.startTokens--
	}
	s.remainingBytes[id] = float64(bytes)
	s.peakLoads = max(s.peakLoads, len(s.remainingBytes))
	return 0, true
}

// Abort cancels a load.
func (s *State) Abort(now time.Time, id string) {
	s.advance(now)
	delete(s.remainingBytes, id)
}

// SetSpeed sets the transfer rate as a share of the full rate, from 0 to 1.
func (s *State) SetSpeed(now time.Time, speed float64) {
	s.advance(now)
	s.speed = min(max(speed, 0), 1)
}

// Advance moves the store's clock to now and returns the IDs of the loads that
// finished since the last call, in the order of their finish.
func (s *State) Advance(now time.Time) []string {
	s.advance(now)
	finished := s.finishedLoads
	s.finishedLoads = nil
	return finished
}

// Next returns when the next load finishes if no load starts or ends before, or
// false if none will finish.
func (s *State) Next() (time.Time, bool) {
	if len(s.finishedLoads) > 0 {
		return s.now, true
	}
	rate := s.bytesPerSecond()
	if rate <= 0 {
		return time.Time{}, false
	}
	return s.now.Add(duration(s.minRemainingBytes() / rate)), true
}

// Status returns the status that the store publishes.
func (s *State) Status(now time.Time) weights.Status {
	s.advance(now)
	return weights.Status{
		StartsPerSecond: s.config.StartsPerSecond, Concurrency: s.config.Concurrency,
		Active: len(s.remainingBytes), Speed: s.speed * s.bandwidthShare(),
	}
}

// Peak returns the largest number of loads that ran at the same time.
func (s *State) Peak() int { return s.peakLoads }

// bandwidthShare returns the share of the full transfer rate that each load gets
// under the concurrency limit.
func (s *State) bandwidthShare() float64 {
	if s.config.Concurrency <= 0 || len(s.remainingBytes) <= s.config.Concurrency {
		return 1
	}
	return float64(s.config.Concurrency) / float64(len(s.remainingBytes))
}

// bytesPerSecond returns the transfer rate of each load, or zero if none runs.
func (s *State) bytesPerSecond() float64 {
	if len(s.remainingBytes) == 0 {
		return 0
	}
	return s.config.BytesPerSecond * s.speed * s.bandwidthShare()
}

// minRemainingBytes returns the remaining bytes of the load that is closest to
// its end, or infinity if none runs.
func (s *State) minRemainingBytes() float64 {
	least := math.Inf(1)
	for _, bytes := range s.remainingBytes {
		least = min(least, bytes)
	}
	return least
}

// advance moves every load forward to now, one finish at a time, because each
// finish changes the transfer rate of the other loads. It also refills the start
// tokens.
func (s *State) advance(now time.Time) {
	if s.now.IsZero() {
		s.now = now
	}
	start := s.now
	for s.now.Before(now) {
		rate := s.bytesPerSecond()
		if rate <= 0 {
			s.now = now
			break
		}
		step := min(duration(s.minRemainingBytes()/rate), now.Sub(s.now))
		s.now = s.now.Add(step)
		s.transfer(rate * step.Seconds())
	}
	if s.config.StartsPerSecond > 0 {
		s.startTokens = min(s.startTokens+s.now.Sub(start).Seconds()*s.config.StartsPerSecond, max(1, s.config.StartsPerSecond))
	}
}

// completionToleranceBytes is the remainder below which a load counts as
// finished, because floating-point rounding can leave a fraction of a byte.
const completionToleranceBytes = 1e-3

// progress takes bytes off every load and finishes those with nothing left.
// transfer moves bytes of every load and finishes the loads with nothing left.
func (s *State) transfer(bytes float64) {
	var done []string
	for id, remaining := range s.remainingBytes {
		remaining -= bytes
		s.remainingBytes[id] = remaining
		if remaining < completionToleranceBytes {
			done = append(done, id)
		}
	}
	sort.Strings(done)
	for _, id := range done {
		delete(s.remainingBytes, id)
	}
	s.finishedLoads = append(s.finishedLoads, done...)
}

// duration converts seconds to a time.Duration, rounded up to whole nanoseconds
// and limited to avoid an overflow.
func duration(seconds float64) time.Duration {
	return time.Duration(min(math.Ceil(seconds*float64(time.Second)), math.MaxInt64/2))
}
