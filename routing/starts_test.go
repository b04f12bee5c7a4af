package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// newStartsFixture returns a router whose machines have the given releases; a start without one is unlisted.
func newStartsFixture(t *testing.T, mixed *bool, releases map[cluster.MachineID]string) *fixture {
	f := &fixture{t: t, now: start, router: New(Config{
		Zone: "z1", Region: "r1", ExpectedRouters: 1,
		ReleaseOf: func(id cluster.MachineID) string {
			if release, listed := releases[id]; listed {
				return release
			}
			return UnlistedRelease(id)
		},
		MixedReleases: func(cluster.ModelID) bool { return *mixed },
	}, 1)}
	f.step(SettingsChanged{Snapshot: testSnapshot(testPolicy())})
	return f
}

// startOf returns the start that the only dispatch among effects requires.
func startOf(t *testing.T, effects []Effect) cluster.MachineID {
	t.Helper()
	for _, effect := range effects {
		if dispatch, ok := effect.(Dispatch); ok {
			return dispatch.Start
		}
	}
	t.Fatalf("no dispatch in %v", effects)
	return ""
}

// TestStartIsRequiredWhereReleaseMatters guards against checks of a machine's start that cost without need, and
// against streams that are sent without one where the entry of a machine may be that of an earlier start.
func TestStartIsRequiredWhereReleaseMatters(t *testing.T) {
	for _, c := range []struct {
		name    string
		mixed   bool
		prepare func(*fixture)
		request func(*Request)
		want    cluster.MachineID
	}{
		{"one release", false, nil, resumable, ""},
		{"several releases", true, nil, resumable, "m1"},
		{"several releases, not resumable", true, nil, func(*Request) {}, ""},
		{"one release, continued", false, nil, pinnedTo("a"), "m1"},
		{"one release, connection broke", false, func(f *fixture) {
			f.arrive("before", resumable)
			f.step(AttemptEnded{Request: "before", Attempt: 1, Failure: verdict.New(verdict.Ran, verdict.CodeInvalidRequest, "cut"), Broken: true})
		}, resumable, "m1"},
		{"one release, connection broke and same start answers", false, func(f *fixture) {
			f.arrive("before", resumable)
			f.step(AttemptEnded{Request: "before", Attempt: 1, Failure: verdict.New(verdict.Ran, verdict.CodeInvalidRequest, "cut"), Broken: true})
			f.step(MachineStartFound{Machine: "m1", Start: "m1"})
		}, resumable, ""},
		{"one release, other start answers", false, func(f *fixture) {
			f.step(MachineStartFound{Machine: "m1", Start: "m1-later"})
		}, resumable, "m1-later"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newStartsFixture(t, &c.mixed, map[cluster.MachineID]string{"m1": "a"})
			f.status(true, loaded("m1", 4))
			if c.prepare != nil {
				c.prepare(f)
			}
			if got := startOf(t, f.arrive("s", c.request)); got != c.want {
				t.Errorf("start %q required, want %q", got, c.want)
			}
		})
	}
}

// TestPinnedStreamWaitsForEntryOfStart guards against a stream that goes on at a start whose release is not known,
// and against one that is refused although the start turns out to have its release.
func TestPinnedStreamWaitsForEntryOfStart(t *testing.T) {
	for release, goesOn := range map[string]bool{"a": true, "b": false} {
		t.Run(release, func(t *testing.T) {
			mixed := true
			releases := map[cluster.MachineID]string{"m1": "a"}
			f := newStartsFixture(t, &mixed, releases)
			f.status(true, loaded("m1", 4))
			f.step(MachineStartFound{Machine: "m1", Start: "m1-later"})
			f.expect(f.arrive("s", pinnedTo("a")), "")
			releases["m1-later"] = release
			sent := false
			for _, effect := range f.status(true, loaded("m1-later", 4)) {
				_, dispatched := effect.(Dispatch)
				sent = sent || dispatched
			}
			if sent != goesOn {
				t.Errorf("sent: %t, want %t", sent, goesOn)
			}
		})
	}
}

// TestMachineThatStatesNoStartIsTriedAgain guards against a stream that is sent without end to a machine that does
// not say which of its starts answers, or never again.
func TestMachineThatStatesNoStartIsTriedAgain(t *testing.T) {
	mixed := true
	f := newStartsFixture(t, &mixed, map[cluster.MachineID]string{"m1": "a"})
	f.status(true, loaded("m1", 4))
	f.expect(f.arrive("s", pinnedTo("a")), "dispatch s/1 to m1; ")
	f.step(MachineStartFound{Machine: "m1"})
	unsent := verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "unknown start")
	f.expect(f.step(AttemptEnded{Request: "s", Attempt: 1, Failure: unsent, Unreached: true, OtherStart: true}), "")
	f.expect(f.arrive("other"), "dispatch other/1 to m1; ")
	f.expect(f.advance(startQueryInterval-time.Millisecond), "")
	f.expect(f.advance(time.Millisecond), "dispatch s/2 to m1; ")
}

// TestChangingStartsGetBackOff guards against a request that is sent again and again without a pause because each
// connection leads to another start.
func TestChangingStartsGetBackOff(t *testing.T) {
	mixed := true
	f := newStartsFixture(t, &mixed, map[cluster.MachineID]string{"m1": "a"})
	f.status(true, loaded("m1", 4))
	f.arrive("s", resumable)
	unsent := verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "other start")
	dispatches := 1
	for attempt := cluster.Attempt(1); attempt <= 10; attempt++ {
		f.step(MachineStartFound{Machine: "m1", Start: cluster.MachineID("m1-" + string(rune('a'+attempt)))})
		for _, effect := range f.step(AttemptEnded{Request: "s", Attempt: attempt, Failure: unsent, Unreached: true, OtherStart: true}) {
			if _, sent := effect.(Dispatch); sent {
				dispatches++
			}
		}
	}
	if dispatches != maxOtherStarts+1 {
		t.Errorf("%d dispatches without a pause, want %d", dispatches, maxOtherStarts+1)
	}
}

// TestUncheckedStreamsOfRestartedMachineGoOnNowhere guards against a stream that was sent to a machine before its
// restart was known and may have begun at either start: it must not count as begun at the earlier release.
func TestUncheckedStreamsOfRestartedMachineGoOnNowhere(t *testing.T) {
	mixed := false
	f := newStartsFixture(t, &mixed, map[cluster.MachineID]string{"m1": "a", "m2": "a"})
	f.status(true, loaded("m1", 1))
	f.arrive("begun", resumable)
	f.step(FirstByteSent{Request: "begun"})
	f.status(false, loaded("m2", 1))
	mixed = true
	effects := f.step(AttemptsDoubted{Machine: "m1"})
	if len(effects) != 1 || effects[0].(StreamBegan).Release == "a" {
		t.Fatalf("effects %v", effects)
	}
	for _, effect := range f.failAttempt("begun", 1, verdict.Ran) {
		if dispatch, sent := effect.(Dispatch); sent {
			t.Errorf("sent on to %s", dispatch.Machine)
		}
	}
}
