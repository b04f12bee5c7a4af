package origins

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// nameArchivist tells all nodes which one stores origins.
func (s *simulation) nameArchivist(id cluster.NodeID) {
	for node := range s.nodes {
		s.step(node, ArchivistChanged{Archivist: Peer{ID: id, Address: string(id)}})
	}
}

// unarchived returns the origins that a node is to store, sorted by request.
func (s *simulation) unarchived(id cluster.NodeID) []Archived {
	taken := s.nodes[id].core.TakeUnarchived(maxUnarchived)
	slices.SortFunc(taken, func(a, b Archived) int {
		if a.Request < b.Request {
			return -1
		}
		return 1
	})
	return taken
}

// TestArchivistGetsEachOriginOnce guards against origins that are lost with all nodes since the node that stores them
// was not told, and against origins that are stored again and again.
func TestArchivistGetsEachOriginOnce(t *testing.T) {
	s := newSimulation(1, 9)
	s.nameArchivist("n0")
	s.mix()
	for i := range 40 {
		s.begin(cluster.NodeID(fmt.Sprintf("n%d", i%9)), streamID(i), releaseOf(i))
	}
	s.run(time.Second)
	first := s.unarchived("n0")
	if len(first) != 40 {
		t.Errorf("%d of 40 origins are to be stored", len(first))
	}
	for _, origin := range first {
		var n int
		if _, err := fmt.Sscanf(string(origin.Request), "stream-%d", &n); err != nil || origin.Release != releaseOf(n) {
			t.Errorf("%v is to be stored, want release %s", origin, releaseOf(n))
		}
	}
	s.kill("n8")
	s.tellPeers()
	s.run(time.Second)
	if again := s.unarchived("n0"); len(again) != 0 {
		t.Errorf("%d origins are to be stored again", len(again))
	}
	s.nameArchivist("n1")
	s.run(time.Second)
	if moved := s.unarchived("n1"); len(moved) != 36 {
		t.Errorf("the next archivist is to store %d origins, want the 36 of the nodes that live", len(moved))
	}
}

// TestArchivistStoresChangedRelease guards against a stored origin that stays at the release that was believed first.
func TestArchivistStoresChangedRelease(t *testing.T) {
	s := newSimulation(1, 5)
	s.nameArchivist("n0")
	s.mix()
	for _, relay := range []cluster.NodeID{"n0", "n1"} {
		stream := cluster.RequestID("by " + relay)
		s.begin(relay, stream, "v1")
		s.run(time.Second)
		s.unarchived("n0")
		s.begin(relay, stream, "v2")
		s.run(time.Second)
		if again := s.unarchived("n0"); len(again) != 1 || again[0].Release != "v2" {
			t.Errorf("%s: %v is to be stored after the change", stream, again)
		}
	}
}

// TestStoredOriginEndsLookupAndIsNotReplicated guards against callers that are refused although the store tells where
// their stream began, and against nodes that send each other what all of them have read.
func TestStoredOriginEndsLookupAndIsNotReplicated(t *testing.T) {
	s := newSimulation(1, 9)
	s.mix()
	s.step("n1", LookupRequested{Request: "asked", Mixed: true})
	s.step("n1", Learned{Origins: []Archived{{Request: "asked", Release: "v1"}, {Request: "asked", Release: "v2"}, {Request: "other", Release: "v1"}}})
	if found := s.found["asked"]; !found.Known {
		t.Errorf("found %v", found)
	}
	if found := s.ask("n1", "asked"); !found.Known || found.Release != "v2" {
		t.Errorf("found %v, want the newest", found)
	}
	sent := s.sent["wire.StreamOrigins"]
	s.kill("n8")
	s.tellPeers()
	s.run(time.Second)
	if s.sent["wire.StreamOrigins"] != sent {
		t.Errorf("%d messages with stored origins", s.sent["wire.StreamOrigins"]-sent)
	}
	s.begin("n1", "own", "v1")
	s.step("n1", Learned{Origins: []Archived{{Request: "own", Release: "v2"}}})
	if found := s.ask("n1", "own"); found.Release != "v1" {
		t.Errorf("a stored origin replaced that of a stream which this node relays: %v", found)
	}
}

// TestUnarchivedOriginsAreBounded guards against memory that grows while the store takes no writes.
func TestUnarchivedOriginsAreBounded(t *testing.T) {
	core := New(Peer{ID: "n0", Address: "n0"})
	now := time.Unix(1000, 0)
	core.Step(now, ArchivistChanged{Archivist: Peer{ID: "n0"}})
	core.Step(now, ServiceChanged{Service: testService, Mixed: true})
	for i := range 3 * maxUnarchived {
		core.Step(now, MessageReceived{Message: wire.StreamOrigins{
			From: "n1", Number: int64(i), Streams: []wire.StreamOrigin{{Request: streamID(i), Release: "v1", Left: time.Minute}},
		}})
	}
	if core.Unarchived() != maxUnarchived {
		t.Errorf("%d origins wait to be stored, at most %d may", core.Unarchived(), maxUnarchived)
	}
}
