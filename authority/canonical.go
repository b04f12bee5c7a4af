package authority

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Clone returns an independent copy, for exploring the states that may follow.
func (c *Controller) Clone() *Controller {
	copied := *c
	copied.tracker = c.tracker.Clone()
	copied.ledgers = make([]*machineLedger, len(c.ledgers))
	for i, ledger := range c.ledgers {
		copied.ledgers[i] = ledger.clone()
	}
	return &copied
}

// Clone returns an independent copy.
func (p *MachineTracker) Clone() *MachineTracker {
	copied := *p
	return &copied
}

// AppendState appends a canonical encoding of the state at now, for comparing states.
func (p *MachineTracker) AppendState(buffer []byte, now time.Time) []byte {
	buffer = appendFlags(buffer, p.Started(), now.Sub(p.firstListAt) > p.lag, now.After(p.latestListAt))
	for _, id := range sortedKeys(p.lastSeen) {
		buffer = appendText(buffer, string(id))
		buffer = appendFlags(buffer, p.isInLatestList(id), p.wouldBeGone(id, now))
	}
	return append(buffer, '\n')
}

// wouldBeGone reports whether the machine would count as gone if a list without it were
// read now.
func (p *MachineTracker) wouldBeGone(id cluster.MachineID, now time.Time) bool {
	seen, ok := p.lastSeen[id]
	if !ok {
		seen = p.firstListAt
	}
	return now.Sub(seen) > p.lag
}

func (m *machineLedger) clone() *machineLedger {
	copied := *m
	copied.reservedBytes = maps.Clone(m.reservedBytes)
	copied.pending = make([]*pendingOrder, len(m.pending))
	for i, pending := range m.pending {
		order := *pending
		copied.pending[i] = &order
	}
	return &copied
}

// AppendState appends a canonical encoding of everything that decides what the controller
// does at or after now, for comparing states. Points in time are reduced to whether they
// have passed.
func (c *Controller) AppendState(buffer []byte, now time.Time) []byte {
	buffer = appendNumbers(buffer, uint64(c.token), uint64(c.highestToken), c.orderCount, uint64(c.AllotmentRevision()))
	if c.pendingAllotment != nil {
		buffer = appendNumbers(buffer, uint64(c.pendingAllotment.Revision))
	}
	buffer = appendFlags(buffer, c.pendingAllotment != nil, c.leaseIsCertain(now), !now.Before(c.nextAcquisition), !now.Before(c.nextRenewal), c.tracker.Started())
	for _, ledger := range c.ledgers {
		buffer = appendText(buffer, string(ledger.machine.ID))
		id := ledger.machine.ID
		buffer = appendFlags(buffer, ledger.machine.Leaving, c.tracker.isInLatestList(id), c.tracker.wouldBeGone(id, now))
		buffer = ledger.appendState(buffer, now)
	}
	if c.allotment != nil {
		for _, id := range c.allotment.Machines {
			buffer = appendFlags(buffer, c.tracker.Gone(id), c.tracker.wouldBeGone(id, now))
		}
	}
	return buffer
}

func (m *machineLedger) appendState(buffer []byte, now time.Time) []byte {
	inventory := &m.inventory
	buffer = appendFlags(buffer, m.sealed, m.hasEvidence, m.callInFlight, !now.Before(m.nextCallAt), inventory.Leaving)
	buffer = appendNumbers(buffer, uint64(inventory.Token), inventory.Epoch, inventory.Sequence, uint64(inventory.MemoryBytes))
	buffer = appendText(buffer, inventory.Pool)
	for _, replica := range inventory.Replicas {
		buffer = appendText(buffer, string(replica.Model))
		buffer = appendNumbers(buffer, uint64(replica.State), uint64(replica.Bytes))
	}
	for _, pending := range m.pending {
		buffer = appendText(buffer, pending.order.ID)
		buffer = appendFlags(buffer, pending.waitsForBase, pending.outcomeUnknown, !now.Before(pending.resendAt))
	}
	for _, model := range slices.Sorted(maps.Keys(m.reservedBytes)) {
		buffer = appendText(buffer, string(model))
		buffer = appendNumbers(buffer, uint64(m.reservedBytes[model]))
	}
	return append(buffer, '\n')
}

func appendNumbers(buffer []byte, numbers ...uint64) []byte {
	for _, number := range numbers {
		buffer = binary.AppendUvarint(buffer, number)
	}
	return buffer
}

func appendFlags(buffer []byte, flags ...bool) []byte {
	for _, flag := range flags {
		if flag {
			buffer = append(buffer, 1)
		} else {
			buffer = append(buffer, 0)
		}
	}
	return buffer
}

func appendText(buffer []byte, text string) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(text)))
	return append(buffer, text...)
}
