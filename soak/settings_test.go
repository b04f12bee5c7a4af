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

// TestNodeSettingsPassThePlatformCheck guards against settings that the program rejects at its
// start.
func TestNodeSettingsPassThePlatformCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	settings := nodeSettings(2, twoZonesFrom, "127.0.0.9", "127.0.0.1:1", &plan.Schedule{Fencing: true}, true)
	if err := writeSettings(path, &settings); err != nil {
		t.Fatal(err)
	}
	if read, err := platform.ReadSettings(path); err != nil || read.Zones[read.Zone] == "" {
		t.Fatalf("settings read back as %+v, error %v", read, err)
	}
}

// TestOnlyNodeEntriesGetProxyAddresses guards against nodes that bypass the proxies: the
// address in a node's store entry is replaced, and nothing else in it or in other entries.
func TestOnlyNodeEntriesGetProxyAddresses(t *testing.T) {
	r := &run{peerProxies: map[string]string{"127.0.0.2:7946": "127.0.0.1:99"}}
	record := fleet.NodeEntry{ID: "n", Machine: "m", Address: "127.0.0.2:7946", Capacity: 2}
	shown, err := fleet.DecodeNodeEntry(r.rewriteNodeEntry(fleet.KeyNodes+"n", record.Encode()))
	if err != nil || shown.Address != "127.0.0.1:99" || shown.ID != record.ID || shown.Capacity != record.Capacity {
		t.Errorf("node entry is %+v, error %v", shown, err)
	}
	for _, key := range []string{platform.KeyConfiguration, platform.PrefixWorkers + "w"} {
		if got := r.rewriteNodeEntry(key, record.Encode()); string(got) != string(record.Encode()) {
			t.Errorf("%s was changed to %s", key, got)
		}
	}
}

// TestEveryFaultKindHasAnEffect guards against kinds that are drawn but not handled. Such a
// kind would fall through to a worker fault that changes nothing.
func TestEveryFaultKindHasAnEffect(t *testing.T) {
	known := map[plan.Kind]bool{
		plan.LinkDelay: true, plan.LinkReset: true, plan.LinkCutRequests: true, plan.LinkCutAnswers: true, plan.LinkSilence: true,
		plan.LinkThrottle: true, plan.LinkRefuse: true, plan.ProcessStop: true, plan.ProcessKill: true, plan.ProcessPause: true,
		plan.ProcessHangUp: true, plan.StoreForget: true, plan.StoreSilence: true, plan.StoreRestore: true, plan.ProcessKillAll: true, plan.StoreRefuseReleases: true, plan.StoreLoseReleases: true, plan.RouteAdd: true, plan.RouteRemove: true,
		plan.RouteMove: true, plan.WorkerCrash: true, plan.WorkerDrain: true, plan.WorkerLateOrders: true, plan.CallerBurst: true, plan.CallerSkew: true, plan.ProcessUpgrade: true, plan.ProcessRollBack: true,
		plan.WorkerRestart: true, plan.WorkerLateEntry: true, plan.WorkerLimit: true, plan.WorkerLeave: true, plan.WorkerShed: true, plan.WorkerBrittle: true, plan.WorkerSilence: true,
	}
	for _, kind := range plan.Kinds() {
		_, onStore := storeFaults[kind]
		_, onWorker := workerBehaviours[kind]
		_, onPath := partitionKinds[kind]
		if !known[kind] && !onStore && !onWorker && !onPath {
			t.Errorf("fault kind %s has no effect", kind)
		}
	}
}

// TestSizeRejectsTooManyNodesAndTooShortRuns guards against runs that the machine can't hold
// or that leave no time for faults.
func TestSizeRejectsTooManyNodesAndTooShortRuns(t *testing.T) {
	if _, err := Size(MaxNodes+1, MinDuration); err == nil {
		t.Error("Size accepted too many nodes")
	}
	if _, err := Size(1, MinDuration-1); err == nil {
		t.Error("Size accepted a run that is too short")
	}
}

// TestNodeCountErrorNamesTheExceededLimit checks each limit of the machine at its boundary:
// the greatest permitted count passes, and the next one fails with an error that names the
// limit.
func TestNodeCountErrorNamesTheExceededLimit(t *testing.T) {
	const plenty = 1 << 50
	for _, bound := range []struct {
		most          int
		memory, files uint64
		names         string
	}{
		{MaxNodes, plenty, plenty, "processes"},
		{10, 10 * 2 * nodeMemoryBytes, plenty, "memory"},
		{100, plenty, 20_000, "open files"},
		{4, plenty, 2_048, "open files"},
		{8, plenty, 4_096, "open files"},
		{0, plenty, 1, "open files"},
	} {
		if err := checkNodeCount(bound.most, bound.memory, bound.files); bound.most > 0 && err != nil {
			t.Errorf("%d nodes: %v", bound.most, err)
		}
		err := checkNodeCount(bound.most+1, bound.memory, bound.files)
		if err == nil || !strings.Contains(err.Error(), bound.names) || !strings.Contains(err.Error(), strconv.Itoa(bound.most)) {
			t.Errorf("%d nodes: %v, want %q", bound.most+1, err, bound.names)
		}
	}
}

// TestCallRateIsSharedByManyNodes guards against a load that overwhelms the workers: few nodes
// get the full rate, many share what the workers can run.
func TestCallRateIsSharedByManyNodes(t *testing.T) {
	if few := callIntervalFor(4); few != time.Second/callsPerSecond {
		t.Errorf("4 nodes: a call each %s", few)
	}
	for _, nodes := range []int{20, 40, 150, MaxNodes} {
		if calls := float64(nodes) / callIntervalFor(nodes).Seconds(); math.Abs(calls-maxTotalCallsPerSecond) > 1 {
			t.Errorf("%d nodes: %.1f calls a second", nodes, calls)
		}
		if under := nodes * maxOpenCalls(nodes); under > maxTotalCallsPerSecond*int(check.AnswerLimit(maxDeadline).Seconds())+2*nodes {
			t.Errorf("%d nodes: %d calls under way", nodes, under)
		}
	}
}

// TestUsageKeepsTheMaximumOfEachFigure checks that each figure keeps its own maximum, measured
// on the test process.
func TestUsageKeepsTheMaximumOfEachFigure(t *testing.T) {
	meter := &usageMeter{}
	meter.add(measureUsage([]int{os.Getpid()}))
	meter.add(Usage{Files: 1, Stall: time.Second})
	if peak := meter.peak(); peak.Files < 3 || peak.NodeFiles < 3 || peak.OwnMB < 1 || peak.NodesMB < 1 || peak.Stall != time.Second {
		t.Errorf("%+v", peak)
	}
}

// TestEmbeddedSchedulesHaveACause guards against regression schedules without an explanation.
func TestEmbeddedSchedulesHaveACause(t *testing.T) {
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

// TestOutcomeNamesStatusOrFailure checks the outcome names in the report.
func TestOutcomeNamesStatusOrFailure(t *testing.T) {
	for want, request := range map[string]check.Request{
		"200": {Status: 200}, "503": {Status: 503}, "no answer": {Failure: "reset"}, "cut answer": {Status: 200, Failure: "reset"},
	} {
		if got := outcome(&request); got != want {
			t.Errorf("%+v is %q, want %q", request, got, want)
		}
	}
}

// TestBurstCallsFitIntoLimitOfOpenFiles guards against bursts at paused nodes that end the run for lack of
// files, and against a limit that lets no burst build up.
func TestBurstCallsFitIntoLimitOfOpenFiles(t *testing.T) {
	for _, run := range []struct {
		nodes int
		files uint64
	}{{4, 20_000}, {12, 20_000}, {40, 20_000}, {40, 1 << 40}} {
		calls := maxOpenBurstCalls(run.nodes, run.files)
		if filesNeeded(run.nodes)+uint64(filesPerCall*calls) > run.files || calls < maxBurstCalls {
			t.Errorf("%d nodes, %d files: %d calls", run.nodes, run.files, calls)
		}
	}
	if calls := maxOpenBurstCalls(maxNodesForFiles(20_000), 20_000); calls < maxBurstCalls {
		t.Errorf("as many nodes as the files allow: %d calls, fewer than one burst has", calls)
	}
}

// TestBurstCallsOfAllNodesShareLimit guards against calls that are sent beyond the common limit, and against
// places that are not given back.
func TestBurstCallsOfAllNodesShareLimit(t *testing.T) {
	shared, at := make(chan struct{}, 1), &process{run: &run{}}
	first := &callGenerator{process: at, openCalls: make(chan struct{}, 2), shared: shared}
	second := &callGenerator{process: at, openCalls: make(chan struct{}, 2), shared: shared}
	if !first.reserve() || second.reserve() || len(second.openCalls) != 0 {
		t.Fatal("a call beyond the common limit has a place")
	}
	first.release()
	if !second.reserve() {
		t.Error("a place that was given back is not used again")
	}
	second.release()
	at.filesScarce.Store(true)
	if first.reserve() || len(first.openCalls) != 0 {
		t.Error("a burst sends calls though files are scarce")
	}
}
