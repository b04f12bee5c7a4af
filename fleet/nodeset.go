package fleet

import "github.com/valveslip/valveslip/cluster"

// nodeSet holds the newest record of each machine. The record of a restarted process replaces
// that of its predecessor, whose lease may not have expired yet.
type nodeSet struct {
	live map[cluster.NodeID]NodeEntry
	// machines maps each named machine to its node.
	machines map[string]cluster.NodeID
}

func newNodeSet() nodeSet {
	return nodeSet{live: map[cluster.NodeID]NodeEntry{}, machines: map[string]cluster.NodeID{}}
}

// put adds a record unless its machine has a newer one.
func (s nodeSet) put(entry NodeEntry) {
	if entry.Machine != "" {
		if id, known := s.machines[entry.Machine]; known && id != entry.ID {
			if s.live[id].Revision > entry.Revision {
				return
			}
			delete(s.live, id)
		}
		s.machines[entry.Machine] = entry.ID
	}
	s.live[entry.ID] = entry
}

// remove removes the record of a node.
func (s nodeSet) remove(id cluster.NodeID) {
	if machine := s.live[id].Machine; s.machines[machine] == id {
		delete(s.machines, machine)
	}
	delete(s.live, id)
}

// clear removes all records.
func (s nodeSet) clear() {
	clear(s.live)
	clear(s.machines)
}
