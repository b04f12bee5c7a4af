package routing

import (
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// logStep is one step of a recorded log.
type logStep struct {
	after   time.Duration
	event   Event
	effects []Effect
}

// TestCheckerDetectsInjectedDefects guards against a checker that misses violations: it replays
// logs with one violation each, and one without any.
func TestCheckerDetectsInjectedDefects(t *testing.T) {
	arrives := RequestArrived{Request: Request{ID: "a", Model: "chat", Deadline: start.Add(5 * time.Second)}}
	dispatch := func(attempt cluster.Attempt) Dispatch {
		return Dispatch{Request: "a", Attempt: attempt, Machine: "m1", Model: "chat"}
	}
	ended := func(v verdict.Verdict) AttemptEnded {
		return AttemptEnded{Request: "a", Attempt: 1, Failure: verdict.New(v, verdict.CodeEngineFailed, "failed")}
	}
	finish := func(v verdict.Verdict, code verdict.Code, after time.Duration) Finish {
		return Finish{Request: "a", Failure: verdict.New(v, code, "").After(after)}
	}
	status := logStep{event: CellStatusChanged{Status: wire.CellStatus{Zone: "z1", Token: 1, Sequence: 1, Full: true,
		Replicas: []wire.ReplicaRecord{loaded("m1", 4)}}}}
	runs := logStep{event: arrives, effects: []Effect{dispatch(1)}}
	success := AttemptEnded{Request: "a", Attempt: 1}
	for _, test := range []struct {
		name string
		log  []logStep
		want string
	}{
		{"valid", []logStep{status, runs, {event: ended(verdict.NotRun), effects: []Effect{dispatch(2)}},
			{event: AttemptEnded{Request: "a", Attempt: 2}, effects: []Effect{Finish{Request: "a"}}}}, ""},
		{"finished twice", []logStep{status, runs, {event: success, effects: []Effect{Finish{Request: "a"}, Finish{Request: "a"}}}}, "finished twice"},
		{"late outcome accepted", []logStep{status, runs, {event: AttemptEnded{Request: "a", Attempt: 9}, effects: []Effect{Finish{Request: "a"}}}}, "finished while"},
		{"may have run, dispatched again", []logStep{status, runs, {event: ended(verdict.MayHaveRun), effects: []Effect{dispatch(2)}}}, "is dispatched again"},
		{"two attempts at once", []logStep{status, runs, {event: Tick{}, effects: []Effect{dispatch(2)}}}, "while attempt"},
		{"reported as not run", []logStep{status, runs, {event: ended(verdict.MayHaveRun), effects: []Effect{finish(verdict.NotRun, verdict.CodeEngineFailed, 1)}}}, "but may have run"},
		{"dispatched after the first byte", []logStep{status, runs, {event: FirstByteSent{Request: "a"}}, {event: ended(verdict.NotRun), effects: []Effect{dispatch(2)}}}, "after its first byte"},
		{"leaving machine", []logStep{status, {event: MachineLeaving{Machine: "m1"}}, runs}, "which is leaving"},
		{"machine with a limit", []logStep{status, {event: MachineNoticeReceived{Machine: "m1", Notice: Notice{Limited: true, PerSecond: 1}}}, runs}, "without a turn"},
		{"machine in its rest period", []logStep{status, {event: MachineNoticeReceived{Machine: "m1", Notice: Notice{Rest: time.Second}}}, runs}, "in its rest period"},
		{"unlisted machine", []logStep{runs}, "the newest status does not list"},
		{"open past its deadline", []logStep{{event: arrives}, {after: 5 * time.Second, event: Tick{}}}, "still open at its deadline"},
		{"waiting past its queue time", []logStep{{event: RequestArrived{Request: Request{ID: "a", Model: "chat"}}}, {after: 11 * time.Second, event: Tick{}}}, "waits for"},
		{"waiting while draining", []logStep{{event: arrives}, {event: DrainStarted{}}}, "while draining"},
		{"no retry time", []logStep{{event: arrives, effects: []Effect{finish(verdict.NotRun, verdict.CodeQueueFull, 0)}}}, "without a retry time"},
		{"never finished", []logStep{{event: arrives}, {after: time.Second, event: CallerGone{Request: "a"}}, {after: time.Hour, event: Tick{}}}, "still open"},
		{"cancelled and not finished", []logStep{status, runs, {event: CallerGone{Request: "a"}, effects: []Effect{CancelAttempt{Request: "a", Attempt: 1, Machine: "m1"}}}}, "not finished"},
	} {
		t.Run(test.name, func(t *testing.T) {
			checker := newChecker(Config{}, start)
			checker.snapshot = testSnapshot(testPolicy())
			now := start
			var found error
			for _, step := range test.log {
				now = now.Add(step.after)
				if found = checker.observe(now, step.event, step.effects); found != nil {
					break
				}
			}
			switch {
			case test.want == "" && found != nil:
				t.Fatalf("valid log rejected: %v", found)
			case test.want != "" && (found == nil || !strings.Contains(found.Error(), test.want)):
				t.Fatalf("got %v, want %q", found, test.want)
			}
		})
	}
}
