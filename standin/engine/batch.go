package engine

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Status is the state of an attempt.
type Status uint8

// The statuses. Only StatusPrefilling and StatusDecoding hold a slot.
const (
	StatusUnknown Status = iota
	StatusQueued
	StatusPrefilling
	StatusDecoding
	StatusFinished
	// StatusFailed attempts were aborted after their start; StatusRefused ones
	// never started.
	StatusFailed
	StatusRefused
)

// Submission is a request to run one attempt.
type Submission struct {
	Key          Key
	Model        cluster.ModelID
	Priority     int
	Deadline     time.Time
	Seed         uint64
	PromptTokens int
	MaxTokens    int
	// Prefixes has the hash of each prefix of the prompt, in whole blocks.
	Prefixes []uint64
}

// Refusal is the reason why an attempt was not started.
type Refusal string

// The refusals.
const (
	RefusedModelMissing Refusal = "the model is not loaded"
	RefusedFull         Refusal = "no slot and no place in the queue"
	RefusedDuplicate    Refusal = "the attempt is known already"
	RefusedDeadline     Refusal = "the deadline passed in the queue"
	RefusedUnloading    Refusal = "the model is being unloaded"
	RefusedCancelled    Refusal = "cancelled before the start"
)

// View is the progress of an attempt at one time.
type View struct {
	Status Status
	// Refusal is the reason of StatusRefused.
	Refusal Refusal
	// Generated is the number of tokens so far. NextToken is the time of the next
	// one while decoding, and zero otherwise.
	Generated int
	NextToken time.Time
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int
}

// attempt is a submitted attempt.
type attempt struct {
	Submission
	status          Status
	refusal         Refusal
	arrival         uint64
	replica         *replica
	cachedTokens    int
	prefillTime     time.Duration // duration of the prefill
	prefillEnd      time.Time     // end of the prefill, once it has begun
	decodeStartStep int64         // step at which decoding began
	producedTokens  int           // number of tokens when the attempt ended
	endedAt         time.Time
	// abandonAt is the time at which the attempt is aborted, and zero while a
	// connection reads the answer.
	abandonAt time.Time
}

// stepClock counts the decoding steps of the batch. While the batch doesn't
// change, each step takes the same time, so the count follows from the count at
// the last change and the time since then.
type stepClock struct {
	baseStep int64
	baseTime time.Time
	stepTime time.Duration
}

func (c *stepClock) stepAt(now time.Time) int64 {
	if c.stepTime <= 0 {
		return c.baseStep
	}
	return c.baseStep + int64(now.Sub(c.baseTime)/c.stepTime)
}

func (c *stepClock) timeOfStep(step int64) time.Time {
	return c.baseTime.Add(time.Duration(step-c.baseStep) * c.stepTime)
}

// setPeriod changes the step time. The completed share of the step in progress
// stays the same.
func (c *stepClock) setPeriod(now time.Time, period time.Duration) {
	if period == c.stepTime {
		return
	}
	steps := c.stepAt(now)
	var done time.Duration
	if c.stepTime > 0 {
		done = time.Duration(float64(now.Sub(c.timeOfStep(steps))) / float64(c.stepTime) * float64(period))
	}
	c.baseStep, c.baseTime, c.stepTime = steps, now.Add(-done), period
}

// Submit queues an attempt and starts it when a slot is free. It returns the
// reason of a refusal, or an empty string if the attempt was accepted.
func (s *State) Submit(now time.Time, submission Submission) Refusal {
	s.Advance(now)
	if _, known := s.attempts[submission.Key]; known {
		return RefusedDuplicate
	}
	holder := s.find(submission.Model)
	if holder == nil || holder.State != cluster.ReplicaLoaded {
		return RefusedModelMissing
	}
	if len(s.batch) >= s.config.Slots && len(s.queue) >= s.config.QueueLength {
		return RefusedFull
	}
	if !s.leavingSince.IsZero() {
		s.counters.LatestStartAfterLeaving = max(s.counters.LatestStartAfterLeaving, now.Sub(s.leavingSince))
	}
	s.arrivals++
	entry := &attempt{Submission: submission, status: StatusQueued, arrival: s.arrivals, replica: holder}
	s.attempts[submission.Key] = entry
	s.queue = append(s.queue, entry)
	s.fillSlots()
	s.Advance(now)
	return ""
}

// fillSlots starts queued attempts while slots are free, the highest priority
// first and in order of arrival within a priority. Attempts past their deadline
// are refused.
func (s *State) fillSlots() {
	for len(s.batch) < s.config.Slots && len(s.queue) > 0 {
		best := 0
		for i, entry := range s.queue {
			if entry.Priority > s.queue[best].Priority {
				best = i
			}
		}
		entry := s.queue[best]
		s.queue = append(s.queue[:best], s.queue[best+1:]...)
		if !entry.Deadline.IsZero() && !entry.Deadline.After(s.now) {
			s.endAttempt(entry, StatusRefused, RefusedDeadline)
			continue
		}
		s.startAttempt(entry)
	}
}

// startAttempt gives an attempt a slot and queues its prefill. Prompts are
// prefilled one after another.
func (s *State) startAttempt(entry *attempt) {
	entry.status = StatusPrefilling
	entry.replica.runningAttempts++
	s.batch = append(s.batch, entry)
	s.counters.Runs++
	if s.config.Recorder != nil {
		s.config.Recorder.Ran(entry.Key.Request, entry.Key.Attempt, entry.Seed)
	}
	matched := s.prefixes.match(entry.Model, entry.Prefixes)
	if len(entry.Prefixes) > 0 {
		entry.cachedTokens = matched * tokensPerBlock
	}
	entry.prefillTime = durationAtSpeed(float64(max(entry.PromptTokens-entry.cachedTokens, 0)), s.config.PrefillTokensPerSecond)
	s.prefillQueue = append(s.prefillQueue, entry)
	if len(s.prefillQueue) == 1 {
		entry.prefillEnd = s.now.Add(entry.prefillTime)
	}
	s.prefixes.insert(s.now, entry.Model, entry.Prefixes)
	s.markChanged(entry)
}

// removeFromPrefill removes an attempt from the prefill queue. If its prefill was
// in progress, the next one begins.
func (s *State) removeFromPrefill(entry *attempt) {
	first := s.prefillQueue[0] == entry
	s.prefillQueue = slices.DeleteFunc(s.prefillQueue, func(other *attempt) bool { return other == entry })
	if first && len(s.prefillQueue) > 0 {
		s.prefillQueue[0].prefillEnd = s.now.Add(s.prefillQueue[0].prefillTime)
	}
}

// startDecoding ends the prefill of an attempt and adds it to the decoding batch.
func (s *State) startDecoding(entry *attempt) {
	s.removeFromPrefill(entry)
	entry.status = StatusDecoding
	s.updateStepTime()
	entry.decodeStartStep = s.steps.stepAt(s.now)
	s.markChanged(entry)
}

// updateStepTime sets the step time for the number of decoding attempts.
func (s *State) updateStepTime() {
	decoding := 0
	for _, entry := range s.batch {
		if entry.status == StatusDecoding {
			decoding++
		}
	}
	period := time.Duration(0)
	if decoding > 0 {
		period = s.config.StepTime + time.Duration(decoding)*s.config.StepTimePerRequest
	}
	s.steps.setPeriod(s.now, period)
}

// generatedTokens returns the number of tokens of an attempt so far.
func (s *State) generatedTokens(entry *attempt) int {
	switch {
	case entry.status != StatusDecoding:
		return entry.producedTokens
	case s.steps.stepTime <= 0:
		return entry.MaxTokens
	default:
		return min(int(s.steps.stepAt(s.now)-entry.decodeStartStep), entry.MaxTokens)
	}
}

// endAttempt sets the final status of an attempt and frees its slot if it has
// one. The answer can be resumed until evictEndedAttempts removes it.
func (s *State) endAttempt(entry *attempt, status Status, refusal Refusal) {
	entry.producedTokens = s.generatedTokens(entry)
	if status == StatusFinished {
		entry.producedTokens = entry.MaxTokens
	}
	inSlot := entry.status == StatusPrefilling || entry.status == StatusDecoding
	if entry.status == StatusPrefilling {
		s.removeFromPrefill(entry)
	}
	entry.status, entry.refusal, entry.endedAt = status, refusal, s.now
	s.endedAttempts = append(s.endedAttempts, entry)
	s.markChanged(entry)
	if !inSlot {
		return
	}
	for i, other := range s.batch {
		if other == entry {
			s.batch = append(s.batch[:i], s.batch[i+1:]...)
			break
		}
	}
	entry.replica.runningAttempts--
	s.startUnloadIfIdle(entry.replica)
	s.updateStepTime()
	s.fillSlots()
}

func (s *State) markChanged(entry *attempt) {
	s.effects.Changed = append(s.effects.Changed, entry.Key)
}

// Cancel aborts an attempt. It reports whether the attempt was known.
func (s *State) Cancel(now time.Time, key Key) bool {
	s.Advance(now)
	entry := s.attempts[key]
	if entry == nil {
		return false
	}
	s.abortAttempt(entry, RefusedCancelled)
	s.Advance(now)
	return true
}

// abortAttempt refuses a queued attempt for the given reason and fails one that
// has a slot. An attempt that has ended stays as it is.
func (s *State) abortAttempt(entry *attempt, refusal Refusal) {
	switch entry.status {
	case StatusQueued:
		s.removeFromQueue(entry)
		s.endAttempt(entry, StatusRefused, refusal)
	case StatusPrefilling, StatusDecoding:
		s.endAttempt(entry, StatusFailed, "")
	}
}

func (s *State) removeFromQueue(entry *attempt) {
	for i, other := range s.queue {
		if other == entry {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// refuseQueued refuses the queued attempts of a model that is being unloaded.
func (s *State) refuseQueued(model cluster.ModelID) {
	for _, entry := range append([]*attempt(nil), s.queue...) {
		if entry.Model == model {
			s.abortAttempt(entry, RefusedUnloading)
		}
	}
}

// abortRunning aborts the running attempts of a replica whose drain time is over.
func (s *State) abortRunning(entry *replica) {
	for _, running := range append([]*attempt(nil), s.batch...) {
		if running.replica == entry {
			s.abortAttempt(running, "")
		}
	}
	s.startUnloadIfIdle(entry)
}

// considerAttemptEvents keeps in next the earliest event of any attempt if it is
// earlier than next.
func (s *State) considerAttemptEvents(next *scheduledEvent) {
	for _, entry := range s.batch {
		switch {
		case entry.status == StatusDecoding:
			next.keepEarlier(scheduledEvent{dueAt: s.decodeEnd(entry), kind: eventDecodeEnd, attempt: entry})
		case entry == s.prefillQueue[0]:
			next.keepEarlier(scheduledEvent{dueAt: entry.prefillEnd, kind: eventPrefillEnd, attempt: entry})
		}
		if !entry.abandonAt.IsZero() {
			next.keepEarlier(scheduledEvent{dueAt: entry.abandonAt, kind: eventAbandoned, attempt: entry})
		}
	}
	for _, entry := range s.queue {
		if !entry.Deadline.IsZero() {
			next.keepEarlier(scheduledEvent{dueAt: entry.Deadline, kind: eventQueueDeadline, attempt: entry})
		}
		if !entry.abandonAt.IsZero() {
			next.keepEarlier(scheduledEvent{dueAt: entry.abandonAt, kind: eventAbandoned, attempt: entry})
		}
	}
}

// decodeEnd returns when a decoding attempt has generated all its tokens.
func (s *State) decodeEnd(entry *attempt) time.Time {
	if s.steps.stepTime <= 0 {
		return s.now
	}
	return s.steps.timeOfStep(entry.decodeStartStep + int64(entry.MaxTokens))
}

// Attach records that a connection reads the attempt's answer, which stops the
// time that Detach started.
func (s *State) Attach(now time.Time, key Key) {
	s.Advance(now)
	if entry := s.attempts[key]; entry != nil {
		entry.abandonAt = time.Time{}
	}
}

// Detach records that no connection reads the attempt's answer. The attempt is
// aborted after Config.AbandonAfter unless Attach is called.
func (s *State) Detach(now time.Time, key Key) {
	s.Advance(now)
	if entry := s.attempts[key]; entry != nil {
		entry.abandonAt = now.Add(s.config.AbandonAfter)
	}
}

// View returns the progress of an attempt; its Status is StatusUnknown for an
// attempt that isn't known or no longer kept.
func (s *State) View(now time.Time, key Key) View {
	s.Advance(now)
	entry := s.attempts[key]
	if entry == nil {
		return View{}
	}
	view := View{Status: entry.status, Refusal: entry.refusal, Generated: s.generatedTokens(entry), CachedTokens: entry.cachedTokens}
	if entry.status == StatusDecoding && s.steps.stepTime > 0 {
		view.NextToken = s.steps.timeOfStep(entry.decodeStartStep + int64(view.Generated) + 1)
	}
	return view
}

// evictEndedAttempts drops ended attempts that are older than Config.KeepAnswers
// or beyond maxKeptAnswers.
func (s *State) evictEndedAttempts() {
	drop := 0
	for drop < len(s.endedAttempts) && (len(s.endedAttempts)-drop > maxKeptAnswers || s.now.Sub(s.endedAttempts[drop].endedAt) > s.config.KeepAnswers) {
		delete(s.attempts, s.endedAttempts[drop].Key)
		s.endedAttempts[drop] = nil
		drop++
	}
	s.endedAttempts = s.endedAttempts[drop:]
}
