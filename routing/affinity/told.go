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
	x.hold(nanos, blockKey(modelKey(model), prefix), x.machine(by), 1)
}
