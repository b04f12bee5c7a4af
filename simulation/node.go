package simulation

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// Traffic counts messages and their encoded bytes.
type Traffic struct {
	Messages, Bytes uint64
}

// Meter measures what the processes spend.
type Meter interface {
	// Now reads the clock that the times below are measured with.
	Now() time.Duration
	// Stepped is called after a core handled an event.
	Stepped(on *Node, event node.Event, took time.Duration)
	// Coded is called after a message was encoded or decoded on a node.
	Coded(on *Node, took time.Duration)
}

// Node is one process: a core between virtual clock and network. After a
// restart it is a new process at the same address.
type Node struct {
	world   *World
	Place   Place
	ID      cluster.NodeID
	address string
	seeds   []string
	number  int
	// run counts starts; events for an earlier run are dropped.
	run      int
	core     Core
	alive    bool
	draining bool
	paused   bool
	backlog  []node.Event
	// Steps counts events; Sent and Received what went to and came from peers
	// by message type, when messages are encoded.
	Steps          uint64
	Sent, Received map[string]Traffic
	// revision of the settings last put in force in this run.
	revision int64
	history  string
	started  time.Time
	// disturbedAt is when the node last was paused, restarted or cut off.
	disturbedAt time.Time
}

// Alive reports whether the process runs.
func (n *Node) Alive() bool { return n.alive }

// Core returns the running core, nil when the process is dead.
func (n *Node) Core() Core { return n.core }

// Forget drops the process without an end, to see what it kept in memory.
func (n *Node) Forget() { n.alive, n.core, n.backlog = false, nil, nil }

// start begins a new process.
func (n *Node) start() {
	n.run++
	n.ID = cluster.NodeID(fmt.Sprintf("n%03d-%d", n.number, n.run))
	n.alive, n.paused, n.draining, n.backlog = true, false, false, nil
	n.revision, n.history = 0, ""
	n.started, n.disturbedAt = n.world.Kernel.Now(), n.world.Kernel.Now()
	self := cluster.Node{
		ID: n.ID, Zone: n.Place.Zone, Region: n.Place.Region,
		PeerAddress: n.address, AdminAddress: n.address, CallerAddress: n.address,
	}
	seed := n.world.config.Seed ^ uint64(n.number+1)<<32 ^ uint64(n.run)<<8
	n.core = n.world.config.NewCore(self, n.seeds, seed)
	run := n.run
	n.world.Kernel.Every(0, n.world.config.TickInterval, LabelTick, func() bool {
		if n.run != run || !n.alive {
			return false
		}
		if !n.paused {
			n.deliver(node.Tick{})
		}
		return true
	})
}

// crash ends the process; its callers lose their connections.
func (n *Node) crash() {
	if !n.alive {
		return
	}
	n.alive, n.core, n.backlog = false, nil, nil
	n.disturbedAt = n.world.Kernel.Now()
	n.world.Callers.nodeDied(n)
}

// pause stops the process without ending it, as a stalled virtual machine does.
func (n *Node) pause() {
	n.paused = n.alive
	n.disturbedAt = n.world.Kernel.Now()
}

// resume lets the process go on with what came meanwhile.
func (n *Node) resume(run int) {
	if n.run != run || !n.alive || !n.paused {
		return
	}
	n.paused = false
	n.disturbedAt = n.world.Kernel.Now()
	backlog := n.backlog
	n.backlog = nil
	for _, event := range backlog {
		n.deliver(event)
	}
	n.deliver(node.Tick{})
}

// deliverTo passes an event to one run of the process.
func (n *Node) deliverTo(run int, event node.Event) {
	if n.run == run {
		n.deliver(event)
	}
}

// deliver passes an event to the core and carries out the effects.
func (n *Node) deliver(event node.Event) {
	if !n.alive {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, event)
		return
	}
	if n.world.config.Tamper.Event != nil {
		event = n.world.config.Tamper.Event(event)
	}
	n.Steps++
	effects := n.step(event)
	for _, effect := range effects {
		n.carryOut(effect)
	}
}

// step runs the core, metered if asked.
func (n *Node) step(event node.Event) []node.Effect {
	meter := n.world.config.Meter
	if meter == nil {
		return n.core.Step(n.world.Kernel.Now(), event)
	}
	began := meter.Now()
	effects := n.core.Step(n.world.Kernel.Now(), event)
	meter.Stepped(n, event, meter.Now()-began)
	return effects
}

// carryOut does what one effect asks for.
func (n *Node) carryOut(effect node.Effect) {
	w := n.world
	if w.config.Tamper.Effect != nil {
		if effect = w.config.Tamper.Effect(n, effect); effect == nil {
			return
		}
	}
	switch e := effect.(type) {
	case node.SendMessage:
		n.sendMessage(e)
	case node.KeyValueCall:
		w.KeyValue.Call(n, e)
	case node.EngineCall:
		n.callEngine(e)
	case node.ListMachines:
		n.listMachines()
	case node.ReadStoreStatus:
		n.readStoreStatus()
	case node.RoutingOutput:
		w.Callers.carryOut(n, e.Effect)
	case node.SettingsInForce:
		w.Checkers.inForce(n, e.Snapshot.Stamp)
	case node.Drained:
		w.Checkers.drained(n)
		n.drained()
	}
}

// drained ends a planned stop.
func (n *Node) drained() {
	run := n.run
	n.world.Kernel.After(0, LabelFault, func() {
		if n.run == run && n.alive {
			n.alive, n.core = false, nil
		}
	})
}

// sendMessage gives a message to the network.
func (n *Node) sendMessage(send node.SendMessage) {
	w := n.world
	w.Messages.Messages++
	to, ok := w.byPeer[send.Address]
	if !ok {
		return
	}
	if !w.config.EncodeMessages {
		w.Network.Send(n.Place, to.Place, func() { to.deliver(node.MessageReceived{Message: send.Message}) })
		return
	}
	data := n.encode(send.Message)
	w.Network.Send(n.Place, to.Place, func() { to.receive(data) })
}

// encode passes a message through the codec and counts it.
func (n *Node) encode(message wire.Message) []byte {
	began := n.meterNow()
	data, err := wire.Encode(message)
	if err != nil {
		panic(fmt.Sprintf("simulation: encode %T: %v", message, err))
	}
	n.coded(began)
	n.world.Messages.Bytes += uint64(len(data))
	count(&n.Sent, message, len(data))
	return data
}

// receive decodes a message and passes it to the core.
func (n *Node) receive(data []byte) {
	if !n.alive {
		return
	}
	began := n.meterNow()
	message, err := wire.Decode(data)
	if err != nil {
		panic(fmt.Sprintf("simulation: decode %d bytes: %v", len(data), err))
	}
	n.coded(began)
	count(&n.Received, message, len(data))
	n.deliver(node.MessageReceived{Message: message})
}

// meterNow reads the meter's clock, if there is a meter.
func (n *Node) meterNow() time.Duration {
	if n.world.config.Meter == nil {
		return 0
	}
	return n.world.config.Meter.Now()
}

// coded meters the codec.
func (n *Node) coded(began time.Duration) {
	if meter := n.world.config.Meter; meter != nil {
		meter.Coded(n, meter.Now()-began)
	}
}

// count adds a message to the traffic by type.
func count(by *map[string]Traffic, message wire.Message, bytes int) {
	if *by == nil {
		*by = map[string]Traffic{}
	}
	kind := fmt.Sprintf("%T", message)
	counted := (*by)[kind]
	counted.Messages++
	counted.Bytes += uint64(bytes)
	(*by)[kind] = counted
}

// answer passes an event to the process after a delay.
func (n *Node) answer(after time.Duration, event node.Event) {
	run := n.run
	n.world.Kernel.After(after, LabelEngineAnswer, func() { n.deliverTo(run, event) })
}

// callEngine carries a control call to an engine and its answer back.
func (n *Node) callEngine(call node.EngineCall) {
	w := n.world
	w.EngineCalls[call.Operation]++
	place := Place{Zone: call.Machine.Zone, Region: call.Machine.Region}
	fail := func(after time.Duration, v verdict.Verdict) {
		err := verdict.New(v, verdict.CodeUnavailable, "engine unreachable")
		n.answer(after, node.EngineAnswered{Call: call, Err: err})
	}
	if !w.Network.Reachable(n.Place, place) {
		fail(callTimeout, verdict.MayHaveRun)
		return
	}
	there := w.Network.Delay(n.Place, place)
	run := n.run
	w.Kernel.After(there, LabelEngineCall, func() {
		if n.run != run {
			// The order was on its way when the process died; it still counts.
			w.applyEngineCall(call)
			return
		}
		machine, ok := w.engines[call.Machine.ID]
		if !ok || !machine.Alive {
			fail(there, verdict.NotRun)
			return
		}
		answered := w.applyEngineCall(call)
		if w.faults.Float64() < w.disturbed.lostEngineAnswers || !w.Network.Reachable(place, n.Place) {
			fail(callTimeout, verdict.MayHaveRun)
			return
		}
		n.answer(there, answered)
	})
}

// applyEngineCall executes a control call at the engine.
func (w *World) applyEngineCall(call node.EngineCall) node.EngineAnswered {
	answered := node.EngineAnswered{Call: call}
	machine, ok := w.engines[call.Machine.ID]
	if !ok || !machine.Alive {
		return answered
	}
	switch call.Operation {
	case node.EngineSeal:
		answered.Inventory, answered.Err = machine.Seal(call.Token)
	case node.EngineOrder:
		answered.Inventory, answered.Err = machine.Order(call.Order)
	case node.EngineInventory:
		answered.Inventory = machine.Inventory()
	case node.EngineReport:
		answered.Report = machine.Report()
	case node.EngineMoveCache:
		answered.Err = machine.moveCache(call, w.engines[call.Target.ID])
	}
	return answered
}

// listMachines reads the machine list.
func (n *Node) listMachines() {
	w := n.world
	w.ListReads++
	if !w.Network.Reachable(n.Place, w.List.place) {
		n.answer(callTimeout, node.MachinesListed{Err: errWatchBroken})
		return
	}
	list, version := w.List.read(w.Kernel.Now())
	n.answer(2*w.Network.Delay(n.Place, w.List.place), node.MachinesListed{Machines: list, Version: version})
}

// readStoreStatus reads the weight store's status.
func (n *Node) readStoreStatus() {
	w := n.world
	w.StoreReads++
	if !w.Network.Reachable(n.Place, w.List.place) {
		n.answer(callTimeout, node.StoreStatusRead{Err: errWatchBroken})
		return
	}
	n.answer(2*w.Network.Delay(n.Place, w.List.place), node.StoreStatusRead{Status: w.Store.Status()})
}
