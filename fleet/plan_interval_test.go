package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// Guards against planning that takes too much of a small node's processor, or that is too rare on
// a large one. With 10,000 engines and most of a core, a request that waits for an adapter must
// not miss its objective of 800 ms.
func TestPlanIntervalFollowsNodeCapacity(t *testing.T) {
	for _, test := range []struct {
		engines  int
		capacity float64
		most     time.Duration
	}{{12, 0.4, 20 * time.Millisecond}, {9755, 0.8, 400 * time.Millisecond}, {9755, 0, 320 * time.Millisecond}, {19510, 0.8, 800 * time.Millisecond}} {
		core := New(Config{Self: NodeEntry{ID: "n", Capacity: test.capacity}}, 1)
		for i := range test.engines {
			core.controller.ledger.Step(time.Unix(1000, 0), sequence.MachineSeen{Worker: catalog.Worker{ID: cluster.MachineID(fmt.Sprintf("e%05d", i))}})
		}
		if spacing := core.controller.currentPlanInterval(); spacing > test.most {
			t.Errorf("%d engines, %v cores: a plan each %s, want each %s", test.engines, test.capacity, spacing, test.most)
		}
	}
}
