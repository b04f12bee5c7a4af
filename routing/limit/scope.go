package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/settings"
)

// Kind is the kind of a limit.
type Kind uint8

// The kinds of limits.
const (
	Concurrency Kind = iota + 1
	Requests
	Tokens
)

// Setting returns the policy key that sets limits of this kind.
func (k Kind) Setting() string {
	switch k {
	case Concurrency:
		return "max_concurrency"
	case Requests:
		return "requests_per_second"
	default:
		return "tokens_per_second"
	}
}

// Share is the part of a scope's limits that a controller granted to this router.
type Share struct {
	Concurrency      int
	Requests, Tokens float64
	// Expires is in nanoseconds since the Unix epoch.
	Expires int64
}

// Division is the number of routers among which limits are divided without shares, and this
// router's rank among them, from zero.
type Division struct{ Routers, Rank int }

// Refusal is the limit that refuses a request.
type Refusal struct {
	Kind Kind
	// Path is the path of the scope that sets the limit.
	Path string
	// Limit is this router's part of the limit, and Value the current usage or bucket level.
	Limit, Value float64
	// RetryAfter is the time until the limit would admit the request. It is exact for rates,
	// unless other requests come first, and estimated from the mean hold time for concurrency.
	RetryAfter time.Duration
}

// Usage is a router's use of a scope over an interval.
type Usage struct {
	Path string
	// Requests and Tokens are the requested rates per second, refused requests included.
	Requests, Tokens float64
	// Concurrency is the number of running requests and of those refused for concurrency.
	Concurrency int
}

// Scope enforces the limits of one subtree on one router.
type Scope struct {
	path   string
	limits settings.Scope
	share  Share
	// rankOffset shifts the rank for each scope, so that the remainders of different limits go to
	// different routers.
	rankOffset int

	// inUse is the number of admitted requests that have not ended.
	inUse            int
	requests, tokens Bucket
	// meanHoldTime is the moving average of how long a request runs, in nanoseconds.
	meanHoldTime float64

	// offeredRequests and offeredTokens count the load offered since the last report, refused
	// requests included, and refused the requests refused for concurrency. listed is set while
	// the scope is on the list for the next report.
	offeredRequests, offeredTokens float64
	refused                        int
	listed                         bool
}

func newScope(limits settings.Scope) *Scope {
	return &Scope{path: limits.Path, limits: limits, rankOffset: int(xxhash.Sum64String(limits.Path) >> 1)}
}

// allowance returns the part of the limits that this router may use now.
func (s *Scope) allowance(nanos int64, division Division) Share {
	if nanos < s.share.Expires {
		return s.share
	}
	routers := max(division.Routers, 1)
	part := Share{
		Concurrency: s.limits.MaxConcurrency / routers,
		Requests:    s.limits.RequestsPerSecond / float64(routers),
		Tokens:      s.limits.TokensPerSecond / float64(routers),
	}
	if (division.Rank+s.rankOffset%routers)%routers < s.limits.MaxConcurrency%routers {
		part.Concurrency++
	}
	return part
}

// check returns the refusal of a request that is expected to use the given number of tokens, or
// false if the scope admits it.
func (s *Scope) check(nanos int64, tokens float64, division Division) (Refusal, bool) {
	part := s.allowance(nanos, division)
	refusal := Refusal{Path: s.path}
	if s.limits.MaxConcurrency > 0 && s.inUse >= part.Concurrency {
		s.refused++
		refusal.Kind, refusal.Limit, refusal.Value = Concurrency, float64(part.Concurrency), float64(s.inUse)
		refusal.RetryAfter = s.estimateNextRelease()
		return refusal, true
	}
	if s.limits.RequestsPerSecond > 0 {
		if wait := s.requests.Wait(nanos, part.Requests, 1); wait > 0 {
			refusal.Kind, refusal.Limit, refusal.RetryAfter = Requests, part.Requests, wait
			refusal.Value = s.requests.level
			return refusal, true
		}
	}
	if s.limits.TokensPerSecond > 0 {
		if wait := s.tokens.Wait(nanos, part.Tokens, tokens); wait > 0 {
			refusal.Kind, refusal.Limit, refusal.RetryAfter = Tokens, part.Tokens, wait
			refusal.Value = s.tokens.level
			return refusal, true
		}
	}
	return refusal, false
}

// defaultHoldTime is the mean hold time in nanoseconds until the first request has ended; the
// estimate of a retry delay needs one.
const defaultHoldTime = float64(time.Second)

// estimateNextRelease returns the expected time until a running request ends.
func (s *Scope) estimateNextRelease() time.Duration {
	holdTime := s.meanHoldTime
	if holdTime == 0 {
		holdTime = defaultHoldTime
	}
	return time.Duration(holdTime / float64(max(s.inUse, 1)))
}

// charge counts an admitted request.
func (s *Scope) charge(tokens float64) {
	s.inUse++
	if s.limits.RequestsPerSecond > 0 {
		s.requests.Take(1)
	}
	if s.limits.TokensPerSecond > 0 {
		s.tokens.Take(tokens)
	}
}

// holdTimeWeight is the weight of a new observation in the moving average: the last seven account
// for half of it.
const holdTimeWeight = 0.1

// release counts the end of a request that ran for the given nanoseconds. The tokens are the
// difference between those used and those charged.
func (s *Scope) release(holdTime int64, tokens float64, refund bool) {
	s.inUse--
	if s.limits.TokensPerSecond > 0 {
		s.tokens.Take(tokens)
	}
	if refund {
		if s.limits.RequestsPerSecond > 0 {
			s.requests.Take(-1)
		}
		return
	}
	if s.meanHoldTime == 0 {
		s.meanHoldTime = float64(holdTime)
	} else {
		s.meanHoldTime += holdTimeWeight * (float64(holdTime) - s.meanHoldTime)
	}
}
