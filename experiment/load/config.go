package load

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Config configures a run.
type Config struct {
	// Targets are the base URLs of the client API, used round-robin.
	Targets []string
	// Rate is the number of requests per second over all targets. The intervals between requests
	// are exponentially distributed.
	Rate     float64
	Duration time.Duration
	// Models are chosen with equal probability.
	Models []string
	// WarmModels lists the models that are loaded at the start. Requests to other models count as
	// cold starts until the first answer of their model begins.
	WarmModels []string
	// Token is the bearer token for the client API; empty sends none.
	Token string
	// StreamShare, CancelShare and NotRepeatableShare are fractions of the requests, 0 to 1. The
	// client of a cancelled request disconnects after the first token or after CancelAfter,
	// whichever comes first.
	StreamShare, CancelShare, NotRepeatableShare float64
	CancelAfter                                  time.Duration
	// RepeatShare is the fraction of requests that carry an Idempotency-Key and are sent twice at
	// the same time, to two targets if there are two. They count as not repeatable: of the two
	// requests at most one may run.
	RepeatShare float64
	// RetryOnOtherTarget retries a request on the next target until its time limit if a node
	// refused it as draining, unavailable or overloaded, or was unreachable.
	RetryOnOtherTarget bool
	// MaxTokens is the length of each answer, 16 by default. PromptBytes is the length of each
	// prompt, 128 by default.
	MaxTokens, PromptBytes int
	// Deadline is stated in each request; zero states none. A request counts as lost when it has
	// not ended LostAfter after its scheduled start. The default is one minute, and the minimum is
	// twice the deadline.
	Deadline, LostAfter time.Duration
	// MaxInFlight limits the concurrent requests, 20,000 by default. Requests above the limit count
	// as not sent.
	MaxInFlight int
	// Seed of the random arrival times and request properties.
	Seed uint64
	// Runs returns for each prompt seed how many times it ran; nil when this is unknown.
	Runs func(ctx context.Context, seeds []uint64) ([]int, error)
	// Progress receives a progress bar unless nil.
	Progress io.Writer
}

const (
	defaultMaxTokens   = 16
	defaultPromptBytes = 128
	defaultLostAfter   = time.Minute
	defaultMaxInFlight = 20_000
	defaultCancelAfter = 100 * time.Millisecond
)

// validate returns an error for a Config that cannot run, and fills in the defaults.
func (c Config) validate() (Config, error) {
	switch {
	case len(c.Targets) == 0:
		return c, eris.New("load configuration: no targets")
	case len(c.Models) == 0:
		return c, eris.New("load configuration: no models")
	case c.Rate <= 0 || c.Duration <= 0:
		return c, eris.New("load configuration: rate and duration must be positive")
	}
	for _, share := range []float64{c.StreamShare, c.CancelShare, c.NotRepeatableShare, c.RepeatShare} {
		if share < 0 || share > 1 {
			return c, eris.New("load configuration: shares must be between 0 and 1")
		}
	}
	c.MaxTokens = orDefault(c.MaxTokens, defaultMaxTokens)
	c.PromptBytes = orDefault(c.PromptBytes, defaultPromptBytes)
	c.MaxInFlight = orDefault(c.MaxInFlight, defaultMaxInFlight)
	c.LostAfter = max(orDefault(c.LostAfter, defaultLostAfter), 2*c.Deadline)
	c.CancelAfter = orDefault(c.CancelAfter, defaultCancelAfter)
	return c, nil
}

// orDefault returns value, or fallback when value is not positive.
func orDefault[Number ~int | ~int64](value, fallback Number) Number {
	if value <= 0 {
		return fallback
	}
	return value
}
