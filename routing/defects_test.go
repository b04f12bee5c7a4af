package routing

import (
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// logged is one step of a recorded log.
type logged struct {
	after   time.Duration
	event   Event
	effects []Effect
}

// TestCheckerFindsPlantedDefects replays logs of a core that breaks one promise
// each, and one that keeps all.
func TestCheckerFindsPlantedDefects(t *testing.T) {
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
	status := logged{event: CellStatusChanged{Status: wire.CellStatus{Zone: "z1", Token: 1, Sequence: 1, Full: true,
		Replicas: []wire.ReplicaRecord{loaded("m1", 4)}}}}
	runs := logged{event: arrives, effects: []Effect{dispatch(1)}}
	success := AttemptEnded{Request: "a", Attempt: 1}
	for _, test := range []struct {
		name string
		log  []logged
		want string
	}{
		{"sound", []logged{status, runs, {event: ended(verdict.NotRun), effects: []Effect{dispatch(2)}},
			{event: AttemptEnded{Request: "a", Attempt: 2}, effects: []Effect{Finish{Request: "a"}}}}, ""},
		{"finished twice", []logged{status, runs, {event: success, effects: []Effect{Finish{Request: "a"}, Finish{Request: "a"}}}}, "finished twice"},
		{"late outcome taken", []logged{status, runs, {event: AttemptEnded{Request: "a", Attempt: 9}, effects: []Effect{Finish{Request: "a"}}}}, "finished while"},
		{"may have run, runs again", []logged{status, runs, {event: ended(verdict.MayHaveRun), effects: []Effect{dispatch(2)}}}, "runs again"},
		{"two attempts at once", []logged{status, runs, {event: Tick{}, effects: []Effect{dispatch(2)}}}, "while attempt"},
		{"said not run", []logged{status, runs, {event: ended(verdict.MayHaveRun), effects: []Effect{finish(verdict.NotRun, verdict.CodeEngineFailed, 1)}}}, "may have"},
		{"started after the first byte", []logged{status, runs, {event: FirstByteSent{Request: "a"}}, {event: ended(verdict.NotRun), effects: []Effect{dispatch(2)}}}, "after its first byte"},
		{"leaving machine", []logged{status, {event: MachineLeaving{Machine: "m1"}}, runs}, "which leaves"},
		{"machine with a limit", []logged{status, {event: MachineHeard{Machine: "m1", Notice: Notice{Limited: true, PerSecond: 1}}}, runs}, "without a turn"},
		{"machine that wants rest", []logged{status, {event: MachineHeard{Machine: "m1", Notice: Notice{Rest: time.Second}}}, runs}, "wants rest"},
		{"unlisted machine", []logged{runs}, "no newest status lists"},
		{"held past its deadline", []logged{{event: arrives}, {after: 5 * time.Second, event: Tick{}}}, "held at its deadline"},
		{"held past its queue time", []logged{{event: RequestArrived{Request: Request{ID: "a", Model: "chat"}}}, {after: 11 * time.Second, event: Tick{}}}, "waits for"},
		{"held while draining", []logged{{event: arrives}, {event: DrainStarted{}}}, "while draining"},
		{"no time to come back", []logged{{event: arrives, effects: []Effect{finish(verdict.NotRun, verdict.CodeQueueFull, 0)}}}, "time to come back"},
		{"lost", []logged{{event: arrives}, {after: time.Second, event: CallerGone{Request: "a"}}, {after: time.Hour, event: Tick{}}}, "held"},
		{"cancelled and forgotten", []logged{status, runs, {event: CallerGone{Request: "a"}, effects: []Effect{CancelAttempt{Request: "a", Attempt: 1, Machine: "m1"}}}}, "not finished"},
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
				t.Fatalf("sound log refused: %v", found)
			case test.want != "" && (found == nil || !strings.Contains(found.Error(), test.want)):
				t.Fatalf("got %v, want %q", found, test.want)
			}
		})
	}
}
