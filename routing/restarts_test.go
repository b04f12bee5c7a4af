package routing

import (
	"testing"
	"time"
)

// restarts has machine m1 start again as m2, which holds the model.
func (f *fixture) restarts() {
	f.t.Helper()
	f.step(MachineRestarted{Machine: "m2", Before: "m1"})
	f.expect(f.status(true, loaded("m2", 4)), "")
}

// TestRestCountsForLaterStart guards against requests to a worker that asked for rest before its
// restart was known, or in an answer that came just after.
func TestRestCountsForLaterStart(t *testing.T) {
	for name, play := range map[string]func(*fixture){
		"heard before": func(f *fixture) {
			f.rests(3 * time.Second)
			f.restarts()
		},
		"heard after": func(f *fixture) {
			f.arrive("sent before")
			f.restarts()
			f.rests(3 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testPolicy())
			f.status(true, loaded("m1", 4))
			play(f)
			f.expect(f.arrive("a"), "")
			f.expect(f.pass(2999*time.Millisecond), "")
			f.expect(f.pass(time.Millisecond), "dispatch a/1 to m2; ")
		})
	}
}

// TestLimitCountsForLaterStart guards against requests without a turn to a worker that named a
// limit before its restart was known, and against a limit that outlasts the first answer without it.
func TestLimitCountsForLaterStart(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.limited(1)
	f.restarts()
	if asked := wanted(f.arrive("a")); asked != 1 {
		t.Fatalf("%d questions for a turn at the later start", asked)
	}
	f.expect(f.step(MachineHeard{Machine: "m1", SentUnderLimit: true}), "")
	f.expect(f.step(MachineHeard{Machine: "m2", SentUnderLimit: true}), "dispatch a/1 to m2; ")
}

// TestEarlierStartLeavesItsPast guards against a later start that is not used because the one
// before left, or because of what that one said long before.
func TestEarlierStartLeavesItsPast(t *testing.T) {
	for name, notice := range map[string]Notice{
		"leaving": {Leaving: true}, "rest": {Rest: time.Minute}, "limit": {Limited: true, PerSecond: 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testPolicy())
			f.status(true, loaded("m1", 4))
			f.step(MachineHeard{Machine: "m1", Notice: notice})
			f.pass(time.Duration(unknownStart))
			f.restarts()
			f.expect(f.arrive("a"), "dispatch a/1 to m2; ")
		})
	}
}
