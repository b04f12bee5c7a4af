package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kinds of events, and values in them, from which a story is reconstructed.
const (
	kindRequestRefused  = "request_refused"
	kindRequestAccepted = "request_accepted"
	kindRequestHeld     = "request_held"
	kindRequestSent     = "request_sent"
	kindAttemptEnded    = "attempt_ended"
	kindRequestEnded    = "request_ended"
	kindLoadDelayed     = "load_delayed"
	kindOrderPlanned    = "order_planned"
	kindOrderAnswered   = "order_answered"
	kindReplicaChanged  = "replica_changed"
	kindLeaseChanged    = "lease_changed"
	kindNodeStarted     = "node_started"
	kindNodeStopping    = "node_stopping"
	kindNodeStopped     = "node_stopped"
	kindProcessPause    = "pause_noticed"
	kindDependencyLost  = "dependency_lost"
	kindWorkerChanged   = "worker_changed"
	kindWorkerGone      = "worker_gone"
	kindPoisonJudged    = "poison_judged"

	codeServed = "served"
)

// Event is one event of a story.
type Event struct {
	// Offset is the time since the request's acceptance, in milliseconds.
	Offset float64 `json:"offset_ms"`
	Node   string  `json:"node"`
	Text   string  `json:"text"`
}

// Story is the reconstructed course of one request.
type Story struct {
	Request string `json:"request"`
	Node    string `json:"node"`
	Route   string `json:"route"`
	Work    string `json:"work"`
	// Configuration is the version of the configuration that decided on the route.
	Configuration string `json:"config"`
	// Outcome is "served", the class of the failure, or "no end" when the log has no line
	// on the end.
	Outcome string `json:"outcome"`
	Status  string `json:"status"`
	// Took, Waited and First are in milliseconds: the request's duration, its time in the
	// queue and its time to the first byte.
	Took   float64 `json:"took_ms"`
	Waited float64 `json:"waited_ms"`
	First  float64 `json:"first_ms"`
	// Cause is one sentence on why the request ended as it did.
	Cause string `json:"cause"`
	// Pause is the longest pause of the stream, nil when the log doesn't state when it
	// was.
	Pause *Pause `json:"pause,omitempty"`
	// Known is false when the log doesn't tell the cause.
	Known  bool    `json:"cause_known"`
	Events []Event `json:"events"`
	// content is the fingerprint of the request's content, empty when it was not computed.
	content string
}

// Served reports whether the caller got the complete answer.
func (s *Story) Served() bool { return s.Outcome == codeServed }

// Requests returns the IDs of all accepted requests, in order of acceptance.
func (l *Log) Requests() []string {
	var ids []string
	for i := range l.Lines {
		if l.Lines[i].Kind == kindRequestAccepted {
			ids = append(ids, l.Lines[i].Get("request"))
		}
	}
	return ids
}

// Story returns the story of a request, false when no line names the request.
func (l *Log) Story(id string) (Story, bool) {
	requestLines := l.byRequest[id]
	if len(requestLines) == 0 {
		return Story{}, false
	}
	story := Story{Request: id, Outcome: "no end"}
	first, last := l.Lines[requestLines[0]], l.Lines[requestLines[len(requestLines)-1]]
	story.Node = first.Node
	var ended *Line
	for _, i := range requestLines {
		line := &l.Lines[i]
		switch line.Kind {
		case kindRequestAccepted:
			story.Route, story.Work, story.Configuration = line.Get("route"), line.Get("work"), line.Get("config")
			story.content = line.Get("content")
		case kindRequestRefused:
			ended = line
			story.Outcome, story.Status = line.Get("code"), line.Get("status")
		case kindRequestEnded:
			ended = line
			story.Outcome, story.Status = line.Get("code"), line.Get("status")
			story.Took, story.Waited, story.First = line.Milliseconds("took_ms"), line.Milliseconds("waited_ms"), line.Milliseconds("first_ms")
		}
		story.addEvent(first.At, line)
	}
	story.Pause = l.longestPause(requestLines, ended)
	until := last.At
	if ended == nil {
		until = first.At.Add(contextWindow)
	}
	context := append(l.poisonLines(story.content, until), l.contextLines(&story, first.At, until)...)
	for i := range context {
		story.addEvent(first.At, &context[i])
	}
	slices.SortStableFunc(story.Events, func(a, b Event) int { return cmp.Compare(a.Offset, b.Offset) })
	story.Cause, story.Known = causeOf(l, &story, requestLines, ended, context)
	return story, true
}

// contextWindow is how long after its start events count as related to a request without
// an end, or to a send.
const contextWindow = 30 * time.Second

// addEvent adds a line to the story.
func (s *Story) addEvent(begin time.Time, line *Line) {
	var parts []string
	for _, f := range line.fields {
		if f.key != "request" {
			parts = append(parts, f.key+"="+f.value)
		}
	}
	s.Events = append(s.Events, Event{
		Offset: float64(line.At.Sub(begin).Microseconds()) / 1000, Node: line.Node,
		Text: strings.TrimSpace(line.Kind + " " + strings.Join(parts, " ")),
	})
}

// maxPoisonLines is the maximum number of lines in a story on machines that terminated.
const maxPoisonLines = 8

// maxContext is the maximum number of context lines in a story.
const maxContext = 24

// contextLines returns the lines between two times on what the request depends on: its
// model and its node.
func (l *Log) contextLines(story *Story, from, until time.Time) []Line {
	base := story.Work
	if parts := strings.Split(base, "/"); len(parts) > 2 {
		base = parts[0] + "/" + parts[1]
	}
	var lines []Line
	firstIndex, _ := slices.BinarySearchFunc(l.Lines, from, func(line Line, at time.Time) int { return line.At.Compare(at) })
	for i := firstIndex; i < len(l.Lines) && !l.Lines[i].At.After(until) && len(lines) < maxContext; i++ {
		line := &l.Lines[i]
		work := line.Get("work")
		switch line.Kind {
		case kindLoadDelayed, kindOrderPlanned, kindOrderAnswered, kindReplicaChanged:
			if work != "" && (work == story.Work || work == base) {
				lines = append(lines, *line)
			}
		case kindNodeStarted, kindNodeStopping, kindNodeStopped, kindProcessPause, kindDependencyLost, kindLeaseChanged:
			if line.Node == story.Node {
				lines = append(lines, *line)
			}
		}
	}
	return lines
}

// poisonLines returns the last lines, up to a time, on machines that terminated while they
// ran a request with this content. They are older than the request that is refused because
// of them.
func (l *Log) poisonLines(content string, until time.Time) []Line {
	if content == "" {
		return nil
	}
	var lines []Line
	for _, i := range l.poisonJudgements[content] {
		if !l.Lines[i].At.After(until) {
			lines = append(lines, l.Lines[i])
		}
	}
	return lines[max(len(lines)-maxPoisonLines, 0):]
}

// Text renders the story for a person.
func (s *Story) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s on %s: %s\n", s.Request, s.Node, s.Cause)
	fmt.Fprintf(&text, "  route %s, work %s, configuration %s\n", s.Route, s.Work, s.Configuration)
	fmt.Fprintf(&text, "  outcome %s, status %s; %.1f ms in all, %.1f ms waiting, first byte after %.1f ms\n", s.Outcome, s.Status, s.Took, s.Waited, s.First)
	if s.Pause != nil {
		text.WriteString(s.Pause.text())
	}
	text.WriteByte('\n')
	for _, event := range s.Events {
		fmt.Fprintf(&text, "%10.1f  %-14s %s\n", event.Offset, event.Node, event.Text)
	}
	return text.String()
}
