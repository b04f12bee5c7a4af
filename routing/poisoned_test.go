package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// TestEndOfLeavingMachineBlocksNoRequest guards against blocking a request whose machine
// ended as planned after it announced that it was leaving.
func TestEndOfLeavingMachineBlocksNoRequest(t *testing.T) {
	content := poison.Fingerprint{7}
	for name, leaves := range map[string]bool{"leaving": true, "ended": false} {
		router := New(Config{}, 1)
		for n := range 4 {
			m := &machine{id: cluster.MachineID(rune('a' + n)), leavingListed: leaves}
			router.now = time.Unix(int64(100+n), 0)
			router.recordEvidence(&request{Request: Request{Content: content}}, m, &AttemptEnded{
				Broken: true, MachineEnded: true, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "broke"),
			})
		}
		if router.blocked(content) == leaves {
			t.Errorf("%s machines: request convicted %v", name, !leaves)
		}
	}
}

// block ends machines under a content until it is blocked.
func (f *fixture) block(content poison.Fingerprint) {
	for n := 0; !f.router.blocked(content); n++ {
		m := &machine{id: cluster.MachineID(fmt.Sprintf("ended-%v-%d", content[0], n))}
		f.router.recordEvidence(&request{Request: Request{Content: content}}, m, &AttemptEnded{
			Broken: true, MachineEnded: true, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "broke"),
		})
	}
}

// TestPoisonProbesRunOneAtATime guards against blocking an innocent request because the
// machine on which it is probed ends under a harmful one probed at the same time.
func TestPoisonProbesRunOneAtATime(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	harmful, innocent := poison.Fingerprint{1}, poison.Fingerprint{2}
	of := func(content poison.Fingerprint) func(*Request) {
		return func(r *Request) { r.Content = content }
	}
	for _, content := range []poison.Fingerprint{harmful, innocent} {
		f.block(content)
		f.step(PoisonProbeGranted{Content: content})
	}
	f.expect(f.arrive("a", of(harmful)), "dispatch a/1 to m1; ")
	if failure := finishOf(t, f.arrive("b", of(innocent))).Failure; failure == nil || failure.Code != verdict.CodePoisonRequest {
		t.Fatalf("the second test during the first finished with %v", failure)
	}
	f.step(AttemptEnded{Request: "a", Attempt: 1})
	f.expect(f.arrive("c", of(innocent)), "dispatch c/1 to m1; ")
}
