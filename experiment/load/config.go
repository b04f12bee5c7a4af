package load

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Config of a run.
type Config struct {
	// Targets are base URLs of the callers' API, used in turn.
	Targets []string
	// Rate of requests a second over all targets, with exponential gaps.
	Rate     float64
	Duration time.Duration
	// Models are drawn evenly.
	Models []string
	// Warm models are loaded at the start; requests to others are cold until
	// their model's first answer begins.
	Warm []string
	// Token of the callers' API; empty sends none.
	Token string
	// StreamShare, CancelShare and NotRepeatableShare, 0 to 1, of the requests.
	// A cancelled request is left by its caller after its first token, or after
	// CancelAfter when that comes first.
	StreamShare, CancelShare, NotRepeatableShare float64
	CancelAfter                                  time.Duration
	// RepeatShare of the requests carry an Idempotency-Key and are sent twice
	// at once, to two targets when there are two. They are counted as not
	// repeatable: the two may run once together.
	RepeatShare float64
	// MoveOn sends a request that a draining node refused, or that reached no
	// node, to the next target, until its time is over.
	MoveOn bool
	// MaxTokens of each answer, 16 by default, and PromptBytes of each prompt,
	// 128 by default.
	MaxTokens, PromptBytes int
	// Deadline stated in each request; zero states none. A request is lost when
	// it has not ended LostAfter after its start, by default a minute, or twice
	// the deadline when that is longer.
	Deadline, LostAfter time.Duration
	// MaxInFlight bounds the requests under way, 20,000 by default; those that
	// would exceed it are counted as not sent.
	MaxInFlight int
	// Seed of the arrivals and draws.
	Seed uint64
	// Runs tells how many times the prompt of each seed ran; nil when unknown.
	Runs func(ctx context.Context, seeds []uint64) ([]int, error)
	// Progress shows a progress bar when not nil.
	Progress io.Writer
}

const (
	defaultMaxTokens   = 16
	defaultPromptBytes = 128
	defaultLostAfter   = time.Minute
	defaultMaxInFlight = 20_000
	defaultCancelAfter = 100 * time.Millisecond
)

// check refuses a Config that cannot run and fills in the defaults.
func (c Config) check() (Config, error) {
	switch {
	case len(c.Targets) == 0:
		return c, eris.New("a target is needed")
	case len(c.Models) == 0:
		return c, eris.New("a model is needed")
	case c.Rate <= 0 || c.Duration <= 0:
		return c, eris.New("rate and duration must be positive")
	}
	for _, share := range []float64{c.StreamShare, c.CancelShare, c.NotRepeatableShare, c.RepeatShare} {
		if share < 0 || share > 1 {
			return c, eris.New("shares lie between 0 and 1")
		}
	}
	c.MaxTokens = orDefault(c.MaxTokens, defaultMaxTokens)
	c.PromptBytes = orDefault(c.PromptBytes, defaultPromptBytes)
	c.MaxInFlight = orDefault(c.MaxInFlight, defaultMaxInFlight)
	c.LostAfter = max(orDefault(c.LostAfter, defaultLostAfter), 2*c.Deadline)
	c.CancelAfter = orDefault(c.CancelAfter, defaultCancelAfter)
	return c, nil
}

// orDefault returns value, or other when value is not positive.
func orDefault[Number ~int | ~int64](value, other Number) Number {
	if value <= 0 {
		return other
	}
	return value
}
