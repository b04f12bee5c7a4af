package fleet

import (
	"cmp"
	"math/bits"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/placement"
)

const (
	// candidacyStep delays the attempts of nodes to take the lease: the first
	// singleTurns of them stand alone, after that each turn has twice as many as the
	// one before, so that a few calls suffice when the first ones live and the last
	// of hundreds stands within two seconds when they don't. A step is enough for two
	// calls and for the record to be read: 4 ms an answer and a poll each 300 ms,
	// of which one that comes too late costs a refused write.
	candidacyStep = 120 * time.Millisecond
	singleTurns   = 6
	// renewalsPerHold is how often the holder renews its lease within its time.
	renewalsPerHold = 5
	// orderShare is the part of the lease's time since the last renewal in which
	// orders are given; the rest keeps a holder from ordering until the end.
	orderShare = 0.5
	// resignTime is how long a stopping holder keeps the lease without ordering; chosen, not
	// measured.
	resignTime = time.Second
)

// holderRead takes the record of the lease.
func (c *cell) holderRead(read HolderRead) {
	c.known = true
	if read.Node.ID == c.core.config.Self.ID {
		c.holder, c.vacantSince = read.Node, time.Time{}
		return
	}
	if c.holder.ID != read.Node.ID {
		c.core.log(eventlog.LeaseChanged{Holder: read.Node.ID, Token: read.Token, Cause: "record read"})
	}
	c.holder = read.Node
	if c.own(read.Node) {
		// An earlier start of this node, which has ended: its place is taken at
		// once. It is not removed first, because whoever finds the record absent
		// takes it to have lapsed.
		c.lease.Replace(read.Token)
		c.vacantSince = c.core.now
		return
	}
	c.lease.Replace(0)
	switch {
	case read.Node.ID == "":
		if c.vacantSince.IsZero() {
			c.vacantSince = c.core.now
		}
	default:
		c.vacantSince = time.Time{}
		if c.lease.Holding() && read.Token > c.lease.Token() {
			c.stepDown("another node holds the lease")
		}
		c.core.reporter.next = c.core.now
	}
}

// lastRead takes the record of the last holder and what it learned.
func (c *cell) lastRead(read LastHolderRead) {
	c.last, c.lastRevision = read.Node, read.Revision
	if read.Node.Bears > 0 && !c.began {
		c.bears = read.Node.Bears
	}
}

// own reports whether an entry is of this node's machine.
func (c *cell) own(entry NodeEntry) bool {
	return entry.Machine != "" && entry.Machine == c.core.config.Self.Machine
}

// stand tries to take the lease when there is no holder and the nodes ranked
// before this one have had their turn.
func (c *cell) stand() {
	now := c.core.now
	if !c.known || c.core.compiled == nil || c.vacantSince.IsZero() || now.Before(c.retryAt) {
		return
	}
	if now.Before(c.turn()) {
		return
	}
	c.retryAt = now.Add(c.core.config.HolderTTL / renewalsPerHold)
	if c.lease.Lease() == 0 {
		// A write whose answer was lost may have put this machine on record already:
		// what was read before the first try decides.
		c.succeeds = c.own(c.last) && c.last.Acting || c.core.config.FirstStart && c.lastRevision == 0
	}
	c.lease.WriteBeside(lease.Beside{Key: KeyLast, Value: c.lastEntry(c.succeeds), Revision: c.lastRevision})
	c.lease.Acquire()
}

// lastEntry is the record of this machine as the last holder.
func (c *cell) lastEntry(acting bool) []byte {
	entry := c.core.config.Self
	entry.Acting, entry.Bears = acting, c.bears
	return entry.Encode()
}

// turn is when this node may try to take the vacant lease: at once on the machine
// that gave orders last, since it need not wait for its own, else by rank. Planning
// takes processor time, so machines of greater capacity come first.
func (c *cell) turn() time.Time {
	if c.own(c.last) {
		return c.vacantSince
	}
	return c.vacantSince.Add(time.Duration(turnOf(c.rank())) * candidacyStep)
}

// turnOf is the turn of the node that a number of others come before.
func turnOf(rank int) int {
	if rank < singleTurns {
		return rank + 1
	}
	return singleTurns + bits.Len(uint(rank-singleTurns+1))
}

// rank counts the live nodes whose turn comes before this one's. It is asked for at each step
// while there is no holder, and counted anew when the live nodes are told of.
func (c *cell) rank() int {
	if c.rankKnown {
		return c.ranked
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
	c.ranked, c.rankKnown = rank, true
	return rank
}

// leaseAnswered takes the answer to a call for the lease.
func (c *cell) leaseAnswered(answer lease.Answer) {
	switch c.lease.Answered(answer) {
	case lease.Won:
		c.won()
	case lease.Taken:
		value, token := c.lease.Holder()
		if entry, err := DecodeNodeEntry(value); err == nil {
			c.holderRead(HolderRead{Node: entry, Token: token})
		}
	case lease.Gone:
		c.stepDown("the lease ran out")
		c.vacantSince = c.core.now
	case lease.NoAnswer:
		c.renewAt = c.core.now.Add(c.core.config.HolderTTL / renewalsPerHold / 2)
	}
}

// won notes that the lease is this node's. A holder before it gave its last order
// at most orderShare of the lease's time after its last renewal.
func (c *cell) won() {
	config := &c.core.config
	now := c.core.now
	c.holder, c.vacantSince = config.Self, time.Time{}
	c.renewAt = now.Add(config.HolderTTL / renewalsPerHold)
	c.began = false
	c.actAt = now
	if !c.succeeds {
		rest := time.Duration((1 - orderShare) * float64(config.HolderTTL))
		c.actAt = now.Add(max(config.OrderPause-rest, 0) + orderMargin)
	}
	c.core.log(eventlog.LeaseChanged{Holder: config.Self.ID, Token: c.lease.Token(), Own: true, Cause: "won"})
}

// orderMargin is added to the pause between the orders of two holders; chosen, not measured.
const orderMargin = 150 * time.Millisecond

// beginTerm starts giving orders.
func (c *cell) beginTerm() {
	c.began = true
	if !c.succeeds {
		c.writeLast()
	}
	config := c.plannerConfig()
	config.AssumeStarts = !c.core.config.FirstStart || c.lastRevision != 0
	c.planner = placement.NewPlanner(config)
	c.ledgerStep(sequence.TermBegan{Holder: c.core.config.Self.ID, Token: c.lease.Token()})
	c.news = true
}

// writeLast writes the record of the last holder.
func (c *cell) writeLast() {
	c.core.emit(LeaseCall{Record: RecordHolder, Call: lease.Call{Operation: lease.Txn, Txn: keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: KeyHolder, ModRevision: int64(c.lease.Token())}},
		Operations: []keyvalue.Operation{{Key: KeyLast, Value: c.lastEntry(true)}},
	}}})
}

// stepDown ends the term.
func (c *cell) stepDown(cause string) {
	if c.lease.Holding() || c.began {
		c.core.log(eventlog.LeaseChanged{Token: c.lease.Token(), Cause: cause})
	}
	c.lease.Reset()
	c.began = false
	c.ledgerStep(sequence.TermEnded{})
	if c.holder.ID == c.core.config.Self.ID {
		c.holder = NodeEntry{}
	}
}

// resign ends orders at once and gives the lease back a little later, so that the
// next holder's wait counts from a time at which this one gave none.
func (c *cell) resign() {
	if !c.resigned.IsZero() {
		return
	}
	c.resigned = c.core.now
	c.ledgerStep(sequence.TermEnded{})
}

func (c *cell) finishResigning() {
	if c.lease.Holding() && c.core.now.Sub(c.resigned) >= resignTime {
		c.lease.Release()
	}
}

// mayOrder reports whether orders may be given now. Where engines don't check
// tokens, the time since the last renewal alone keeps this holder apart from the
// next one. Where they do, a holder that can't reach the store goes on: no one
// else is then in the place to order, or engines tell.
func (c *cell) mayOrder() bool {
	if !c.ledger.Holding() {
		return false
	}
	allowed := time.Duration(orderShare * float64(c.core.config.HolderTTL))
	return c.core.config.FencingEnforced || c.core.now.Sub(c.lease.SentAt()) < allowed
}
