package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// newReleaseFixture returns a router whose machines have the given software releases.
func newReleaseFixture(t *testing.T, releases map[cluster.MachineID]string) *fixture {
	f := &fixture{t: t, now: start, router: New(Config{
		Zone: "z1", Region: "r1", ExpectedRouters: 1,
		ReleaseOf: func(id cluster.MachineID) string { return releases[id] },
	}, 1)}
	f.step(SettingsChanged{Snapshot: testSnapshot(testPolicy())})
	return f
}

func resumable(r *Request) { r.Repeatable, r.Resumable, r.Attempts = true, true, 3 }

// pinnedTo makes a request continue a stream that began at a release.
func pinnedTo(release string) func(*Request) {
	return func(r *Request) {
		resumable(r)
		r.Pinned, r.Release = true, release
	}
}

// TestStartedStreamIsContinuedAtItsRelease guards against a stream that goes on at a machine of another
// release, also when that one alone has room, while a retry before the first event may go anywhere.
func TestStartedStreamIsContinuedAtItsRelease(t *testing.T) {
	f := newReleaseFixture(t, map[cluster.MachineID]string{"m1": "a", "m2": "a", "m3": "b"})
	f.status(true, loaded("m1", 1))
	f.expect(f.arrive("s", resumable), "dispatch s/1 to m1; ")
	f.status(false, loaded("m2", 1), loaded("m3", 1))
	f.expect(f.arrive("other", func(r *Request) { resumable(r); r.Pinned, r.Release = true, "a" }), "dispatch other/1 to m2; ")
	began := f.step(FirstByteSent{Request: "s"})
	if len(began) != 1 || began[0].(StreamBegan).Release != "a" {
		t.Fatalf("effects %v", began)
	}
	f.expect(f.failAttempt("s", 1, verdict.Ran), "")
	f.expect(f.arrive("any"), "dispatch any/1 to m3; ")
	f.expect(f.step(AttemptEnded{Request: "other", Attempt: 1}), "finish other; dispatch s/2 to m2; ")
}

// TestCutStreamWaitsAsLongAsItsCaller guards against a stream that is cut although its caller still waits: the
// patience of the caller bounds each gap of the stream, and the wait before the first event was taken off it.
func TestCutStreamWaitsAsLongAsItsCaller(t *testing.T) {
	for _, test := range []struct {
		relayed bool
		ready   time.Duration
		want    string
	}{
		{true, 2 * time.Second, ""},
		{true, 2400 * time.Millisecond, "finish s deadline_unmeetable ran; "},
		{false, 2 * time.Second, "finish s deadline_unmeetable ran; "},
	} {
		t.Run(fmt.Sprintf("relayed=%t, %s", test.relayed, test.ready), func(t *testing.T) {
			f := newFixture(t, testPolicy())
			f.status(true, loading("m1", 1500*time.Millisecond))
			f.expect(f.arrive("s", resumable, withPatience(2400*time.Millisecond)), "")
			f.advance(1500 * time.Millisecond)
			f.expect(f.status(true, loaded("m1", 1)), "dispatch s/1 to m1; ")
			f.step(FirstByteSent{Request: "s"})
			f.expect(f.status(true, loading("m2", test.ready)), "")
			cut := verdict.New(verdict.Ran, verdict.CodeStreamCut, "cut")
			f.expect(f.step(AttemptEnded{Request: "s", Attempt: 1, Failure: cut, Relayed: test.relayed}), test.want)
			if test.want == "" {
				f.expect(f.advance(test.ready), "")
				f.expect(f.status(true, loaded("m2", 1)), "dispatch s/2 to m2; ")
			}
		})
	}
}

// TestRetryBeforeFirstEventGoesToAnyRelease guards against a retry that is bound although its caller has
// no event yet.
func TestRetryBeforeFirstEventGoesToAnyRelease(t *testing.T) {
	f := newReleaseFixture(t, map[cluster.MachineID]string{"m1": "a", "m2": "b"})
	f.status(true, loaded("m1", 1))
	f.expect(f.arrive("s", resumable), "dispatch s/1 to m1; ")
	f.status(false, loaded("m2", 1))
	f.expect(f.failAttempt("s", 1, verdict.Ran), "dispatch s/2 to m2; ")
}

// TestPinnedStreamKeepsNobodyWaiting guards against a stream at the head of the queue that keeps requests
// behind it from machines of another release, and against one that is forgotten there.
func TestPinnedStreamKeepsNobodyWaiting(t *testing.T) {
	f := newReleaseFixture(t, map[cluster.MachineID]string{"m1": "a", "m2": "b"})
	f.status(true, loaded("m1", 1), loaded("m2", 1))
	f.expect(f.arrive("busy", pinnedTo("a")), "dispatch busy/1 to m1; ")
	f.expect(f.arrive("waits", pinnedTo("a")), "")
	f.expect(f.arrive("first"), "dispatch first/1 to m2; ")
	f.expect(f.arrive("second"), "")
	f.expect(f.step(AttemptEnded{Request: "first", Attempt: 1}), "finish first; dispatch second/1 to m2; ")
	f.expect(f.step(AttemptEnded{Request: "busy", Attempt: 1}), "finish busy; dispatch waits/1 to m1; ")
}

// TestPinnedStreamWithoutMachineIsRefusedAtOnce guards against a stream that waits until its deadline for
// a release that no machine has any more. The refusal of a resumed one says that it did not run.
func TestPinnedStreamWithoutMachineIsRefusedAtOnce(t *testing.T) {
	f := newReleaseFixture(t, map[cluster.MachineID]string{"m1": "a", "m2": "b"})
	f.status(true, loaded("m1", 1), loaded("m2", 1))
	f.expect(f.arrive("gone", pinnedTo("c")), "finish gone unavailable not-run; ")
	f.expect(f.arrive("busy", pinnedTo("a")), "dispatch busy/1 to m1; ")
	f.expect(f.arrive("waits", pinnedTo("a")), "")
	f.expect(f.step(MachineLeaving{Machine: "m1"}), "finish waits unavailable not-run; ")
	f.step(FirstByteSent{Request: "busy"})
	f.expect(f.failAttempt("busy", 1, verdict.Ran), "finish busy stream_cut ran; ")
}

// TestPinnedStreamWaitsForLoadOfItsRelease guards against a refusal while a machine of the release loads
// the model.
func TestPinnedStreamWaitsForLoadOfItsRelease(t *testing.T) {
	f := newReleaseFixture(t, map[cluster.MachineID]string{"m1": "a", "m2": "b"})
	f.status(true, loading("m1", time.Second), loaded("m2", 1))
	f.expect(f.arrive("waits", pinnedTo("a")), "")
	f.advance(time.Second)
	f.expect(f.status(false, loaded("m1", 1)), "dispatch waits/1 to m1; ")
}

// TestStreamBeginsOnlyAtRecordedRelease guards against a resumable stream that begins at a release of which nobody would
// know after all routers have ended, against one that keeps the requests behind it waiting meanwhile, and against
// one that is forgotten once the release is recorded.
func TestStreamBeginsOnlyAtRecordedRelease(t *testing.T) {
	recorded := map[cluster.MachineID]bool{}
	f := &fixture{t: t, now: start, router: New(Config{
		Zone: "z1", Region: "r1", ExpectedRouters: 1, MayBegin: func(id cluster.MachineID) bool { return recorded[id] },
	}, 1)}
	f.step(SettingsChanged{Snapshot: testSnapshot(testPolicy())})
	f.status(true, loaded("m1", 1))
	f.expect(f.arrive("waits", resumable), "")
	f.expect(f.arrive("any"), "dispatch any/1 to m1; ")
	f.expect(f.step(AttemptEnded{Request: "any", Attempt: 1}), "finish any; ")
	f.expect(f.arrive("continues", pinnedTo("")), "dispatch continues/1 to m1; ")
	f.expect(f.step(AttemptEnded{Request: "continues", Attempt: 1}), "finish continues; ")
	recorded["m1"] = true
	f.expect(f.step(ReleasesRecorded{Machines: []cluster.MachineID{"m1", "unknown"}}), "dispatch waits/1 to m1; ")
	f.expect(f.step(AttemptEnded{Request: "waits", Attempt: 1}), "finish waits; ")
	f.expect(f.arrive("later", resumable), "dispatch later/1 to m1; ")
}

// TestHeldAttemptIsNotSentToUnrecordedRelease guards against a stream that begins at a release which the machine got, or
// which ceased to be recorded, while the attempt waited for its place.
func TestHeldAttemptIsNotSentToUnrecordedRelease(t *testing.T) {
	recorded := true
	f := &fixture{t: t, now: start, router: New(Config{
		Zone: "z1", Region: "r1", ExpectedRouters: 1, MayBegin: func(cluster.MachineID) bool { return recorded },
		ListAlternatives: func(cluster.ModelID) bool { return true },
	}, 1)}
	f.step(SettingsChanged{Snapshot: testSnapshot(testPolicy())})
	f.status(true, loaded("m1", 1))
	f.expect(f.arrive("s", resumable), "dispatch s/1 to m1; ")
	recorded = false
	f.expect(f.step(AttemptPlaced{Request: "s", Attempt: 1, Machine: "m1"}), "")
	recorded = true
	f.expect(f.step(ReleasesRecorded{Machines: []cluster.MachineID{"m1"}}), "dispatch s/2 to m1; ")
}
