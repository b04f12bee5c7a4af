package lease

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
		answer  Answer
		outcome Outcome
		state   State
	}{
		"extended":    {Answer{TTL: time.Second}, Extended, Held},
		"expired":     {Answer{}, Gone, Idle},
		"not found":   {Answer{Err: refused(keyvalue.ErrLeaseNotFound)}, Gone, Idle},
		"unreachable": {Answer{Err: refused(errors.New("dial refused"))}, NoAnswer, Held},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			session := Client{state: Renewing, lease: 7, token: 3}
			outcome := session.Answered(test.answer)
			if outcome != test.outcome || session.state != test.state {
				t.Fatalf("outcome %d, state %d; want %d, %d", outcome, session.state, test.outcome, test.state)
			}
		})
	}
}

// TestLostRenewalExtendsNothing: a lease counts from the last renewal that was
// answered, however often others were tried since.
func TestLostRenewalExtendsNothing(t *testing.T) {
	began := time.Date(2030, time.March, 4, 0, 0, 0, 0, time.UTC)
	caller := &recorder{now: began}
	client := New(caller, "key", []byte("n"), leaseTTL)
	client.Acquire()
	client.Answered(Answer{Lease: 7, TTL: leaseTTL})
	client.Answered(Answer{Txn: keyvalue.TransactionResult{Succeeded: true, Revision: 9}})
	caller.now = began.Add(time.Second)
	client.Renew()
	client.Answered(Answer{TTL: leaseTTL})
	for range 3 {
		caller.now = caller.now.Add(time.Second)
		client.Renew()
		client.Answered(Answer{Err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer")})
	}
	if want := began.Add(time.Second); !client.SentAt().Equal(want) {
		t.Fatalf("the lease counts from %s, want %s", client.SentAt(), want)
	}
}
