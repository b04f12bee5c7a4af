package idempotency

import (
	"slices"
	"time"
)

// pastMembership is a set of members that ended at a time in nanoseconds since the Unix epoch.
type pastMembership struct {
	until int64
	members
}

// formerOwners are the owners of one key in a membership that ended.
type formerOwners struct {
	until  int64
	owners Owners
}

// addOwners adds owners to a list. If the list contains them already, the later end is kept.
func addOwners(list []formerOwners, added formerOwners) []formerOwners {
	for i, known := range list {
		if slices.Equal(known.owners, added.owners) {
			list[i].until = max(known.until, added.until)
			return list
		}
	}
	return append(list, added)
}

// history holds the past memberships within the retention, the oldest first.
type history struct {
	memberships []pastMembership
	// incompleteUntil is set when a membership was dropped before the end of its retention; until
	// then the former owners of a key are not reliably known.
	incompleteUntil int64
}

// maxPastMemberships bounds the memberships that are kept.
const maxPastMemberships = 128

// add adds a membership that ended. If the history contains it already, the later end is kept.
func (h *history) add(ended pastMembership, retention int64) {
	if len(ended.nodes) == 0 {
		return
	}
	for i, known := range h.memberships {
		if !slices.Equal(known.nodes, ended.nodes) {
			continue
		}
		if known.until >= ended.until {
			return
		}
		h.memberships = slices.Delete(h.memberships, i, i+1)
		break
	}
	at, _ := slices.BinarySearchFunc(h.memberships, ended.until, func(p pastMembership, until int64) int { return compare(p.until, until) })
	h.memberships = slices.Insert(h.memberships, at, ended)
	if len(h.memberships) > maxPastMemberships {
		h.incompleteUntil = max(h.incompleteUntil, h.memberships[0].until+retention)
		h.memberships = slices.Delete(h.memberships, 0, 1)
	}
}

// prune removes the memberships that ended before the given time.
func (h *history) prune(before int64) {
	kept := 0
	for kept < len(h.memberships) && h.memberships[kept].until < before {
		kept++
	}
	h.memberships = slices.Delete(h.memberships, 0, kept)
}

// owners lists the distinct former owners of a key.
func (h *history) owners(hash uint64) []formerOwners {
	var owners []formerOwners
	for _, former := range h.memberships {
		owners = addOwners(owners, formerOwners{former.until, former.members.owners(hash)})
	}
	return owners
}

// exportOwners converts owners for an Answer and omits those that the asker knows.
func exportOwners(list []formerOwners, known []Owners) []Past {
	var exported []Past
	for _, former := range list {
		if !containsOwners(known, former.owners) {
			exported = append(exported, Past{Until: time.Unix(0, former.until), Owners: former.owners})
		}
	}
	return exported
}

// containsOwners reports whether the list contains the owners.
func containsOwners(known []Owners, owners Owners) bool {
	return slices.ContainsFunc(known, func(o Owners) bool { return slices.Equal(o, owners) })
}
