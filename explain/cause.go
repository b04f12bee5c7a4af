package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// causeOf returns one sentence on why a request ended as it did, from its own lines and
// the context lines. It returns false when the logs don't tell.
func causeOf(l *Log, story *Story, requestLines []int, ended *Line, context []Line) (string, bool) {
	if ended == nil {
		return causeWithoutEnd(l, story, requestLines)
	}
	if ended.Kind == kindRequestRefused {
		return "refused before it was accepted: " + ended.Get("cause"), true
	}
	switch code := ended.Get("code"); code {
	case codeServed:
		return servedCause(story), true
	case "caller_gone":
		return "the caller left: " + timeSpent(l, story, requestLines, context), true
	case "deadline_exceeded", "deadline_unmeetable", "queue_timeout":
		return "its time was over: " + timeSpent(l, story, requestLines, context), true
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
		return "the attempt failed and the retry budget was used up: " + lastFailure(l, requestLines), true
	}
	if failure := lastFailure(l, requestLines); failure != "" {
		return failure, true
	}
	return ended.Get("cause"), ended.Get("cause") != ""
}

// servedCause states where the time of a served request was spent.
func servedCause(story *Story) string {
	if story.Waited > story.First/2 && story.Waited > 1 {
		return fmt.Sprintf("served; %.0f of %.0f ms to the first byte were spent waiting for %s", story.Waited, story.First, story.Work)
	}
	if story.Pause.Late() {
		return "served, but " + story.Pause.causeText()
	}
	return "served"
}

// causeWithoutEnd explains a request without a line on its end.
func causeWithoutEnd(l *Log, story *Story, requestLines []int) (string, bool) {
	last := &l.Lines[requestLines[len(requestLines)-1]]
	for i := requestLines[len(requestLines)-1] + 1; i < len(l.Lines); i++ {
		line := &l.Lines[i]
		if line.Node != story.Node {
			continue
		}
		switch line.Kind {
		case kindNodeStarted:
			return fmt.Sprintf("its node ended without a word and started again %.1f s later", line.At.Sub(last.At).Seconds()), true
		case kindNodeStopped:
			return "its node stopped at the end of the grace time while the request was under way", true
		}
	}
	if silent := silenceBeforeEnd(l, story.Node); silent >= permanentSilence {
		return fmt.Sprintf("its node ended without a word and did not start again: its log ends %.1f s before the others'", silent.Seconds()), true
	}
	return "the log ends before the request does", false
}

// permanentSilence is how long the other logs must continue after the last line of a
// node's log for the node to count as terminated. While there are requests, a running node
// is never without a line for so long.
const permanentSilence = 5 * time.Second

// silenceBeforeEnd returns how long before the end of all logs a node's log ends.
func silenceBeforeEnd(l *Log, node string) time.Duration {
	end := l.Lines[len(l.Lines)-1].At
	for i := range slices.Backward(l.Lines) {
		if l.Lines[i].Node == node {
			return end.Sub(l.Lines[i].At)
		}
	}
	return 0
}

// lastFailure describes the last failed attempt, empty for none.
func lastFailure(l *Log, requestLines []int) string {
	for _, i := range slices.Backward(requestLines) {
		line := &l.Lines[i]
		if line.Kind == kindAttemptEnded {
			return fmt.Sprintf("machine %s: %s", line.Get("machine"), line.Get("cause"))
		}
	}
	return ""
}

// timeSpent describes where a request spent its time.
func timeSpent(l *Log, story *Story, requestLines []int, context []Line) string {
	var sent *Line
	for _, i := range requestLines {
		if l.Lines[i].Kind == kindRequestSent {
			sent = &l.Lines[i]
		}
	}
	if sent == nil {
		if behind := heldBehind(l, requestLines); behind != "" {
			return "it waited while " + behind + " ran, since requests under which machines ended run one at a time"
		}
		return causeOfWaiting(story, context)
	}
	text := fmt.Sprintf("machine %s had it for %.0f ms", sent.Get("machine"), story.Took-float64(sent.At.Sub(l.Lines[requestLines[0]].At).Milliseconds()))
	if gone := l.machineFailureAfter(sent); gone != "" {
		text += "; " + gone
	}
	if waited := sent.Milliseconds("waited_ms"); waited > story.Took/4 {
		text += fmt.Sprintf(", after %.0f ms of waiting for %s", waited, story.Work)
	}
	return text
}

// heldBehind returns the request behind which a request was held back, empty for none.
func heldBehind(l *Log, requestLines []int) string {
	for _, i := range requestLines {
		if line := &l.Lines[i]; line.Kind == kindRequestHeld {
			return line.Get("behind")
		}
	}
	return ""
}

// machineFailureAfter describes the loss of a machine after a request was sent there,
// empty for none.
func (l *Log) machineFailureAfter(sent *Line) string {
	machine := sent.Get("machine")
	firstIndex, _ := slices.BinarySearchFunc(l.Lines, sent.At, func(line Line, at time.Time) int { return line.At.Compare(at) })
	for i := firstIndex; i < len(l.Lines) && l.Lines[i].At.Sub(sent.At) < contextWindow; i++ {
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

// causeOfWaiting explains why a request was never sent, by the last decision on the model
// that it waits for.
func causeOfWaiting(story *Story, context []Line) string {
	reason := ""
	for i := range context {
		line := &context[i]
		switch line.Kind {
		case kindLoadDelayed:
			reason = "the plan gave no order: " + line.Get("cause")
		case kindOrderPlanned:
			reason = line.Get("order") + " was ordered on " + line.Get("machine")
		case kindReplicaChanged:
			reason = fmt.Sprintf("it was %s on %s", line.Get("state"), line.Get("machine"))
		case kindOrderAnswered:
			if outcome := line.Get("outcome"); outcome != "taken" && outcome != "holds" {
				reason = fmt.Sprintf("machine %s answered an order with: %s", line.Get("machine"), outcome)
			}
		}
	}
	if reason == "" {
		reason = "no node decided anything about it"
	}
	return fmt.Sprintf("it waited %.0f ms for %s; last, %s", max(story.Took, story.Waited), story.Work, reason)
}

// Group is a set of requests that ended for the same cause.
type Group struct {
	Cause    string   `json:"cause"`
	Known    bool     `json:"cause_known"`
	Count    int      `json:"count"`
	Examples []string `json:"examples"`
}

// maxExamples is the maximum number of request IDs named with a cause.
const maxExamples = 4

// Unserved groups the requests that were not served by cause, the most frequent first.
func (l *Log) Unserved() []Group { return l.groupByCause(func(s *Story) bool { return !s.Served() }) }

// groupByCause groups the requests whose stories are included by cause, the most frequent
// first.
func (l *Log) groupByCause(include func(*Story) bool) []Group {
	var groups []Group
	for _, id := range l.Requests() {
		story, found := l.Story(id)
		if !found || !include(&story) {
			continue
		}
		name := causeClass(story.Cause)
		index := slices.IndexFunc(groups, func(g Group) bool { return g.Cause == name })
		if index < 0 {
			groups = append(groups, Group{Cause: name, Known: story.Known})
			index = len(groups) - 1
		}
		groups[index].Count++
		if len(groups[index].Examples) < maxExamples {
			groups[index].Examples = append(groups[index].Examples, id)
		}
	}
	slices.SortStableFunc(groups, func(a, b Group) int { return cmp.Compare(b.Count, a.Count) })
	return groups
}

// causeClass removes words with digits, such as IDs, numbers and addresses, from a cause,
// so that similar causes are counted together.
func causeClass(cause string) string {
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
