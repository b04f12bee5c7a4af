package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/keyvalue"
)

// startReleaseCore returns a core that has read the store with one machine of v2 and the given record, in an era.
func startReleaseCore(t *testing.T, read ReleasesRead, era keyvalue.Era) (*Core, time.Time) {
	t.Helper()
	core, start := newReleaseCore(t), time.Unix(1000, 0)
	core.Step(start, read)
	core.Step(start, WorkersRead{Workers: []catalog.Worker{releaseWorker("b", "v2")}, Full: true})
	core.Step(start, EraBegan{Era: era})
	core.Step(start, StoreSynced{})
	return core, start
}

// recordWritten returns the record that a core writes within a time, and false if it writes none.
func recordWritten(t *testing.T, core *Core, start time.Time, within time.Duration) (ReleaseRecord, bool) {
	t.Helper()
	for now := start; now.Before(start.Add(within)); now = now.Add(10 * time.Millisecond) {
		for _, effect := range core.Step(now, Tick{}) {
			write, isWrite := effect.(StoreWrite)
			if !isWrite || write.Key != KeyReleases {
				continue
			}
			record, err := DecodeReleases(write.Value)
			if err != nil {
				t.Fatal(err)
			}
			return record, true
		}
	}
	return ReleaseRecord{}, false
}

// TestStartedNodeKnowsNoSingleReleaseWithoutCompleteRecord guards against a node that takes the releases that it sees for
// all that there were: there is no record, nobody vouches for it, it is of an era before the store came back from a
// copy, or it can't be decoded. Such a node writes down what it sees, and does not vouch for it.
func TestStartedNodeKnowsNoSingleReleaseWithoutCompleteRecord(t *testing.T) {
	incomplete := recordOf("v2")
	incomplete.Complete = false
	for name, c := range map[string]struct {
		read ReleasesRead
		era  keyvalue.Era
		// known is set if the record is enough.
		known bool
	}{
		"complete":         {read: ReleasesRead{Record: recordOf("v2"), Revision: 4}, known: true},
		"no record":        {},
		"nobody vouches":   {read: ReleasesRead{Record: incomplete, Revision: 4}},
		"of an era before": {read: ReleasesRead{Record: recordOf("v2"), Revision: 4}, era: 1},
		"undecodable":      {read: ReleasesRead{Revision: 4}},
	} {
		core, start := startReleaseCore(t, c.read, c.era)
		if _, single := core.releases.only("s"); single != c.known || core.releases.mixed("s") == c.known {
			t.Errorf("%s: a single release counts: %v, want %v", name, single, c.known)
		}
		if record, written := recordWritten(t, core, start, 3*time.Second); written && record.Complete && record.Era == c.era {
			t.Errorf("%s: the node vouches for %v", name, record)
		}
		core.Step(start.Add(10*time.Second+releaseMargin), Tick{})
		if only, single := core.releases.only("s"); !single || only != "v2" {
			t.Errorf("%s: %q counts as the single release: %v, once all streams have ended", name, only, single)
		}
		if record, written := recordWritten(t, core, start.Add(20*time.Second), 5*time.Second); !c.known && (!written || !record.Complete || record.Era != c.era) {
			t.Errorf("%s: the record becomes %v, %v, want a complete one", name, record, written)
		}
	}
}

// TestFirstNodesVouchForRecord guards against streams that are refused in the first seconds of a system, although there
// was none before.
func TestFirstNodesVouchForRecord(t *testing.T) {
	core, start := newReleaseCore(t), time.Unix(1000, 0)
	core.config.FirstStart = true
	core.Step(start, WorkersRead{Workers: []catalog.Worker{releaseWorker("b", "v2")}, Full: true})
	core.Step(start, StoreSynced{})
	if _, single := core.releases.only("s"); !single {
		t.Error("no single release counts")
	}
	if record, written := recordWritten(t, core, start, time.Second); !written || !record.Complete || !slices.Equal(record.Services["s"], []string{"v2"}) {
		t.Errorf("the record becomes %v, %v", record, written)
	}
}

// TestNodeWithoutOrderLeaseRecordsAndNeverDrops guards against a new release that serves no streams since the holder of
// the order lease does not record it, and against a node that takes releases out of the record by a view of its own.
func TestNodeWithoutOrderLeaseRecordsAndNeverDrops(t *testing.T) {
	core, start := startReleaseCore(t, ReleasesRead{Record: recordOf("v1"), Revision: 4}, 0)
	core.Step(start, HolderRead{Node: NodeEntry{ID: "holder"}, Token: 1})
	if record, written := recordWritten(t, core, start, holderWriteTime); written {
		t.Errorf("%v is written before the holder had its time", record)
	}
	late := start.Add(time.Minute)
	record, written := recordWritten(t, core, late, 3*time.Second)
	if !written || !slices.Equal(record.Services["s"], []string{"v1", "v2"}) {
		t.Errorf("the record becomes %v, %v", record, written)
	}
}

// TestSuspendedNodeKnowsNoSingleRelease guards against a node that was suspended and takes what it knew for all that
// came meanwhile.
func TestSuspendedNodeKnowsNoSingleRelease(t *testing.T) {
	core, start := startReleaseCore(t, ReleasesRead{Record: recordOf("v2"), Revision: 4}, 0)
	core.Step(start.Add(time.Second), Paused{For: time.Second})
	if !core.releases.viewIsStale() || !core.releases.mayBeMixed("s") {
		t.Error("the view counts as recent after a suspension")
	}
	core.Step(start.Add(2*time.Second), StoreSynced{})
	if core.releases.viewIsStale() {
		t.Error("the view does not count as recent after a read of the store")
	}
}
