package origins

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Peer is a live node.
type Peer struct {
	ID      cluster.NodeID
	Address string
}

// Event is an input of the core.
type Event interface{ originsEvent() }

// Tick advances the core's time. The owner sends one at Core.NextDue at the latest.
type Tick struct{}

// PeersChanged replaces the live nodes.
type PeersChanged struct{ Peers []Peer }

// ServiceChanged reports whether machines of several releases serve a service, or did as recently as
// streams may be resumed.
type ServiceChanged struct {
	Service string
	Mixed   bool
}

// Began reports that this node relayed the first event of a stream. Deadline is when the request must
// have ended.
type Began struct {
	Request          cluster.RequestID
	Service, Release string
	Deadline         time.Time
}

// LookupRequested asks at which release the stream that answers a request began. Found answers it.
type LookupRequested struct {
	Request cluster.RequestID
	// Mixed is set if several releases serve as far as this node knows. Otherwise an origin is hardly
	// known to anyone, and a single round of questions is enough.
	Mixed bool
}

// MessageReceived delivers a message of another node.
type MessageReceived struct{ Message wire.Message }

func (Tick) originsEvent()            {}
func (PeersChanged) originsEvent()    {}
func (ServiceChanged) originsEvent()  {}
func (Began) originsEvent()           {}
func (LookupRequested) originsEvent() {}
func (MessageReceived) originsEvent() {}

// Effect is an output of the core.
type Effect interface{ originsEffect() }

// Send sends a message to another node; delivery is not guaranteed.
type Send struct {
	Address string
	Message wire.Message
}

// Found ends a lookup. Known is false if no node that answered knows the stream. Asked is the number of
// nodes that were asked, Answered how many of them answered, and Took how long that was.
type Found struct {
	Request         cluster.RequestID
	Known           bool
	Release         string
	Asked, Answered int
	Took            time.Duration
}

func (Send) originsEffect()  {}
func (Found) originsEffect() {}
