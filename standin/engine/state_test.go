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

func paced() standin.Config {
	return standin.Config{
		Machine: machine, MemoryBytes: 100, Accelerators: 2, Slots: 2, QueueLength: 2,
		MemoryBytesPerSecond: 1000, DiskBytesPerSecond: 100, RemoteBytesPerSecond: 10,
		UnloadTime: 10 * time.Millisecond, PrefillTokensPerSecond: 1000,
		StepTime: 10 * time.Millisecond, StepTimePerRequest: 5 * time.Millisecond, PrefixBlocks: 4, CacheEventGap: 3,
		CacheEventDelay: 50 * time.Millisecond, ReportInterval: 10 * time.Millisecond, ReportLag: 100 * time.Millisecond,
	}
}

func order(id string, token cluster.FencingToken, kind cluster.OrderKind, model cluster.ModelID) cluster.Order {
	return cluster.Order{ID: id, Token: token, Epoch: 1, Machine: machine, Kind: kind, Model: model, Version: "1", Bytes: 20, DrainTime: time.Second}
}

// mustOrder seals the engine and gives an order that must be accepted.
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

// replicaState of a model, ReplicaAbsent when there is none.
func replicaState(state *standin.State, now time.Time, model cluster.ModelID) cluster.ReplicaState {
	inventory := state.Inventory(now)
	replica, _ := inventory.Find(model)
	return replica.State
}

func TestLoadTimeFollowsTier(t *testing.T) {
	config := paced()
	config.Cached = map[cluster.ModelID]cluster.Tier{"memory": cluster.TierMemory, "disk": cluster.TierDisk}
	for model, milliseconds := range map[cluster.ModelID]int{"memory": 20, "disk": 200, "remote": 2000} {
		state := standin.NewState(config)
		mustOrder(t, state, at(0), order("1", 1, cluster.OrderLoad, model))
		if got := replicaState(state, at(milliseconds-1), model); got != cluster.ReplicaLoading {
			t.Errorf("%s before: %s", model, got)
		}
		if got := replicaState(state, at(milliseconds), model); got != cluster.ReplicaLoaded {
			t.Errorf("%s after: %s", model, got)
		}
	}
}

// loaded returns a paced engine that holds model m at time 0.
func loaded(t testing.TB) *standin.State {
	t.Helper()
	config := paced()
	config.Cached = map[cluster.ModelID]cluster.Tier{"m": cluster.TierMemory}
	state := standin.NewState(config)
	mustOrder(t, state, at(-1000), order("1", 1, cluster.OrderLoad, "m"))
	state.Advance(at(0))
	return state
}

func submission(id string, priority, tokens int) standin.Submission {
	return standin.Submission{
		Key: standin.Key{Request: cluster.RequestID(id), Attempt: 1}, Model: "m",
		Priority: priority, PromptTokens: 10, MaxTokens: tokens,
	}
}

// TestTokensArePacedByBatch: ten prompt tokens prefill in 10 ms; alone a step
// takes 15 ms, two together 20 ms.
func TestTokensArePacedByBatch(t *testing.T) {
	state := loaded(t)
	alone := submission("alone", 0, 4)
	if refusal := state.Submit(at(0), alone); refusal != "" {
		t.Fatal(refusal)
	}
	if view := state.View(at(24), alone.Key); view.Generated != 0 {
		t.Fatalf("at 24 ms: %+v", view)
	}
	if view := state.View(at(25), alone.Key); view.Generated != 1 || !view.NextToken.Equal(at(40)) {
		t.Fatalf("at 25 ms: %+v", view)
	}
	second := submission("second", 0, 10)
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

func TestQueueByPriorityAndBound(t *testing.T) {
	state := loaded(t)
	for _, id := range []string{"a", "b"} {
		state.Submit(at(0), submission(id, 0, 2))
	}
	low, high := submission("low", 1, 2), submission("high", 2, 2)
	if state.Submit(at(0), low) != "" || state.Submit(at(0), high) != "" {
		t.Fatal("refused with places in the queue")
	}
	if refusal := state.Submit(at(0), submission("over", 9, 2)); refusal != standin.RefusedFull {
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

// TestCancelledPrefillFreesTheEngine: what was cancelled holds nobody up.
func TestCancelledPrefillFreesTheEngine(t *testing.T) {
	state := loaded(t)
	long, next := submission("long", 0, 1), submission("next", 0, 1)
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

func TestDeadlineInQueueIsNotRun(t *testing.T) {
	state := loaded(t)
	for _, id := range []string{"a", "b"} {
		state.Submit(at(0), submission(id, 0, 100))
	}
	late := submission("late", 0, 2)
	late.Deadline = at(50)
	state.Submit(at(0), late)
	view := state.View(at(50), late.Key)
	if view.Status != standin.StatusRefused || view.Refusal != standin.RefusedDeadline || state.Counters().Runs != 2 {
		t.Fatalf("%+v, %d runs", view, state.Counters().Runs)
	}
}

func TestUnloadDrainsThenCuts(t *testing.T) {
	state := loaded(t)
	short, long := submission("short", 0, 5), submission("long", 0, 1000)
	state.Submit(at(0), short)
	state.Submit(at(0), long)
	mustOrder(t, state, at(20), order("2", 1, cluster.OrderUnload, "m"))
	if refusal := state.Submit(at(20), submission("new", 0, 1)); refusal != standin.RefusedModelMissing {
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

// TestCrashMidLoad: the load leaves nothing, the token stays, the epoch moves.
func TestCrashMidLoad(t *testing.T) {
	config := paced()
	config.StoreFetch = true
	state := standin.NewState(config)
	mustOrder(t, state, at(0), order("1", 7, cluster.OrderLoad, "m"))
	if fetches := state.Take().Fetches; len(fetches) != 1 || fetches[0].Order != "1" {
		t.Fatalf("fetches %+v", fetches)
	}
	before := state.Inventory(at(10))
	state.Crash(at(10))
	if aborted := state.Take().Aborted; len(aborted) != 1 || aborted[0] != "1" {
		t.Fatalf("aborted %v", aborted)
	}
	state.FetchDone(at(20), "1", true)
	after := state.Inventory(at(20))
	if after.Epoch == before.Epoch || after.Token != 7 || after.TokenEpoch != before.Epoch || len(after.Replicas) != 0 || len(after.Cached) != 0 {
		t.Fatalf("after: %+v", after)
	}
	if _, refused := state.Order(at(20), order("2", 7, cluster.OrderLoad, "m")); refused == nil || refused.Reason != engine.ReasonOtherRun {
		t.Fatalf("an order for the run before: %+v", refused)
	}
	if _, refused := state.Seal(at(20), 6); refused == nil || refused.Token != 7 {
		t.Fatalf("a stale seal after the crash: %+v", refused)
	}
}

func TestAdapterNeedsBase(t *testing.T) {
	state := loaded(t)
	adapter := order("2", 1, cluster.OrderLoad, "adapter")
	adapter.Base = "absent"
	if _, refused := state.Order(at(0), adapter); refused == nil || refused.Reason != engine.ReasonUnknownModelBase {
		t.Fatalf("without the base: %+v", refused)
	}
	adapter.Base = "m"
	mustOrder(t, state, at(0), adapter)
	if _, refused := state.Order(at(0), order("3", 1, cluster.OrderUnload, "m")); refused == nil || refused.Reason != engine.ReasonInvalid {
		t.Fatalf("unloading the base first: %+v", refused)
	}
}

func TestPrefixCacheEventsComeLateAndWithGaps(t *testing.T) {
	state := loaded(t)
	first := submission("a", 0, 1)
	first.PromptTokens, first.Prefixes = 300, []uint64{1, 2, 3, 4}
	state.Submit(at(0), first)
	if events := state.CacheEvents(at(49), 0); len(events) != 0 {
		t.Fatalf("too early: %+v", events)
	}
	var sequences []uint64
	for _, event := range state.CacheEvents(at(50), 1) {
		sequences = append(sequences, event.Sequence)
	}
	if fmt.Sprint(sequences) != "[2 4]" { // 3 falls into a gap
		t.Fatalf("sequences %v", sequences)
	}
	again := submission("b", 0, 1)
	again.PromptTokens, again.Prefixes = 300, []uint64{1, 2, 9}
	state.Submit(at(1000), again)
	if view := state.View(at(1000), again.Key); view.CachedTokens != 128 {
		t.Fatalf("two cached blocks: %+v", view)
	}
}

func TestReportLags(t *testing.T) {
	state := loaded(t)
	state.Submit(at(0), submission("a", 0, 1000))
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

// TestOrdersAreFencedAndIdempotent gives random orders, repeats among them, and
// checks the account of memory and token after each.
func TestOrdersAreFencedAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := standin.NewState(paced())
		var highest cluster.FencingToken
		given := map[string]cluster.Order{}
		now := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "orders") {
			now += rapid.IntRange(0, 3000).Draw(t, "passed")
			id := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id"))
			next, known := given[id]
			if !known {
				next = order(id, cluster.FencingToken(rapid.IntRange(1, 5).Draw(t, "token")),
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
