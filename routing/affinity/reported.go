package affinity

import "github.com/valveslip/valveslip/cluster"

// ReportedPrefix returns the prefix that is reported to other routers for a prompt: the longest one
// that they look up. The next turn of a conversation is at least as long, so its lookup finds this
// prefix before all shorter ones. It returns false for an empty prompt.
func ReportedPrefix(prefixes []uint64) (uint64, bool) {
	for i := len(prefixLengths) - 1; i >= 0; i-- {
		if prefixLengths[i] <= len(prefixes) {
			return prefixes[prefixLengths[i]-1], true
		}
	}
	return 0, false
}

// AddReported records a report that a machine's engine processed a prompt with this longest prefix
// some seconds ago.
func (x *Index) AddReported(nanos int64, machine cluster.MachineID, model cluster.ModelID, prefix uint64) {
	x.addHolder(nanos, modelKey(model), prefix, x.machine(machine), 1)
}

// CopyCache records that the cache of a model was copied from one machine to another.
func (x *Index) CopyCache(nanos int64, model cluster.ModelID, from, to cluster.MachineID) {
	source := x.machines[from]
	if source == nil || from == to {
		return
	}
	modelHash := modelKey(model)
	for i := range x.blocks {
		if x.blocks[i].model == modelHash {
			x.copyHolder(nanos, &x.blocks[i], source, to)
		}
	}
}

// copyHolder records that one block was copied, if the source holds it.
func (x *Index) copyHolder(nanos int64, copied *block, source *machine, to cluster.MachineID) {
	for h := range copied.holders {
		held := &copied.holders[h]
		if held.machine != source {
			continue
		}
		if strength := x.strength(nanos, held); strength >= minStrength {
			x.addHolder(nanos, copied.model, copied.key^copied.model, x.machine(to), strength)
		}
		return
	}
}
