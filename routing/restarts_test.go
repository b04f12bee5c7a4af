package routing

import (
	"testing"
	"time"
)

// restart restarts machine m1 as m2, which holds the model.
func (f *fixture) restart() {
	f.t.Helper()
	f.step(MachineRestarted{Machine: "m2", Before: "m1"})
	f.expect(f.status(true, loaded("m2", 4)), "")
}

// TestRestAppliesToRestartedMachine guards against requests to a machine that asked for rest before
// its restart was known, or in an answer that arrived just after.
func TestRestAppliesToRestartedMachine(t *testing.T) {
	for name, report := range map[string]func(*fixture){
		"rest before the restart is known": func(f *fixture) {
			f.reportRest(3 * time.Second)
			f.restart()
		},
		"rest after the restart is known": func(f *fixture) {
			f.arrive("sent before")
			f.restart()
			f.reportRest(3 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testPolicy())
			f.status(true, loaded("m1", 4))
			report(f)
			f.expect(f.arrive("a"), "")
			f.expect(f.advance(2999*time.Millisecond), "")
			f.expect(f.advance(time.Millisecond), "dispatch a/1 to m2; ")
		})
	}
}

// TestLimitAppliesToRestartedMachine guards against requests without a turn to a machine that
// stated a limit before its restart was known, and against a limit that outlasts the first answer
// without it.
func TestLimitAppliesToRestartedMachine(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.reportLimit(1)
	f.restart()
	if asked := countTurnRequests(f.arrive("a")); asked != 1 {
		t.Fatalf("%d turn requests at the restarted machine, want 1", asked)
	}
	f.expect(f.step(MachineNoticeReceived{Machine: "m1", SentUnderLimit: true}), "")
	f.expect(f.step(MachineNoticeReceived{Machine: "m2", SentUnderLimit: true}), "dispatch a/1 to m2; ")
}

// TestOldNoticesDoNotApplyToRestartedMachine guards against a restarted machine that gets no
// requests because its previous start was leaving, or because of older notices.
func TestOldNoticesDoNotApplyToRestartedMachine(t *testing.T) {
	for name, notice := range map[string]Notice{
		"leaving": {Leaving: true}, "rest": {Rest: time.Minute}, "limit": {Limited: true, PerSecond: 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testPolicy())
			f.status(true, loaded("m1", 4))
			f.step(MachineNoticeReceived{Machine: "m1", Notice: notice})
			f.advance(time.Duration(restartGracePeriod))
			f.restart()
			f.expect(f.arrive("a"), "dispatch a/1 to m2; ")
		})
	}
}
