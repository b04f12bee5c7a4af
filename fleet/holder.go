package fleet

import (
	"cmp"
	"math/bits"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/placement"
)

const (
	// candidacyStep is the delay between the turns in which nodes try to acquire the vacant
	// lease. Each of the first soloTurns turns belongs to one node; each later turn has twice as
	// many candidates as the one before it. A few calls therefore suffice while the first nodes
	// are alive, and the last of hundreds of nodes tries within two seconds if they are not. One
	// step covers two store calls of 4 ms and the polls of the record every 300 ms, except for a
	// late poll, which costs a rejected write.
	candidacyStep = 120 * time.Millisecond
	soloTurns     = 6
	// renewalsPerHolderTTL is the number of renewals within the TTL of the order lease.
	renewalsPerHolderTTL = 5
	// orderShare is the share of the lease's TTL since the last renewal in which orders are
	// given. The rest is a safety margin, so that no holder gives orders up to the moment of
	// expiry.
	orderShare = 0.5
	// resignDelay is how long a stopping holder keeps the lease without giving orders: the order
	// pause of its successor then counts from a time without orders.
	resignDelay = time.Second
)

// holderRead handles the record of the order lease.
func (c *controller) holderRead(read HolderRead) {
	c.holderKnown = true
	if read.Node.ID == c.core.config.Self.ID {
		c.ownRecordRead(read)
		return
	}
	if c.holder.ID != read.Node.ID {
		c.core.log(eventlog.LeaseChanged{Holder: read.Node.ID, Token: read.Token, Cause: "record read"})
	}
	c.holder = read.Node
	if c.sameMachine(read.Node) {
		// An earlier process of this machine, which has ended, holds the lease, so the lease is
		// replaced at once. The record is not deleted first, because other nodes would take its
		// absence for an expired lease.
		c.lease.ReplaceRecord(read.Token)
		c.vacantSince = c.core.now
		return
	}
	c.lease.ReplaceRecord(0)
	switch {
	case read.Node.ID == "":
		if read.Restored && c.lease.IsHolder() {
			c.leaseLost("the store came back without the record")
		}
		if c.vacantSince.IsZero() {
			c.vacantSince = c.core.now
		}
	default:
		c.vacantSince = time.Time{}
		if c.lease.IsHolder() && read.Token > c.lease.Token() {
			c.stepDown("another node holds the lease")
		}
		c.core.reporter.nextReportAt = c.core.now
	}
}

// ownRecordRead handles a record of the order lease that names this node. If the store came back to a
// time at which this node held the lease, which it no longer does, it replaces the record.
func (c *controller) ownRecordRead(read HolderRead) {
	c.holder, c.vacantSince = read.Node, time.Time{}
	if read.Restored && c.lease.State() == lease.Idle {
		c.lease.ReplaceRecord(read.Token)
		c.vacantSince = c.core.now
	}
}

// leaseLost ends the term because the lease is gone. It remembers until when nobody else could have had
// it.
func (c *controller) leaseLost(cause string) {
	if c.lease.IsHolder() {
		c.lostToken, c.lostUntil = c.lease.Token(), c.lease.LeaseStart().Add(c.lease.GrantedTTL())
	}
	c.stepDown(cause)
	c.vacantSince = c.core.now
}

// eraBegan takes the era that the records were last read in.
func (c *controller) eraBegan(era keyvalue.Era) {
	c.lastHolderRevision = inEra(c.lastHolderRevision, era)
	record := inEra(c.lease.Record(), era)
	if c.lease.IsHolder() && !c.core.now.Before(c.lease.LeaseStart().Add(c.lease.GrantedTTL())) {
		// Another node may have held the lease before the store went back to this node's record.
		c.leaseLost("the lease had run out when the store came back")
		c.lease.ReplaceRecord(cluster.FencingToken(record))
		return
	}
	c.lease.EraBegan(record)
}

// lastHolderRead handles the last holder's record and takes over the store capacity that it
// learned.
func (c *controller) lastHolderRead(read LastHolderRead) {
	c.lastHolder, c.lastHolderRevision = read.Node, read.Revision
	if read.Node.StoreLoads > 0 && !c.termBegan {
		c.learnedStoreLoads = read.Node.StoreLoads
	}
}

// sameMachine reports whether an entry belongs to this node's machine.
func (c *controller) sameMachine(entry NodeEntry) bool {
	return entry.Machine != "" && entry.Machine == c.core.config.Self.Machine
}

// tryAcquire tries to acquire the lease if it is vacant and the candidates that precede this node
// have had their turns.
func (c *controller) tryAcquire() {
	now := c.core.now
	if !c.holderKnown || c.core.compiled == nil || c.vacantSince.IsZero() || now.Before(c.retryAt) {
		return
	}
	if now.Before(c.candidacyTime()) {
		return
	}
	c.retryAt = now.Add(c.core.config.HolderTTL / renewalsPerHolderTTL)
	if c.lease.Lease() == 0 {
		// A write whose answer was lost may already have stored this machine as the last holder,
		// so only the record read before the first attempt counts.
		c.skipOrderPause = c.sameMachine(c.lastHolder) && c.lastHolder.Acting && c.lastHolder.Era >= c.core.era || c.isFirstStart()
	}
	c.lease.SetExtraPair(lease.ExtraPair{Key: KeyLastHolder, Value: c.lastHolderEntry(c.skipOrderPause), Revision: c.lastHolderRevision})
	c.lease.Acquire()
}

// isFirstStart reports whether no node has held the lease before. In a later era the store may have lost the record of
// one that has.
func (c *controller) isFirstStart() bool {
	return c.core.config.FirstStart && c.lastHolderRevision == 0 && !c.core.eraChanged && c.core.era == 0
}

// lastHolderEntry returns the record of this machine as the last holder.
func (c *controller) lastHolderEntry(acting bool) []byte {
	entry := c.core.config.Self
	entry.Acting, entry.StoreLoads, entry.Era = acting, c.learnedStoreLoads, c.core.era
	return entry.Encode()
}

// candidacyTime returns the time from which this node may try to acquire the vacant lease. The
// machine that last gave orders tries at once, since it need not wait out its own orders. All
// others try by rank. Planning takes processor time, so machines of greater capacity come first.
func (c *controller) candidacyTime() time.Time {
	if c.sameMachine(c.lastHolder) || c.core.now.Before(c.lostUntil) {
		return c.vacantSince
	}
	return c.vacantSince.Add(time.Duration(candidacyTurn(c.rank())) * candidacyStep)
}

// candidacyTurn returns the turn of the candidate with the given rank.
func candidacyTurn(rank int) int {
	if rank < soloTurns {
		return rank + 1
	}
	return soloTurns + bits.Len(uint(rank-soloTurns+1))
}

// rank returns the number of live nodes that precede this one as candidates. The value is cached
// until the live nodes change, since it is needed at each step while there is no holder.
func (c *controller) rank() int {
	if c.rankCached {
		return c.cachedRank
	}
	self, rank := &c.core.config.Self, 0
	for id, entry := range c.core.nodes.live {
		if id == self.ID {
			continue
		}
		if cmp.Or(cmp.Compare(entry.Capacity, self.Capacity), cmp.Compare(self.ID, id)) > 0 {
			rank++
		}
	}
	c.cachedRank, c.rankCached = rank, true
	return rank
}

// leaseAnswered handles the answer to a call for the order lease.
func (c *controller) leaseAnswered(answer lease.Answer) {
	switch c.lease.Answered(answer) {
	case lease.Acquired:
		c.leaseWon()
	case lease.HeldByOther:
		value, token := c.lease.Holder()
		if entry, err := DecodeNodeEntry(value); err == nil {
			c.holderRead(HolderRead{Node: entry, Token: token})
		}
	case lease.Expired:
		c.leaseLost("the lease ran out")
	case lease.NoAnswer:
		c.renewAt = c.core.now.Add(c.core.config.HolderTTL / renewalsPerHolderTTL / 2)
	}
}

// leaseWon starts the pause before this node's orders.
func (c *controller) leaseWon() {
	config := &c.core.config
	now := c.core.now
	c.holder, c.vacantSince = config.Self, time.Time{}
	c.renewAt = now.Add(config.HolderTTL / renewalsPerHolderTTL)
	c.termBegan = false
	c.ordersFrom = now.Add(c.orderPause())
	c.core.log(eventlog.LeaseChanged{Holder: config.Self.ID, Token: c.lease.Token(), Own: true, Cause: "won"})
}

// orderPause returns the pause between the winning of the lease and the first order. Usually the
// holder before gave its last order at most orderShare of the TTL after its last renewal. If the store
// came back from a copy since, the lease of that holder ended early: it may have renewed it just before.
func (c *controller) orderPause() time.Duration {
	config := &c.core.config
	ordering := time.Duration(orderShare * float64(config.HolderTTL))
	won := keyvalue.Revision(c.lease.Token()).Era()
	if c.lastHolder.Era < won && !c.isFirstStart() {
		// Nothing is known of who held the lease in the end of the era before.
		c.skipOrderPause = false
	}
	lostBefore := keyvalue.Revision(c.lostToken).Era() < won && c.core.now.Before(c.lostUntil)
	switch {
	case c.skipOrderPause:
		return 0
	case c.lastHolder.Era < won && lostBefore:
		// The pause of the lost term still counts.
		return max(c.ordersFrom.Sub(c.core.now), 0)
	case c.lastHolder.Era < won:
		return ordering + config.OrderPause + orderPauseMargin
	}
	return max(config.OrderPause-(config.HolderTTL-ordering), 0) + orderPauseMargin
}

// orderPauseMargin is added to the pause between the orders of two holders: the pause must not be
// shorter than Config.OrderPause.
const orderPauseMargin = 150 * time.Millisecond

// beginTerm begins the term, in which this node gives orders.
func (c *controller) beginTerm() {
	c.termBegan = true
	if !c.skipOrderPause {
		c.writeLastHolder()
	}
	config := c.plannerConfig()
	config.EmptyStartBucket = !c.isFirstStart()
	c.planner = placement.NewPlanner(config)
	c.core.releases.recorder.markStale()
	c.feedLedger(sequence.TermBegan{Holder: c.core.config.Self.ID, Token: c.lease.Token()})
	c.planStale = true
}

// writeLastHolder writes this machine's record as the last holder, if this node still holds the
// lease.
func (c *controller) writeLastHolder() {
	c.core.emit(LeaseCall{Record: RecordHolder, Call: lease.Call{Operation: lease.Txn, Txn: keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: KeyHolder, ModRevision: c.lease.Record()}},
		Operations: []keyvalue.Operation{{Key: KeyLastHolder, Value: c.lastHolderEntry(true)}},
	}}})
}

// stepDown ends the term.
func (c *controller) stepDown(cause string) {
	if c.lease.IsHolder() || c.termBegan {
		c.core.log(eventlog.LeaseChanged{Token: c.lease.Token(), Cause: cause})
	}
	c.lease.Reset()
	c.termBegan = false
	c.feedLedger(sequence.TermEnded{})
	if c.holder.ID == c.core.config.Self.ID {
		c.holder = NodeEntry{}
	}
}

// resign stops orders at once. The lease is released after resignDelay, so that the order pause
// of the next holder counts from a time at which this one gave no orders.
func (c *controller) resign() {
	if !c.resignedAt.IsZero() {
		return
	}
	c.resignedAt = c.core.now
	c.feedLedger(sequence.TermEnded{})
}

// finishResigning releases the lease once resignDelay has passed.
func (c *controller) finishResigning() {
	if c.lease.IsHolder() && c.core.now.Sub(c.resignedAt) >= resignDelay {
		c.lease.Release()
	}
}

// mustYield reports whether another node should hold the lease because this one has no path to
// engines.
func (c *controller) mustYield() bool { return c.pathLost && len(c.core.nodes.live) > 1 }

// resumeTerm lets this node give orders again if its path came back before it released the lease.
func (c *controller) resumeTerm() {
	c.yieldedAt = time.Time{}
	if c.lease.IsHolder() {
		c.termBegan, c.ordersFrom = false, maxTime(c.ordersFrom, c.core.now)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// yield stops orders at once and releases the lease after resignDelay, as a planned stop does. The
// node may acquire the lease again once its path is back.
func (c *controller) yield() {
	if c.yieldedAt.IsZero() {
		c.yieldedAt = c.core.now
		c.feedLedger(sequence.TermEnded{})
	}
	if c.lease.IsHolder() && c.core.now.Sub(c.yieldedAt) >= resignDelay {
		c.core.log(eventlog.LeaseChanged{Token: c.lease.Token(), Cause: "no path to the engines"})
		c.lease.Release()
		c.termBegan = false
		c.holder = NodeEntry{}
	}
}

// mayOrder reports whether orders may be given now. If engines don't check fencing tokens, only
// the time since the last renewal separates this holder from the next one. If they do, a holder
// that can't reach the store continues: until another holder exists nobody else gives orders, and
// engines reject the orders of a superseded holder.
func (c *controller) mayOrder() bool {
	if !c.ledger.Holding() {
		return false
	}
	allowed := time.Duration(orderShare * float64(c.core.config.HolderTTL))
	return c.core.config.FencingEnforced || c.core.now.Sub(c.lease.LeaseStart()) < allowed
}
