package eventlog

import (
	"errors"
	"fmt"
	"net"
	"testing"

	"github.com/valveslip/valveslip/verdict"
)

// TestFailureIsNewOncePerNameAndCause guards against a log line for every repeated
// failure, and against a missing line when the cause changes or the failure returns after
// a success.
func TestFailureIsNewOncePerNameAndCause(t *testing.T) {
	refused, unreachable := errors.New("refused"), errors.New("away")
	var failures Failures
	for i, step := range []struct {
		name string
		err  error
		want bool
	}{
		{"a", nil, false}, {"a", refused, true}, {"a", refused, false}, {"b", refused, true}, {"a", unreachable, true},
		{"a", nil, false}, {"a", unreachable, true}, {"b", refused, false},
	} {
		if got := failures.IsNew(step.name, step.err); got != step.want {
			t.Errorf("step %d: %v is new: %t, want %t", i, step.err, got, step.want)
		}
	}
}

// TestCauseOmitsPartsThatDifferBetweenCalls guards against a log line for each call
// because its error names another local port.
func TestCauseOmitsPartsThatDifferBetweenCalls(t *testing.T) {
	errorFromPort := func(port int) error {
		address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}
		return fmt.Errorf("report: %w", &net.OpError{Op: "read", Net: "tcp", Source: address, Err: errors.New("reset")})
	}
	if one, other := CauseOf(errorFromPort(1)), CauseOf(errorFromPort(2)); one != other || one == "" {
		t.Errorf("causes %q and %q, want one", one, other)
	}
	wrapped := verdict.Wrap(errorFromPort(1), verdict.NotRun, verdict.CodeUnavailable, "the store cannot be reached")
	if got := CauseOf(wrapped); got != "the store cannot be reached" {
		t.Errorf("cause %q, want the message of the verdict", got)
	}
}

// TestTrackedNamesAreBounded guards against memory that grows with the number of names.
func TestTrackedNamesAreBounded(t *testing.T) {
	var failures Failures
	for i := range 3 * maxTrackedNames {
		failures.IsNew(fmt.Sprint(i), errors.New("away"))
	}
	if len(failures.lastCauses) > maxTrackedNames {
		t.Errorf("%d names are tracked, want at most %d", len(failures.lastCauses), maxTrackedNames)
	}
}
