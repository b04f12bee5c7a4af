package admin

import (
	"fmt"
	"strings"
	"time"

	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
)

// clockLayout shows times of day in texts for people, in UTC.
const clockLayout = "15:04"

// DecisionText is one sentence on a placement decision, such as "not loaded:
// idle 14m, keep-alive 10m from /dental/after-hours; next wake expected 17:40".
func DecisionText(decision *placement.Decision) string {
	text := countText(decision) + ": " + ReasonText(&decision.Reason)
	if !decision.NextWake.IsZero() && decision.Wanted == 0 {
		text += "; next wake expected " + decision.NextWake.UTC().Format(clockLayout)
	}
	return text
}

// countText says how much is loaded.
func countText(decision *placement.Decision) string {
	switch {
	case decision.Held == 0 && decision.Wanted == 0:
		return "not loaded"
	case decision.Held == 0:
		return fmt.Sprintf("not loaded, %s wanted, %d allowed", counted(decision.Wanted, "replica"), decision.Allowed)
	case decision.Wanted == 0:
		return fmt.Sprintf("unloading %s", counted(decision.Held, "replica"))
	case decision.Loaded == decision.Wanted && decision.Held == decision.Loaded:
		return counted(decision.Loaded, "replica") + " loaded"
	default:
		return fmt.Sprintf("%d of %s loaded, %d held, %d allowed", decision.Loaded, counted(decision.Wanted, "replica"), decision.Held, decision.Allowed)
	}
}

// counted counts things in words.
func counted(count int, thing string) string {
	if count == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", count, thing)
}

// ReasonText says what decided, with the setting and the level it came from.
func ReasonText(reason *placement.Reason) string {
	var text strings.Builder
	switch reason.Cause {
	case placement.CauseIdle, placement.CauseKeepAlive:
		fmt.Fprintf(&text, "idle %s, keep-alive %s%s", span(reason.Idle), span(reason.KeepAlive), from(reason.Source))
		return text.String()
	case placement.CauseDemand:
		fmt.Fprintf(&text, "%s waiting", counted(reason.Waiting, "request"))
	default:
		text.WriteString(string(reason.Cause))
	}
	if reason.Setting != "" {
		fmt.Fprintf(&text, " (%s%s)", reason.Setting, from(reason.Source))
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

// from names the level a value came from.
func from(source string) string {
	switch source {
	case "":
		return ""
	case settings.SourceDefault:
		return " by default"
	default:
		return " from " + source
	}
}

// span is a duration rounded for people.
func span(d time.Duration) string {
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

// RequestText tells a request's way in a few lines.
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

// AttemptText says why a request went to a machine.
func AttemptText(dispatch *routing.Dispatch) string {
	var text strings.Builder
	choice := &dispatch.Reason
	fmt.Fprintf(&text, "attempt %d: to %s after %s in the queue", dispatch.Attempt, dispatch.Machine, span(choice.Waited))
	for i, candidate := range choice.Candidates {
		separator := ", before "
		if i == 0 {
			separator = "; chosen: "
		}
		fmt.Fprintf(&text, "%s%s (expected wait %s, %.1f prefix blocks, %d in flight)",
			separator, candidate.Machine, span(candidate.ExpectedWait), candidate.PrefixBlocks, candidate.InFlight)
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

// OutcomeText says how a request ended and which setting decided.
func OutcomeText(finish *routing.Finish) string {
	reason := &finish.Reason
	if finish.Failure == nil {
		return fmt.Sprintf("answered by %s, attempt %d", reason.Machine, reason.Attempts)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "refused or failed, %s: %s (%s)", finish.Failure.Verdict, finish.Failure.Message, finish.Failure.Code)
	if reason.Setting != "" {
		fmt.Fprintf(&text, "; %s is %g%s, met by %g", reason.Setting, reason.Limit, from(reason.Source), reason.Value)
	}
	if reason.Waited > 0 {
		fmt.Fprintf(&text, "; waited %s", span(reason.Waited))
	}
	return text.String()
}
