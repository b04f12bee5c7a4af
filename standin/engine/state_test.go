package engine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	standin "github.com/valveslip/valveslip/standin/engine"
)

var epoch = time.Unix(1_000_000, 0)

// at returns a time some milliseconds after epoch.
func at(milliseconds int) time.Time { return epoch.Add(time.Duration(milliseconds) * time.Millisecond) }

// pacedConfig returns a configuration whose operations all take time.
func pacedConfig() standin.Config {
	return standin.Config{
		Machine: machine, MemoryBytes: 100, Accelerators: 2, Slots: 2, QueueLength: 2,
		MemoryBytesPerSecond: 1000, DiskBytesPerSecond: 100, RemoteBytesPerSecond: 10,
		UnloadTime: 10 * time.Millisecond, PrefillTokensPerSecond: 1000,
		StepTime: 10 * time.Millisecond, StepTimePerRequest: 5 * time.Millisecond, PrefixBlocks: 4, CacheEventGap: 3,
		CacheEventDelay: 50 * time.Millisecond, ReportInterval: 10 * time.Millisecond, ReportLag: 100 * time.Millisecond,
	}
}

func newOrder(id string, token cluster.FencingToken, kind cluster.OrderKind, model cluster.ModelID) cluster.Order {
	return cluster.Order{ID: id, Token: token, Epoch: 1, Machine: machine, Kind: kind, Model: model, Version: "1", Bytes: 20, DrainTime: time.Second}
}

// mustOrder seals the engine with the order's token and fails the test if the
// engine refuses the order.
func mustOrder(t testing.TB, state *standin.State, now time.Time, order cluster.Order) cluster.Inventory {
	t.Helper()
	if _, refused := state.Seal(now, order.Token); refused != nil {
		t.Fatalf("seal with %d refused: %s", order.Token, refused.Reason)
	}
	inventory, refused := state.Order(now, order)
	if refused != nil {
		t.Fatalf("%s refused: %s", order.ID, refused.Reason)
	}
	return inventory
}

// replicaState returns the state of a model's replica, or ReplicaAbsent if there
// is none.
func replicaState(state *standin.State, now time.Time, model cluster.ModelID) cluster.ReplicaState {
	inventory := state.Inventory(now)
	replica, _ := inventory.Find(model)
	return replica.State
}

// The load time must follow from the speed of the fastest tier that has the
// checkpoint.
func TestLoadTimeDependsOnTier(t *testing.T) {
	config := pacedConfig()
	config.Cached = map[cluster.ModelID]cluster.Tier{"memory": cluster.TierMemory, "disk": cluster.TierDisk}
	for model, milliseconds := range map[cluster.ModelID]int{"memory": 20, "disk": 200, "remote": 2000} {
		state := standin.NewState(config)
		mustOrder(t, state, at(0), newOrder("1", 1, cluster.OrderLoad, model))
		if got := replicaState(state, at(milliseconds-1), model); got != cluster.ReplicaLoading {
			t.Errorf("%s before: %s", model, got)
		}
		if got := replicaState(state, at(milliseconds), model); got != cluster.ReplicaLoaded {
			t.Errorf("%s after: %s", model, got)
		}
	}
}

// loadedState returns an engine with pacedConfig that has loaded model m at time 0.
func loadedState(t testing.TB) *standin.State {
	t.Helper()
	config := pacedConfig()
	config.Cached = map[cluster.ModelID]cluster.Tier{"m": cluster.TierMemory}
	state := standin.NewState(config)
	mustOrder(t, state, at(-1000), newOrder("1", 1, cluster.OrderLoad, "m"))
	state.Advance(at(0))
	return state
}

func newSubmission(id string, priority, tokens int) standin.Submission {
	return standin.Submission{
		Key: standin.Key{Request: cluster.RequestID(id), Attempt: 1}, Model: "m",
		Priority: priority, PromptTokens: 10, MaxTokens: tokens,
	}
}

// Each attempt that decodes makes the steps of all longer. Ten prompt tokens take
// 10 ms of prefill; a step takes 15 ms with one attempt and 20 ms with two.
func TestTokenRateDependsOnBatchSize(t *testing.T) {
	state := loadedState(t)
	alone := newSubmission("alone", 0, 4)
	if refusal := state.Submit(at(0), alone); refusal != "" {
		t.Fatal(refusal)
	}
	if view := state.View(at(24), alone.Key); view.Generated != 0 {
		t.Fatalf("at 24 ms: %+v", view)
	}
	if view := state.View(at(25), alone.Key); view.Generated != 1 || !view.NextToken.Equal(at(40)) {
		t.Fatalf("at 25 ms: %+v", view)
	}
	second := newSubmission("second", 0, 10)
	state.Submit(at(30), second) // decodes from 40 ms on, when the second token comes
	if view := state.View(at(40), alone.Key); view.Generated != 2 || !view.NextToken.Equal(at(60)) {
		t.Fatalf("at 40 ms: %+v", view)
	}
	if view := state.View(at(80), alone.Key); view.Status != standin.StatusFinished || view.Generated != 4 {
		t.Fatalf("at 80 ms: %+v", view)
	}
	if view := state.View(at(95), second.Key); view.Generated != 3 {
		t.Fatalf("second at 95 ms: %+v", view)
	}
}

// A free slot must go to the queued attempt with the highest priority. Attempts
// beyond the queue length and known attempts must be refused.
func TestQueueStartsHighestPriorityAndRefusesBeyondLength(t *testing.T) {
	state := loadedState(t)
	for _, id := range []string{"a", "b"} {
		state.Submit(at(0), newSubmission(id, 0, 2))
	}
	low, high := newSubmission("low", 1, 2), newSubmission("high", 2, 2)
	if state.Submit(at(0), low) != "" || state.Submit(at(0), high) != "" {
		t.Fatal("refused with places in the queue")
	}
	if refusal := state.Submit(at(0), newSubmission("over", 9, 2)); refusal != standin.RefusedFull {
		t.Fatalf("beyond the queue: %q", refusal)
	}
	state.Cancel(at(1), standin.Key{Request: "a", Attempt: 1})
	if view := state.View(at(1), high.Key); view.Status != standin.StatusPrefilling {
		t.Fatalf("high: %+v", view)
	}
	if view := state.View(at(1), low.Key); view.Status != standin.StatusQueued {
		t.Fatalf("low: %+v", view)
	}
	if refusal := state.Submit(at(1), high); refusal != standin.RefusedDuplicate {
		t.Fatalf("the same attempt again: %q", refusal)
	}
}

// Prompts are prefilled one after another, so a cancelled prefill that stayed in
// the queue would block the next one.
func TestCancelledPrefillLetsNextPrefillStart(t *testing.T) {
	state := loadedState(t)
	long, next := newSubmission("long", 0, 1), newSubmission("next", 0, 1)
	long.PromptTokens = 10_000 // ten seconds
	state.Submit(at(0), long)
	state.Submit(at(0), next)
	if view := state.View(at(500), next.Key); view.Status != standin.StatusPrefilling {
		t.Fatalf("beside the long prompt: %+v", view)
	}
	state.Cancel(at(500), long.Key)
	if view := state.View(at(509), next.Key); view.Status != standin.StatusPrefilling {
		t.Fatalf("9 ms after the cancel: %+v", view)
	}
	if view := state.View(at(510), next.Key); view.Status != standin.StatusDecoding {
		t.Fatalf("10 ms after the cancel: %+v", view)
	}
}

// An attempt whose deadline passes in the queue must be refused and must not be
// counted as run.
func TestAttemptPastDeadlineInQueueIsRefused(t *testing.T) {
	state := loadedState(t)
	for _, id := range []string{"a", "b"} {
		state.Submit(at(0), newSubmission(id, 0, 100))
	}
	late := newSubmission("late", 0, 2)
	late.Deadline = at(50)
	state.Submit(at(0), late)
	view := state.View(at(50), late.Key)
	if view.Status != standin.StatusRefused || view.Refusal != standin.RefusedDeadline || state.Counters().Runs != 2 {
		t.Fatalf("%+v, %d runs", view, state.Counters().Runs)
	}
}

// An unload must refuse new attempts, let running ones finish until the drain
// time ends, abort the rest, and then free the memory.
func TestUnloadDrainsThenAbortsRunningAttempts(t *testing.T) {
	state := loadedState(t)
	short, long := newSubmission("short", 0, 5), newSubmission("long", 0, 1000)
	state.Submit(at(0), short)
	state.Submit(at(0), long)
	mustOrder(t, state, at(20), newOrder("2", 1, cluster.OrderUnload, "m"))
	if refusal := state.Submit(at(20), newSubmission("new", 0, 1)); refusal != standin.RefusedModelMissing {
		t.Fatalf("new work while unloading: %q", refusal)
	}
	if view := state.View(at(900), short.Key); view.Status != standin.StatusFinished {
		t.Fatalf("short: %+v", view)
	}
	if view := state.View(at(1020), long.Key); view.Status != standin.StatusFailed {
		t.Fatalf("long after the drain time: %+v", view)
	}
	if got := replicaState(state, at(1029), "m"); got != cluster.ReplicaUnloading {
		t.Fatalf("before the unload time: %s", got)
	}
	if inventory := state.Inventory(at(1030)); inventory.UsedBytes() != 0 || inventory.Cached["m"] != cluster.TierMemory {
		t.Fatalf("after: %+v", inventory)
	}
}

// A crash during a load must abort the fetch and leave no replica. The token must
// survive and the epoch must change, so that orders for the earlier run and stale
// seals are refused.
func TestCrashDuringLoadKeepsTokenAndStartsNewEpoch(t *testing.T) {
	config := pacedConfig()
	config.StoreFetch = true
	state := standin.NewState(config)
	mustOrder(t, state, at(0), newOrder("1", 7, cluster.OrderLoad, "m"))
	if fetches := state.Take().Fetches; len(fetches) != 1 || fetches[0].Order != "1" {
		t.Fatalf("fetches %+v", fetches)
	}
	before := state.Inventory(at(10))
	state.Crash(at(10))
	if aborted := state.Take().Aborted; len(aborted) != 1 || aborted[0] != "1" {
		t.Fatalf("aborted %v", aborted)
	}
	state.FinishFetch(at(20), "1", true)
	after := state.Inventory(at(20))
	if after.Epoch == before.Epoch || after.Token != 7 || after.TokenEpoch != before.Epoch || len(after.Replicas) != 0 || len(after.Cached) != 0 {
		t.Fatalf("after: %+v", after)
	}
	if _, refused := state.Order(at(20), newOrder("2", 7, cluster.OrderLoad, "m")); refused == nil || refused.Reason != engine.ReasonOtherRun {
		t.Fatalf("an order for the run before: %+v", refused)
	}
	if _, refused := state.Seal(at(20), 6); refused == nil || refused.Token != 7 {
		t.Fatalf("a stale seal after the crash: %+v", refused)
	}
}

// An adapter depends on its base model: it can't be loaded without it, and the
// base model can't be unloaded before the adapter.
func TestAdapterLoadNeedsLoadedBaseModel(t *testing.T) {
	state := loadedState(t)
	adapter := newOrder("2", 1, cluster.OrderLoad, "adapter")
	adapter.Base = "absent"
	if _, refused := state.Order(at(0), adapter); refused == nil || refused.Reason != engine.ReasonUnknownModelBase {
		t.Fatalf("without the base: %+v", refused)
	}
	adapter.Base = "m"
	mustOrder(t, state, at(0), adapter)
	if _, refused := state.Order(at(0), newOrder("3", 1, cluster.OrderUnload, "m")); refused == nil || refused.Reason != engine.ReasonInvalid {
		t.Fatalf("unloading the base first: %+v", refused)
	}
}

// Readers of cache events must cope with delayed and lost events, so the stand-in
// must delay each event and lose those at the configured gap.
func TestPrefixCacheEventsAreDelayedAndSomeAreLost(t *testing.T) {
	state := loadedState(t)
	first := newSubmission("a", 0, 1)
	first.PromptTokens, first.Prefixes = 300, []uint64{1, 2, 3, 4}
	state.Submit(at(0), first)
	if events := state.CacheEvents(at(49), 0); len(events) != 0 {
		t.Fatalf("too early: %+v", events)
	}
	var sequences []uint64
	for _, event := range state.CacheEvents(at(50), 1) {
		sequences = append(sequences, event.Sequence)
	}
	if fmt.Sprint(sequences) != "[2 4]" { // event 3 is lost by the gap
		t.Fatalf("sequences %v", sequences)
	}
	again := newSubmission("b", 0, 1)
	again.PromptTokens, again.Prefixes = 300, []uint64{1, 2, 9}
	state.Submit(at(1000), again)
	if view := state.View(at(1000), again.Key); view.CachedTokens != 128 {
		t.Fatalf("two cached blocks: %+v", view)
	}
}

// A report must show the load of ReportLag ago, and stay the same while frozen.
func TestReportShowsLoadAfterLag(t *testing.T) {
	state := loadedState(t)
	state.Submit(at(0), newSubmission("a", 0, 1000))
	state.Advance(at(20))
	if report := state.Report(at(50)); report.Running != 0 {
		t.Fatalf("within the lag: %+v", report)
	}
	state.FreezeReport(at(60))
	if report := state.Report(at(150)); report.Running != 0 {
		t.Fatalf("frozen: %+v", report)
	}
	state.ThawReport()
	if report := state.Report(at(150)); report.Running != 1 || report.PerModel["m"] != 1 {
		t.Fatalf("after the lag: %+v", report)
	}
}

// Random orders and seals, with repeats, must be refused if their token isn't the
// current one, and a repeated or refused order must not change the replicas. The
// inventory must show the current token and the memory of all replicas.
func TestOrdersAreFencedAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := standin.NewState(pacedConfig())
		var highest cluster.FencingToken
		given := map[string]cluster.Order{}
		now := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "orders") {
			now += rapid.IntRange(0, 3000).Draw(t, "passed")
			id := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id"))
			next, known := given[id]
			if !known {
				next = newOrder(id, cluster.FencingToken(rapid.IntRange(1, 5).Draw(t, "token")),
					rapid.SampledFrom([]cluster.OrderKind{cluster.OrderLoad, cluster.OrderUnload}).Draw(t, "kind"),
					rapid.SampledFrom([]cluster.ModelID{"a", "b", "c"}).Draw(t, "model"))
			}
			before := state.Inventory(at(now))
			if rapid.Bool().Draw(t, "seal") {
				token := cluster.FencingToken(rapid.IntRange(1, 5).Draw(t, "sealed"))
				if _, refused := state.Seal(at(now), token); (refused != nil) != (token < highest) {
					t.Fatalf("seal with %d, %d held: %+v", token, highest, refused)
				}
				highest = max(highest, token)
				before = state.Inventory(at(now))
			}
			inventory, refused := state.Order(at(now), next)
			after := state.Inventory(at(now))
			switch {
			case (next.Token < highest) != (refused != nil && refused.Reason == engine.ReasonStaleToken),
				(next.Token > highest) != (refused != nil && refused.Reason == engine.ReasonNotSealed):
				t.Fatalf("%+v with %d held: %+v", next, highest, refused)
			case (known || refused != nil) && fmt.Sprint(after.Replicas) != fmt.Sprint(before.Replicas):
				t.Fatalf("%+v changed %+v to %+v", next, before.Replicas, after.Replicas)
			case refused == nil:
				given[id] = next
				if inventory.Sequence != after.Sequence {
					t.Fatalf("answer %d, inventory %d", inventory.Sequence, after.Sequence)
				}
			}
			if after.Token != highest || after.UsedBytes() != int64(20*len(after.Replicas)) {
				t.Fatalf("%+v; want token %d", after, highest)
			}
		}
	})
}
