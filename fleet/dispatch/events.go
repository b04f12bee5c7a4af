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

// Asked requests a placement for an attempt. A number is never used twice.
type Asked struct {
	Number     int64
	Work       wire.EngineWork
	Candidates []wire.EngineCandidate
}

// Sent reports that an attempt is being sent to Machine. Answered is the machine that the
// dispatcher chose, empty if no answer came.
type Sent struct {
	Number            int64
	Machine, Answered cluster.MachineID
	Work              wire.EngineWork
	// Resumed is true if the attempt continues an answer that has already begun: no Began follows.
	Resumed bool
}

// Began reports the first event of the answer of an attempt.
type Began struct{ Number int64 }

// Ended reports that an attempt no longer uses its machine or was never sent. Read is false if the
// machine did not run the attempt. The dispatcher doesn't use Read yet: the prompt of an attempt
// that was not run still counts as cached.
type Ended struct {
	Number int64
	Read   bool
}

// EngineGone reports that an engine has ended.
type EngineGone struct{ Machine cluster.MachineID }

// Unloaded reports that an engine has unloaded a model and lost its cached prefixes.
type Unloaded struct {
	Machine cluster.MachineID
	Model   cluster.ModelID
}

// Received carries a message from another node.
type Received struct{ Message wire.Message }

func (Tick) dispatchEvent()         {}
func (PeersChanged) dispatchEvent() {}
func (Asked) dispatchEvent()        {}
func (Sent) dispatchEvent()         {}
func (Began) dispatchEvent()        {}
func (Ended) dispatchEvent()        {}
func (EngineGone) dispatchEvent()   {}
func (Unloaded) dispatchEvent()     {}
func (Received) dispatchEvent()     {}

// Effect is an output of Core.Step.
type Effect interface{ dispatchEffect() }

// Send requests that a message be sent to another node. The message may be lost.
type Send struct {
	Address string
	Message wire.Message
}

// Answered carries the placement of an attempt. An empty Machine means that no dispatcher answered
// or found an engine, and the node places the attempt itself.
type Answered struct {
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
func (Answered) dispatchEffect()          {}
func (DispatcherChanged) dispatchEffect() {}
