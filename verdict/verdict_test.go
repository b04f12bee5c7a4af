package verdict

import (
	"errors"
	"fmt"
	"testing"
)

// An error without a verdict must count as MayHaveRun, or a request that was
// executed would be retried. Wrapping must preserve verdict and code.
func TestOfDefaultsToMayHaveRun(t *testing.T) {
	if got := Of(errors.New("plain")); got != MayHaveRun {
		t.Fatalf("an error without a verdict has verdict %v, want %v", got, MayHaveRun)
	}
	wrapped := fmt.Errorf("outer: %w", New(NotRun, CodeQueueFull, "queue of %s is full", "m"))
	if Of(wrapped) != NotRun || CodeOf(wrapped) != CodeQueueFull {
		t.Fatalf("wrapped error lost its classification: %v", wrapped)
	}
}

// Verdicts cross the network as text: each must survive the round trip, and text
// from a newer version must be read as the safe value.
func TestParseIsTheInverseOfString(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if Parse(v.String()) != v {
			t.Fatalf("Parse(%q) = %v", v.String(), Parse(v.String()))
		}
	}
	if Parse("something newer") != MayHaveRun {
		t.Fatal("Parse of unknown text must return MayHaveRun")
	}
}

// The reason must contain the message and the cause, but neither code nor
// verdict.
func TestReasonContainsMessageAndCause(t *testing.T) {
	plain := New(NotRun, CodeInternal, "it failed")
	wrapped := Wrap(errors.New("reset"), NotRun, CodeInternal, "it failed")
	if plain.Reason() != "it failed" || wrapped.Reason() != "it failed: reset" {
		t.Errorf("reasons %q and %q", plain.Reason(), wrapped.Reason())
	}
}
