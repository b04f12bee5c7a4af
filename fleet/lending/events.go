package lending

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Event is an input of a Core.
type Event interface{ lendingEvent() }

// Tick reports that time has passed.
type Tick struct{}

// PeersChanged reports the live nodes. HasPredecessor is set if the store held a record of an
// earlier process of this machine.
type PeersChanged struct {
	Peers          []Peer
	HasPredecessor bool
}

// LimitsChanged reports the limits of all tenants that have one.
type LimitsChanged struct{ Limits map[string]Limit }

// TokensRequested requests tokens; it is answered by a TokensDecided with the same number.
type TokensRequested struct {
	Number int64
	Tenant string
	Amount float64
	// Rank of the request; 0 is the most urgent.
	Rank int
	// Fingerprint identifies the request, and is the same when it is repeated; zero if unknown.
	Fingerprint int64
	// MaxRetryWait is the longest retry delay that the caller accepts.
	MaxRetryWait time.Duration
	// Regrant is set if tokens granted to the request expired while it waited.
	Regrant bool
	// Patience is how long a node that has just started may take to answer, if that is longer than
	// RequestTimeout.
	Patience time.Duration
}

// TokensReturned returns granted tokens that were not used; Number is that of the TokensRequested.
type TokensReturned struct {
	Number int64
	Tenant string
}

// SettingsProven reports when this node's settings were last proven to be in force.
type SettingsProven struct{ At time.Time }

// MessageReceived delivers a message from another node.
type MessageReceived struct{ Message wire.Message }

// TicketGranted reports that this node got the ticket that it requested by TicketRequested.
type TicketGranted struct {
	Shard  int
	Number int64
}

// Stopping releases all leases, so that other nodes can lend at once.
type Stopping struct{}

func (Tick) lendingEvent()            {}
func (PeersChanged) lendingEvent()    {}
func (LimitsChanged) lendingEvent()   {}
func (TokensRequested) lendingEvent() {}
func (TokensReturned) lendingEvent()  {}
func (MessageReceived) lendingEvent() {}
func (SettingsProven) lendingEvent()  {}
func (TicketGranted) lendingEvent()   {}
func (Stopping) lendingEvent()        {}

// Effect is an output of a Core.
type Effect interface{ lendingEffect() }

// Send sends a message to a node; the message may be lost.
type Send struct {
	Address string
	Message wire.Message
}

// TokensDecided answers a TokensRequested. Decided is false if no lender was found.
type TokensDecided struct {
	Number           int64
	Tenant           string
	Amount           float64
	Decided, Granted bool
	// Wait is the time until refused tokens are available; Reserved is set if they are then kept
	// for the caller.
	Wait     time.Duration
	Reserved bool
	// LimitState is the state of the tenant's limit when the tokens were refused.
	LimitState LimitState
	// AskedAt is the time from which the lifetime of the granted tokens counts.
	AskedAt time.Time
	// Lender is the node that decided.
	Lender cluster.NodeID
}

// LimitState is the state of a tenant's limit.
type LimitState struct {
	// Used is the amount lent within the window, Grants the amount that the window grants.
	Used, Grants float64
	// FirstRank and FirstAmount are of the refused class that is furthest behind its share;
	// FirstAmount is zero if there is none.
	FirstRank   int
	FirstAmount float64
}

// LeaseChanged reports that this node gained or lost the lease of a shard.
type LeaseChanged struct {
	Shard int
	Held  bool
	// Settled is how long the shard had been promised to no other node.
	Settled time.Duration
}

// TicketRequested requests the ticket of a shard, which one node can get within the time Lasts. A
// TicketGranted with the same number answers; there is no answer if another node has the ticket.
type TicketRequested struct {
	Shard  int
	Number int64
	Lasts  time.Duration
}

func (TicketRequested) lendingEffect() {}
func (Send) lendingEffect()            {}
func (TokensDecided) lendingEffect()   {}
func (LeaseChanged) lendingEffect()    {}
