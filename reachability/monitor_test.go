package reachability

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// TestOneMachineThatFailsIsNotThePath guards against a detour for every request because one
// machine has crashed.
func TestOneMachineThatFailsIsNotThePath(t *testing.T) {
	m := New()
	for i := range 10 {
		if m.RecordFailure(at(i), "a", NoConnection, "refused", 5) {
			t.Fatal("suspected after failures at one machine")
		}
	}
}

// TestPathIsSuspectedAtSecondMachine guards against charging the loss of a path to one machine
// after the other. Data that arrives on an established connection does not disprove that new ones
// can't be opened.
func TestPathIsSuspectedAtSecondMachine(t *testing.T) {
	m := New()
	m.RecordFailure(at(0), "a", NoConnection, "reset", 5)
	m.RecordData(at(10), at(-1000))
	if !m.RecordFailure(at(20), "b", NoConnection, "reset", 5) || m.State() != Suspected {
		t.Fatalf("state %s", m.State())
	}
	m.RecordData(at(30), at(-1000))
	if m.State() != Suspected || !m.AllowsEstablished(at(400)) || m.AllowsEstablished(at(600)) {
		t.Fatalf("state %s, established allowed %t then %t", m.State(), m.AllowsEstablished(at(400)), m.AllowsEstablished(at(600)))
	}
	if !m.RecordData(at(700), at(650)) || m.State() != Connected {
		t.Fatalf("state %s after data on a new connection", m.State())
	}
}

// TestSilenceIsDisprovedByAnyData guards against a suspicion because sound machines fall silent for
// a second while others answer.
func TestSilenceIsDisprovedByAnyData(t *testing.T) {
	m := New()
	m.RecordFailure(at(0), "a", Silence, "silent", 5)
	m.RecordData(at(1), at(-1000))
	if m.RecordFailure(at(2), "b", Silence, "silent", 5) {
		t.Fatal("suspected although data arrived between the silences")
	}
}

// TestLostPathComesBackByProbe guards against a node that never uses its own path again because it
// no longer sends anything on it.
func TestLostPathComesBackByProbe(t *testing.T) {
	m := New()
	m.RecordFailure(at(0), "a", NoConnection, "timeout", 1)
	if m.State() != Suspected {
		t.Fatal("the only machine failed and the path is not suspected")
	}
	if !m.RecordProbe(at(1), false) || m.State() != Lost || m.RecordProbe(at(1), false) {
		t.Fatalf("state %s after failed probes", m.State())
	}
	if !m.RecordProbe(at(2), true) || m.State() != Connected || m.Doubtful() {
		t.Fatalf("state %s after an answered probe", m.State())
	}
}

// TestAnsweredProbeHoldsOffSuspicion guards against a node that changes its mind with each failure while
// several machines have crashed.
func TestAnsweredProbeHoldsOffSuspicion(t *testing.T) {
	m := New()
	m.RecordFailure(at(0), "a", NoConnection, "refused", 5)
	m.RecordFailure(at(0), "b", NoConnection, "refused", 5)
	m.RecordProbe(at(1), true)
	m.RecordFailure(at(2), "a", NoConnection, "refused", 5)
	if m.RecordFailure(at(3), "b", NoConnection, "refused", 5) {
		t.Fatal("suspected right after an answered probe")
	}
	if !m.RecordFailure(at(300), "c", NoConnection, "timeout", 5) {
		t.Fatal("not suspected later")
	}
}

// TestStateFollowsEvidence checks on random sequences that a suspicion needs failures at two machines
// since data last disproved them, or at one for soleFailureTime, that a loss needs a failed probe, and that an answered probe ends
// both.
func TestStateFollowsEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		failed := map[string]bool{}
		now, probeFailed := 0, false
		// firstFailure is when the first of the failures occurred, lasting whether one occurred
		// soleFailureTime or more after it.
		firstFailure, lasting := 0, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(1, 300).Draw(t, "pause")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				name := strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "machine"))
				if len(failed) == 0 {
					firstFailure, lasting = now, false
				}
				lasting = lasting || at(now).Sub(at(firstFailure)) >= soleFailureTime
				failed[name] = true
				m.RecordFailure(at(now), name, Kind(rapid.IntRange(0, 1).Draw(t, "kind")), "failed", 5)
			case 2:
				m.RecordData(at(now), at(now))
				clear(failed)
				probeFailed = false
			case 3:
				answered := rapid.Bool().Draw(t, "answered")
				suspected := m.State() != Connected
				m.RecordProbe(at(now), answered)
				if answered && suspected {
					clear(failed)
				}
				probeFailed = suspected && !answered || probeFailed && !answered
			}
			if m.State() != Connected && len(failed) < suspicionThreshold && !lasting {
				t.Fatalf("%s after failures at %d machines", m.State(), len(failed))
			}
			if m.State() == Lost && !probeFailed {
				t.Fatal("lost without a failed probe")
			}
		}
	})
}

// TestMachinesFoundAtFaultAreNotSuspectedAgain guards against probes and detours four times a second for as long
// as two machines are down: a probe that others answered has shown whose fault it is.
func TestMachinesFoundAtFaultAreNotSuspectedAgain(t *testing.T) {
	m := New()
	suspicions := 0
	for millis := 0; millis < 3000; millis += 10 {
		for _, machine := range []string{"a", "b"} {
			if m.RecordFailure(at(millis), machine, NoConnection, "refused", 6) {
				suspicions++
				m.RecordProbe(at(millis), true)
			}
		}
	}
	if suspicions > 3 {
		t.Errorf("suspected %d times within 3 s, want 3 at most", suspicions)
	}
}

// TestPathIsSuspectedBesideMachinesFoundAtFault guards against a lost path that is found late because some
// machines had failed before: together with another one they count at once.
func TestPathIsSuspectedBesideMachinesFoundAtFault(t *testing.T) {
	for _, c := range []struct {
		name  string
		known int
		other []string
	}{
		{"two of many others fail", 6, []string{"c", "d"}},
		{"one of many others fails", 6, []string{"c"}},
		{"the only other one fails", 3, []string{"c"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			for _, machine := range []string{"a", "b"} {
				m.RecordFailure(at(0), machine, NoConnection, "refused", c.known)
			}
			m.RecordProbe(at(1), true)
			for _, machine := range append([]string{"a", "b"}, c.other...) {
				m.RecordFailure(at(300), machine, NoConnection, "reset", c.known)
			}
			if m.State() != Suspected {
				t.Errorf("state %s", m.State())
			}
		})
	}
}

// TestPathIsSuspectedByOneMachineInUse guards against a lost path that is never noticed because the node sends to
// one machine only. Data from any machine meanwhile shows that the path works.
func TestPathIsSuspectedByOneMachineInUse(t *testing.T) {
	for _, c := range []struct {
		name        string
		dataAt      int
		suspectedAt int
	}{
		{"nothing is heard", -1, 300},
		{"an open connection delivers data", 200, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			for millis := 0; millis <= c.suspectedAt; millis += 50 {
				if millis == c.dataAt {
					m.RecordData(at(millis), at(-1000))
				}
				suspected := m.RecordFailure(at(millis), "a", NoConnection, "reset", 6)
				if suspected != (millis == c.suspectedAt) {
					t.Fatalf("suspected %t after %d ms, want it after %d ms", suspected, millis, c.suspectedAt)
				}
			}
			if !m.RecordProbe(at(c.suspectedAt+1), true) || m.RecordFailure(at(c.suspectedAt+700), "a", NoConnection, "reset", 6) {
				t.Errorf("state %s although a probe has shown the machine at fault", m.State())
			}
		})
	}
}
