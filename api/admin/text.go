package admin

import (
	"fmt"
	"strings"
	"time"

	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
)

// clockLayout is the layout of times of day in texts for operators, in UTC.
const clockLayout = "15:04"

// DecisionText describes a placement decision in one sentence, such as "not loaded:
// idle 14m, keep-alive 10m from /dental/after-hours; next wake expected 17:40".
func DecisionText(decision *placement.Decision) string {
	text := replicaCountText(decision) + ": " + ReasonText(&decision.Reason)
	if !decision.NextWake.IsZero() && decision.Wanted == 0 {
		text += "; next wake expected " + decision.NextWake.UTC().Format(clockLayout)
	}
	return text
}

// replicaCountText describes how many replicas are loaded, held, wanted and allowed.
func replicaCountText(decision *placement.Decision) string {
	switch {
	case decision.Held == 0 && decision.Wanted == 0:
		return "not loaded"
	case decision.Held == 0:
		return fmt.Sprintf("not loaded, %s wanted, %d allowed", countedNoun(decision.Wanted, "replica"), decision.Allowed)
	case decision.Wanted == 0:
		return fmt.Sprintf("unloading %s", countedNoun(decision.Held, "replica"))
	case decision.Loaded == decision.Wanted && decision.Held == decision.Loaded:
		return countedNoun(decision.Loaded, "replica") + " loaded"
	default:
		return fmt.Sprintf("%d of %s loaded, %d held, %d allowed", decision.Loaded, countedNoun(decision.Wanted, "replica"), decision.Held, decision.Allowed)
	}
}

// countedNoun returns a count with its noun, in the plural unless the count is 1.
func countedNoun(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

// ReasonText describes the reason of a placement decision, with the setting that
// determined it and the level that the setting came from.
func ReasonText(reason *placement.Reason) string {
	var text strings.Builder
	switch reason.Cause {
	case placement.CauseIdle, placement.CauseKeepAlive:
		fmt.Fprintf(&text, "idle %s, keep-alive %s%s", roundedDuration(reason.Idle), roundedDuration(reason.KeepAlive), sourceText(reason.Source))
		return text.String()
	case placement.CauseDemand:
		fmt.Fprintf(&text, "%s waiting", countedNoun(reason.Waiting, "request"))
	default:
		text.WriteString(string(reason.Cause))
	}
	if reason.Setting != "" {
		fmt.Fprintf(&text, " (%s%s)", reason.Setting, sourceText(reason.Source))
	}
	for i, filtered := range reason.Filtered {
		separator := ", "
		if i == 0 {
			separator = "; machines left out: "
		}
		fmt.Fprintf(&text, "%s%d %s", separator, filtered.Count, filtered.Cause)
	}
	return text.String()
}

// sourceText describes the level that a value came from; it begins with a space
// unless it is empty.
func sourceText(source string) string {
	switch source {
	case "":
		return ""
	case settings.SourceDefault:
		return " by default"
	default:
		return " from " + source
	}
}

// roundedDuration formats a duration rounded to minutes, seconds or milliseconds,
// according to its size.
func roundedDuration(d time.Duration) string {
	switch {
	case d >= 10*time.Minute:
		d = d.Round(time.Minute)
	case d >= time.Second:
		d = d.Round(time.Second)
	default:
		d = d.Round(time.Millisecond)
	}
	return settings.FormatDuration(d)
}

// RequestText describes the attempts and the outcome of a request, one line each.
func RequestText(trace *RequestTrace) string {
	var lines []string
	for i := range trace.Attempts {
		lines = append(lines, AttemptText(&trace.Attempts[i].Dispatch))
	}
	switch {
	case trace.Finish != nil:
		lines = append(lines, OutcomeText(trace.Finish))
	case len(trace.Attempts) == 0:
		lines = append(lines, "waiting for a replica")
	default:
		lines = append(lines, "still running")
	}
	return strings.Join(lines, "\n")
}

// AttemptText describes why a request was dispatched to a machine.
func AttemptText(dispatch *routing.Dispatch) string {
	var text strings.Builder
	choice := &dispatch.Reason
	fmt.Fprintf(&text, "attempt %d: to %s after %s in the queue", dispatch.Attempt, dispatch.Machine, roundedDuration(choice.Waited))
	for i, candidate := range choice.Candidates {
		separator := ", before "
		if i == 0 {
			separator = "; chosen: "
		}
		fmt.Fprintf(&text, "%s%s (expected wait %s, %.1f prefix blocks, %d in flight)",
			separator, candidate.Machine, roundedDuration(candidate.ExpectedWait), candidate.PrefixBlocks, candidate.InFlight)
	}
	for i, filtered := range choice.Filtered {
		separator := ", "
		if i == 0 {
			separator = "; replicas left out: "
		}
		fmt.Fprintf(&text, "%s%d %s", separator, filtered.Count, filtered.Cause)
	}
	return text.String()
}

// OutcomeText describes how a request ended and, if it failed, the setting that
// caused the failure.
func OutcomeText(finish *routing.Finish) string {
	reason := &finish.Reason
	if finish.Failure == nil {
		return fmt.Sprintf("answered by %s, attempt %d", reason.Machine, reason.Attempts)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "refused or failed, %s: %s (%s)", finish.Failure.Verdict, finish.Failure.Message, finish.Failure.Code)
	if reason.Setting != "" {
		fmt.Fprintf(&text, "; %s is %g%s, met by %g", reason.Setting, reason.Limit, sourceText(reason.Source), reason.Value)
	}
	if reason.Waited > 0 {
		fmt.Fprintf(&text, "; waited %s", roundedDuration(reason.Waited))
	}
	return text.String()
}
