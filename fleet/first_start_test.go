package fleet

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// TestFirstStartInLaterEraKnowsNoReleases guards against a node of the first start that reads the store after it came back
// from a copy without any record, and takes that for a system without streams.
func TestFirstStartInLaterEraKnowsNoReleases(t *testing.T) {
	now := time.Unix(1000, 0)
	core := New(Config{Self: NodeEntry{ID: "n1"}, Zone: "z", Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"}, FirstStart: true}, 1)
	core.Step(now, ReleasesRead{})
	core.Step(now, WorkersRead{Workers: []catalog.Worker{releaseWorker("b", "v2")}, Full: true})
	core.Step(now, EraBegan{Era: 1})
	core.Step(now, StoreSynced{})
	if release, single := core.releases.only("s"); single {
		t.Errorf("all streams are taken to be of %s", release)
	}
}
