package placement

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// longPrompt is a number of tokens whose prefill takes a quarter of a second: two in succession
// pause every stream of the engine for the longest time that callers accept.
const longPrompt = defaultPrefillTokensPerSecond / 4

// prefillState returns machines with memory for two models each. The first one holds booking.
func prefillState(machines int, models ...settings.Model) (State, *AdaptivePlanner) {
	state := testState(testSnapshot(1, append(models, testModel("booking", nil))...), machines)
	for i := range state.Machines {
		state.Machines[i].MemoryBytes = 20 * gigabyte
		state.Machines[i].Cached["booking"] = cluster.TierDisk
	}
	for i := range state.Allotment.Models {
		state.Allotment.Models[i].MaxReplicas = 100
	}
	for i := range state.Settings.Models {
		state.Settings.Models[i].Policy.MaxReplicas = 100
	}
	addLoadedReplica(&state, 0, "booking")
	config := engineConfig()
	config.SerialOrders = true
	return state, NewPlanner(config)
}

// promptDemand returns the demand of the given number of prompts of equal length, which run
// without waiting.
func promptDemand(count, tokens int) Demand {
	return Demand{
		Running: min(count, 1), Arrivals: count, PromptTokens: count * tokens,
		PromptSquareSum: float64(count) * float64(tokens) * float64(tokens),
	}
}

// planWithDemand makes one plan for each demand of the model, a step apart, and returns the
// last plan.
func planWithDemand(state *State, planner *AdaptivePlanner, id cluster.ModelID, step time.Duration, demands ...Demand) Plan {
	var plan Plan
	for _, demand := range demands {
		state.Now = state.Now.Add(step)
		state.Demand[id] = demand
		plan = planner.Plan(*state)
	}
	return plan
}

// TestPrefillShareLimitFollowsPause: the longer a prefill takes in relation to the accepted
// pause, the smaller the share of its time that an engine may spend on prefill.
func TestPrefillShareLimitFollowsPause(t *testing.T) {
	for _, test := range []struct{ prompt, pause, low, high float64 }{
		{0.02, 0.5, maxPrefillShare - 0.01, maxPrefillShare},
		{0.1, 0.5, 0.48, 0.52},
		{0.25, 0.5, 0.18, 0.22},
		{0.25, 1, 0.47, 0.51},
		{0.25, 0.3, minPrefillShare, minPrefillShare + 0.01},
		{2, 0.5, minPrefillShare, minPrefillShare + 0.01},
	} {
		if got := prefillShareLimit(test.prompt, test.pause); got < test.low || got > test.high {
			t.Errorf("prefill share limit %.3f for prompts of %v s and pauses of %v s, want %v to %v", got, test.prompt, test.pause, test.low, test.high)
		}
	}
}

// TestPrefillLoadAddsReplicaBeforeQueueing: four prompts of a quarter of a second each second
// occupy a whole engine with prefill. The second replica must be planned within 1.5 s, before
// any request waits and although only one runs at a time.
func TestPrefillLoadAddsReplicaBeforeQueueing(t *testing.T) {
	state, planner := prefillState(4)
	planner.Plan(state)
	plan := planWithDemand(&state, planner, "booking", 250*time.Millisecond, promptDemand(1, longPrompt), promptDemand(1, longPrompt),
		promptDemand(1, longPrompt), promptDemand(1, longPrompt), promptDemand(1, longPrompt), promptDemand(1, longPrompt))
	if len(plan.Actions) == 0 {
		t.Fatal("no action planned, want the load of a second replica")
	}
	action := &plan.Actions[0]
	if action.Kind != cluster.OrderLoad || action.Reason.Cause != CausePrefill {
		t.Errorf("planned %v for %q, want a load for %q", action.Kind, action.Reason.Cause, CausePrefill)
	}
	if action.Reason.Reading <= action.Reason.ReadingBound || action.Reason.ReadingBound == 0 {
		t.Errorf("prefill load %.2f and limit %.2f in the reason, want a load above a limit", action.Reason.Reading, action.Reason.ReadingBound)
	}
}

// TestShortPromptsAddNoReplica: the same number of prompts of a fortieth of a second causes no
// long pauses, so it must add no replica.
func TestShortPromptsAddNoReplica(t *testing.T) {
	state, planner := prefillState(4)
	for range 40 {
		expectActions(t, planWithDemand(&state, planner, "booking", 250*time.Millisecond, promptDemand(1, longPrompt/10)))
	}
}

// TestCoincidingPromptsAddNoReplica: two long prompts of a rarely used model that arrive
// together once in ten seconds are no sustained load and must add no replica.
func TestCoincidingPromptsAddNoReplica(t *testing.T) {
	state, planner := prefillState(4)
	for range 6 {
		expectActions(t, planWithDemand(&state, planner, "booking", 100*time.Millisecond, promptDemand(2, longPrompt)))
		expectActions(t, planWithDemand(&state, planner, "booking", 9900*time.Millisecond, Demand{}))
	}
}

// TestPrefillLoadDecaysSlowly: a gap between the prompts of a busy model must not remove its
// replicas, and a longer time without prompts must.
func TestPrefillLoadDecaysSlowly(t *testing.T) {
	state, planner := prefillState(1)
	for range 20 {
		planWithDemand(&state, planner, "booking", 500*time.Millisecond, promptDemand(2, longPrompt))
	}
	if wanted := planWithDemand(&state, planner, "booking", 3*time.Second, Demand{}).Wanted["booking"]; wanted < 3 {
		t.Errorf("%d replicas wanted after a gap of 3 s, want 3 or more", wanted)
	}
	planWithDemand(&state, planner, "booking", 30*time.Second, Demand{})
	if needed := planner.round.models[planner.catalogue.indexOf("booking")].prefill.replicasNeeded(); needed > 1 {
		t.Errorf("%d replicas needed after 30 s without a prompt, want 1 or fewer", needed)
	}
}

// TestBaseIncludesAdapterPrefill: the engine of a base model prefills the prompts of all its
// adapters, so many adapters with few prompts each must add replicas of the base model.
func TestBaseIncludesAdapterPrefill(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	var models []settings.Model
	for _, name := range names {
		models = append(models, adapterOf("booking", name))
	}
	state, planner := prefillState(1, models...)
	planner.Plan(state)
	for range 4 {
		for _, name := range names {
			clear(state.Demand)
			planWithDemand(&state, planner, cluster.ModelID(name), 125*time.Millisecond, promptDemand(1, longPrompt))
		}
	}
	if needs := planner.round.models[planner.catalogue.indexOf("booking")].prefill.replicasNeeded(); needs < 2 {
		t.Errorf("the base model needs %d replicas for the prompts of all adapters, want 2 or more", needs)
	}
	if needs := planner.round.models[planner.catalogue.indexOf("a")].prefill.replicasNeeded(); needs > 1 {
		t.Errorf("an adapter needs %d replicas for one prompt per second, want 1 or fewer", needs)
	}
}

// TestReplicaGoesToMachineWithLeastPrefill: of two equal engines, the new replica of a busy
// model must go to the one with less prefill, although it leaves more memory unused there. A
// load from the weight store on a third engine costs more than that.
func TestReplicaGoesToMachineWithLeastPrefill(t *testing.T) {
	for name, test := range map[string]struct {
		cachedOn []int
		want     cluster.MachineID
	}{
		"copies on both engines":          {[]int{0, 2, 3}, "machine-0003"},
		"copy only where prefill is high": {[]int{0, 2}, "machine-0002"},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := prefillState(4, testModel("chat", nil))
			for i := range state.Machines {
				clear(state.Machines[i].Cached)
			}
			for _, i := range test.cachedOn {
				state.Machines[i].Cached["booking"] = cluster.TierDisk
			}
			addLoadedReplica(&state, 2, "chat")
			planner.Plan(state)
			for range 8 {
				state.Now = state.Now.Add(250 * time.Millisecond)
				state.Demand["chat"] = promptDemand(1, longPrompt/4)
				planner.Plan(state)
			}
			var plan Plan
			for range 10 {
				if plan = planWithDemand(&state, planner, "booking", 200*time.Millisecond, promptDemand(1, longPrompt)); len(plan.Actions) > 0 {
					break
				}
			}
			if len(plan.Actions) == 0 || plan.Actions[0].Machine != test.want {
				t.Errorf("planned %q, want the load on %s", actionsOf(plan), test.want)
			}
		})
	}
}

// TestReplicasFollowLongestPause: the same prompts need more replicas if callers accept only
// short pauses, and no second one if they accept long pauses.
func TestReplicasFollowLongestPause(t *testing.T) {
	needs := func(pause time.Duration) int {
		state, planner := prefillState(1)
		state.LongestPause = pause
		for range 40 {
			planWithDemand(&state, planner, "booking", 250*time.Millisecond, promptDemand(1, longPrompt/2))
		}
		return planner.round.models[planner.catalogue.indexOf("booking")].prefill.replicasNeeded()
	}
	short, usual, stated, long := needs(300*time.Millisecond), needs(0), needs(500*time.Millisecond), needs(1500*time.Millisecond)
	if usual != stated || short <= usual || long > 1 {
		t.Errorf("%d replicas for pauses of 300 ms, %d for 500 ms, %d for none stated, %d for 1.5 s", short, stated, usual, long)
	}
}

// TestWaitingRequestPrefersLocalLoad: a model with a waiting request must be loaded where it is
// cached, however much prefill that engine has, not from the weight store elsewhere.
func TestWaitingRequestPrefersLocalLoad(t *testing.T) {
	state, planner := prefillState(2, testModel("rare", nil))
	state.LoadTime = func(_ cluster.ModelID, tier cluster.Tier) time.Duration {
		if tier == cluster.TierRemote {
			return 4 * time.Second
		}
		return 800 * time.Millisecond
	}
	delete(state.Machines[1].Cached, "booking")
	state.Machines[0].Cached["rare"] = cluster.TierDisk
	planner.Plan(state)
	for range 20 {
		planWithDemand(&state, planner, "booking", 250*time.Millisecond, promptDemand(1, longPrompt))
	}
	state.Demand["rare"] = Demand{Waiting: 1, Arrivals: 1, Objective: 2500 * time.Millisecond}
	plan := planner.Plan(state)
	if len(plan.Actions) == 0 || plan.Actions[0].Model != "rare" || plan.Actions[0].Machine != "machine-0000" {
		t.Errorf("planned %q, want rare on machine-0000 first", actionsOf(plan))
	}
}
