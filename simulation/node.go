package simulation

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// Traffic holds a number of messages and of their encoded bytes.
type Traffic struct {
	Messages, Bytes uint64
}

// Meter measures the time that cores and the codec take.
type Meter interface {
	// Now returns the reading of the clock for RecordStep and RecordCodec.
	Now() time.Duration
	// RecordStep is called after a core handled an event.
	RecordStep(on *Node, event node.Event, took time.Duration)
	// RecordCodec is called after a message was encoded or decoded on a node.
	RecordCodec(on *Node, took time.Duration)
}

// Node is one process that runs a core on the virtual clock and the simulated
// network. A restart starts a new process at the same address.
type Node struct {
	world   *World
	Place   Place
	ID      cluster.NodeID
	address string
	seeds   []string
	number  int
	// incarnation counts the starts of the process. Events for an earlier incarnation are
	// dropped.
	incarnation int
	core        Core
	alive       bool
	draining    bool
	paused      bool
	// backlog holds the events that arrived while the process was paused.
	backlog []node.Event
	// Steps counts the core's events. Sent and Received count messages by type if
	// messages are encoded.
	Steps          uint64
	Sent, Received map[string]Traffic
	// revision and history belong to the settings that are in force.
	revision int64
	history  string
	started  time.Time
	// interruptedAt is when the process was last started, paused, resumed or
	// crashed.
	interruptedAt time.Time
}

// Alive reports whether the process is alive, paused or not.
func (n *Node) Alive() bool { return n.alive }

// Core returns the running core, nil if the process is dead.
func (n *Node) Core() Core { return n.core }

// Discard drops the process without ending its requests, so that a caller can
// measure the memory that the core held.
func (n *Node) Discard() { n.alive, n.core, n.backlog = false, nil, nil }

// start starts a new process with its ticks.
func (n *Node) start() {
	n.incarnation++
	n.ID = cluster.NodeID(fmt.Sprintf("n%03d-%d", n.number, n.incarnation))
	n.alive, n.paused, n.draining, n.backlog = true, false, false, nil
	n.revision, n.history = 0, ""
	n.started, n.interruptedAt = n.world.Kernel.Now(), n.world.Kernel.Now()
	self := cluster.Node{
		ID: n.ID, Zone: n.Place.Zone, Region: n.Place.Region,
		PeerAddress: n.address, AdminAddress: n.address, CallerAddress: n.address,
	}
	seed := n.world.config.Seed ^ uint64(n.number+1)<<32 ^ uint64(n.incarnation)<<8
	n.core = n.world.config.NewCore(self, n.seeds, seed)
	incarnation := n.incarnation
	n.world.Kernel.Every(0, n.world.config.TickInterval, LabelTick, func() bool {
		if n.incarnation != incarnation || !n.alive {
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
	n.interruptedAt = n.world.Kernel.Now()
	n.world.Callers.loseConnections(n)
}

// pause stops the process without ending it, like a stalled virtual machine.
func (n *Node) pause() {
	n.paused = n.alive
	n.interruptedAt = n.world.Kernel.Now()
}

// resume continues a paused process and delivers the events that arrived during
// the pause.
func (n *Node) resume(incarnation int) {
	if n.incarnation != incarnation || !n.alive || !n.paused {
		return
	}
	n.paused = false
	n.interruptedAt = n.world.Kernel.Now()
	backlog := n.backlog
	n.backlog = nil
	for _, event := range backlog {
		n.deliver(event)
	}
	n.deliver(node.Tick{})
}

// deliverTo passes an event to one incarnation of the process.
func (n *Node) deliverTo(incarnation int, event node.Event) {
	if n.incarnation == incarnation {
		n.deliver(event)
	}
}

// deliver passes an event to the core and applies the effects. A paused process
// queues the event.
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
	effects := n.runCore(event)
	for _, effect := range effects {
		n.applyEffect(effect)
	}
}

// runCore runs the core on an event and measures it if there is a meter.
func (n *Node) runCore(event node.Event) []node.Effect {
	meter := n.world.config.Meter
	if meter == nil {
		return n.core.Step(n.world.Kernel.Now(), event)
	}
	began := meter.Now()
	effects := n.core.Step(n.world.Kernel.Now(), event)
	meter.RecordStep(n, event, meter.Now()-began)
	return effects
}

// applyEffect applies one effect of the core.
func (n *Node) applyEffect(effect node.Effect) {
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
		w.Callers.applyEffect(n, e.Effect)
	case node.SettingsApplied:
		w.Checkers.checkInForce(n, e.Snapshot.Stamp)
	case node.DrainCompleted:
		w.Checkers.checkDrained(n)
		n.endPlannedStop()
	}
}

// endPlannedStop ends a drained process.
func (n *Node) endPlannedStop() {
	incarnation := n.incarnation
	n.world.Kernel.After(0, LabelFault, func() {
		if n.incarnation == incarnation && n.alive {
			n.alive, n.core = false, nil
		}
	})
}

// sendMessage sends a message to another node over the network.
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

// encode encodes a message, measures the time and counts the bytes.
func (n *Node) encode(message wire.Message) []byte {
	began := n.meterNow()
	data, err := wire.Encode(message)
	if err != nil {
		panic(fmt.Sprintf("simulation: encode %T: %v", message, err))
	}
	n.meterCodec(began)
	n.world.Messages.Bytes += uint64(len(data))
	addTraffic(&n.Sent, message, len(data))
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
	n.meterCodec(began)
	addTraffic(&n.Received, message, len(data))
	n.deliver(node.MessageReceived{Message: message})
}

// meterNow returns the meter's time, zero without a meter.
func (n *Node) meterNow() time.Duration {
	if n.world.config.Meter == nil {
		return 0
	}
	return n.world.config.Meter.Now()
}

// meterCodec reports the time since began to the meter, if there is one.
func (n *Node) meterCodec(began time.Duration) {
	if meter := n.world.config.Meter; meter != nil {
		meter.RecordCodec(n, meter.Now()-began)
	}
}

// addTraffic adds a message to the traffic of its type.
func addTraffic(by *map[string]Traffic, message wire.Message, bytes int) {
	if *by == nil {
		*by = map[string]Traffic{}
	}
	kind := fmt.Sprintf("%T", message)
	counted := (*by)[kind]
	counted.Messages++
	counted.Bytes += uint64(bytes)
	(*by)[kind] = counted
}

// deliverAfter passes an event to the process after a delay, unless it restarts
// meanwhile.
func (n *Node) deliverAfter(after time.Duration, event node.Event) {
	incarnation := n.incarnation
	n.world.Kernel.After(after, LabelEngineAnswer, func() { n.deliverTo(incarnation, event) })
}

// callEngine sends a control call to an engine and delivers the answer, with
// network delays and faults.
func (n *Node) callEngine(call node.EngineCall) {
	w := n.world
	w.EngineCalls[call.Operation]++
	place := Place{Zone: call.Machine.Zone, Region: call.Machine.Region}
	fail := func(after time.Duration, v verdict.Verdict) {
		err := verdict.New(v, verdict.CodeUnavailable, "engine unreachable")
		n.deliverAfter(after, node.EngineAnswered{Call: call, Err: err})
	}
	if !w.Network.Reachable(n.Place, place) {
		fail(callTimeout, verdict.MayHaveRun)
		return
	}
	delay := w.Network.Delay(n.Place, place)
	incarnation := n.incarnation
	w.Kernel.After(delay, LabelEngineCall, func() {
		if n.incarnation != incarnation {
			// The process died after it sent the call, which still takes effect.
			w.applyEngineCall(call)
			return
		}
		machine, ok := w.engines[call.Machine.ID]
		if !ok || !machine.Alive {
			fail(delay, verdict.NotRun)
			return
		}
		answered := w.applyEngineCall(call)
		if w.faultRandom.Float64() < w.activeFaults.lostEngineAnswerProbability || !w.Network.Reachable(place, n.Place) {
			fail(callTimeout, verdict.MayHaveRun)
			return
		}
		n.deliverAfter(delay, answered)
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
		n.deliverAfter(callTimeout, node.MachinesListed{Err: errWatchBroken})
		return
	}
	list, version := w.List.read(w.Kernel.Now())
	n.deliverAfter(2*w.Network.Delay(n.Place, w.List.place), node.MachinesListed{Machines: list, Version: version})
}

// readStoreStatus reads the weight store's status.
func (n *Node) readStoreStatus() {
	w := n.world
	w.StoreReads++
	if !w.Network.Reachable(n.Place, w.List.place) {
		n.deliverAfter(callTimeout, node.StoreStatusRead{Err: errWatchBroken})
		return
	}
	n.deliverAfter(2*w.Network.Delay(n.Place, w.List.place), node.StoreStatusRead{Status: w.Store.Status()})
}
