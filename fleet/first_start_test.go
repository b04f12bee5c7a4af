package fleet

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
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

// TestFirstStartInLaterEraWaitsOutEarlierOrders guards against a node that gives orders, and begins loads, at once beside
// those of a holder whose record the store lost.
func TestFirstStartInLaterEraWaitsOutEarlierOrders(t *testing.T) {
	for era, first := range map[keyvalue.Era]bool{0: true, 1: false} {
		now := time.Unix(1000, 0)
		core := New(Config{Self: NodeEntry{ID: "n1"}, Zone: "z", Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"}, FirstStart: true}, 1)
		core.Step(now, EraBegan{Era: era})
		if core.controller.isFirstStart() != first {
			t.Errorf("era %d: a first start: %v, want %v", era, !first, first)
		}
	}
}
