package affinity

import (
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Ledger collects which prompts went where until they are told to others, the
// newest ones when there are too many. The zero value holds one entry at most.
type Ledger struct {
	limit int
	// entries by age, the oldest first.
	entries []ledgerEntry
}

type ledgerEntry struct {
	machine cluster.MachineID
	model   cluster.ModelID
	prefix  uint64
}

// NewLedger returns an empty ledger of at most limit entries.
func NewLedger(limit int) *Ledger { return &Ledger{limit: limit} }

// Note adds a prompt's longest prefix. A repeated one counts as new.
func (l *Ledger) Note(machine cluster.MachineID, model cluster.ModelID, prefix uint64) {
	added := ledgerEntry{machine, model, prefix}
	if at := slices.Index(l.entries, added); at >= 0 {
		l.entries = slices.Delete(l.entries, at, at+1)
	} else if len(l.entries) > 0 && len(l.entries) >= l.limit {
		l.entries = slices.Delete(l.entries, 0, 1)
	}
	l.entries = append(l.entries, added)
}

// NoteGroups adds what a router told, so that its newest entries stay longest.
func (l *Ledger) NoteGroups(groups []wire.PrefixGroup) {
	for _, group := range groups {
		for _, prefix := range slices.Backward(group.Hashes) {
			l.Note(group.Machine, group.Model, prefix)
		}
	}
}

// Take empties the ledger. The groups are sorted by machine and model and hold
// the newest prefix first.
func (l *Ledger) Take() []wire.PrefixGroup {
	taken := l.entries
	l.entries = nil
	slices.Reverse(taken)
	slices.SortStableFunc(taken, func(a, b ledgerEntry) int {
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
