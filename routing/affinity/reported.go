package affinity

import "github.com/valveslip/valveslip/cluster"

// Longest returns the prefix by which other routers are told of a prompt: the
// longest one that they look up. The turn that follows in a conversation is at
// least as long, so it finds that one before all shorter ones.
func Longest(prefixes []uint64) (uint64, bool) {
	for i := len(grid) - 1; i >= 0; i-- {
		if grid[i] <= len(prefixes) {
			return prefixes[grid[i]-1], true
		}
	}
	return 0, false
}

// Told notes that a machine's engine has read a prompt with this longest prefix
// some seconds ago.
func (x *Index) Told(nanos int64, by cluster.MachineID, model cluster.ModelID, prefix uint64) {
	x.hold(nanos, modelKey(model), prefix, x.machine(by), 1)
}

// Moved notes that the cache of a model on one machine was copied to another.
func (x *Index) Moved(nanos int64, model cluster.ModelID, from, to cluster.MachineID) {
	source := x.machines[from]
	if source == nil || from == to {
		return
	}
	of := modelKey(model)
	for i := range x.blocks {
		if x.blocks[i].model == of {
			x.movedBlock(nanos, &x.blocks[i], source, to)
		}
	}
}

// movedBlock notes that one block was copied if the source holds it.
func (x *Index) movedBlock(nanos int64, copied *block, source *machine, to cluster.MachineID) {
	for h := range copied.holders {
		held := &copied.holders[h]
		if held.machine != source {
			continue
		}
		if strength := x.strength(nanos, held); strength >= weakest {
			x.hold(nanos, copied.model, copied.key^copied.model, x.machine(to), strength)
		}
		return
	}
}
