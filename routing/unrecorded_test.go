package routing

import (
	"testing"

	"github.com/valveslip/valveslip/cluster"
)

// newRecordFixture returns a router whose machines have the given releases, and at which resumable streams may begin
// only at those of the recorded ones.
func newRecordFixture(t *testing.T, releases map[cluster.MachineID]string, recorded map[string]bool) *fixture {
	f := &fixture{t: t, now: start, router: New(Config{
		Zone: "z1", Region: "r1", ExpectedRouters: 1,
		ReleaseOf: func(id cluster.MachineID) string { return releases[id] },
		MayBegin:  func(id cluster.MachineID) bool { return recorded[releases[id]] },
	}, 1)}
	f.step(SettingsChanged{Snapshot: testSnapshot(testPolicy())})
	return f
}

// TestStreamOfUnrecordedReleaseKeepsNobodyWaiting guards against a resumable stream at the head of the queue that keeps
// requests behind it, which may begin anywhere, from machines whose release is not recorded yet; and against one that
// is forgotten once it is.
func TestStreamOfUnrecordedReleaseKeepsNobodyWaiting(t *testing.T) {
	recorded := map[string]bool{}
	f := newRecordFixture(t, map[cluster.MachineID]string{"m1": "b", "m2": "b"}, recorded)
	f.status(true, loaded("m1", 1), loaded("m2", 1))
	f.expect(f.arrive("stream", resumable), "")
	f.expect(f.arrive("first"), "dispatch first/1 to m1; ")
	f.expect(f.arrive("second"), "dispatch second/1 to m2; ")
	f.expect(f.arrive("third"), "")
	f.expect(f.step(AttemptEnded{Request: "first", Attempt: 1}), "finish first; dispatch third/1 to m1; ")
	recorded["b"] = true
	f.expect(f.step(ReleasesRecorded{Machines: []cluster.MachineID{"m1", "m2"}}), "")
	f.expect(f.step(AttemptEnded{Request: "third", Attempt: 1}), "finish third; dispatch stream/1 to m1; ")
}

// TestStreamOfUnrecordedReleaseIsRefusedWhereNothingWaits guards against a refusal that names no release for a stream that
// has none yet.
func TestStreamOfUnrecordedReleaseIsRefusedWhereNothingWaits(t *testing.T) {
	f := newRecordFixture(t, map[cluster.MachineID]string{"m1": "b"}, map[string]bool{})
	policy := testPolicy()
	policy.QueueTime, policy.QueueLength = 0, 0
	f.step(SettingsChanged{Snapshot: testSnapshot(policy)})
	f.status(true, loaded("m1", 1))
	f.expect(f.arrive("stream", resumable), "finish stream queue_timeout not-run; ")
}
