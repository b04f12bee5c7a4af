package node

import (
	"errors"
	"testing"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// TestRenewalTellsGoneFromUnreachable: a lease that the service does not know
// any more is gone and can be acquired again; without an answer it is kept.
func TestRenewalTellsGoneFromUnreachable(t *testing.T) {
	refused := func(cause error) error {
		return verdict.Wrap(cause, verdict.NotRun, verdict.CodeConflict, "refused")
	}
	cases := map[string]struct {
		answer  KeyValueAnswered
		outcome leaseOutcome
		state   leaseState
	}{
		"extended":    {KeyValueAnswered{TTL: time.Second}, leaseExtended, leaseHeld},
		"expired":     {KeyValueAnswered{}, leaseGone, leaseIdle},
		"not found":   {KeyValueAnswered{Err: refused(keyvalue.ErrLeaseNotFound)}, leaseGone, leaseIdle},
		"unreachable": {KeyValueAnswered{Err: refused(errors.New("dial refused"))}, leaseNoAnswer, leaseHeld},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			session := leaseClient{state: leaseRenewing, lease: 7, token: 3}
			outcome := session.answered(test.answer)
			if outcome != test.outcome || session.state != test.state {
				t.Fatalf("outcome %d, state %d; want %d, %d", outcome, session.state, test.outcome, test.state)
			}
		})
	}
}
