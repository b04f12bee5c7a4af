package node

import (
	"errors"
	"testing"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/wire"
)

// cacheZone is a controller whose engines are inventories written by the test.
type cacheZone struct {
	*prefixNode
	inventories map[cluster.MachineID]cluster.Inventory
	leaving     cluster.MachineID
}

// hold gives a machine a replica of model m.
func (z *cacheZone) hold(machine cluster.MachineID, version string, state cluster.ReplicaState) {
	z.inventories[machine] = cluster.Inventory{
		Machine: machine, Token: 9, Epoch: 1, Sequence: z.inventories[machine].Sequence + 1, MemoryBytes: 100, Slots: 4,
		Replicas: []cluster.Replica{{Model: "m", Version: version, State: state, Bytes: 10}},
	}
}

// pass ticks for ten seconds, answers seals, inventories and renewals, and returns
// the moves that began.
func (z *cacheZone) pass() (moves []EngineCall) {
	var list []cluster.Machine
	for _, id := range []cluster.MachineID{"a", "b", "c"} {
		list = append(list, cluster.Machine{ID: id, Zone: "z", Region: "r", Address: string(id) + ":2", Leaving: id == z.leaving})
	}
	waiting := z.step(MachinesListed{Machines: list, Version: uint64(z.now.Unix())})
	for tick := range 100 {
		z.now = z.now.Add(TickInterval)
		z.receive(wire.Heartbeat{
			From: cluster.Node{ID: "n2", Zone: "z", Region: "r", PeerAddress: "n2:1"}, Incarnation: 1, Sequence: uint64(tick),
		})
		for waiting = append(waiting, z.step(Tick{})...); len(waiting) > 0; {
			call, ok := waiting[0].(EngineCall)
			if renewal, is := waiting[0].(KeyValueCall); is && renewal.Operation == KeyValueKeepAlive {
				z.step(KeyValueAnswered{ID: renewal.ID, TTL: leaseTTL})
			}
			waiting = waiting[1:]
			switch {
			case ok && call.Operation == EngineMoveCache:
				moves = append(moves, call)
			case ok && call.Operation != EngineOrder:
				waiting = append(waiting, z.step(EngineAnswered{Call: call, Inventory: z.inventories[call.Machine.ID]})...)
			}
		}
	}
	return moves
}

func newCacheZone(t *testing.T) *cacheZone {
	z := &cacheZone{prefixNode: newPrefixNode(t, "c", time.Unix(1_000_000, 0)), inventories: map[cluster.MachineID]cluster.Inventory{}}
	z.lead()
	z.hold("a", "1", cluster.ReplicaLoaded)
	z.hold("b", "1", cluster.ReplicaLoaded)
	z.hold("c", "1", cluster.ReplicaLoading)
	z.pass()
	z.leaving = "a"
	return z
}

// TestCachesMoveToTheReplacement: only a replica that was loaded since the
// leaving, of the same version, gets the cache; routers are told once it has it.
func TestCachesMoveToTheReplacement(t *testing.T) {
	z := newCacheZone(t)
	if moves := z.pass(); len(moves) != 0 {
		t.Fatalf("moved to a replica that is loading, or has a cache of its own: %+v", moves)
	}
	z.hold("c", "2", cluster.ReplicaLoaded)
	if moves := z.pass(); len(moves) != 0 {
		t.Fatalf("moved to another version: %+v", moves)
	}
	z.hold("c", "1", cluster.ReplicaLoaded)
	moves := z.pass()
	if len(moves) != 1 || moves[0].Machine.ID != "a" || moves[0].Target.ID != "c" || moves[0].Token != 9 || moves[0].Version != "1" {
		t.Fatalf("moves %+v", moves)
	}
	if again := z.pass(); len(again) != 0 {
		t.Fatalf("moved again while it runs: %+v", again)
	}
	told := z.step(EngineAnswered{Call: moves[0]})
	want := wire.CacheMoved{Zone: "z", Model: "m", Machine: "a", Target: "c"}
	if len(told) == 0 || told[len(told)-1] != Effect(SendMessage{Address: "n2:1", Message: want}) {
		t.Errorf("told %+v", told)
	}
	if again := z.pass(); len(again) != 0 {
		t.Errorf("moved again: %+v", again)
	}
}

// TestMovesAreBounded: a move that fails is tried again, three times in all, and
// nobody is told of it; an outcome that comes after the term is ignored.
func TestMovesAreBounded(t *testing.T) {
	z := newCacheZone(t)
	z.pass()
	z.hold("c", "1", cluster.ReplicaLoaded)
	for attempt := range moveAttempts {
		moves := z.pass()
		if len(moves) != 1 {
			t.Fatalf("attempt %d: %+v", attempt, moves)
		}
		if told := z.step(EngineAnswered{Call: moves[0], Err: errors.New("cut")}); len(told) != 0 {
			t.Fatalf("told of a failure: %+v", told)
		}
	}
	if moves := z.pass(); len(moves) != 0 {
		t.Errorf("a fourth attempt: %+v", moves)
	}

	late := newCacheZone(t)
	late.pass()
	late.hold("c", "1", cluster.ReplicaLoaded)
	moves := late.pass()
	late.core.cellRole.control(authority.StaleToken{Machine: "a", Held: 10})
	late.step(Tick{})
	if told := late.step(EngineAnswered{Call: moves[0]}); len(told) != 0 {
		t.Errorf("told after the term: %+v", told)
	}
	if told := late.step(EngineAnswered{Call: moves[0], Err: &engine.StaleTokenError{Held: 10}}); len(told) != 0 {
		t.Errorf("told after the term: %+v", told)
	}
}
