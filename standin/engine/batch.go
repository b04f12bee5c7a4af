package engine

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Status of an attempt.
type Status uint8

// The statuses. Only StatusPrefilling and StatusDecoding hold a slot.
const (
	StatusUnknown Status = iota
	StatusQueued
	StatusPrefilling
	StatusDecoding
	StatusFinished
	// StatusFailed attempts started and were given up; StatusRefused ones never
	// started.
	StatusFailed
	StatusRefused
)

// Submission asks to run one attempt.
type Submission struct {
	Key          Key
	Model        cluster.ModelID
	Priority     int
	Deadline     time.Time
	Seed         uint64
	PromptTokens int
	MaxTokens    int
	// Prefixes is the chain of the prompt's prefix blocks.
	Prefixes []uint64
}

// Refusal says why an attempt was not started.
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

// View is what a reader of an answer sees.
type View struct {
	Status Status
	// Refusal of StatusRefused.
	Refusal Refusal
	// Generated tokens so far, and when the next one comes while decoding.
	Generated int
	NextToken time.Time
	// CachedTokens of the prompt.
	CachedTokens int
}

// attempt is a submitted attempt.
type attempt struct {
	Submission
	status   Status
	refusal  Refusal
	arrival  uint64
	replica  *replica
	cached   int
	work     time.Duration // of the prefill
	ready    time.Time     // end of the prefill, once it has begun
	start    int64         // step at which decoding began
	produced int           // tokens when it ended
	endedAt  time.Time
	// abandonAt is set while nobody reads the answer.
	abandonAt time.Time
}

// stepClock counts the decoding steps of the whole batch. Between changes of
// the batch each step takes the same time, so the count at any time follows
// from when it was last set.
type stepClock struct {
	base   int64
	since  time.Time
	period time.Duration
}

func (c *stepClock) at(now time.Time) int64 {
	if c.period <= 0 {
		return c.base
	}
	return c.base + int64(now.Sub(c.since)/c.period)
}

func (c *stepClock) when(step int64) time.Time {
	return c.since.Add(time.Duration(step-c.base) * c.period)
}

// setPeriod changes the step time; the step in progress keeps its share done.
func (c *stepClock) setPeriod(now time.Time, period time.Duration) {
	if period == c.period {
		return
	}
	steps := c.at(now)
	var done time.Duration
	if c.period > 0 {
		done = time.Duration(float64(now.Sub(c.when(steps))) / float64(c.period) * float64(period))
	}
	c.base, c.since, c.period = steps, now.Add(-done), period
}

// Submit queues an attempt and starts it when a slot is free. The result is
// empty when it was accepted.
func (s *State) Submit(now time.Time, submission Submission) Refusal {
	s.Advance(now)
	if _, known := s.attempts[submission.Key]; known {
		return RefusedDuplicate
	}
	holder := s.find(submission.Model)
	if holder == nil || holder.State != cluster.ReplicaLoaded {
		return RefusedModelMissing
	}
	if len(s.slots) >= s.config.Slots && len(s.queue) >= s.config.QueueLength {
		return RefusedFull
	}
	if !s.leaving.IsZero() {
		s.counters.LatestStartAfterLeaving = max(s.counters.LatestStartAfterLeaving, now.Sub(s.leaving))
	}
	s.arrivals++
	entry := &attempt{Submission: submission, status: StatusQueued, arrival: s.arrivals, replica: holder}
	s.attempts[submission.Key] = entry
	s.queue = append(s.queue, entry)
	s.fill()
	s.Advance(now)
	return ""
}

// fill starts queued attempts while slots are free.
func (s *State) fill() {
	for len(s.slots) < s.config.Slots && len(s.queue) > 0 {
		best := 0
		for i, entry := range s.queue {
			if entry.Priority > s.queue[best].Priority {
				best = i
			}
		}
		entry := s.queue[best]
		s.queue = append(s.queue[:best], s.queue[best+1:]...)
		if !entry.Deadline.IsZero() && !entry.Deadline.After(s.now) {
			s.end(entry, StatusRefused, RefusedDeadline)
			continue
		}
		s.begin(entry)
	}
}

// begin gives an attempt its slot. Prompts are prefilled one after another.
func (s *State) begin(entry *attempt) {
	entry.status = StatusPrefilling
	entry.replica.running++
	s.slots = append(s.slots, entry)
	s.counters.Runs++
	if s.config.Recorder != nil {
		s.config.Recorder.Ran(entry.Key.Request, entry.Key.Attempt, entry.Seed)
	}
	matched := s.prefixes.match(entry.Model, entry.Prefixes)
	if len(entry.Prefixes) > 0 {
		entry.cached = matched * blockTokens
	}
	entry.work = timeFor(float64(max(entry.PromptTokens-entry.cached, 0)), s.config.PrefillTokensPerSecond)
	s.prefills = append(s.prefills, entry)
	if len(s.prefills) == 1 {
		entry.ready = s.now.Add(entry.work)
	}
	s.prefixes.insert(s.now, entry.Model, entry.Prefixes)
	s.changed(entry)
}

// leavePrefill takes an attempt out of the prefills; the next one begins when
// it was the one under way.
func (s *State) leavePrefill(entry *attempt) {
	first := s.prefills[0] == entry
	s.prefills = slices.DeleteFunc(s.prefills, func(other *attempt) bool { return other == entry })
	if first && len(s.prefills) > 0 {
		s.prefills[0].ready = s.now.Add(s.prefills[0].work)
	}
}

// decode ends the prefill of an attempt.
func (s *State) decode(entry *attempt) {
	s.leavePrefill(entry)
	entry.status = StatusDecoding
	s.pace()
	entry.start = s.steps.at(s.now)
	s.changed(entry)
}

// pace sets the step time by the size of the batch.
func (s *State) pace() {
	decoding := 0
	for _, entry := range s.slots {
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

// generated tokens of an attempt by now.
func (s *State) generated(entry *attempt) int {
	switch {
	case entry.status != StatusDecoding:
		return entry.produced
	case s.steps.period <= 0:
		return entry.MaxTokens
	default:
		return min(int(s.steps.at(s.now)-entry.start), entry.MaxTokens)
	}
}

// end takes an attempt out of its slot and keeps its answer for a while.
func (s *State) end(entry *attempt, status Status, refusal Refusal) {
	entry.produced = s.generated(entry)
	if status == StatusFinished {
		entry.produced = entry.MaxTokens
	}
	inSlot := entry.status == StatusPrefilling || entry.status == StatusDecoding
	if entry.status == StatusPrefilling {
		s.leavePrefill(entry)
	}
	entry.status, entry.refusal, entry.endedAt = status, refusal, s.now
	s.kept = append(s.kept, entry)
	s.changed(entry)
	if !inSlot {
		return
	}
	for i, other := range s.slots {
		if other == entry {
			s.slots = append(s.slots[:i], s.slots[i+1:]...)
			break
		}
	}
	entry.replica.running--
	s.finishDrain(entry.replica)
	s.pace()
	s.fill()
}

func (s *State) changed(entry *attempt) {
	s.effects.Changed = append(s.effects.Changed, entry.Key)
}

// Cancel gives up an attempt. It reports whether the attempt was known.
func (s *State) Cancel(now time.Time, key Key) bool {
	s.Advance(now)
	entry := s.attempts[key]
	if entry == nil {
		return false
	}
	s.giveUp(entry, RefusedCancelled)
	s.Advance(now)
	return true
}

// giveUp ends an attempt that has not ended.
func (s *State) giveUp(entry *attempt, refusal Refusal) {
	switch entry.status {
	case StatusQueued:
		s.unqueue(entry)
		s.end(entry, StatusRefused, refusal)
	case StatusPrefilling, StatusDecoding:
		s.end(entry, StatusFailed, "")
	}
}

func (s *State) unqueue(entry *attempt) {
	for i, other := range s.queue {
		if other == entry {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// refuseQueued refuses the queued attempts of a model.
func (s *State) refuseQueued(model cluster.ModelID) {
	for _, entry := range append([]*attempt(nil), s.queue...) {
		if entry.Model == model {
			s.giveUp(entry, RefusedUnloading)
		}
	}
}

// cutRunning gives up what a draining replica still runs.
func (s *State) cutRunning(entry *replica) {
	for _, running := range append([]*attempt(nil), s.slots...) {
		if running.replica == entry {
			s.giveUp(running, "")
		}
	}
	s.finishDrain(entry)
}

// considerAttempts offers what is due of each attempt.
func (s *State) considerAttempts(next *due) {
	for _, entry := range s.slots {
		switch {
		case entry.status == StatusDecoding:
			next.earlier(due{when: s.finishAt(entry), kind: dueFinish, attempt: entry})
		case entry == s.prefills[0]:
			next.earlier(due{when: entry.ready, kind: dueDecode, attempt: entry})
		}
		if !entry.abandonAt.IsZero() {
			next.earlier(due{when: entry.abandonAt, kind: dueAbandon, attempt: entry})
		}
	}
	for _, entry := range s.queue {
		if !entry.Deadline.IsZero() {
			next.earlier(due{when: entry.Deadline, kind: dueDeadline, attempt: entry})
		}
		if !entry.abandonAt.IsZero() {
			next.earlier(due{when: entry.abandonAt, kind: dueAbandon, attempt: entry})
		}
	}
}

// finishAt is when a decoding attempt has all its tokens.
func (s *State) finishAt(entry *attempt) time.Time {
	if s.steps.period <= 0 {
		return s.now
	}
	return s.steps.when(entry.start + int64(entry.MaxTokens))
}

// Attach says that somebody reads the answer, Detach that nobody does.
func (s *State) Attach(now time.Time, key Key) {
	s.Advance(now)
	if entry := s.attempts[key]; entry != nil {
		entry.abandonAt = time.Time{}
	}
}

// Detach begins the time after which an unread attempt is given up.
func (s *State) Detach(now time.Time, key Key) {
	s.Advance(now)
	if entry := s.attempts[key]; entry != nil {
		entry.abandonAt = now.Add(s.config.AbandonAfter)
	}
}

// View returns what a reader of the attempt sees.
func (s *State) View(now time.Time, key Key) View {
	s.Advance(now)
	entry := s.attempts[key]
	if entry == nil {
		return View{}
	}
	view := View{Status: entry.status, Refusal: entry.refusal, Generated: s.generated(entry), CachedTokens: entry.cached}
	if entry.status == StatusDecoding && s.steps.period > 0 {
		view.NextToken = s.steps.when(entry.start + int64(view.Generated) + 1)
	}
	return view
}

// forget drops answers that have been kept long enough.
func (s *State) forget() {
	drop := 0
	for drop < len(s.kept) && (len(s.kept)-drop > maxKeptAnswers || s.now.Sub(s.kept[drop].endedAt) > s.config.KeepAnswers) {
		delete(s.attempts, s.kept[drop].Key)
		s.kept[drop] = nil
		drop++
	}
	s.kept = s.kept[drop:]
}
