package explain

import (
	"fmt"
	"strings"
	"testing"
)

// pauseLog is the log of a stream a through node n1 that paused from 0.3 to 1.1 s, while
// prompts were sent to its machine i-1 through other nodes.
const pauseLog = `
time=2026-01-01T00:00:01.000Z level=INFO msg=request_accepted node=n1 request=a route=r work=s/m left_ms=2000 attempts=2 prompt_tokens=800 longest_pause_ms=500
time=2026-01-01T00:00:01.001Z level=INFO msg=request_sent node=n1 request=a attempt=1 machine=i-1
time=2026-01-01T00:00:01.010Z level=INFO msg=request_accepted node=n2 request=b1 route=r work=s/m attempts=2 prompt_tokens=9000
time=2026-01-01T00:00:01.011Z level=INFO msg=request_sent node=n2 request=b1 attempt=1 machine=i-1
time=2026-01-01T00:00:01.280Z level=INFO msg=request_accepted node=n3 request=c1 route=r work=s/k attempts=2 prompt_tokens=15000
time=2026-01-01T00:00:01.281Z level=INFO msg=request_sent node=n3 request=c1 attempt=1 machine=i-1
time=2026-01-01T00:00:01.400Z level=INFO msg=request_accepted node=n2 request=d1 route=r work=s/m attempts=2 prompt_tokens=700
time=2026-01-01T00:00:01.401Z level=INFO msg=request_sent node=n2 request=d1 attempt=1 machine=i-1
time=2026-01-01T00:00:01.402Z level=INFO msg=request_accepted node=n2 request=e1 route=r work=s/m attempts=2 prompt_tokens=30000
time=2026-01-01T00:00:01.403Z level=INFO msg=request_sent node=n2 request=e1 attempt=1 machine=i-2
time=2026-01-01T00:00:02.150Z level=INFO msg=request_accepted node=n2 request=f1 route=r work=s/m attempts=2 prompt_tokens=20000
time=2026-01-01T00:00:02.151Z level=INFO msg=request_sent node=n2 request=f1 attempt=1 machine=i-1
time=2026-01-01T00:00:02.200Z level=INFO msg=request_ended node=n2 request=b1 status=200 code=served first_ms=240 took_ms=900
time=2026-01-01T00:00:02.300Z level=INFO msg=request_ended node=n3 request=c1 status=200 code=served first_ms=800 took_ms=1020
time=2026-01-01T00:00:02.500Z level=INFO msg=request_ended node=n1 request=a status=200 code=served machine=i-1 attempts=1 took_ms=1500 first_ms=30 pause_ms=800 pause_end_ms=1100
`

// TestLatePauseNamesPromptsReadMeanwhile guards against blaming the wrong prompts for a
// late pause: prompts whose answer had begun, that were sent to another machine or that
// were sent after the pause don't count.
func TestLatePauseNamesPromptsReadMeanwhile(t *testing.T) {
	log, err := Read(strings.NewReader(pauseLog))
	if err != nil {
		t.Fatal(err)
	}
	story, _ := log.Story("a")
	want := "served, but its longest pause took 800 ms where 500 are in time: machine i-1 had prompts of 15700 tokens to read (2), the longest by request c1 through n3: 15000 of s/k"
	if story.Cause != want {
		t.Errorf("cause %q, want %q", story.Cause, want)
	}
	if p := story.Pause; p.Began != 300 || p.Ended != 1100 || len(p.Prompts) != 2 || p.Prompts[1].Request != "d1" || p.Prompts[0].Sent != -19 {
		t.Errorf("pause %+v", p)
	}
	if text := story.Text(); !strings.Contains(text, "15000 tokens  at    281.0  request c1 through n3, work s/k") {
		t.Errorf("the text lacks the prompt:\n%s", text)
	}
	groups := log.LatePauses()
	if len(groups) != 1 || groups[0].Count != 1 || groups[0].Examples[0] != "a" || !groups[0].Known {
		t.Errorf("groups %+v, want the one late stream", groups)
	}
}

// TestPauseWithinBoundIsNoCause guards against a pause named as a cause although it is
// within its bound or no bound is known.
func TestPauseWithinBoundIsNoCause(t *testing.T) {
	for _, change := range [][2]string{{"longest_pause_ms=500", "longest_pause_ms=900"}, {" longest_pause_ms=500", ""}} {
		log, err := Read(strings.NewReader(strings.Replace(pauseLog, change[0], change[1], 1)))
		if err != nil {
			t.Fatal(err)
		}
		if story, _ := log.Story("a"); story.Cause != "served" || story.Pause == nil || len(log.LatePauses()) != 0 {
			t.Errorf("with %q: cause %q, pause %+v", change[1], story.Cause, story.Pause)
		}
	}
}

// TestPauseWithoutEndTimeIsOmitted guards against claims on a pause when the log doesn't
// state when it was.
func TestPauseWithoutEndTimeIsOmitted(t *testing.T) {
	log, err := Read(strings.NewReader(strings.Replace(pauseLog, " pause_end_ms=1100", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if story, _ := log.Story("a"); story.Pause != nil || story.Cause != "served" {
		t.Errorf("cause %q, pause %+v", story.Cause, story.Pause)
	}
}

// TestPauseDuringMoveNamesBothMachines guards against blaming prompts for a pause in which
// the stream moved to another machine.
func TestPauseDuringMoveNamesBothMachines(t *testing.T) {
	log, err := Read(strings.NewReader(pauseLog + "time=2026-01-01T00:00:02.050Z level=INFO msg=request_sent node=n1 request=a attempt=2 machine=i-2\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := "served, but its longest pause took 800 ms where 500 are in time: the stream went on from machine i-1 to i-2"
	if story, _ := log.Story("a"); story.Cause != want {
		t.Errorf("cause %q, want %q", story.Cause, want)
	}
}

// TestPauseWithoutOtherPromptsBlamesMachine guards against a missing cause when no prompt
// was sent to the machine: the cause then lies at the machine.
func TestPauseWithoutOtherPromptsBlamesMachine(t *testing.T) {
	var requestLines []string
	for line := range strings.Lines(pauseLog) {
		if strings.Contains(line, "request=a ") {
			requestLines = append(requestLines, line)
		}
	}
	log, err := Read(strings.NewReader(strings.Join(requestLines, "")))
	if err != nil {
		t.Fatal(err)
	}
	want := "served, but its longest pause took 800 ms where 500 are in time: no node sent machine i-1 anything then"
	if story, _ := log.Story("a"); story.Cause != want {
		t.Errorf("cause %q, want %q", story.Cause, want)
	}
}

// TestPromptOfContinuedStreamCountsAgain guards against leaving out the prompt of a stream
// that was continued on the machine, because its answer had begun earlier on another one.
func TestPromptOfContinuedStreamCountsAgain(t *testing.T) {
	log, err := Read(strings.NewReader(pauseLog + "time=2026-01-01T00:00:01.290Z level=INFO msg=request_sent node=n2 request=b1 attempt=2 machine=i-1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if story, _ := log.Story("a"); story.Pause.Sent != 3 || story.Pause.Tokens != 24700 {
		t.Errorf("pause %+v, want the continued stream's prompt too", story.Pause)
	}
}

// TestNamedPromptsAreLimitedToLongest guards against a story of unbounded length: all
// prompts count, only the longest are listed.
func TestNamedPromptsAreLimitedToLongest(t *testing.T) {
	var lines strings.Builder
	for i := range 20 {
		fmt.Fprintf(&lines, "time=2026-01-01T00:00:01.5%02dZ level=INFO msg=request_accepted node=n4 request=g%d route=r work=s/m attempts=1 prompt_tokens=%d\n", i, i, 100+i)
		fmt.Fprintf(&lines, "time=2026-01-01T00:00:01.5%02dZ level=INFO msg=request_sent node=n4 request=g%d attempt=1 machine=i-1\n", i, i)
	}
	log, err := Read(strings.NewReader(pauseLog + lines.String()))
	if err != nil {
		t.Fatal(err)
	}
	if story, _ := log.Story("a"); story.Pause.Sent != 22 || len(story.Pause.Prompts) != maxPrompts || story.Pause.Prompts[2].Request != "g19" {
		t.Errorf("pause %+v", story.Pause)
	}
}
