package fleet

import (
	"time"

	"github.com/valveslip/valveslip/keyvalue/lease"
)

// leaseCaller makes the calls of one record's lease.
type leaseCaller struct {
	core   *Core
	record Record
}

// Now implements lease.Caller.
func (l leaseCaller) Now() time.Time { return l.core.now }

// Call implements lease.Caller.
func (l leaseCaller) Call(call lease.Call) {
	l.core.emit(LeaseCall{Record: l.record, Call: call, Awaited: true})
}

// CallUnawaited implements lease.Caller.
func (l leaseCaller) CallUnawaited(call lease.Call) {
	l.core.emit(LeaseCall{Record: l.record, Call: call})
}

// nodeRecord keeps the record that says that this node lives.
type nodeRecord struct {
	core  *Core
	lease *lease.Client
	next  time.Time
	// failures counts the calls without an answer since the last one with it.
	failures int
}

// recordRetry spaces attempts to write the record; it doubles with each failure up to
// longestRecordRetry, which leaves two more before the record of a default lease ends.
const (
	recordRetry        = 500 * time.Millisecond
	longestRecordRetry = 2 * time.Second
)

// recordDoublings bounds the doubling of recordRetry.
const recordDoublings = 2

// renewalsPerTTL is how often a lease is renewed within its time.
const renewalsPerTTL = 3

func newNodeRecord(core *Core) *nodeRecord {
	self := core.config.Self
	caller := leaseCaller{core: core, record: RecordNode}
	return &nodeRecord{core: core, lease: lease.New(caller, KeyNodes+string(self.ID), self.Encode(), core.config.NodeTTL)}
}

// tick writes or renews the record when that is due.
func (r *nodeRecord) tick() {
	if r.core.now.Before(r.next) {
		return
	}
	if r.lease.Holding() {
		r.next = r.core.now.Add(r.core.config.NodeTTL / renewalsPerTTL)
		r.lease.Renew()
		return
	}
	r.next = r.core.now.Add(r.retryWait())
	r.lease.Acquire()
}

// retryWait is the pause before the next attempt.
func (r *nodeRecord) retryWait() time.Duration {
	return min(recordRetry<<min(r.failures, recordDoublings), longestRecordRetry)
}

// answered takes the answer to a call; a lost record is written anew.
func (r *nodeRecord) answered(answer lease.Answer) {
	switch r.lease.Answered(answer) {
	case lease.Won:
		r.failures = 0
		r.next = r.core.now.Add(r.core.config.NodeTTL / renewalsPerTTL)
	case lease.Extended:
		r.failures = 0
	case lease.Gone:
		r.next = r.core.now
	case lease.NoAnswer:
		r.next = r.core.now.Add(r.retryWait())
		r.failures++
	}
}

func (r *nodeRecord) due() time.Time { return r.next }
