package simulation

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// Arrival is one caller's request as the traffic makes it.
type Arrival struct {
	At    time.Time
	Model cluster.ModelID
	// Zone whose nodes the caller asks.
	Zone cluster.ZoneID
	// TokenPath is the subtree of the caller's token and Team its team.
	TokenPath, Team string
	Priority        int
	// Deadline counts from At.
	Deadline   time.Duration
	Repeatable bool
	// PromptTokens and Tokens that the request takes.
	PromptTokens, Tokens int
	Prefixes             []uint64
}

// Source yields arrivals in order of time.
type Source interface {
	// Next returns the next arrival, or false after the last.
	Next() (Arrival, bool)
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomePending is a request that has not ended.
	OutcomePending Outcome = iota
	// OutcomeServed got its whole answer.
	OutcomeServed
	// OutcomeRefused was refused with a verdict.
	OutcomeRefused
	// OutcomeFailed ended with an error after it may have run.
	OutcomeFailed
	// OutcomeConnectionLost lost its connection because its node died.
	OutcomeConnectionLost
)

// Result is what became of one request.
type Result struct {
	Arrival Arrival
	Outcome Outcome
	Code    verdict.Code
	Verdict verdict.Verdict
	// Ended is when the caller had its outcome.
	Ended time.Time
	// FirstToken is when the caller had the first byte; zero for none.
	FirstToken time.Time
	// ColdStart is the part of the wait during which no replica of the model
	// was loaded anywhere.
	ColdStart time.Duration
	// Waited from the arrival to the dispatch that served it.
	Waited time.Duration
	// Runs is how often an engine began to execute the request.
	Runs int
}

// feed schedules the arrivals of a source one after the other.
func feed(kernel *Kernel, source Source, arrive func(Arrival)) {
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
