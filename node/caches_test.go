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

// cacheMoveFixture is a controller whose engines report the inventories that the test
// sets.
type cacheMoveFixture struct {
	*coreFixture
	inventories map[cluster.MachineID]cluster.Inventory
	leaving     cluster.MachineID
}

// setReplica makes a replica of model m the only replica of a machine.
func (z *cacheMoveFixture) setReplica(machine cluster.MachineID, version string, state cluster.ReplicaState) {
	z.inventories[machine] = cluster.Inventory{
		Machine: machine, Token: 9, Epoch: 1, Sequence: z.inventories[machine].Sequence + 1, MemoryBytes: 100, Slots: 4,
		Replicas: []cluster.Replica{{Model: "m", Version: version, State: state, Bytes: 10}},
	}
}

// runTenSeconds ticks for ten seconds, answers seals, inventories and lease renewals,
// and returns the cache moves that started.
func (z *cacheMoveFixture) runTenSeconds() (moves []EngineCall) {
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
			if renewal, isCall := waiting[0].(KeyValueCall); isCall && renewal.Operation == KeyValueKeepAlive {
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

func newCacheMoveFixture(t *testing.T) *cacheMoveFixture {
	z := &cacheMoveFixture{coreFixture: newCoreFixture(t, "c", time.Unix(1_000_000, 0)), inventories: map[cluster.MachineID]cluster.Inventory{}}
	z.becomeController()
	z.setReplica("a", "1", cluster.ReplicaLoaded)
	z.setReplica("b", "1", cluster.ReplicaLoaded)
	z.setReplica("c", "1", cluster.ReplicaLoading)
	z.runTenSeconds()
	z.leaving = "a"
	return z
}

// TestCacheMovesOnlyToReplicaLoadedAfterDeparture checks that the cache of a leaving
// machine is copied only to a replica of the same version that was loaded after the
// machine began to leave, and that routers learn of it only when the copy is complete.
func TestCacheMovesOnlyToReplicaLoadedAfterDeparture(t *testing.T) {
	z := newCacheMoveFixture(t)
	if moves := z.runTenSeconds(); len(moves) != 0 {
		t.Fatalf("cache moved to a replica that is loading or that was loaded before the departure: %+v", moves)
	}
	z.setReplica("c", "2", cluster.ReplicaLoaded)
	if moves := z.runTenSeconds(); len(moves) != 0 {
		t.Fatalf("cache moved to a replica of another version: %+v", moves)
	}
	z.setReplica("c", "1", cluster.ReplicaLoaded)
	moves := z.runTenSeconds()
	if len(moves) != 1 || moves[0].Machine.ID != "a" || moves[0].Target.ID != "c" || moves[0].Token != 9 || moves[0].Version != "1" {
		t.Fatalf("moves %+v, want one move of version 1 from a to c with token 9", moves)
	}
	if again := z.runTenSeconds(); len(again) != 0 {
		t.Fatalf("second move started while the first one runs: %+v", again)
	}
	effects := z.step(EngineAnswered{Call: moves[0]})
	want := wire.CacheMoved{Zone: "z", Model: "m", Machine: "a", Target: "c"}
	if len(effects) == 0 || effects[len(effects)-1] != Effect(SendMessage{Address: "n2:1", Message: want}) {
		t.Errorf("effects after the move: %+v", effects)
	}
	if again := z.runTenSeconds(); len(again) != 0 {
		t.Errorf("cache moved again after success: %+v", again)
	}
}

// TestFailedCacheMoveIsRetriedUpToMaximum checks that a failed move is tried at most
// maxMoveAttempts times and not announced, and that an outcome that arrives after the
// controller's term is ignored.
func TestFailedCacheMoveIsRetriedUpToMaximum(t *testing.T) {
	z := newCacheMoveFixture(t)
	z.runTenSeconds()
	z.setReplica("c", "1", cluster.ReplicaLoaded)
	for attempt := range maxMoveAttempts {
		moves := z.runTenSeconds()
		if len(moves) != 1 {
			t.Fatalf("attempt %d: %+v", attempt, moves)
		}
		if effects := z.step(EngineAnswered{Call: moves[0], Err: errors.New("cut")}); len(effects) != 0 {
			t.Fatalf("failed move was announced: %+v", effects)
		}
	}
	if moves := z.runTenSeconds(); len(moves) != 0 {
		t.Errorf("attempt after the maximum: %+v", moves)
	}

	late := newCacheMoveFixture(t)
	late.runTenSeconds()
	late.setReplica("c", "1", cluster.ReplicaLoaded)
	moves := late.runTenSeconds()
	late.core.cellRole.stepController(authority.StaleToken{Machine: "a", Held: 10})
	late.step(Tick{})
	if effects := late.step(EngineAnswered{Call: moves[0]}); len(effects) != 0 {
		t.Errorf("effects after the end of the term: %+v", effects)
	}
	if effects := late.step(EngineAnswered{Call: moves[0], Err: &engine.StaleTokenError{Held: 10}}); len(effects) != 0 {
		t.Errorf("effects after the end of the term: %+v", effects)
	}
}
