package admin

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// TestDecisionTextMatchesGoldenFile guards against unintended changes of the sentences
// that describe placement decisions.
func TestDecisionTextMatchesGoldenFile(t *testing.T) {
	wake := time.Date(2026, 3, 2, 17, 40, 0, 0, time.UTC)
	decisions := []placement.Decision{
		{NextWake: wake, Reason: placement.Reason{Cause: placement.CauseIdle, Setting: "keep_alive", Source: "/dental/after-hours", Idle: 14 * time.Minute, KeepAlive: 10 * time.Minute}},
		{Wanted: 1, Held: 1, Loaded: 1, Allowed: 2, Reason: placement.Reason{Cause: placement.CauseKeepAlive, Setting: "keep_alive", Source: "default", Idle: 90 * time.Second, KeepAlive: 10 * time.Minute}},
		{Wanted: 2, Allowed: 2, Held: 1, Reason: placement.Reason{Cause: placement.CauseDemand, Waiting: 7, Filtered: []placement.FilterCount{{Cause: placement.CauseNoMemory, Count: 3}, {Cause: placement.CauseUnsealed, Count: 1}}}},
		{Wanted: 1, Allowed: 0, Reason: placement.Reason{Cause: placement.CauseNotAllotted, Setting: "zones", Source: "/claims"}},
		{Held: 2, Reason: placement.Reason{Cause: placement.CauseRemoved}},
		{Wanted: 2, Held: 2, Loaded: 2, Reason: placement.Reason{Cause: placement.CauseMinimum, Setting: "min_replicas", Source: "/claims/ledger"}},
	}
	var text strings.Builder
	for i := range decisions {
		text.WriteString(DecisionText(&decisions[i]) + "\n")
	}
	goldie.New(t).Assert(t, "decisions", []byte(text.String()))
}

// testTraces returns the traces of three requests: one that succeeded at its second
// attempt, one that was refused and one that is waiting.
func testTraces() []RequestTrace {
	dispatch := func(attempt cluster.Attempt, machine cluster.MachineID, waited time.Duration) AttemptTrace {
		return AttemptTrace{At: testTime, Dispatch: routing.Dispatch{Attempt: attempt, Machine: machine, Version: "1", Reason: routing.Choice{
			Waited: waited, SettingsRevision: 7, Token: 12,
			Candidates: []routing.Candidate{{Machine: machine, Zone: "east", ExpectedWait: 40 * time.Millisecond, PrefixBlocks: 2.5, InFlight: 1},
				{Machine: "m9", Zone: "west", ExpectedWait: 3 * time.Second}},
			Filtered: []routing.FilterCount{{Cause: routing.FilterLoading, Count: 2}, {Cause: routing.FilterLeaving, Count: 1}},
		}}}
	}
	return []RequestTrace{
		{ID: "n1.1", Model: "letters", TokenPath: "/dental", Node: "n1", Arrived: testTime, Ended: testTime,
			Attempts: []AttemptTrace{dispatch(1, "m1", 0), dispatch(2, "m2", 1300*time.Millisecond)},
			Finish:   &routing.Finish{Reason: routing.Explanation{Attempts: 2, Machine: "m2", SettingsRevision: 7}}},
		{ID: "n1.2", Model: "letters", TokenPath: "/dental", Node: "n1", Arrived: testTime, Ended: testTime,
			Finish: &routing.Finish{
				Failure: verdict.New(verdict.NotRun, verdict.CodeConcurrencyLimit, "the limit of concurrent requests is reached"),
				Reason:  routing.Explanation{Setting: "max_concurrency", Source: "/dental", Limit: 20, Value: 21, SettingsRevision: 7}}},
		{ID: "n1.3", Model: "letters", TokenPath: "/dental/clinics", Node: "n1", Arrived: testTime},
	}
}

// TestRequestTextMatchesGoldenFile guards against unintended changes of the texts that
// describe the course of a request.
func TestRequestTextMatchesGoldenFile(t *testing.T) {
	var text strings.Builder
	for _, trace := range testTraces() {
		text.WriteString(RequestText(&trace) + "\n\n")
	}
	goldie.New(t).Assert(t, "requests", []byte(text.String()))
}

// TestWhyRoutesReturnRecordedReasons guards against responses that lack the recorded
// decisions and dispatches, mix up models or zones, or reveal another team's request.
func TestWhyRoutesReturnRecordedReasons(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	h.backend.traces = map[cluster.RequestID]RequestTrace{}
	for _, trace := range testTraces() {
		h.backend.traces[trace.ID] = trace
		h.get("reader", "/why/requests/"+string(trace.ID)).want(http.StatusOK, nil)
	}
	h.get("zebra-editor", "/why/requests/n1.1").wantFailure(http.StatusNotFound)
	var refused RequestReasons
	h.get("reader", "/why/requests/n1.2").want(http.StatusOK, &refused)
	if refused.Outcome.Source != "/dental" || refused.Outcome.Verdict != "not-run" {
		t.Errorf("outcome %+v", refused.Outcome)
	}
	h.backend.replicas = []Replica{{Model: "parents", Machine: "m1", State: "loaded"}, {Model: "letters", Machine: "m1", State: "loading"}}
	h.backend.decisions = map[cluster.ModelID][]ModelDecision{"letters": {
		{Zone: "west", Node: "n2", At: testTime, Decision: placement.Decision{Reason: placement.Reason{Cause: placement.CauseNotAllotted}}},
		{Zone: "east", Node: "n1", At: testTime, Decision: placement.Decision{Wanted: 1, Held: 1, Reason: placement.Reason{Cause: placement.CauseDemand, Waiting: 2}},
			Actions: []placement.Action{{Kind: cluster.OrderLoad, Machine: "m1", Tier: cluster.TierDisk, ExpectedTime: 9 * time.Second}}},
	}}
	var view ModelReasons
	h.get("reader", "/why/models/letters").want(http.StatusOK, &view)
	if len(view.Replicas) != 1 || len(view.Zones) != 2 || view.Zones[0].Zone != "east" || view.Zones[0].Actions[0].Tier != "disk" {
		t.Errorf("reasons %+v", view)
	}
	h.get("reader", "/why/models/parents").want(http.StatusOK, &view)
	if !strings.Contains(view.Text, "no controller has decided") {
		t.Errorf("text without decisions: %s", view.Text)
	}
}
