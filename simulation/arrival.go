package simulation

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// Arrival is one request of a caller.
type Arrival struct {
	At    time.Time
	Model cluster.ModelID
	// Zone is the zone to whose nodes the caller sends the request.
	Zone cluster.ZoneID
	// TokenPath is the settings path of the caller's token, Team that of its team.
	TokenPath, Team string
	Priority        int
	// Deadline counts from At.
	Deadline   time.Duration
	Repeatable bool
	// PromptTokens is the length of the prompt, Tokens that of the whole answer.
	PromptTokens, Tokens int
	// Prefixes are the hashes of the prompt's prefix blocks.
	Prefixes []uint64
}

// Source yields arrivals in order of time.
type Source interface {
	// Next returns the next arrival, or false after the last.
	Next() (Arrival, bool)
}

// Outcome is the way in which a request ended.
type Outcome uint8

const (
	// OutcomePending means that the request has not ended.
	OutcomePending Outcome = iota
	// OutcomeServed means that the caller got the whole answer.
	OutcomeServed
	// OutcomeRefused means that the request was refused as not run.
	OutcomeRefused
	// OutcomeFailed means that the request ended with an error and may have run.
	OutcomeFailed
	// OutcomeConnectionLost means that the request's node died.
	OutcomeConnectionLost
)

// Result describes the end of one request.
type Result struct {
	Arrival Arrival
	Outcome Outcome
	Code    verdict.Code
	Verdict verdict.Verdict
	// Ended is when the caller received the outcome.
	Ended time.Time
	// FirstToken is when the first byte arrived; zero if none did.
	FirstToken time.Time
	// ColdStart is the part of the wait during which no replica of the model
	// was loaded anywhere.
	ColdStart time.Duration
	// Waited is the time from the arrival to the last dispatch.
	Waited time.Duration
	// Runs counts how often an engine began to execute the request.
	Runs int
}

// scheduleArrivals schedules the arrivals of a source. It reads each arrival when
// the one before it has happened.
func scheduleArrivals(kernel *Kernel, source Source, arrive func(Arrival)) {
	var next func()
	next = func() {
		arrival, ok := source.Next()
		if !ok {
			return
		}
		kernel.At(arrival.At, LabelArrival, func() {
			arrive(arrival)
			next()
		})
	}
	next()
}
