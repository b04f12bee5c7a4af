package fleet

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/wire"
)

// tell sends the records that are due, one message to each node.
func (k *poisonKeeper) tell() {
	now := k.core.now
	if next := k.tellDue(); next.IsZero() || next.After(now) {
		return
	}
	byNode := map[cluster.NodeID][]poison.Record{}
	for _, content := range sortedContents(k.tellings) {
		due := k.tellings[content]
		if due.next.After(now) {
			continue
		}
		record, found := k.core.router.PoisonRecord(content)
		due.next, due.wait = now.Add(due.wait), 3*due.wait
		if found {
			for _, id := range k.recipients(&record) {
				byNode[id] = append(byNode[id], record)
			}
		}
		if due.left--; !found || due.left == 0 {
			delete(k.tellings, content)
			delete(k.lifted, content)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(byNode)) {
		k.lastTold = now
		k.send(k.core.nodes.live[id].Address, byNode[id])
	}
}

func (k *poisonKeeper) send(address string, records []poison.Record) {
	self := &k.core.config.Self
	k.core.send(address, wire.PoisonReport{From: self.ID, FromAddress: self.Address, Records: records})
}

// recipients lists the nodes that are told of a record: all of a conviction, or where there
// are few nodes; else those that count the request's ends.
func (k *poisonKeeper) recipients(record *poison.Record) []cluster.NodeID {
	var ids []cluster.NodeID
	if len(k.core.nodes.live) <= tellAllNodes || k.convicts(record) || k.lifted[record.Content] {
		ids = slices.Collect(maps.Keys(k.core.nodes.live))
	} else {
		ids = k.owners(record.Content)
	}
	return slices.DeleteFunc(ids, func(id cluster.NodeID) bool { return id == k.core.config.Self.ID })
}

// ownerRank is a node's place among those that may count a request's ends: rendezvous
// hashing, so that a node that comes or goes moves few requests.
func ownerRank(id cluster.NodeID, content poison.Fingerprint) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(content[:])
	_, _ = hash.Write([]byte(id))
	return mix(hash.Sum64())
}

// mix spreads the differences of a hash's last bytes over all bits (SplitMix64's finalizer).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// tellDue returns when a record is to be told next, zero for never.
func (k *poisonKeeper) tellDue() time.Time {
	var next time.Time
	for _, due := range k.tellings {
		next = earliest(next, due.next)
	}
	if spaced := k.lastTold.Add(poisonSpacing); !next.IsZero() && next.Before(spaced) {
		return spaced
	}
	return next
}
