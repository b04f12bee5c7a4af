package soak

import (
	"syscall"
	"time"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/plan"
)

const (
	// takeUpPause is the time between two tries to take up a stream.
	takeUpPause = 300 * time.Millisecond
	// longStreamDeadline is the deadline of streams of more events than usual, which leaves time to take them up
	// after a kill of all nodes.
	longStreamDeadline = 5 * time.Second
)

// killAll kills all nodes of the fault and returns how many ran.
func (r *run) killAll(f *plan.Fault) int {
	killed := 0
	kill := check.KillOfAll{From: r.recorder.elapsed()}
	for i, target := range f.Targets {
		if i > 0 {
			time.Sleep(f.Delay / time.Duration(len(f.Targets)))
		}
		if r.nodes[target].end(syscall.SIGKILL, f.For) {
			killed++
		}
	}
	kill.To = r.recorder.elapsed()
	r.recorder.record(func(h *check.History) { h.KillsOfAll = append(h.KillsOfAll, kill) })
	return killed
}

// streamEventCount returns the number of events of a stream.
func (r *run) streamEventCount() int {
	if r.options.Schedule.StreamEvents > 0 {
		return r.options.Schedule.StreamEvents
	}
	return streamEvents
}

// streamDeadline returns the deadline of a stream, given that of other requests.
func (r *run) streamDeadline(usual time.Duration) time.Duration {
	if r.options.Schedule.StreamEvents > 0 {
		return longStreamDeadline
	}
	return usual
}
