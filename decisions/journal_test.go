package decisions

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

var start = time.Unix(1000, 0)

// recordRequest records a request from its arrival to its end.
func recordRequest(j *Journal, id, model string) {
	j.RecordArrival(start, &routing.Request{ID: cluster.RequestID(id), Model: cluster.ModelID(model), TokenPath: "/dental"})
	j.RecordDispatch(start.Add(time.Second), &routing.Dispatch{Request: cluster.RequestID(id), Attempt: 1, Machine: "m1", Reason: oversizedChoice()})
	j.RecordFinish(start.Add(2*time.Second), &routing.Finish{
		Request: cluster.RequestID(id), Failure: verdict.New(verdict.Ran, verdict.CodeStreamCut, "cut"), Reason: routing.Explanation{Code: verdict.CodeStreamCut},
	})
}

// oversizedChoice returns a choice with more reasons than the journal keeps.
func oversizedChoice() routing.Choice {
	return routing.Choice{Candidates: make([]routing.Candidate, 3*maxCandidates), Filtered: make([]routing.FilterCount, 3*maxFiltered)}
}

// A finished request must be found with its attempt and its outcome, and with no
// more reasons than the limit, so that one entry stays small.
func TestRequestRecordKeepsBoundedReasons(t *testing.T) {
	j := New(Config{})
	recordRequest(j, "a", "recall")
	found, ok := j.Request("a")
	if !ok || found.Model != "recall" || len(found.Dispatches) != 1 || found.Dispatches[0].Machine != "m1" {
		t.Fatalf("Request found %v, returned %+v", ok, found)
	}
	if found.Reason.Code != verdict.CodeStreamCut || found.Ended.Sub(found.Arrived) != 2*time.Second {
		t.Fatalf("outcome of the request: %+v", found)
	}
	if len(found.Dispatches[0].Reason.Candidates) != maxCandidates {
		t.Fatalf("%d candidates kept", len(found.Dispatches[0].Reason.Candidates))
	}
}

// Planning rounds repeat the same decision. Only changes and decisions with
// actions may be recorded, since repeats would overwrite the older history.
// Actions for a model without a decision must be recorded too.
func TestUnchangedDecisionsAreNotRecordedAgain(t *testing.T) {
	j := New(Config{})
	plan := placement.Plan{Decisions: []placement.Decision{{Model: "recall", Wanted: 1, Reason: placement.Reason{Cause: placement.CauseDemand}}}}
	for range 5 {
		j.RecordPlan(start, "z1", &plan)
	}
	plan.Decisions[0].Loaded = 1
	plan.Actions = []placement.Action{{Model: "recall", Machine: "m1"}, {Model: "other", Machine: "m1"}}
	j.RecordPlan(start.Add(time.Second), "z1", &plan)
	decisions := j.DecisionsOf("recall", 10)
	if len(decisions) != 2 || decisions[0].Decision.Loaded != 1 || len(decisions[0].Actions) != 1 {
		t.Fatalf("decisions %+v", decisions)
	}
	if others := j.DecisionsOf("other", 10); len(others) != 1 {
		t.Fatalf("actions of a model without a decision: %+v, want one entry", others)
	}
}

// Compares the journal with a plain list. A ring overwrites its oldest entries,
// and the index must not return overwritten entries or grow beyond the ring.
func TestLookupsReturnNewestEntriesAfterOverwrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		j := New(Config{Requests: capacity})
		models := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 40).Draw(t, "models")
		for i, model := range models {
			recordRequest(j, fmt.Sprint(i), fmt.Sprint(model))
		}
		oldest := max(0, len(models)-capacity)
		wanted := make(map[int][]string)
		for i := len(models) - 1; i >= oldest; i-- {
			wanted[models[i]] = append(wanted[models[i]], fmt.Sprint(i))
		}
		for model := range 4 {
			var found []string
			for _, entry := range j.RequestsOf(cluster.ModelID(fmt.Sprint(model)), 100) {
				found = append(found, string(entry.ID))
			}
			if fmt.Sprint(found) != fmt.Sprint(wanted[model]) {
				t.Fatalf("model %d: %v, want %v", model, found, wanted[model])
			}
		}
		for i := range models {
			if _, ok := j.Request(cluster.RequestID(fmt.Sprint(i))); ok != (i >= oldest) {
				t.Fatalf("request %d: found is %v, want the opposite", i, ok)
			}
		}
		if len(j.byRequest) > capacity || len(j.newestRequest) > capacity {
			t.Fatalf("%d and %d index keys for %d entries", len(j.byRequest), len(j.newestRequest), capacity)
		}
	})
}

// maxJournalBytes is the maximum memory for a journal with default capacity.
const maxJournalBytes = 10 << 20

// Records with long lists of reasons must not keep those lists in memory: after
// three times its capacity, the journal must stay within the bound and still hold
// the newest request.
func TestFullJournalStaysWithinMemoryBound(t *testing.T) {
	j := New(Config{})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	fillJournal(j, 3*DefaultRequests)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > maxJournalBytes {
		t.Fatalf("the full journal occupies %d bytes", grown)
	}
	if _, ok := j.Request(cluster.RequestID(fmt.Sprint(3*DefaultRequests - 1))); !ok {
		t.Fatal("the newest request is not held")
	}
}

// fillJournal records count requests and decisions, spread over 1600 models.
func fillJournal(j *Journal, count int) {
	for i := range count {
		model := fmt.Sprint("model-", i%1600)
		recordRequest(j, fmt.Sprint(i), model)
		j.RecordPlan(start, "z1", &placement.Plan{Decisions: []placement.Decision{{Model: cluster.ModelID(model), Wanted: i, Reason: placement.Reason{
			Candidates: make([]placement.Candidate, 8), Filtered: make([]placement.FilterCount, 8),
		}}}})
	}
}

func BenchmarkRecord(b *testing.B) {
	j := New(Config{})
	fillJournal(j, DefaultRequests)
	var memory runtime.MemStats
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		id := cluster.RequestID(fmt.Sprint(i))
		j.RecordArrival(start, &routing.Request{ID: id, Model: "recall"})
		j.RecordDispatch(start, &routing.Dispatch{Request: id, Attempt: 1})
		j.RecordFinish(start, &routing.Finish{Request: id})
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc), "heap-bytes")
	runtime.KeepAlive(j)
}
