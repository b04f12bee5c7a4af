package fleet

import (
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/lease"
)

// leaseCaller emits the store calls for the lease of one record.
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

// CallWithoutAnswer implements lease.Caller.
func (l leaseCaller) CallWithoutAnswer(call lease.Call) {
	l.core.emit(LeaseCall{Record: l.record, Call: call})
}

// nodeLease keeps the record that shows that this node is alive.
type nodeLease struct {
	core       *Core
	lease      *lease.Client
	nextCallAt time.Time
	// failures counts the unanswered calls since the last answered one.
	failures int
}

// The pause between attempts to write the node's record. It starts at minNodeLeaseRetry and
// doubles with each failure up to maxNodeLeaseRetry, so that two more attempts fit before a
// record with the default TTL expires.
const (
	minNodeLeaseRetry = 500 * time.Millisecond
	maxNodeLeaseRetry = 2 * time.Second
)

// maxRetryDoublings bounds the shift that doubles minNodeLeaseRetry.
const maxRetryDoublings = 2

// renewalsPerTTL is the number of renewals within the TTL of the node's lease.
const renewalsPerTTL = 3

func newNodeLease(core *Core) *nodeLease {
	self := core.config.Self
	caller := leaseCaller{core: core, record: RecordNode}
	return &nodeLease{core: core, lease: lease.New(caller, KeyNodes+string(self.ID), self.Encode(), core.config.NodeTTL)}
}

// tick acquires or renews the lease when that is due.
func (r *nodeLease) tick() {
	if r.core.now.Before(r.nextCallAt) {
		return
	}
	if r.lease.IsHolder() {
		r.nextCallAt = r.core.now.Add(r.core.config.NodeTTL / renewalsPerTTL)
		r.lease.Renew()
		return
	}
	r.nextCallAt = r.core.now.Add(r.retryDelay())
	r.lease.Acquire()
}

// retryDelay returns the pause before the next attempt.
func (r *nodeLease) retryDelay() time.Duration {
	return min(minNodeLeaseRetry<<min(r.failures, maxRetryDoublings), maxNodeLeaseRetry)
}

// leaseAnswered handles the answer to a call. A lost record is written again at once.
func (r *nodeLease) leaseAnswered(answer lease.Answer) {
	switch r.lease.Answered(answer) {
	case lease.Acquired:
		r.failures = 0
		r.nextCallAt = r.core.now.Add(r.core.config.NodeTTL / renewalsPerTTL)
	case lease.Renewed:
		r.failures = 0
	case lease.Expired:
		r.nextCallAt = r.core.now
	case lease.NoAnswer:
		r.nextCallAt = r.core.now.Add(r.retryDelay())
		r.failures++
	}
}

// eraBegan checks whether a restored store has this node's record. A lost record is written again in turn
// with those of other nodes.
func (r *nodeLease) eraBegan(era keyvalue.Era) {
	if !r.lease.IsHolder() {
		return
	}
	nodes, self := &r.core.nodes, r.core.config.Self.ID
	_, lost := nodes.unconfirmed[self]
	if _, known := nodes.live[self]; known && !lost {
		r.lease.EraBegan(inEra(r.lease.Record(), era))
		return
	}
	r.lease.Reset()
	turn := 0
	for id := range nodes.unconfirmed {
		if id < self {
			turn++
		}
	}
	r.nextCallAt = r.core.now.Add(time.Duration(turn) * nodeRewriteSpacing)
}

func (r *nodeLease) due() time.Time { return r.nextCallAt }
