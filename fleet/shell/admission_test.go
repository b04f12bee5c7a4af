package shell

import (
	"testing"
	"time"
)

// TestAdmissionOfStopFollowsTheClock guards against requests that are admitted late in a planned stop and cut at its end,
// because the goroutine that stops the node runs late.
func TestAdmissionOfStopFollowsTheClock(t *testing.T) {
	began := time.Unix(1000, 0)
	now := began
	drainEnd := began.Add(7 * time.Second)
	n := &Node{options: Options{Now: func() time.Time { return now }}, startTime: began, epoch: began}
	if !n.admits(drainEnd.Add(time.Hour)) {
		t.Error("a request was refused before the stop")
	}
	n.limitAdmission(began, drainEnd)
	for _, c := range []struct {
		at       time.Duration
		deadline time.Time
		want     bool
	}{
		{fullAdmissionTime - time.Millisecond, drainEnd.Add(time.Hour), true},
		{fullAdmissionTime, drainEnd.Add(time.Millisecond), false},
		{fullAdmissionTime, drainEnd, true},
	} {
		now = began.Add(c.at)
		if got := n.admits(c.deadline); got != c.want {
			t.Errorf("%s after the beginning, deadline %s after the drain: admitted %t, want %t", c.at, c.deadline.Sub(drainEnd), got, c.want)
		}
	}
}

// TestStoppingNodeSendsForOthersWhatEndsInTime guards against requests of other nodes that are cut at the end of a stop
// although a node was left that does not stop.
func TestStoppingNodeSendsForOthersWhatEndsInTime(t *testing.T) {
	began := time.Unix(1000, 0)
	now := began
	drainEnd := began.Add(7 * time.Second)
	n := &Node{options: Options{Now: func() time.Time { return now }}, startTime: began, epoch: began}
	if !n.admitsPeerRequest(time.Hour) {
		t.Error("a request was refused before the stop")
	}
	n.limitAdmission(began, drainEnd)
	for _, at := range []time.Duration{0, fullAdmissionTime - time.Millisecond, fullAdmissionTime, 6 * time.Second} {
		now = began.Add(at)
		left := drainEnd.Sub(now)
		if !n.admitsPeerRequest(left) || n.admitsPeerRequest(left+time.Millisecond) {
			t.Errorf("%s after the beginning: sent what ends with the drain %t, after it %t", at, n.admitsPeerRequest(left), n.admitsPeerRequest(left+time.Millisecond))
		}
	}
}
