package fleet

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
)

// nodeSet holds the newest record of each machine. The record of a restarted process replaces
// that of its predecessor, whose lease may not have expired yet.
type nodeSet struct {
	live map[cluster.NodeID]NodeEntry
	// machines maps each named machine to its node.
	machines map[string]cluster.NodeID
	// unconfirmed are the live nodes whose records the store lost, and until when they count as live.
	unconfirmed map[cluster.NodeID]time.Time
}

func newNodeSet() nodeSet {
	return nodeSet{live: map[cluster.NodeID]NodeEntry{}, machines: map[string]cluster.NodeID{}, unconfirmed: map[cluster.NodeID]time.Time{}}
}

// eraBegan gives the records their revisions in a later era of the store.
func (s nodeSet) eraBegan(era keyvalue.Era) {
	for id, entry := range s.live {
		entry.Revision = inEra(entry.Revision, era)
		s.live[id] = entry
	}
}

// put adds a record unless its machine has a newer one.
func (s nodeSet) put(entry NodeEntry) {
	if entry.Machine != "" {
		if id, known := s.machines[entry.Machine]; known && id != entry.ID {
			if s.live[id].Revision > entry.Revision {
				return
			}
			delete(s.live, id)
			delete(s.unconfirmed, id)
		}
		s.machines[entry.Machine] = entry.ID
	}
	s.live[entry.ID] = entry
	delete(s.unconfirmed, entry.ID)
}

// remove removes the record of a node.
func (s nodeSet) remove(id cluster.NodeID) {
	if machine := s.live[id].Machine; s.machines[machine] == id {
		delete(s.machines, machine)
	}
	delete(s.live, id)
	delete(s.unconfirmed, id)
}

// clear removes all records except unconfirmed ones.
func (s nodeSet) clear() {
	for id := range s.live {
		if _, unconfirmed := s.unconfirmed[id]; !unconfirmed {
			s.remove(id)
		}
	}
}
