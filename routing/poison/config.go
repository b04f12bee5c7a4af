package poison

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	// DefaultEnds is the number of machine ends that blocks a request. One or two machines may have
	// failed for other reasons or by another request that they ran; each further end costs a
	// machine with all its running requests.
	DefaultEnds = 3
	// DefaultSuspicion is how long ends are remembered that don't block a request: longer than
	// callers keep retrying one request.
	DefaultSuspicion = 10 * time.Minute
	// DefaultBlockDuration is how long a request stays blocked: about the time until somebody has
	// fixed the machines' software or the request.
	DefaultBlockDuration = time.Hour
	// DefaultMaxRecords bounds the table: at about 300 bytes a record, it takes 1.2 MB.
	DefaultMaxRecords = 4096
)

// Config configures a Table. A zero field takes the default above.
type Config struct {
	// Ends is the number of machine ends that blocks a request. A negative value disables
	// blocking.
	Ends int
	// Suspicion is how long a record is kept whose request is not blocked, and BlockDuration how
	// long a request is blocked.
	Suspicion, BlockDuration time.Duration
	MaxRecords               int
}

func (c Config) withDefaults() Config {
	c.Ends = cmp.Or(c.Ends, DefaultEnds)
	c.Suspicion = cmp.Or(c.Suspicion, DefaultSuspicion)
	c.BlockDuration = cmp.Or(c.BlockDuration, DefaultBlockDuration)
	c.MaxRecords = cmp.Or(c.MaxRecords, DefaultMaxRecords)
	return c
}

// Off reports whether blocking is disabled.
func (c Config) Off() bool { return c.Ends < 0 }

// minPartRequests is the number of different requests that must have run when machines ended until their
// common part is blocked: one request that ends machines is blocked itself, not what it shares with others.
const minPartRequests = 2

// Blocks reports whether the record blocks its request, or the requests with its part.
func (c Config) Blocks(record *Record) bool {
	if c.Off() || record.AttributedEndCount() < c.withDefaults().Ends {
		return false
	}
	return !record.Content.IsPart() || len(record.Requests) >= minPartRequests
}
