package dispatch

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/routing/work"
	"github.com/valveslip/valveslip/wire"
)

const (
	// streamGap is the time without prefill that the streams of an engine need to make progress:
	// the decode steps of one event, about 6 steps of 5 to 10 ms, and the error of the send times.
	streamGap = 60 * time.Millisecond
	// eventDecodeTime is the time to decode one event without interference from a prefill: within
	// the 30 to 60 ms that streamGap allows for.
	eventDecodeTime = 40 * time.Millisecond
	// deadlineUncertainty is the uncertainty of an estimated time, as a share of the bound that it
	// is compared with: because of it, lateProbability rises gradually around the bound.
	deadlineUncertainty = 0.12
	// prefillCostPerSecond is the cost, in late answers, of each second of prefill. It favours
	// engines that cache the prompt. Under load, 400 of 2,000 chats were late while all engines
	// together spent about 800 s on prefill: half a late chat per second.
	prefillCostPerSecond = 0.5
	// waitCostPerSecond is the cost, in late answers, of each second until the first event, for
	// choices that are far from any bound: a tenth of prefillCostPerSecond.
	waitCostPerSecond = 0.05
	// maxDelayShare is the longest delay before a send, as a share of the time until the objective
	// or the deadline, whichever comes first, so that the request reaches an engine before then.
	maxDelayShare = 0.9
	// backgroundRisk is the probability of a late answer above which a request gets the lowest
	// urgency at its engine, backgroundRank. On an overloaded engine the requests that can still
	// be in time then are; otherwise all would be late.
	backgroundRisk = 0.9
	backgroundRank = 9
	// prefillChunkTime is how long an engine continues a chunk of a less urgent prompt, about
	// 4,000 tokens, before it switches to a more urgent one.
	prefillChunkTime = 100 * time.Millisecond
)

// prefillSpan is the time in which an engine is expected to prefill a prompt, in nanoseconds since
// the Unix epoch.
type prefillSpan struct{ start, end int64 }

// placement is a candidate engine and send time for a request, with the estimates for them.
type placement struct {
	engine *engine
	prompt work.Prompt
	sendAt int64
	// prefillTime is the time to prefill the prompt, backlog the wait for other prefills before
	// it. timeToFirstEvent counts from the send.
	prefillTime, backlog, timeToFirstEvent time.Duration
	penalty                                time.Duration
	cost                                   float64
	// likelyLate is true if the probability of a late answer exceeds backgroundRisk.
	likelyLate bool
	// fetchFrom is the engine from whose cache fetchedTokens of the prompt are fetched, nil for
	// none.
	fetchFrom     *engine
	fetchedTokens int
}

// place chooses the engine and the send time of a request and tracks the attempt there. If even
// the best choice is likely late, the request gets the lowest urgency.
func (t *attemptTracker) place(at time.Time, key attemptKey, w *wire.EngineWork, candidates []wire.EngineCandidate) wire.EngineAnswer {
	now := at.UnixNano()
	if known := t.attempts[key]; known != nil {
		t.remove(known)
	}
	var best placement
	source := t.findCacheSource(w, candidates)
	for i := range candidates {
		t.evaluateEngine(now, w, &candidates[i], source, &best)
	}
	answer := wire.EngineAnswer{Number: key.number}
	if best.engine == nil {
		return answer
	}
	if best.likelyLate {
		w.Rank, answer.Background = backgroundRank, true
	}
	t.commit(now, key, w, &best)
	answer.Machine, answer.Delay = best.engine.id, time.Duration(best.sendAt-now)
	answer.Expected, answer.Backlog, answer.Read = best.timeToFirstEvent, best.backlog, best.prefillTime
	if best.fetchFrom != nil {
		answer.Fetch = best.fetchFrom.id
	}
	answer.Kept, answer.Speed = best.prompt.Cached, t.estimator(w.Model).Speed(best.engine.id)
	return answer
}

// commit tracks an attempt at the engine that was chosen for it.
func (t *attemptTracker) commit(now int64, key attemptKey, w *wire.EngineWork, chosen *placement) {
	e := chosen.engine
	if e.prefillingSince == 0 || len(e.prefills) == 0 {
		e.prefillingSince = chosen.sendAt
	}
	e.lastSendAt = chosen.sendAt
	t.add(&trackedAttempt{
		key: key, engine: e, model: w.Model, work: *w, prompt: chosen.prompt, prefillTime: chosen.prefillTime, backlog: chosen.backlog,
		sendAt: chosen.sendAt, deadline: now + int64(w.Left), backlogKnown: true,
	})
	e.cache.add(w)
}

// evaluateEngine compares the send times at one engine with the best placement so far, with and
// without a fetch of the cached prefix from source.
func (t *attemptTracker) evaluateEngine(now int64, w *wire.EngineWork, candidate *wire.EngineCandidate, source cacheSource, best *placement) {
	e := t.touchEngine(now, candidate.Machine, w.Model)
	estimator := t.estimator(w.Model)
	option := placement{engine: e, penalty: candidate.Penalty}
	option.prompt = work.Prompt{Tokens: w.PromptTokens, Cached: e.cache.cachedTokens(w)}
	option.prefillTime = estimator.PrefillTime(e.id, baseModel(w.Model), option.prompt)
	overhead := estimator.Overhead(e.id)
	t.urgentSpans = e.prefillSchedule(t.urgentSpans, now, overhead, w.Rank)
	t.prefillSpans = e.prefillSchedule(t.prefillSpans, now, overhead, math.MaxInt)
	t.evaluateSendTimes(now, w, option, overhead, best)
	if source.tokens-option.prompt.Cached < minFetchTokens || source.engine == e {
		return
	}
	option.fetchFrom, option.fetchedTokens = source.engine, source.tokens-option.prompt.Cached
	option.prompt.Cached = source.tokens
	option.prefillTime = estimator.PrefillTime(e.id, baseModel(w.Model), option.prompt) + fetchDuration
	t.evaluateSendTimes(now, w, option, overhead, best)
}

// evaluateSendTimes computes the cost of each candidate send time and keeps the cheapest placement
// in best.
func (t *attemptTracker) evaluateSendTimes(now int64, w *wire.EngineWork, option placement, overhead time.Duration, best *placement) {
	var times [maxSendTimes]int64
	for _, option.sendAt = range candidateSendTimes(times[:0], now, t.prefillSpans, min(w.Objective, w.Left)) {
		t.computeCost(now, w, &option, overhead)
		if best.engine == nil || option.preferredTo(best) {
			*best = option
		}
	}
}

// equalCostMargin is the difference of costs, in late answers, below which two engines count as
// equal. The engine whose last send is longer ago goes first, so that all engines are tried and
// their speeds learned.
const equalCostMargin = 0.002

// preferredTo reports whether a placement is better than another.
func (p *placement) preferredTo(other *placement) bool {
	if math.Abs(p.cost-other.cost) < equalCostMargin && p.engine != other.engine {
		return p.engine.lastSendAt < other.engine.lastSendAt
	}
	return p.cost < other.cost
}

// prefillSchedule returns the expected spans of the unfinished prefills that are at least as
// urgent as rank: engines prefill urgent prompts first. An overdue prefill is expected to take as
// long again as it is overdue, so that an unresponsive engine soon gets no more requests.
// Less urgent prefills count only with the rest of a chunk that is running.
func (e *engine) prefillSchedule(spans []prefillSpan, now int64, overhead time.Duration, rank int) []prefillSpan {
	spans = spans[:0]
	free := e.prefillDoneAt
	for _, a := range e.prefills {
		if a.work.Rank > rank {
			if a.sendAt <= now {
				free = max(free, now+int64(min(prefillChunkTime, a.prefillTime)))
			}
			continue
		}
		s := prefillSpan{start: max(a.sendAt, free)}
		s.end = s.start + int64(a.prefillTime)
		if late := now - s.end - int64(overhead); late > 0 {
			s.end = now + late
		}
		free = s.end
		if s.end > now {
			spans = append(spans, s)
		}
	}
	return spans
}

// maxSendTimes bounds the send times that are compared for one engine.
const maxSendTimes = 4

// candidateSendTimes returns the send times to compare: now, and streamGap after each prefill that
// is not followed by another one within streamGap.
func candidateSendTimes(times []int64, now int64, spans []prefillSpan, left time.Duration) []int64 {
	times = append(times, now)
	latest := now + int64(maxDelayShare*float64(left))
	for i := range spans {
		last := i == len(spans)-1
		if !last && spans[i+1].start-spans[i].end < int64(streamGap) {
			continue
		}
		at := spans[i].end + int64(streamGap)
		if at > latest || len(times) == maxSendTimes {
			break
		}
		times = append(times, at)
	}
	return times
}

// computeCost sets the cost of a placement: the expected number of late answers, of the request
// itself and of the streams that its prefill delays, and the costs of prefill, waiting and
// transfer.
func (t *attemptTracker) computeCost(now int64, w *wire.EngineWork, option *placement, overhead time.Duration) {
	own := spanAfterQueue(option.sendAt, option.prefillTime, t.urgentSpans)
	option.backlog = time.Duration(own.start - option.sendAt)
	option.timeToFirstEvent = time.Duration(own.end-option.sendAt) + overhead + option.penalty
	until := time.Duration(own.end-now) + overhead + option.penalty
	option.cost = lateProbability(until, w.Objective)
	option.likelyLate = option.cost > backgroundRisk
	option.cost += option.engine.expectedLateStreams(option.engine.prefillBurst(now, spanAfterQueue(option.sendAt, option.prefillTime, t.prefillSpans), t.prefillSpans))
	if w.LongestPause > 0 {
		// Prefills that directly follow this prompt delay its own stream.
		option.cost += lateProbability(prefillAfter(own, t.prefillSpans)+eventDecodeTime, w.LongestPause)
	}
	option.cost += prefillCostPerSecond*option.prefillTime.Seconds() + waitCostPerSecond*until.Seconds() + fetchCostPerMillionTokens*float64(option.fetchedTokens)/1e6
}

// spanAfterQueue returns the span of a prompt that is sent at the given time: it starts after the
// prefills that are running then.
func spanAfterQueue(at int64, prefillTime time.Duration, spans []prefillSpan) prefillSpan {
	start := at
	for _, s := range spans {
		if s.start <= start && s.end > start {
			start = s.end
		}
	}
	return prefillSpan{start: start, end: start + int64(prefillTime)}
}

// prefillBurst returns how long the engine prefills without a gap of streamGap, before, during and
// after the given span.
func (e *engine) prefillBurst(now int64, own prefillSpan, spans []prefillSpan) time.Duration {
	begin := own.start
	for i := len(spans) - 1; i >= 0; i-- {
		if spans[i].end+int64(streamGap) > begin && spans[i].start < begin {
			begin = spans[i].start
		}
	}
	if begin <= now && e.prefillingSince != 0 {
		begin = min(begin, e.prefillingSince)
	}
	return time.Duration(own.end-begin) + prefillAfter(own, spans)
}

// prefillAfter returns the time of the prefills that follow a span without a gap of streamGap.
func prefillAfter(own prefillSpan, spans []prefillSpan) time.Duration {
	end := own.end
	for _, s := range spans {
		if s.start >= own.start && s.start < end+int64(streamGap) {
			end += s.end - s.start
		}
	}
	return time.Duration(end - own.end)
}

// expectedLateStreams returns the expected number of answers at the engine, running or planned,
// that pause for too long during a prefill burst.
func (e *engine) expectedLateStreams(burst time.Duration) float64 {
	sum := 0.0
	for _, list := range [...][]*trackedAttempt{e.streams, e.prefills} {
		for _, a := range list {
			if a.work.LongestPause > 0 {
				sum += lateProbability(burst+eventDecodeTime, a.work.LongestPause)
			}
		}
	}
	return sum
}

// lateProbability returns the probability that an expected time exceeds a bound. It is 1 if the
// bound is not positive.
func lateProbability(expected, bound time.Duration) float64 {
	if bound <= 0 {
		return 1
	}
	return 1 / (1 + math.Exp(-float64(expected-bound)/(deadlineUncertainty*float64(bound))))
}
