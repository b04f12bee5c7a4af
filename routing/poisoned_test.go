package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// TestMachinesThatLeaveConvictNobody: the end of a machine that said that it leaves is
// planned, whatever ran there.
func TestMachinesThatLeaveConvictNobody(t *testing.T) {
	content := poison.Fingerprint{7}
	for name, leaves := range map[string]bool{"leaving": true, "ended": false} {
		router := New(Config{}, 1)
		for n := range 4 {
			m := &machine{id: cluster.MachineID(rune('a' + n)), listed: leaves}
			router.now = time.Unix(int64(100+n), 0)
			router.noteEvidence(&request{Request: Request{Content: content}}, m, &AttemptEnded{
				Broken: true, MachineEnded: true, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "broke"),
			})
		}
		if router.convicted(content) == leaves {
			t.Errorf("%s machines: convicted %v", name, !leaves)
		}
	}
}
