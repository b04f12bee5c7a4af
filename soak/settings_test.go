package soak

import (
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/plan"
	"github.com/valveslip/valveslip/soak/schedules"
)

// TestSettingsAreTaken by the platform's own check.
func TestSettingsAreTaken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	settings := nodeSettings(2, zonedFrom, "127.0.0.9", "127.0.0.1:1", &plan.Schedule{Fencing: true}, true)
	if err := writeSettings(path, &settings); err != nil {
		t.Fatal(err)
	}
	if read, err := platform.ReadSettings(path); err != nil || read.Zones[read.Zone] == "" {
		t.Fatalf("%+v, %v", read, err)
	}
}

// TestNodesFindEachOthersProxies: only the address in a node's record is changed.
func TestNodesFindEachOthersProxies(t *testing.T) {
	r := &run{shown: map[string]string{"127.0.0.2:7946": "127.0.0.1:99"}}
	record := fleet.NodeEntry{ID: "n", Machine: "m", Address: "127.0.0.2:7946", Capacity: 2}
	shown, err := fleet.DecodeNodeEntry(r.show(fleet.KeyNodes+"n", record.Encode()))
	if err != nil || shown.Address != "127.0.0.1:99" || shown.ID != record.ID || shown.Capacity != record.Capacity {
		t.Errorf("%+v, %v", shown, err)
	}
	for _, key := range []string{platform.KeyConfiguration, platform.PrefixWorkers + "w"} {
		if got := r.show(key, record.Encode()); string(got) != string(record.Encode()) {
			t.Errorf("%s was changed to %s", key, got)
		}
	}
}

// TestEveryKindIsKnown: a fault of each kind does something, on workers at least
// another behaviour.
func TestEveryKindIsKnown(t *testing.T) {
	known := map[plan.Kind]bool{
		plan.LinkDelay: true, plan.LinkReset: true, plan.LinkCutRequests: true, plan.LinkCutAnswers: true, plan.LinkSilence: true,
		plan.LinkThrottle: true, plan.LinkRefuse: true, plan.ProcessStop: true, plan.ProcessKill: true, plan.ProcessPause: true,
		plan.ProcessHangUp: true, plan.StoreForget: true, plan.StoreSilence: true, plan.RouteAdd: true, plan.RouteRemove: true,
		plan.RouteMove: true, plan.WorkerCrash: true, plan.WorkerDrain: true, plan.WorkerLateOrders: true, plan.CallerBurst: true, plan.ProcessUpgrade: true, plan.ProcessRollBack: true,
		plan.WorkerRestart: true, plan.WorkerLimit: true, plan.WorkerLeave: true, plan.WorkerShed: true,
	}
	for _, kind := range plan.Kinds() {
		_, onStore := storeFaults[kind]
		_, onWorker := workerBehaviours[kind]
		if !known[kind] && !onStore && !onWorker {
			t.Errorf("%s does nothing", kind)
		}
	}
}

// TestTooManyNodesAreRefused, and a run that leaves no time for faults.
func TestTooManyNodesAreRefused(t *testing.T) {
	if _, err := Size(MaxNodes+1, MinDuration); err == nil {
		t.Error("too many nodes")
	}
	if _, err := Size(1, MinDuration-1); err == nil {
		t.Error("too short a run")
	}
}

// TestMachineBoundsNodes: each of its limits does, and the error names the one that is met.
func TestMachineBoundsNodes(t *testing.T) {
	const plenty = 1 << 50
	for _, bound := range []struct {
		most          int
		memory, files uint64
		names         string
	}{
		{MaxNodes, plenty, plenty, "processes"},
		{10, 10 * 2 * nodeMemory, plenty, "memory"},
		{100, plenty, 20_000, "open files"},
		{4, plenty, 2_048, "open files"},
		{8, plenty, 4_096, "open files"},
		{0, plenty, 1, "open files"},
	} {
		if err := bearable(bound.most, bound.memory, bound.files); bound.most > 0 && err != nil {
			t.Errorf("%d nodes: %v", bound.most, err)
		}
		err := bearable(bound.most+1, bound.memory, bound.files)
		if err == nil || !strings.Contains(err.Error(), bound.names) || !strings.Contains(err.Error(), strconv.Itoa(bound.most)) {
			t.Errorf("%d nodes: %v, want %q", bound.most+1, err, bound.names)
		}
	}
}

// TestLoadIsBounded: few nodes get their full pace, many share what workers can run.
func TestLoadIsBounded(t *testing.T) {
	if few := pace(4); few != time.Second/callsPerSecond {
		t.Errorf("4 nodes: a call each %s", few)
	}
	for _, nodes := range []int{20, 40, 150, MaxNodes} {
		if calls := float64(nodes) / pace(nodes).Seconds(); math.Abs(calls-callsInAll) > 1 {
			t.Errorf("%d nodes: %.1f calls a second", nodes, calls)
		}
		if under := nodes * maxCalls(nodes); under > callsInAll*int(check.AnswerLimit(maxDeadline).Seconds())+2*nodes {
			t.Errorf("%d nodes: %d calls under way", nodes, under)
		}
	}
}

// TestUsageKeepsTheMost of each figure, measured on this very process.
func TestUsageKeepsTheMost(t *testing.T) {
	meter := &usageMeter{}
	meter.add(measure([]int{os.Getpid()}))
	meter.add(Usage{Files: 1, Stall: time.Second})
	if peak := meter.peak(); peak.Files < 3 || peak.NodeFiles < 3 || peak.OwnMB < 1 || peak.NodesMB < 1 || peak.Stall != time.Second {
		t.Errorf("%+v", peak)
	}
}

// TestKeptSchedulesHaveACause.
func TestKeptSchedulesHaveACause(t *testing.T) {
	kept, err := schedules.All()
	if err != nil || len(kept) == 0 {
		t.Fatalf("%d schedules, %v", len(kept), err)
	}
	for name, schedule := range kept {
		if schedule.Cause == "" {
			t.Errorf("%s names no cause", name)
		}
	}
}

// TestOutcomes of requests.
func TestOutcomes(t *testing.T) {
	for want, request := range map[string]check.Request{
		"200": {Status: 200}, "503": {Status: 503}, "no answer": {Failure: "reset"}, "cut answer": {Status: 200, Failure: "reset"},
	} {
		if got := outcome(&request); got != want {
			t.Errorf("%+v is %q, want %q", request, got, want)
		}
	}
}
