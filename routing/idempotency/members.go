package idempotency

import (
	"slices"
	"time"
)

// past is a former set of members.
type past struct {
	until int64
	members
}

// formerOwners are the owners of one key in a membership that ended.
type formerOwners struct {
	until  int64
	owners Owners
}

// addOwners adds owners to a list; of those it has, the later end counts.
func addOwners(list []formerOwners, added formerOwners) []formerOwners {
	for i, known := range list {
		if slices.Equal(known.owners, added.owners) {
			list[i].until = max(known.until, added.until)
			return list
		}
	}
	return append(list, added)
}

// history holds the former members within the retention, oldest first.
type history struct {
	past []past
	// lostUntil is set when more memberships passed than are kept: until then
	// nothing is known for sure.
	lostUntil int64
}

// maxPast bounds the kept memberships.
const maxPast = 128

// add notes a membership that ended; of a known one the later end counts.
func (h *history) add(ended past, retention int64) {
	if len(ended.nodes) == 0 {
		return
	}
	for i, known := range h.past {
		if !slices.Equal(known.nodes, ended.nodes) {
			continue
		}
		if known.until >= ended.until {
			return
		}
		h.past = slices.Delete(h.past, i, i+1)
		break
	}
	at, _ := slices.BinarySearchFunc(h.past, ended.until, func(p past, until int64) int { return compare(p.until, until) })
	h.past = slices.Insert(h.past, at, ended)
	if len(h.past) > maxPast {
		h.lostUntil = max(h.lostUntil, h.past[0].until+retention)
		h.past = slices.Delete(h.past, 0, 1)
	}
}

// forget drops what left the retention.
func (h *history) forget(before int64) {
	kept := 0
	for kept < len(h.past) && h.past[kept].until < before {
		kept++
	}
	h.past = slices.Delete(h.past, 0, kept)
}

// owners lists the different former owners of a key.
func (h *history) owners(hash uint64) []formerOwners {
	var owners []formerOwners
	for _, former := range h.past {
		owners = addOwners(owners, formerOwners{former.until, former.members.owners(hash)})
	}
	return owners
}

// export returns owners as they go into an Answer, without those that the
// asker knows.
func export(list []formerOwners, known []Owners) []Past {
	var exported []Past
	for _, former := range list {
		if !knows(known, former.owners) {
			exported = append(exported, Past{Until: time.Unix(0, former.until), Owners: former.owners})
		}
	}
	return exported
}

func knows(known []Owners, owners Owners) bool {
	return slices.ContainsFunc(known, func(o Owners) bool { return slices.Equal(o, owners) })
}
