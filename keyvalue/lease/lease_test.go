package lease

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

const leaseTTL = 6 * time.Second

// recorder keeps the calls that a client makes.
type recorder struct {
	now   time.Time
	calls []Call
}

func (r *recorder) Now() time.Time          { return r.now }
func (r *recorder) Call(call Call)          { r.calls = append(r.calls, call) }
func (r *recorder) CallUnawaited(call Call) { r.calls = append(r.calls, call) }

// TestLeaseCountsFromItsGrant loses the answer to the record's first write: the
// lease doesn't last longer because its record is written again.
func TestLeaseCountsFromItsGrant(t *testing.T) {
	granted := time.Date(2030, time.March, 4, 0, 0, 0, 0, time.UTC)
	caller := &recorder{now: granted}
	client := New(caller, "/valveslip/cells/z", []byte("n"), leaseTTL)
	client.Acquire()
	client.Answered(Answer{Lease: 7, TTL: leaseTTL})
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer lost")
	if outcome := client.Answered(Answer{Err: lost}); outcome != NoAnswer {
		t.Fatalf("outcome %d after a lost answer, want %d", outcome, NoAnswer)
	}
	caller.now = granted.Add(leaseTTL / 2)
	client.Acquire()
	if outcome := client.Answered(Answer{Txn: keyvalue.TransactionResult{Succeeded: true, Revision: 9}}); outcome != Won {
		t.Fatalf("outcome %d, want %d", outcome, Won)
	}
	if !client.SentAt().Equal(granted) {
		t.Fatalf("the lease counts from %s, want %s", client.SentAt(), granted)
	}
}
