package pacing

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// TestSlotTurnsInUseStayWithinSlots checks on random sequences of requests, returns and lost returns that
// a pacer never has more turns in use at a brittle machine than it has slots. A turn that is not returned
// counts for slotTurnLife.
func TestSlotTurnsInUseStayWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		core := New(Peer{ID: "pacer", Address: "pacer:1", Machine: "host"})
		now := time.Unix(1000, 0)
		core.Step(now, PeersChanged{})
		inUse := map[int64]time.Time{}
		number := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			var event Event = Tick{}
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				number++
				event = MessageReceived{Message: wire.TurnRequest{From: "asker", FromAddress: "asker:1", Number: number, Machine: "m", Slots: slots}}
			case 1:
				for oldest := range inUse {
					delete(inUse, oldest)
					event = MessageReceived{Message: wire.TurnReturned{From: "asker", Number: oldest, Machine: "m"}}
					break
				}
			}
			for _, effect := range core.Step(now, event) {
				if send, ok := effect.(Send); ok {
					if answer := send.Message.(wire.TurnAnswer); answer.Granted {
						inUse[answer.Number] = now
					}
				}
			}
			for granted, at := range inUse {
				if now.Sub(at) >= slotTurnLife {
					delete(inUse, granted)
				}
			}
			if len(inUse) > slots {
				t.Fatalf("%d turns in use at %d slots", len(inUse), slots)
			}
		}
	})
}

// TestReturnedSlotTurnGoesToWhoWaits guards against slots that stay empty although requests wait for them.
func TestReturnedSlotTurnGoesToWhoWaits(t *testing.T) {
	core := New(Peer{ID: "pacer", Address: "pacer:1", Machine: "host"})
	now := time.Unix(1000, 0)
	core.Step(now, PeersChanged{})
	ask := func(number int64) []Effect {
		return core.Step(now, MessageReceived{Message: wire.TurnRequest{From: "asker", FromAddress: "asker:1", Number: number, Machine: "m", Slots: 1}})
	}
	ask(1)
	now = now.Add(firstTurnsTime)
	if got := granted(core.Step(now, Tick{})); len(got) != 0 {
		t.Fatalf("granted %v to a request that timed out", got)
	}
	if got := granted(ask(2)); len(got) != 1 || got[0] != 2 {
		t.Fatalf("granted %v, want 2", got)
	}
	if got := granted(ask(3)); len(got) != 0 {
		t.Fatalf("granted %v beyond the slot", got)
	}
	returned := core.Step(now, MessageReceived{Message: wire.TurnReturned{From: "asker", Number: 2, Machine: "m"}})
	if got := granted(returned); len(got) != 1 || got[0] != 3 {
		t.Fatalf("granted %v after the return, want 3", got)
	}
}

// TestLateSlotTurnIsHandedOn guards against a slot that stays empty for seconds because its turn was granted
// to a request that had timed out: whoever asked must hear of the turn, once, to use or return it.
func TestLateSlotTurnIsHandedOn(t *testing.T) {
	core := New(Peer{ID: "asker", Address: "asker:1", Machine: "host"})
	now := time.Unix(1000, 0)
	core.Step(now, PeersChanged{Peers: []Peer{{ID: "a", Address: "a:1", Machine: "ha"}, {ID: "b", Address: "b:1", Machine: "hb"}, {ID: "c", Address: "c:1", Machine: "hc"}}})
	machine := machinePacedByOthers(t, core)
	pacer := core.pacers(machine)[0]
	var asked wire.TurnRequest
	for _, effect := range core.Step(now, TurnRequested{Machine: machine, Slots: 2, PerSecond: 10}) {
		asked = effect.(Send).Message.(wire.TurnRequest)
	}
	now = now.Add(answerTimeout)
	if got := core.Step(now, Tick{}); len(got) != 1 || got[0].(TurnDecided).Granted {
		t.Fatalf("effects %v of a request that was not answered in time, want a denial", got)
	}
	late := MessageReceived{Message: wire.TurnAnswer{From: pacer.ID, Number: asked.Number, Granted: true}}
	want := TurnDecided{Machine: machine, Granted: true, By: pacer.ID, Number: asked.Number}
	if got := core.Step(now, late); len(got) != 1 || got[0] != want {
		t.Fatalf("effects %v of the late turn, want %v", got, want)
	}
	if got := core.Step(now, late); len(got) != 0 {
		t.Fatalf("effects %v of the same answer once more, want none", got)
	}
	returned := wire.TurnReturned{From: core.self.ID, Number: asked.Number, Machine: machine}
	got := core.Step(now, TurnReturned{Machine: machine, Number: asked.Number, By: pacer.ID})
	if len(got) != 1 || got[0] != (Send{Address: pacer.Address, Message: returned}) {
		t.Fatalf("effects %v of the return, want %v sent to %s", got, returned, pacer.Address)
	}
}

// granted returns the numbers of the requests that got a turn.
func granted(effects []Effect) []int64 {
	var numbers []int64
	for _, effect := range effects {
		if send, ok := effect.(Send); ok {
			if answer, ok := send.Message.(wire.TurnAnswer); ok && answer.Granted {
				numbers = append(numbers, answer.Number)
			}
		}
	}
	return numbers
}

// TestBusyPacerIsNotJoinedByAnother guards against two nodes that each grant all turns at a brittle machine
// because one of them answers late: the machine gets twice as many requests as it has slots.
func TestBusyPacerIsNotJoinedByAnother(t *testing.T) {
	core := New(Peer{ID: "asker", Address: "asker:1", Machine: "host"})
	now := time.Unix(1000, 0)
	core.Step(now, PeersChanged{Peers: []Peer{{ID: "a", Address: "a:1", Machine: "ha"}, {ID: "b", Address: "b:1", Machine: "hb"}, {ID: "c", Address: "c:1", Machine: "hc"}}})
	machine := machinePacedByOthers(t, core)
	pacers := core.pacers(machine)
	asked := map[string]time.Time{}
	began := now
	for ; now.Sub(began) < 3*slotPacerLoss; now = now.Add(lateRetryDelay + answerTimeout) {
		for _, effect := range append(append([]Effect{}, core.Step(now, Tick{})...), core.Step(now, TurnRequested{Machine: machine, Slots: 2, PerSecond: 10})...) {
			if send, ok := effect.(Send); ok && asked[send.Address].IsZero() {
				asked[send.Address] = now
			}
		}
	}
	if at := asked[pacers[0].Address]; !at.Equal(began) {
		t.Errorf("the first pacer was asked %s after the first request", at.Sub(began))
	}
	if at := asked[pacers[1].Address]; at.IsZero() || at.Sub(began) < slotPacerLoss {
		t.Errorf("the second pacer was asked %s after the first request to the silent one", at.Sub(began))
	}
}

// machinePacedByOthers returns a machine for which the node of the core is no pacer.
func machinePacedByOthers(t *testing.T, core *Core) cluster.MachineID {
	t.Helper()
	for n := range 100 {
		machine := cluster.MachineID("m" + strconv.Itoa(n))
		if !slices.ContainsFunc(core.pacers(machine), func(p Peer) bool { return p.ID == core.self.ID }) {
			return machine
		}
	}
	t.Fatal("the node is a pacer of all machines")
	return ""
}
