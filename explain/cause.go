package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// cause says in one sentence why a request ended as it did, from its own lines
// and what happened meanwhile. It returns false when the lines don't tell.
func cause(l *Log, story *Story, own []int, ended *Line, context []Line) (string, bool) {
	if ended == nil {
		return unended(l, story, own)
	}
	if ended.Kind == kindRefused {
		return "refused before it was accepted: " + ended.Get("cause"), true
	}
	switch code := ended.Get("code"); code {
	case codeServed:
		return servedCause(story), true
	case "caller_gone":
		return "the caller left: " + slowness(l, story, own, context), true
	case "deadline_exceeded", "deadline_unmeetable", "queue_timeout":
		return "its time was over: " + slowness(l, story, own, context), true
	case "node_draining":
		return "the node was stopping and refused new requests as not run", true
	case "overloaded":
		return "refused by a node with more to do than it carries: " + ended.Get("cause"), true
	case "unavailable":
		return "the node knew no configuration yet", true
	case "poison_request":
		return "refused: " + ended.Get("cause"), true
	case "token_rate_limit":
		return "refused by a limit: " + ended.Get("cause"), true
	case "queue_full":
		return "too many requests waited for " + story.Work, true
	}
	if ended.Get("setting") == "retry budget" {
		return "the attempt failed and the retry budget was used up: " + lastFailure(l, own), true
	}
	if failure := lastFailure(l, own); failure != "" {
		return failure, true
	}
	return ended.Get("cause"), ended.Get("cause") != ""
}

// servedCause says where the time of a served request went.
func servedCause(story *Story) string {
	if story.Waited > story.First/2 && story.Waited > 1 {
		return fmt.Sprintf("served; %.0f of %.0f ms to the first byte were spent waiting for %s", story.Waited, story.First, story.Work)
	}
	if story.Pause.Late() {
		return "served, but " + story.Pause.cause()
	}
	return "served"
}

// unended explains a request whose end the log doesn't have.
func unended(l *Log, story *Story, own []int) (string, bool) {
	last := &l.Lines[own[len(own)-1]]
	for i := own[len(own)-1] + 1; i < len(l.Lines); i++ {
		line := &l.Lines[i]
		if line.Node != story.Node {
			continue
		}
		switch line.Kind {
		case kindStarted:
			return fmt.Sprintf("its node ended without a word and started again %.1f s later", line.At.Sub(last.At).Seconds()), true
		case kindStopped:
			return "its node stopped at the end of the grace time while the request was under way", true
		}
	}
	if silent := silence(l, story.Node); silent >= goneForGood {
		return fmt.Sprintf("its node ended without a word and did not start again: its log ends %.1f s before the others'", silent.Seconds()), true
	}
	return "the log ends before the request does", false
}

// goneForGood is for how long the others' logs go on at least when a node's has ended
// with it: nodes are never so long without a line while there are requests.
const goneForGood = 5 * time.Second

// silence is how long before the end of all logs a node's log ends.
func silence(l *Log, node string) time.Duration {
	end := l.Lines[len(l.Lines)-1].At
	for i := range slices.Backward(l.Lines) {
		if l.Lines[i].Node == node {
			return end.Sub(l.Lines[i].At)
		}
	}
	return 0
}

// lastFailure describes the last failed attempt.
func lastFailure(l *Log, own []int) string {
	for _, i := range slices.Backward(own) {
		line := &l.Lines[i]
		if line.Kind == kindAttemptEnded {
			return fmt.Sprintf("machine %s: %s", line.Get("machine"), line.Get("cause"))
		}
	}
	return ""
}

// slowness says what a request spent its time on.
func slowness(l *Log, story *Story, own []int, context []Line) string {
	var sent *Line
	for _, i := range own {
		if l.Lines[i].Kind == kindSent {
			sent = &l.Lines[i]
		}
	}
	if sent == nil {
		return notSent(story, context)
	}
	text := fmt.Sprintf("machine %s had it for %.0f ms", sent.Get("machine"), story.Took-float64(sent.At.Sub(l.Lines[own[0]].At).Milliseconds()))
	if gone := l.machineTrouble(sent); gone != "" {
		text += "; " + gone
	}
	if waited := sent.Milliseconds("waited_ms"); waited > story.Took/4 {
		text += fmt.Sprintf(", after %.0f ms of waiting for %s", waited, story.Work)
	}
	return text
}

// machineTrouble says what became of the machine after a request was sent there.
func (l *Log) machineTrouble(sent *Line) string {
	machine := sent.Get("machine")
	begin, _ := slices.BinarySearchFunc(l.Lines, sent.At, func(line Line, at time.Time) int { return line.At.Compare(at) })
	for i := begin; i < len(l.Lines) && l.Lines[i].At.Sub(sent.At) < unendedWindow; i++ {
		line := &l.Lines[i]
		if line.Get("machine") != machine {
			continue
		}
		if line.Kind == kindWorkerGone {
			return fmt.Sprintf("%.1f s later %s", line.At.Sub(sent.At).Seconds(), line.Get("cause"))
		}
	}
	return ""
}

// notSent explains why a request was never sent, by the last that was decided on
// what it waits for.
func notSent(story *Story, context []Line) string {
	why := ""
	for i := range context {
		line := &context[i]
		switch line.Kind {
		case kindDelayed:
			why = "the plan gave no order: " + line.Get("cause")
		case kindPlanned:
			why = line.Get("order") + " was ordered on " + line.Get("machine")
		case kindReplica:
			why = fmt.Sprintf("it was %s on %s", line.Get("state"), line.Get("machine"))
		case kindAnswered:
			if outcome := line.Get("outcome"); outcome != "taken" && outcome != "holds" {
				why = fmt.Sprintf("machine %s answered an order with: %s", line.Get("machine"), outcome)
			}
		}
	}
	if why == "" {
		why = "no node decided anything about it"
	}
	return fmt.Sprintf("it waited %.0f ms for %s; last, %s", max(story.Took, story.Waited), story.Work, why)
}

// Group is a number of requests that ended for one cause.
type Group struct {
	Cause    string   `json:"cause"`
	Known    bool     `json:"cause_known"`
	Count    int      `json:"count"`
	Examples []string `json:"examples"`
}

// maxExamples bounds the identifiers named with a cause.
const maxExamples = 4

// Unserved groups all requests that were not served by cause, most first.
func (l *Log) Unserved() []Group { return l.group(func(s *Story) bool { return !s.Served() }) }

// group groups the requests of some stories by cause, most first.
func (l *Log) group(takes func(*Story) bool) []Group {
	var groups []Group
	for _, id := range l.Requests() {
		story, known := l.Tell(id)
		if !known || !takes(&story) {
			continue
		}
		name := classOf(story.Cause)
		at := slices.IndexFunc(groups, func(g Group) bool { return g.Cause == name })
		if at < 0 {
			groups = append(groups, Group{Cause: name, Known: story.Known})
			at = len(groups) - 1
		}
		groups[at].Count++
		if len(groups[at].Examples) < maxExamples {
			groups[at].Examples = append(groups[at].Examples, id)
		}
	}
	slices.SortStableFunc(groups, func(a, b Group) int { return cmp.Compare(b.Count, a.Count) })
	return groups
}

// classOf takes names, numbers and addresses out of a cause, so that like ones
// count together.
func classOf(cause string) string {
	words := strings.Fields(cause)
	kept := words[:0]
	for _, word := range words {
		if strings.ContainsAny(word, "0123456789") {
			word = "*"
		}
		if len(kept) > 0 && word == "*" && kept[len(kept)-1] == "*" {
			continue
		}
		kept = append(kept, word)
	}
	return strings.Join(kept, " ")
}
