package lease

import (
	"errors"
	"testing"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// TestRenewalDistinguishesExpiredFromUnreachable guards against a holder that gives its lease up
// because one renewal was not answered, or keeps one that the service no longer knows.
func TestRenewalDistinguishesExpiredFromUnreachable(t *testing.T) {
	refused := func(cause error) error {
		return verdict.Wrap(cause, verdict.NotRun, verdict.CodeConflict, "refused")
	}
	cases := map[string]struct {
		answer  Answer
		outcome Outcome
		state   State
	}{
		"extended":    {Answer{TTL: time.Second}, Renewed, Held},
		"expired":     {Answer{}, Expired, Idle},
		"not found":   {Answer{Err: refused(keyvalue.ErrLeaseNotFound)}, Expired, Idle},
		"unreachable": {Answer{Err: refused(errors.New("dial refused"))}, NoAnswer, Held},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			client := Client{state: Renewing, lease: 7, token: 3}
			outcome := client.Answered(test.answer)
			if outcome != test.outcome || client.state != test.state {
				t.Fatalf("outcome %d, state %d; want %d, %d", outcome, client.state, test.outcome, test.state)
			}
		})
	}
}

// TestUnansweredRenewalDoesNotExtendLease guards against a holder that counts its lease from a
// renewal that the service never answered.
func TestUnansweredRenewalDoesNotExtendLease(t *testing.T) {
	began := time.Date(2030, time.March, 4, 0, 0, 0, 0, time.UTC)
	caller := &recordingCaller{now: began}
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
	if want := began.Add(time.Second); !client.LeaseStart().Equal(want) {
		t.Fatalf("the lease counts from %s, want %s", client.LeaseStart(), want)
	}
}
