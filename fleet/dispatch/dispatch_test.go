package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// localDispatcher is one node that is its own dispatcher. Its engines exist only as the events
// that the test sends.
type localDispatcher struct {
	t          *testing.T
	core       *Core
	now        time.Time
	lastNumber int64
}

var testNode = Peer{ID: "node-a", Address: "10.0.0.1:7000", Machine: "machine-a", Capacity: 1}

func newLocalDispatcher(t *testing.T) *localDispatcher {
	f := &localDispatcher{t: t, now: time.Unix(1_000_000, 0)}
	f.core = New(Config{Self: testNode, CacheTokens: func(cluster.ModelID) int { return 200_000 }})
	return f
}

// longPrompt and chat return the two loads of the tests: plans of 9,200 prompt tokens whose answer
// must begin within 800 ms, and chats of 600 prompt tokens whose events must come within 500 ms of
// each other.
func longPrompt() wire.EngineWork {
	return wire.EngineWork{
		Model: "pool/plan", PromptTokens: 9200, OutputTokens: 50, Rank: 1,
		Objective: 800 * time.Millisecond, Left: 5 * time.Second, LongestPause: 500 * time.Millisecond,
	}
}

func chat() wire.EngineWork {
	return wire.EngineWork{
		Model: "pool/plan", PromptTokens: 600, OutputTokens: 300, Rank: 0,
		Objective: 500 * time.Millisecond, Left: 15 * time.Second, LongestPause: 500 * time.Millisecond,
	}
}

func candidates(ids ...cluster.MachineID) []wire.EngineCandidate {
	list := make([]wire.EngineCandidate, len(ids))
	for i, id := range ids {
		list[i].Machine = id
	}
	return list
}

// placeAndSend requests a placement and sends the attempt where and when the answer says.
func (f *localDispatcher) placeAndSend(w wire.EngineWork, ids ...cluster.MachineID) PlacementAnswered {
	f.t.Helper()
	f.lastNumber++
	for _, effect := range f.core.Step(f.now, PlacementRequested{Number: f.lastNumber, Work: w, Candidates: candidates(ids...)}) {
		if answered, ok := effect.(PlacementAnswered); ok {
			f.core.Step(f.now.Add(answered.Delay), AttemptSent{Number: f.lastNumber, Machine: answered.Machine, Answered: answered.Machine, Work: w})
			return answered
		}
	}
	f.t.Fatal("no answer")
	return PlacementAnswered{}
}

// startChats starts the given number of chats at an engine and their streams.
func (f *localDispatcher) startChats(engine cluster.MachineID, count int) {
	for range count {
		f.placeAndSend(chat(), engine)
		f.advance(30 * time.Millisecond)
		f.core.Step(f.now, FirstEventReceived{Number: f.lastNumber})
	}
}

func (f *localDispatcher) advance(d time.Duration) { f.now = f.now.Add(d) }

// TestConcurrentPromptsGoToDifferentEngines guards against two plans that arrive within 20 ms and
// are prefilled by one engine while its replica is idle: the streams of that engine would pause
// for more than half a second.
func TestConcurrentPromptsGoToDifferentEngines(t *testing.T) {
	f := newLocalDispatcher(t)
	first := f.placeAndSend(longPrompt(), "a", "b")
	f.advance(20 * time.Millisecond)
	second := f.placeAndSend(longPrompt(), "a", "b")
	if first.Machine == second.Machine {
		t.Errorf("both prompts were placed at %s", first.Machine)
	}
	if first.Delay+second.Delay > 0 {
		t.Errorf("idle engines: delays %s and %s, want none", first.Delay, second.Delay)
	}
}

// TestPromptIsDelayedWhileStreamsWouldStall places a second plan on the only replica, which runs
// six chats. The plan must wait until the streams have made progress, and its answer must still
// begin in time.
func TestPromptIsDelayedWhileStreamsWouldStall(t *testing.T) {
	f := newLocalDispatcher(t)
	f.startChats("a", 6)
	f.placeAndSend(longPrompt(), "a")
	f.advance(20 * time.Millisecond)
	second := f.placeAndSend(longPrompt(), "a")
	if second.Delay < 200*time.Millisecond {
		t.Errorf("second prompt delayed by %s, during the prefill of the first one", second.Delay)
	}
	if begins := second.Delay + second.Forecast.Expected; begins > 800*time.Millisecond {
		t.Errorf("second answer begins after %s, objective 800 ms", begins)
	}
}

// TestPromptIsNotDelayedWithoutStreams guards against a delay that protects no stream.
func TestPromptIsNotDelayedWithoutStreams(t *testing.T) {
	f := newLocalDispatcher(t)
	alone := longPrompt()
	alone.LongestPause = 0
	f.placeAndSend(alone, "a")
	f.advance(20 * time.Millisecond)
	if second := f.placeAndSend(alone, "a"); second.Delay > 0 {
		t.Errorf("delayed by %s without streams", second.Delay)
	}
}

// TestUrgentRequestIgnoresLowerRankBacklog: engines prefill chats before plans, so queued plans
// must not count in the backlog of a chat.
func TestUrgentRequestIgnoresLowerRankBacklog(t *testing.T) {
	f := newLocalDispatcher(t)
	for range 4 {
		f.placeAndSend(longPrompt(), "a")
	}
	if urgent := f.placeAndSend(chat(), "a"); urgent.Forecast.Backlog > 2*prefillChunkTime {
		t.Errorf("chat has a backlog of %s, want no queued plans in it", urgent.Forecast.Backlog)
	}
}

// TestChatsAvoidEngineWithLongPrefill: a chat must go to the replica that is not prefilling a
// plan.
func TestChatsAvoidEngineWithLongPrefill(t *testing.T) {
	f := newLocalDispatcher(t)
	busy := f.placeAndSend(longPrompt(), "a", "b")
	for range 5 {
		if placed := f.placeAndSend(chat(), "a", "b"); placed.Machine == busy.Machine {
			t.Errorf("chat placed at %s, which prefills a plan", placed.Machine)
		}
	}
}

// TestLateRequestMovesToBackground overloads one engine. A plan that would be late must get the
// lowest urgency so that the next plan is in time. In order of arrival all plans would be late.
func TestLateRequestMovesToBackground(t *testing.T) {
	f := newLocalDispatcher(t)
	plan := longPrompt()
	plan.LongestPause = 0
	var placed PlacementAnswered
	for range 5 {
		placed = f.placeAndSend(plan, "a")
	}
	if !placed.Forecast.Background {
		t.Errorf("fifth plan, expected after %s, is not in the background", placed.Forecast.Expected)
	}
	f.advance(800 * time.Millisecond)
	for number := int64(1); number <= 2; number++ {
		f.core.Step(f.now, FirstEventReceived{Number: number})
	}
	if next := f.placeAndSend(plan, "a"); next.Forecast.Background || next.Forecast.Expected > 800*time.Millisecond {
		t.Errorf("next plan is expected after %s, behind plans that are late anyway", next.Forecast.Expected)
	}
}

// TestCachedPrefixAttractsRequests: an engine that caches two thirds of the prompt of a plan
// prefills it in a third of the time, so it must get the next plan once its prefill has ended.
func TestCachedPrefixAttractsRequests(t *testing.T) {
	f := newLocalDispatcher(t)
	shared := longPrompt()
	shared.Prefixes = []wire.PromptPrefix{{Hash: 1, Tokens: 2500}, {Hash: 2, Tokens: 6300}}
	first := f.placeAndSend(shared, "a", "b", "c", "d")
	f.advance(400 * time.Millisecond)
	f.core.Step(f.now, FirstEventReceived{Number: f.lastNumber})
	f.advance(time.Second)
	second := f.placeAndSend(shared, "a", "b", "c", "d")
	if second.Machine != first.Machine || second.Forecast.Kept != 6300 {
		t.Errorf("placed at %s with %d cached tokens, want %s with 6300", second.Machine, second.Forecast.Kept, first.Machine)
	}
	f.core.Step(f.now, ModelUnloaded{Machine: first.Machine, Model: shared.Model})
	if third := f.placeAndSend(shared, first.Machine); third.Forecast.Kept != 0 {
		t.Errorf("%d cached tokens of an unloaded model", third.Forecast.Kept)
	}
}

// TestCachedPrefixIsFetchedFromBusyEngine: if the engine that caches the prefix of a plan is busy
// with chats and another plan, another engine must fetch the prefix and prefill only the remaining
// third.
func TestCachedPrefixIsFetchedFromBusyEngine(t *testing.T) {
	for _, fetches := range []bool{true, false} {
		f := newLocalDispatcher(t)
		f.core.cfg.FetchesCachedPrefixes = fetches
		shared := longPrompt()
		shared.Prefixes = []wire.PromptPrefix{{Hash: 1, Tokens: 2500}, {Hash: 2, Tokens: 6300}}
		f.placeAndSend(shared, "a")
		f.advance(400 * time.Millisecond)
		f.core.Step(f.now, FirstEventReceived{Number: f.lastNumber})
		f.startChats("a", 6)
		f.placeAndSend(longPrompt(), "a")
		placed := f.placeAndSend(shared, "a", "b")
		if !fetches {
			if placed.Forecast.Fetch != "" {
				t.Errorf("prefix fetched from %s although fetches are disabled", placed.Forecast.Fetch)
			}
			continue
		}
		if placed.Machine != "b" || placed.Forecast.Fetch != "a" || placed.Forecast.Kept != 6300 {
			t.Errorf("placed at %s with %d tokens fetched from %q, want b with 6300 from a", placed.Machine, placed.Forecast.Kept, placed.Forecast.Fetch)
		}
	}
}

// TestUnresponsiveEngineIsAvoided: an engine whose prefill is overdue is expected to be late by as
// much again, so chats must go elsewhere before their objective has passed.
func TestUnresponsiveEngineIsAvoided(t *testing.T) {
	f := newLocalDispatcher(t)
	f.placeAndSend(chat(), "a")
	f.advance(600 * time.Millisecond)
	for range 4 {
		if placed := f.placeAndSend(chat(), "a", "b"); placed.Machine != "b" {
			t.Errorf("chat placed at an engine that did not respond for 600 ms")
		}
		f.advance(10 * time.Millisecond)
		f.core.Step(f.now, FirstEventReceived{Number: f.lastNumber})
	}
}

// TestSlowEngineGetsFewerPrompts: an engine at half the speed of the others must get fewer plans.
// Only its answers show the speed, because no setting states it.
func TestSlowEngineGetsFewerPrompts(t *testing.T) {
	f := newLocalDispatcher(t)
	counts := map[cluster.MachineID]int{}
	for i := range 200 {
		placed := f.placeAndSend(longPrompt(), "slow", "fast-1", "fast-2")
		number, took := f.lastNumber, 300*time.Millisecond
		if placed.Machine == "slow" {
			took *= 2
		}
		if i >= 100 {
			counts[placed.Machine]++
		}
		f.advance(placed.Delay + took)
		f.core.Step(f.now, FirstEventReceived{Number: number})
		f.core.Step(f.now, AttemptEnded{Number: number, Read: true})
	}
	if counts["slow"] > 10 {
		t.Errorf("sends %v, want at most 10 to the slow engine", counts)
	}
}

// TestPenalizedEngineIsAvoided: the penalty that the asking node states for a failing engine must
// count in the placement.
func TestPenalizedEngineIsAvoided(t *testing.T) {
	f := newLocalDispatcher(t)
	w := chat()
	answer := f.core.tracker.place(f.now, attemptKey{"node-a", 1}, &w, []wire.EngineCandidate{{Machine: "a", Penalty: 600 * time.Millisecond}, {Machine: "b"}})
	if answer.Machine != "b" {
		t.Errorf("placed at %s, want b, the engine without a penalty", answer.Machine)
	}
}

// TestRemovedEngineDropsItsAttempts: attempts at an engine that was removed must not count as
// backlog when it returns.
func TestRemovedEngineDropsItsAttempts(t *testing.T) {
	f := newLocalDispatcher(t)
	for range 5 {
		f.placeAndSend(longPrompt(), "a")
	}
	f.core.Step(f.now, EngineRemoved{Machine: "a"})
	if known := f.core.TrackedAttempts(); known != 0 {
		t.Errorf("%d attempts tracked at a removed engine", known)
	}
	if placed := f.placeAndSend(chat(), "a"); placed.Forecast.Backlog != 0 {
		t.Errorf("new engine has a backlog of %s", placed.Forecast.Backlog)
	}
}

// TestAttemptExpiresAtItsDeadline: an attempt whose end was never reported must be dropped after
// its deadline.
func TestAttemptExpiresAtItsDeadline(t *testing.T) {
	f := newLocalDispatcher(t)
	f.placeAndSend(longPrompt(), "a")
	f.advance(5*time.Second + sweepInterval)
	f.placeAndSend(chat(), "b")
	if known := f.core.TrackedAttempts(); known != 1 {
		t.Errorf("%d attempts tracked, want only the last one", known)
	}
}

// TestTrackerAndCachesStayBounded: a flood of requests must not exceed the bounds on tracked
// attempts and cache blocks.
func TestTrackerAndCachesStayBounded(t *testing.T) {
	f := newLocalDispatcher(t)
	for i := range maxTrackedAttempts + 100 {
		w := chat()
		w.Prefixes = []wire.PromptPrefix{{Hash: uint64(i), Tokens: 1}}
		f.placeAndSend(w, cluster.MachineID(fmt.Sprint("engine-", i%100)))
	}
	if known := f.core.TrackedAttempts(); known > maxTrackedAttempts {
		t.Errorf("%d attempts tracked, bound %d", known, maxTrackedAttempts)
	}
	for _, e := range f.core.tracker.engines {
		if len(e.cache.blocks) > maxCacheBlocks {
			t.Errorf("%d cache blocks for one engine, bound %d", len(e.cache.blocks), maxCacheBlocks)
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	core := New(Config{Self: testNode, CacheTokens: func(cluster.ModelID) int { return 200_000 }})
	now := time.Unix(1_000_000, 0)
	var ids []cluster.MachineID
	for i := range 8 {
		ids = append(ids, cluster.MachineID(fmt.Sprint("engine-", i)))
	}
	list := candidates(ids...)
	for i := range b.N {
		number := int64(i + 1)
		core.Step(now, PlacementRequested{Number: number, Work: chat(), Candidates: list})
		now = now.Add(5 * time.Millisecond)
		if i > 100 {
			core.Step(now, FirstEventReceived{Number: number - 50})
			core.Step(now, AttemptEnded{Number: number - 100, Read: true})
		}
	}
}
