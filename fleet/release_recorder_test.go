package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/origins"
	"github.com/valveslip/valveslip/verdict"
)

// newRecordingCore returns a core that holds the order lease of a system of one service, whose record it has read.
func newRecordingCore(t *testing.T, start time.Time, releases ...string) *Core {
	t.Helper()
	core := newReleaseCore(t)
	core.Step(start, ReleasesRead{Record: recordOf(releases...), Revision: 4})
	var workers []catalog.Worker
	for _, release := range releases {
		workers = append(workers, releaseWorker(cluster.MachineID("of-"+release), release))
	}
	core.Step(start, WorkersRead{Workers: workers, Full: true})
	core.Step(start, StoreSynced{})
	core.controller.holder = core.config.Self
	core.controller.feedLedger(sequence.TermBegan{Holder: core.config.Self.ID, Token: 1})
	return core
}

// recordAmong returns the record that is written among effects.
func recordAmong(t *testing.T, effects []Effect) (ReleaseRecord, bool) {
	t.Helper()
	for _, effect := range effects {
		if write, is := effect.(StoreWrite); is && write.Key == KeyReleases {
			record, err := DecodeReleases(write.Value)
			if err != nil {
				t.Fatal(err)
			}
			return record, true
		}
	}
	return ReleaseRecord{}, false
}

// TestSecondReleaseIsRecordedAtOnce guards against streams that wait for seconds at a release that came just after
// another one was recorded.
func TestSecondReleaseIsRecordedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newRecordingCore(t, now, "v1")
	now = now.Add(time.Second)
	record, written := recordAmong(t, core.Step(now, WorkersRead{Workers: []catalog.Worker{releaseWorker("b", "v2")}}))
	if !written {
		t.Fatal("the first release is not written")
	}
	now = now.Add(20 * time.Millisecond)
	core.Step(now, ReleasesRead{Record: record, Revision: 5})
	now = now.Add(100 * time.Millisecond)
	if _, written := recordAmong(t, core.Step(now, WorkersRead{Workers: []catalog.Worker{releaseWorker("c", "v3")}})); !written {
		t.Errorf("the second release is written in %v", core.NextDue().Sub(now))
	}
}

// TestHolderKeepsReleaseThatItDidNotSee guards against a holder that takes out a release, whose streams may be resumed,
// since it was cut off from the store while the release came, was recorded by another node, and left.
func TestHolderKeepsReleaseThatItDidNotSee(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newRecordingCore(t, now, "v1")
	now = now.Add(time.Minute)
	core.Step(now, Tick{})
	core.Step(now, ReleasesRead{Record: recordOf("v1", "v2"), Revision: 5})
	for range 3 {
		now = now.Add(time.Second)
		if record, written := recordAmong(t, core.Step(now, Tick{})); written && !record.lists("s", "v2") {
			t.Fatalf("the record becomes %v", record.Services)
		}
	}
	now = now.Add(core.releases.retention())
	if record, written := recordAmong(t, core.Step(now, Tick{})); !written || record.lists("s", "v2") {
		t.Errorf("the record becomes %v, written=%v", record.Services, written)
	}
}

// TestHolderThatGivesNoOrdersDoesNotSpin guards against a node that is due at once, again and again, since it has origins
// to store whose time has not come: it stops or has not begun its term.
func TestHolderThatGivesNoOrdersDoesNotSpin(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newRecordingCore(t, now, "v1", "v2")
	beginStream(core, now, "first")
	core.controller.feedLedger(sequence.TermEnded{})
	beginStream(core, now, "second")
	if core.resumptions.origins.Unarchived() == 0 {
		t.Fatal("nothing waits to be stored")
	}
	if due := core.NextDue(); !due.After(now) {
		t.Errorf("due %v ago", now.Sub(due))
	}
}

// TestOriginsOfRefusedWriteAreStoredLater guards against origins that are never stored since the store refused one write,
// or held a record in that place which this node had not read.
func TestOriginsOfRefusedWriteAreStoredLater(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")
	for name, answer := range map[string]StoreWritten{"refused": {Err: refused}, "conflict": {Conflict: true}} {
		t.Run(name, func(t *testing.T) { testOriginsAreStoredAfter(t, answer) })
	}
}

// testOriginsAreStoredAfter checks that an origin is written again after an answer to its first write.
func testOriginsAreStoredAfter(t *testing.T, answer StoreWritten) {
	t.Helper()
	now := time.Unix(1000, 0)
	core := newRecordingCore(t, now, "v1", "v2")
	core.Step(now, Tick{})
	core.resumptions.step(origins.Began{Request: "first", Service: "s", Release: "v1", Deadline: now.Add(10 * time.Second)})
	var key string
	for _, effect := range core.Step(now, Tick{}) {
		if write, is := effect.(StoreWrite); is && write.Key != KeyReleases {
			key = write.Key
		}
	}
	if key == "" {
		t.Fatal("the origin is not written")
	}
	answer.Key = key
	core.Step(now, answer)
	now = now.Add(2 * archiveInterval)
	for _, effect := range core.Step(now, Tick{}) {
		if write, is := effect.(StoreWrite); is && write.Key != KeyReleases {
			return
		}
	}
	t.Error("the origin is not written again")
}

// TestUnrecordedReleaseIsKnownUntilItIsRecorded guards against a router that is not told that streams may not begin at
// some machines, and keeps other requests waiting behind them.
func TestUnrecordedReleaseIsKnownUntilItIsRecorded(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newRecordingCore(t, now, "v1")
	core.Step(now, Tick{})
	if len(core.releases.recorder.unrecorded) > 0 {
		t.Error("a recorded release counts as unrecorded")
	}
	core.Step(now, WorkersRead{Workers: []catalog.Worker{releaseWorker("b", "v2")}})
	if len(core.releases.recorder.unrecorded) == 0 {
		t.Error("an unrecorded release counts as recorded")
	}
	core.Step(now, ReleasesRead{Record: recordOf("v1", "v2"), Revision: 5})
	if len(core.releases.recorder.unrecorded) > 0 {
		t.Error("a release that was recorded meanwhile counts as unrecorded")
	}
}

// TestNodesWithoutOrderLeaseSpaceWritesOfRecord guards against hundreds of nodes that write again and again to a store that
// takes no writes.
func TestNodesWithoutOrderLeaseSpaceWritesOfRecord(t *testing.T) {
	core, start := startReleaseCore(t, ReleasesRead{Record: recordOf("v1"), Revision: 4}, 0)
	writes := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		if _, written := recordAmong(t, core.Step(now, Tick{})); written {
			writes++
		}
	}
	if writes < 3 || writes > 6 {
		t.Errorf("%d writes in a minute, want 3 to 6", writes)
	}
}

// TestReleaseOutlivesShorterTimeout guards against a release that ceases to count because the routes' timeouts became
// shorter, while streams of it that began before may still be resumed.
func TestReleaseOutlivesShorterTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newRecordingCore(t, now, "v1", "v2")
	core.Step(now, WorkersRead{Gone: []cluster.MachineID{"of-v1"}})
	shorter := *core.compiled
	shorter.Version++
	shorter.Routes = slices.Clone(shorter.Routes)
	shorter.Routes[0].Timeout = time.Second
	core.Step(now, ConfigurationRead{Compiled: &shorter})
	core.Step(now.Add(9*time.Second), Tick{})
	if !core.releases.several("s") {
		t.Error("the release does not count while its streams may be resumed")
	}
	core.Step(now.Add(10*time.Second+releaseMargin), Tick{})
	core.Step(now.Add(10*time.Second+releaseMargin), ReleasesRead{Record: recordOf("v2"), Revision: 5})
	if core.releases.several("s") {
		t.Error("the release still counts after its streams have ended")
	}
}
