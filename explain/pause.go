package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Pause is the longest time between two events of a stream, with the prompts that the
// stream's machine may have been reading in that time.
type Pause struct {
	// Machine sent the stream. MovedTo is the machine on which the stream was continued
	// during the pause, empty for none.
	Machine string `json:"machine"`
	MovedTo string `json:"moved_to,omitempty"`
	// Began and Ended are the times since the request's acceptance, Took is the duration
	// and Bound the longest pause that is in time, all in milliseconds. Bound is zero when
	// the log states none.
	Began float64 `json:"began_ms"`
	Ended float64 `json:"ended_ms"`
	Took  float64 `json:"took_ms"`
	Bound float64 `json:"bound_ms,omitempty"`
	// Prompts are the prompts that the machine may have read during the pause, the longest
	// first, at most maxPrompts. Sent and Tokens count all of them.
	Prompts []Prompt `json:"prompts,omitempty"`
	Sent    int      `json:"sent"`
	Tokens  int      `json:"prompt_tokens"`
}

// Prompt is a prompt that was sent to a machine.
type Prompt struct {
	Request string `json:"request"`
	Node    string `json:"node"`
	Work    string `json:"work"`
	// Tokens is the length of the prompt, zero when the log doesn't state it.
	Tokens int `json:"tokens"`
	// Sent is the time of the send relative to the start of the pause, in milliseconds.
	Sent float64 `json:"sent_ms"`
}

const (
	// maxPrompts is the maximum number of prompts listed with a pause.
	maxPrompts = 6
	// maxPromptDelay is how long before a pause a prompt may have been sent that was read
	// during it, because prompts wait in the machine's queue. Nearly all prompts begin to
	// be answered within a second.
	maxPromptDelay = time.Second
)

// Late reports whether the pause was longer than its bound.
func (p *Pause) Late() bool { return p != nil && p.Bound > 0 && p.Took > p.Bound }

// longestPause returns the longest pause of a stream, nil when the log doesn't state it.
func (l *Log) longestPause(requestLines []int, ended *Line) *Pause {
	if ended == nil || ended.Get("pause_end_ms") == "" {
		return nil
	}
	accepted := &l.Lines[requestLines[0]]
	pause := &Pause{Took: ended.Milliseconds("pause_ms"), Ended: ended.Milliseconds("pause_end_ms"), Bound: accepted.Milliseconds("longest_pause_ms")}
	pause.Began = pause.Ended - pause.Took
	from, until := accepted.At.Add(milliseconds(pause.Began)), accepted.At.Add(milliseconds(pause.Ended))
	for _, i := range requestLines {
		line := &l.Lines[i]
		switch {
		case line.Kind != kindRequestSent || line.At.After(until):
		case pause.Machine == "" || line.At.Before(from):
			pause.Machine = line.Get("machine")
		case line.Get("machine") != pause.Machine:
			pause.MovedTo = line.Get("machine")
		}
	}
	l.addPromptsRead(pause, ended.Get("request"), from, until)
	return pause
}

// addPromptsRead adds the prompts that the machine may have read during the pause: those
// sent there before its end whose answer had not begun at its start.
func (l *Log) addPromptsRead(pause *Pause, request string, from, until time.Time) {
	sends := l.sendsByMachine[pause.Machine]
	firstIndex, _ := slices.BinarySearchFunc(sends, from.Add(-maxPromptDelay), func(i int, at time.Time) int { return l.Lines[i].At.Compare(at) })
	for _, i := range sends[firstIndex:] {
		sent := &l.Lines[i]
		if sent.At.After(until) {
			break
		}
		id := sent.Get("request")
		if id == request || l.answerHadBegun(id, sent.At, from) {
			continue
		}
		prompt := Prompt{Request: id, Node: sent.Node, Sent: float64(sent.At.Sub(from).Microseconds()) / 1000}
		if accepted := l.acceptedLine(id); accepted != nil {
			prompt.Work, prompt.Tokens = accepted.Get("work"), int(accepted.Milliseconds("prompt_tokens"))
		}
		pause.Sent++
		pause.Tokens += prompt.Tokens
		pause.Prompts = append(pause.Prompts, prompt)
	}
	slices.SortStableFunc(pause.Prompts, func(a, b Prompt) int { return cmp.Compare(b.Tokens, a.Tokens) })
	pause.Prompts = pause.Prompts[:min(len(pause.Prompts), maxPrompts)]
}

// answerHadBegun reports whether the answer to a request, sent at one time, had begun by
// another. If the answer began before the send, the stream was continued by this send, so
// the machine reads its prompt again.
func (l *Log) answerHadBegun(id string, sent, at time.Time) bool {
	accepted := l.acceptedLine(id)
	if accepted == nil {
		return false
	}
	for _, i := range l.byRequest[id] {
		line := &l.Lines[i]
		if first := line.Milliseconds("first_ms"); line.Kind == kindRequestEnded && first > 0 {
			began := accepted.At.Add(milliseconds(first))
			return !began.Before(sent) && !began.After(at)
		}
	}
	return false
}

// acceptedLine returns the line on a request's acceptance, nil when there is none.
func (l *Log) acceptedLine(id string) *Line {
	for _, i := range l.byRequest[id] {
		if l.Lines[i].Kind == kindRequestAccepted {
			return &l.Lines[i]
		}
	}
	return nil
}

// causeText returns one sentence on the cause of the pause.
func (p *Pause) causeText() string {
	text := fmt.Sprintf("its longest pause took %.0f ms where %.0f are in time", p.Took, p.Bound)
	switch {
	case p.MovedTo != "":
		return fmt.Sprintf("%s: the stream went on from machine %s to %s", text, p.Machine, p.MovedTo)
	case p.Sent == 0:
		return fmt.Sprintf("%s: no node sent machine %s anything then", text, p.Machine)
	}
	longest := &p.Prompts[0]
	return fmt.Sprintf("%s: machine %s had prompts of %d tokens to read (%d), the longest by request %s through %s: %d of %s",
		text, p.Machine, p.Tokens, p.Sent, longest.Request, longest.Node, longest.Tokens, longest.Work)
}

// text renders the pause for a person.
func (p *Pause) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "  longest pause %.1f ms, from %.1f to %.1f, machine %s; it had prompts of %d tokens to read (%d)\n", p.Took, p.Began, p.Ended, p.Machine, p.Tokens, p.Sent)
	for i := range p.Prompts {
		prompt := &p.Prompts[i]
		fmt.Fprintf(&text, "    %7d tokens  at %8.1f  request %s through %s, work %s\n", prompt.Tokens, p.Began+prompt.Sent, prompt.Request, prompt.Node, prompt.Work)
	}
	return text.String()
}

// LatePauses groups the served streams whose longest pause exceeded its bound by cause,
// the most frequent first.
func (l *Log) LatePauses() []Group {
	return l.groupByCause(func(s *Story) bool { return s.Served() && s.Pause.Late() })
}

// milliseconds converts milliseconds to a Duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
