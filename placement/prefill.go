package placement

import (
	"cmp"
	"math"
	"time"
)

// An engine prefills prompts one after the other, and every stream that it decodes pauses
// during a prefill. This file estimates the prefill load of each model in seconds of prefill
// per second, and limits the load of one replica so that the pauses in streams stay within the
// longest one that callers accept.

const (
	// fastTimeConstant and slowTimeConstant are the time constants of the two averages of
	// arrivals: the fast average shows that a model has become busy before its queue does, and
	// the slow one keeps a replica through the gaps between requests.
	fastTimeConstant = 1500 * time.Millisecond
	slowTimeConstant = 10 * time.Second
	// streamDuration is the assumed decoding time of a stream: each prefill that begins within
	// it pauses the stream. A longer time gives a lower prefill limit.
	streamDuration = 1500 * time.Millisecond
	// maxPausedStreamShare is the share of streams at one replica that may have a pause longer
	// than callers accept.
	maxPausedStreamShare = 0.05
	// minPrefillShare and maxPrefillShare bound the share of its time that a replica should
	// spend on prefill. Below the lower bound a second replica costs more than it gains. Above
	// the upper bound prompts wait for each other, however short they are.
	minPrefillShare = 0.1
	maxPrefillShare = 0.6
	// bisectionSteps is how often the range of the limit is halved, which makes it exact to a
	// thousandth.
	bisectionSteps = 9
)

// prefillHistory holds the averages of the prompts that arrive for one model.
type prefillHistory struct{ fastAverage, slowAverage promptSum }

// promptSum is an exponentially decaying sum of prompts.
type promptSum struct {
	tokens float64
	// squares is the sum of the squared token counts of the prompts.
	squares float64
}

// observe adds the prompts that arrived in the time since the last observation.
func (t *prefillHistory) observe(tokens, squares float64, passed time.Duration) {
	if tokens == 0 && t.slowAverage.tokens == 0 {
		return
	}
	t.fastAverage.observe(tokens, squares, passed, fastTimeConstant)
	t.slowAverage.observe(tokens, squares, passed, slowTimeConstant)
}

func (s *promptSum) observe(tokens, squares float64, passed, timeConstant time.Duration) {
	kept := math.Exp(-passed.Seconds() / timeConstant.Seconds())
	s.tokens = s.tokens*kept + tokens
	s.squares = s.squares*kept + squares
	if s.tokens < 1 {
		*s = promptSum{}
	}
}

// minTokensPerSecond returns a lower estimate of the arriving tokens per second: the mean less
// one standard deviation. Two prompts of a rarely used model that arrive together are thus no
// reason for a second replica. The deviation is that of prompts of equal length in such a
// number that they vary as much as the observed ones.
func (s *promptSum) minTokensPerSecond(timeConstant time.Duration) float64 {
	if s.tokens == 0 {
		return 0
	}
	equivalentPrompts := s.tokens * s.tokens / s.squares
	confidence := 1 - 1/math.Sqrt(2*equivalentPrompts)
	return max(confidence, 0) * s.tokens / timeConstant.Seconds()
}

// tokensPerSecond returns the estimate of arriving tokens per second. It rises within the fast
// time constant and falls within the slow one.
func (t *prefillHistory) tokensPerSecond() float64 {
	return max(t.fastAverage.minTokensPerSecond(fastTimeConstant), t.slowAverage.minTokensPerSecond(slowTimeConstant))
}

// meanPromptTokens returns the mean length of the prompt that an arriving token belongs to.
func (t *prefillHistory) meanPromptTokens() float64 {
	if t.slowAverage.tokens == 0 {
		return 0
	}
	return t.slowAverage.squares / t.slowAverage.tokens
}

// prefillShareLimit returns the share of its time that a replica should spend on prefill, for
// prompts that take the given number of seconds each and streams that may pause for the given
// number of seconds.
//
// Prompts that arrive at random (Poisson) and are prefilled one after the other have more than
// one pause of prefill ahead of them with a probability of about exp(-2(1-share)pause/prompt),
// which is the exponential bound for a queue with equal service times. A stream that decodes
// for streamDuration is affected by share/prompt of them per second. No more than
// maxPausedStreamShare of the streams may have such a pause. For example, prompts of 0.25 s and
// a pause of 0.5 s give a limit of 0.2, and prompts of 0.1 s one of 0.5.
func prefillShareLimit(prompt, pause float64) float64 {
	low, high := minPrefillShare, maxPrefillShare
	for range bisectionSteps {
		share := (low + high) / 2
		pausesPerStream := streamDuration.Seconds() * share / prompt * math.Exp(-2*(1-share)*pause/prompt)
		if pausesPerStream > maxPausedStreamShare {
			high = share
		} else {
			low = share
		}
	}
	return low
}

// prefillLoad is the prefill load of a model in a round. That of a base model includes its
// adapters, whose prompts the same engine prefills.
type prefillLoad struct {
	// share is the load in seconds of prefill per second at the speed of one engine.
	share float64
	// limit is the largest share that one replica should get.
	limit float64
	// promptsPerSecond is the rate of prompts. It reacts faster than the rate of requests.
	promptsPerSecond float64
}

// replicasNeeded returns how many replicas keep their share of the prefill load within the
// limit.
func (g *prefillLoad) replicasNeeded() int {
	if g.share <= minPrefillShare {
		return 0
	}
	return int(math.Ceil(g.share / g.limit))
}

// sharePerReplica returns the prefill share of each replica if there are the given number of
// them.
func (g *prefillLoad) sharePerReplica(replicas int) float64 {
	return g.share / float64(max(replicas, 1))
}

// excessShare returns the part of the prefill load, from 0 to 1, that exceeds the limit of the
// given number of replicas.
func (g *prefillLoad) excessShare(replicas int) float64 {
	if g.share <= minPrefillShare {
		return 0
	}
	return max(1-g.limit*float64(replicas)/g.share, 0)
}

const (
	// longPauseCost is the wait that a pause longer than callers accept counts as.
	longPauseCost = time.Second
	// prefillHorizon is how long a replica that is loaded for prefill is assumed to be useful.
	// The cost of pauses beyond it does not count, so that such a replica evicts only models
	// that cost less.
	prefillHorizon = 10 * time.Second
)

// prefillPauseCost returns the cost of the pauses in a model's streams while it has the given
// number of replicas for the given number of seconds, in the unit of retention.keepValue. Time
// beyond prefillHorizon doesn't count, which limits the worth of a replica.
func (r *round) prefillPauseCost(i int32, replicas int, seconds float64) float64 {
	model, policy := &r.models[i], &r.catalogue.entries[i].model.Policy
	arrivalRate := max(r.arrivalRateOf(i), model.prefill.promptsPerSecond)
	pausedPerSecond := arrivalRate * model.prefill.excessShare(replicas) * lateRequestWeight
	paused := pausedPerSecond * min(seconds, prefillHorizon.Seconds())
	return (minObjectiveWeight + policy.ColdStartWeight) * paused * coldStartCost(longPauseCost)
}

// neededOnlyForPrefill reports whether the model's missing replica number k is needed only for
// prefill.
func (m *modelState) neededOnlyForPrefill(k int) bool {
	return m.serving+k >= m.neededForRequests && m.prefill.replicasNeeded() > m.serving+k
}

// observePrefill updates the prefill load of a model with the prompts since the last round.
// Those of a base model include the prompts for its adapters.
func (r *round) observePrefill(i int32, passed time.Duration) {
	model, history := &r.models[i], &r.catalogue.entries[i].history.prefill
	history.observe(model.promptsArrived.tokens, model.promptsArrived.squares, passed)
	if history.slowAverage.tokens == 0 {
		return
	}
	model.prefill.share = history.tokensPerSecond() / r.config.PrefillTokensPerSecond
	if model.prefill.share > minPrefillShare {
		prompt := history.meanPromptTokens() / r.config.PrefillTokensPerSecond
		pause := cmp.Or(r.state.LongestPause, r.config.LongestPause)
		model.prefill.limit = prefillShareLimit(prompt, pause.Seconds())
		model.prefill.promptsPerSecond = model.prefill.share / prompt
	}
}

// sumPrefillPerMachine sums the prefill share of each machine over its models. The prompts of
// adapters count with their base model.
func (r *round) sumPrefillPerMachine() {
	for i := range r.replicas {
		replica := &r.replicas[i]
		if replica.model == noIndex || !replica.serving || r.catalogue.entries[replica.model].base != noIndex {
			continue
		}
		model := &r.models[replica.model]
		r.machines[replica.machine].prefillShare += model.prefill.sharePerReplica(model.serving)
	}
}
