package dispatch

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

// Event is an input of Core.Step.
type Event interface{ dispatchEvent() }

// Tick lets Core act on the passage of time. The caller sends one no later than Core.NextDue.
type Tick struct{}

// PeersChanged carries all live nodes.
type PeersChanged struct{ Peers []Peer }

// PlacementRequested requests a placement for an attempt. A number is never used twice.
type PlacementRequested struct {
	Number     int64
	Work       wire.EngineWork
	Candidates []wire.EngineCandidate
}

// AttemptSent reports that an attempt is being sent to Machine. Answered is the machine that the
// dispatcher chose, empty if no answer came.
type AttemptSent struct {
	Number            int64
	Machine, Answered cluster.MachineID
	Work              wire.EngineWork
	// Resumed is true if the attempt continues an answer that has already begun: no
	// FirstEventReceived follows.
	Resumed bool
}

// FirstEventReceived reports the first event of the answer of an attempt.
type FirstEventReceived struct{ Number int64 }

// AttemptEnded reports that an attempt no longer uses its machine or was never sent. Read is false
// if the machine did not run the attempt. The dispatcher doesn't use Read yet: the prompt of an
// attempt that was not run still counts as cached.
type AttemptEnded struct {
	Number int64
	Read   bool
}

// EngineRemoved reports that an engine has ended.
type EngineRemoved struct{ Machine cluster.MachineID }

// ModelUnloaded reports that an engine has unloaded a model and lost its cached prefixes.
type ModelUnloaded struct {
	Machine cluster.MachineID
	Model   cluster.ModelID
}

// MessageReceived carries a message from another node.
type MessageReceived struct{ Message wire.Message }

func (Tick) dispatchEvent()               {}
func (PeersChanged) dispatchEvent()       {}
func (PlacementRequested) dispatchEvent() {}
func (AttemptSent) dispatchEvent()        {}
func (FirstEventReceived) dispatchEvent() {}
func (AttemptEnded) dispatchEvent()       {}
func (EngineRemoved) dispatchEvent()      {}
func (ModelUnloaded) dispatchEvent()      {}
func (MessageReceived) dispatchEvent()    {}

// Effect is an output of Core.Step.
type Effect interface{ dispatchEffect() }

// Send requests that a message be sent to another node. The message may be lost.
type Send struct {
	Address string
	Message wire.Message
}

// PlacementAnswered carries the placement of an attempt. An empty Machine means that no dispatcher
// answered or found an engine, and the node places the attempt itself.
type PlacementAnswered struct {
	Number int64
	// Dispatcher is the node that answered, empty if none did.
	Dispatcher cluster.NodeID
	Machine    cluster.MachineID
	// Delay is the time to wait before the send. Forecast holds the estimates of the dispatcher
	// for the engine.
	Delay    time.Duration
	Forecast routing.Forecast
}

// DispatcherChanged reports that another node is asked from now on.
type DispatcherChanged struct {
	Dispatcher cluster.NodeID
	// Silent is true if the previous dispatcher was replaced because it did not answer.
	Silent bool
}

func (Send) dispatchEffect()              {}
func (PlacementAnswered) dispatchEffect() {}
func (DispatcherChanged) dispatchEffect() {}
