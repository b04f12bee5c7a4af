package authority

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Clone returns an independent copy, for exploring what may follow a state.
func (c *Controller) Clone() *Controller {
	copied := *c
	copied.presence = c.presence.Clone()
	copied.machines = make([]*machineLedger, len(c.machines))
	for i, entry := range c.machines {
		copied.machines[i] = entry.clone()
	}
	return &copied
}

// Clone returns an independent copy.
func (p *Presence) Clone() *Presence {
	copied := *p
	return &copied
}

// AppendState appends a canonical form for comparing states at now.
func (p *Presence) AppendState(buffer []byte, now time.Time) []byte {
	buffer = appendFlags(buffer, p.Started(), now.Sub(p.first) > p.lag, now.After(p.latest))
	for _, id := range sortedKeys(p.lastSeen) {
		buffer = appendText(buffer, string(id))
		buffer = appendFlags(buffer, p.inLatest(id), p.overdue(id, now))
	}
	return append(buffer, '\n')
}

// overdue reports whether the machine would have gone if a list without it were
// read now.
func (p *Presence) overdue(id cluster.MachineID, now time.Time) bool {
	seen, ok := p.lastSeen[id]
	if !ok {
		seen = p.first
	}
	return now.Sub(seen) > p.lag
}

func (m *machineLedger) clone() *machineLedger {
	copied := *m
	copied.reserved = maps.Clone(m.reserved)
	copied.pending = make([]*pendingOrder, len(m.pending))
	for i, pending := range m.pending {
		order := *pending
		copied.pending[i] = &order
	}
	return &copied
}

// AppendState appends a canonical form of all that decides what the controller
// does at or after now, for comparing states. Points in time are reduced to
// whether they have come.
func (c *Controller) AppendState(buffer []byte, now time.Time) []byte {
	buffer = appendNumbers(buffer, uint64(c.token), uint64(c.highest), c.orders, uint64(c.AllotmentRevision()))
	if c.offered != nil {
		buffer = appendNumbers(buffer, uint64(c.offered.Revision))
	}
	buffer = appendFlags(buffer, c.offered != nil, c.leaseCertain(now), !now.Before(c.acquireAt), !now.Before(c.renewDue), c.presence.Started())
	for _, entry := range c.machines {
		buffer = appendText(buffer, string(entry.machine.ID))
		id := entry.machine.ID
		buffer = appendFlags(buffer, entry.machine.Leaving, c.presence.inLatest(id), c.presence.overdue(id, now))
		buffer = entry.appendState(buffer, now)
	}
	if c.allotment != nil {
		for _, id := range c.allotment.Machines {
			buffer = appendFlags(buffer, c.presence.Gone(id), c.presence.overdue(id, now))
		}
	}
	return buffer
}

func (m *machineLedger) appendState(buffer []byte, now time.Time) []byte {
	inventory := &m.inventory
	buffer = appendFlags(buffer, m.sealed, m.known, m.calling, !now.Before(m.nextCall), inventory.Leaving)
	buffer = appendNumbers(buffer, uint64(inventory.Token), inventory.Epoch, inventory.Sequence, uint64(inventory.MemoryBytes))
	buffer = appendText(buffer, inventory.Pool)
	for _, replica := range inventory.Replicas {
		buffer = appendText(buffer, string(replica.Model))
		buffer = appendNumbers(buffer, uint64(replica.State), uint64(replica.Bytes))
	}
	for _, pending := range m.pending {
		buffer = appendText(buffer, pending.order.ID)
		buffer = appendFlags(buffer, pending.waiting, pending.unknown, !now.Before(pending.resendAt))
	}
	for _, model := range slices.Sorted(maps.Keys(m.reserved)) {
		buffer = appendText(buffer, string(model))
		buffer = appendNumbers(buffer, uint64(m.reserved[model]))
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
