package pacing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Event is an input of the core.
type Event interface{ pacingEvent() }

// Tick advances the core's time. The shell sends one at Core.NextDue at the latest.
type Tick struct{}

// PeersChanged replaces the live nodes.
type PeersChanged struct{ Peers []Peer }

// TurnRequested asks for a turn at a machine that is limited to PerSecond requests per second.
type TurnRequested struct {
	Machine   cluster.MachineID
	PerSecond float64
	// Slots is the number of turns that may be in use at a time; zero for a limit by rate alone. Of a
	// machine with Slots, PerSecond may be derived; StatedPerSecond is the limit that it states besides,
	// zero for none.
	Slots           int
	StatedPerSecond float64
}

// TurnReturned returns a turn that was in use.
type TurnReturned struct {
	Machine cluster.MachineID
	Number  int64
	By      cluster.NodeID
}

// MessageReceived delivers a message of another node.
type MessageReceived struct{ Message wire.Message }

func (Tick) pacingEvent()            {}
func (PeersChanged) pacingEvent()    {}
func (TurnRequested) pacingEvent()   {}
func (TurnReturned) pacingEvent()    {}
func (MessageReceived) pacingEvent() {}

// Effect is an output of the core.
type Effect interface{ pacingEffect() }

// Send sends a message to another node; delivery is not guaranteed.
type Send struct {
	Address string
	Message wire.Message
}

// TurnDecided answers TurnRequested. If Granted, one request may be sent to the machine after
// Wait; otherwise a turn may be requested again after Wait. By is the node that decided.
type TurnDecided struct {
	Machine cluster.MachineID
	Granted bool
	Wait    time.Duration
	By      cluster.NodeID
	// Number identifies a turn that must be returned; zero for others.
	Number int64
}

func (Send) pacingEffect()        {}
func (TurnDecided) pacingEffect() {}
