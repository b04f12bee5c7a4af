package affinity

import (
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// PrefixLog collects the prompts that were sent to machines until they are reported to other
// routers. If there are too many, it keeps the newest. The zero value holds at most one entry.
type PrefixLog struct {
	limit int
	// entries are ordered by age, the oldest first.
	entries []prefixLogEntry
}

type prefixLogEntry struct {
	machine cluster.MachineID
	model   cluster.ModelID
	prefix  uint64
}

// NewPrefixLog returns an empty log of at most limit entries.
func NewPrefixLog(limit int) *PrefixLog { return &PrefixLog{limit: limit} }

// Note adds the longest prefix of a prompt. A prefix that is already known becomes the newest.
func (l *PrefixLog) Note(machine cluster.MachineID, model cluster.ModelID, prefix uint64) {
	added := prefixLogEntry{machine, model, prefix}
	if at := slices.Index(l.entries, added); at >= 0 {
		l.entries = slices.Delete(l.entries, at, at+1)
	} else if len(l.entries) > 0 && len(l.entries) >= l.limit {
		l.entries = slices.Delete(l.entries, 0, 1)
	}
	l.entries = append(l.entries, added)
}

// NoteGroups adds the prefixes that a router reported, whose newest ones are kept longest.
func (l *PrefixLog) NoteGroups(groups []wire.PrefixGroup) {
	for _, group := range groups {
		for _, prefix := range slices.Backward(group.Hashes) {
			l.Note(group.Machine, group.Model, prefix)
		}
	}
}

// Take returns and removes all entries. The groups are sorted by machine and model, and their
// prefixes from the newest to the oldest.
func (l *PrefixLog) Take() []wire.PrefixGroup {
	taken := l.entries
	l.entries = nil
	slices.Reverse(taken)
	slices.SortStableFunc(taken, func(a, b prefixLogEntry) int {
		return cmp.Or(cmp.Compare(a.machine, b.machine), cmp.Compare(a.model, b.model))
	})
	var groups []wire.PrefixGroup
	for _, entry := range taken {
		last := len(groups) - 1
		if last < 0 || groups[last].Machine != entry.machine || groups[last].Model != entry.model {
			groups = append(groups, wire.PrefixGroup{Machine: entry.machine, Model: entry.model})
			last++
		}
		groups[last].Hashes = append(groups[last].Hashes, entry.prefix)
	}
	return groups
}
