package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// newReleaseCore returns a core that knows a configuration with a resumable route of 10 s.
func newReleaseCore(t *testing.T) *Core {
	t.Helper()
	compiled, err := catalog.Configuration{
		Version:  1,
		Services: []catalog.Service{{Name: "s"}},
		Routes: []catalog.Route{{
			Name: "r", Host: "h", PathPrefix: "/r/", Kind: catalog.KindStream, Resumable: true, Timeout: 10 * time.Second,
			Targets: []catalog.Target{{Service: "s", Weight: 1}}, Attempts: 2,
		}},
	}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	core := New(Config{Self: NodeEntry{ID: "n1"}, Zone: "z", Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"}}, 1)
	core.Step(time.Unix(1000, 0), ConfigurationRead{Compiled: compiled})
	return core
}

// recordOf returns a complete record of the releases of the service.
func recordOf(releases ...string) ReleaseRecord {
	return ReleaseRecord{Services: map[string][]string{"s": releases}, Complete: true}
}

func releaseWorker(id cluster.MachineID, release string) catalog.Worker {
	return catalog.Worker{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 4, Release: release}
}

// TestReleaseCountsAsLongAsItsStreamsMayBeResumed guards against a node that takes a service for one of a single
// release while streams of another one, whose machines are gone, may still be resumed.
func TestReleaseCountsAsLongAsItsStreamsMayBeResumed(t *testing.T) {
	core, start := newReleaseCore(t), time.Unix(1000, 0)
	core.Step(start, WorkersRead{Workers: []catalog.Worker{releaseWorker("a", "v1"), releaseWorker("b", "v2")}})
	core.Step(start, StoreSynced{})
	core.Step(start, WorkersRead{Gone: []cluster.MachineID{"a"}})
	core.Step(start.Add(10*time.Second), Tick{})
	if !core.releases.mixed("s") {
		t.Error("the release of the machine that went does not count")
	}
	core.Step(start.Add(10*time.Second+releaseMargin), Tick{})
	if only, single := core.releases.only("s"); !single || only != "v2" {
		t.Errorf("releases %v after its streams have ended", core.releases.releases("s"))
	}
}

// TestStartedNodeLearnsReleasesFromTheStore guards against a node that starts after the last machine of a release
// went, and would continue its streams at another one.
func TestStartedNodeLearnsReleasesFromTheStore(t *testing.T) {
	core, start := newReleaseCore(t), time.Unix(1000, 0)
	core.Step(start, ReleasesRead{Record: recordOf("v1", "v2"), Revision: 4})
	core.Step(start, WorkersRead{Workers: []catalog.Worker{releaseWorker("b", "v2")}, Full: true})
	core.Step(start, StoreSynced{})
	if !core.releases.mixed("s") {
		t.Errorf("releases %v", core.releases.releases("s"))
	}
	recorder := &core.releases.recorder
	if wanted := recorder.wanted(recorder.streamsEnded()); !slices.Equal(wanted.Services["s"], []string{"v1", "v2"}) {
		t.Errorf("the record would be %v at once", wanted)
	}
	core.Step(start.Add(10*time.Second+releaseMargin), Tick{})
	if wanted := recorder.wanted(recorder.streamsEnded()); !slices.Equal(wanted.Services["s"], []string{"v2"}) {
		t.Errorf("the record would still be %v", wanted)
	}
	core.Step(start.Add(20*time.Second), ReleasesRead{Record: recordOf("v2"), Revision: 5})
	if _, single := core.releases.only("s"); !single {
		t.Errorf("releases %v with a record of one", core.releases.releases("s"))
	}
}

// TestMachineWithoutStatedReleaseIsAloneBesideOthers guards against two machines that state no release, perhaps of
// different ones, between which a stream goes on, and against an entry that ceases to state it.
func TestMachineWithoutStatedReleaseIsAloneBesideOthers(t *testing.T) {
	core, start := newReleaseCore(t), time.Unix(1000, 0)
	core.Step(start, WorkersRead{Workers: []catalog.Worker{releaseWorker("a", ""), releaseWorker("b", "")}})
	if core.view.releaseOf("a") != core.view.releaseOf("b") {
		t.Error("machines of a service that states no releases differ")
	}
	core.Step(start, WorkersRead{Workers: []catalog.Worker{releaseWorker("c", "v1")}})
	if core.view.releaseOf("a") == core.view.releaseOf("b") {
		t.Error("machines without a stated release count as one beside others")
	}
	core.Step(start, WorkersRead{Workers: []catalog.Worker{releaseWorker("c", "")}})
	if core.view.releaseOf("c") != "v1" {
		t.Errorf("the release of c became %q", core.view.releaseOf("c"))
	}
}

// TestReleasesRecordSurvivesEncoding guards against a record that other nodes can't read.
func TestReleasesRecordSurvivesEncoding(t *testing.T) {
	record := recordOf("v1", "v2")
	decoded, err := DecodeReleases(encodeReleases(&record))
	if err != nil || !decoded.equal(&record) {
		t.Errorf("decoded %v, %v", decoded, err)
	}
	if _, err := DecodeReleases([]byte("damaged")); err == nil {
		t.Error("a damaged record is decoded")
	}
}

// TestReleaseThatStoreLostStillCounts guards against streams that go on at another release because the store came
// back without the record that names theirs, whose machines are gone.
func TestReleaseThatStoreLostStillCounts(t *testing.T) {
	core, start := newReleaseCore(t), time.Unix(1000, 0)
	core.Step(start, ReleasesRead{Record: recordOf("v1", "v2"), Revision: 4})
	core.Step(start, WorkersRead{Workers: []catalog.Worker{releaseWorker("b", "v2")}, Full: true})
	core.Step(start, StoreSynced{})
	core.Step(start, ReleasesRead{Restored: true})
	core.Step(start.Add(10*time.Second), EraBegan{Era: 1})
	if !core.releases.mixed("s") {
		t.Errorf("releases %v after the return", core.releases.releases("s"))
	}
	core.Step(start.Add(10*time.Second+releaseMargin), Tick{})
	if core.releases.mixed("s") {
		t.Errorf("releases %v after its streams have ended", core.releases.releases("s"))
	}
}
