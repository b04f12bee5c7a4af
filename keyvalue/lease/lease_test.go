package lease

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

const leaseTTL = 6 * time.Second

// recordingCaller records the calls of a client.
type recordingCaller struct {
	now   time.Time
	calls []Call
}

func (r *recordingCaller) Now() time.Time              { return r.now }
func (r *recordingCaller) Call(call Call)              { r.calls = append(r.calls, call) }
func (r *recordingCaller) CallWithoutAnswer(call Call) { r.calls = append(r.calls, call) }

// TestLeaseStartsAtGrantWhenRecordIsWrittenAgain guards against a holder that relies on its lease
// after it has expired: the answer to the first write of the record is lost, and the second write
// must not count as the start of the lease.
func TestLeaseStartsAtGrantWhenRecordIsWrittenAgain(t *testing.T) {
	granted := time.Date(2030, time.March, 4, 0, 0, 0, 0, time.UTC)
	caller := &recordingCaller{now: granted}
	client := New(caller, "/valveslip/cells/z", []byte("n"), leaseTTL)
	client.Acquire()
	client.Answered(Answer{Lease: 7, TTL: leaseTTL})
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer lost")
	if outcome := client.Answered(Answer{Err: lost}); outcome != NoAnswer {
		t.Fatalf("outcome %d after a lost answer, want %d", outcome, NoAnswer)
	}
	caller.now = granted.Add(leaseTTL / 2)
	client.Acquire()
	if outcome := client.Answered(Answer{Txn: keyvalue.TransactionResult{Succeeded: true, Revision: 9}}); outcome != Acquired {
		t.Fatalf("outcome %d, want %d", outcome, Acquired)
	}
	if !client.LeaseStart().Equal(granted) {
		t.Fatalf("the lease counts from %s, want %s", client.LeaseStart(), granted)
	}
}
