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
}

// recordRetry spaces attempts to write the record.
const recordRetry = 500 * time.Millisecond

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
	r.next = r.core.now.Add(recordRetry)
	r.lease.Acquire()
}

// answered takes the answer to a call; a lost record is written anew.
func (r *nodeRecord) answered(answer lease.Answer) {
	switch r.lease.Answered(answer) {
	case lease.Won:
		r.next = r.core.now.Add(r.core.config.NodeTTL / renewalsPerTTL)
	case lease.Gone:
		r.next = r.core.now
	case lease.NoAnswer:
		r.next = r.core.now.Add(recordRetry)
	}
}

func (r *nodeRecord) due() time.Time { return r.next }
