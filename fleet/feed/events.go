package feed

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Event is an input of a Core.
type Event interface{ feedEvent() }

// Tick lets time pass.
type Tick struct{}

// PeersChanged brings the live nodes of all zones.
type PeersChanged struct{ Peers []Peer }

// ReadDone brings the outcome of a Read: what was in the store at Revision or later.
type ReadDone struct {
	Began    time.Time
	Revision int64
	Pairs    []wire.StoreChange
	// Large is set where the first page did not hold everything, and no more was asked for.
	// Pairs are left out then.
	Large bool
	Err   error
}

// StarterRead brings the record of the node in this one's zone that was last to read
// everything for others.
type StarterRead struct {
	// Starter is empty where there is no record; Revision is then zero.
	Starter  Starter
	Revision int64
	Err      error
}

// StarterClaimed brings the outcome of a ClaimStart: whether the record is this node's, or
// whose it is.
type StarterClaimed struct {
	Won      bool
	Starter  Starter
	Revision int64
	Err      error
}

// PollDone brings the outcome of a Poll.
type PollDone struct {
	Began    time.Time
	Revision int64
	Changes  []wire.StoreChange
	// Compacted is true when the history that was asked for is gone, TooLong when it
	// holds more bytes than were asked for.
	Compacted, TooLong bool
	Err                error
}

// UpdateReceived brings what a relay passed on.
type UpdateReceived struct{ Update wire.StoreChanges }

// ChangesRequested brings a peer's request for what it misses.
type ChangesRequested struct{ Request wire.StoreChangesRequest }

// SnapshotRequested brings a node's request for everything.
type SnapshotRequested struct{ Request wire.StoreSnapshotRequest }

// SnapshotReceived brings a part of everything that another node knows.
type SnapshotReceived struct{ Part wire.StoreSnapshot }

// Invalidated says that what is known may be old in a way that changes don't show.
type Invalidated struct{}

func (Tick) feedEvent()              {}
func (PeersChanged) feedEvent()      {}
func (ReadDone) feedEvent()          {}
func (PollDone) feedEvent()          {}
func (UpdateReceived) feedEvent()    {}
func (ChangesRequested) feedEvent()  {}
func (StarterRead) feedEvent()       {}
func (StarterClaimed) feedEvent()    {}
func (SnapshotRequested) feedEvent() {}
func (SnapshotReceived) feedEvent()  {}
func (Invalidated) feedEvent()       {}

// Effect is an output of a Core.
type Effect interface{ feedEffect() }

// Read asks for the whole content of the store. Everything up to the revision Known is
// known, if it isn't zero. With OnePage nothing more is asked for if that is not all.
type Read struct {
	Known   int64
	OnePage bool
}

// ReadStarter asks for the record of this node's zone that StarterRead brings.
type ReadStarter struct{}

// ClaimStart writes this node into that record if the record has the revision, zero for none.
type ClaimStart struct{ Revision int64 }

// Replace hands on everything that was in the store at a revision, as another node knew it.
type Replace struct {
	Revision int64
	Pairs    []wire.StoreChange
	// From is that node, Took how long ago it was asked.
	From cluster.NodeID
	Took time.Duration
}

// AskSnapshot asks a node for everything; it may be lost.
type AskSnapshot struct {
	Address string
	Request wire.StoreSnapshotRequest
}

// SendSnapshot sends a part of everything; it may be lost.
type SendSnapshot struct {
	Address string
	Part    wire.StoreSnapshot
}

// Poll asks the store for the changes after a revision, unless they have more than Most
// bytes.
type Poll struct{ After, Most int64 }

// Apply hands on changes, in order, that brought what is known up to Revision.
type Apply struct {
	Revision int64
	Changes  []wire.StoreChange
	// Relay is the node that passed them on, empty for the store itself.
	Relay string
}

// Send sends an update to a peer; it may be lost.
type Send struct {
	Address string
	Update  wire.StoreChanges
}

// Ask asks a node for changes that the store did not tell; it may be lost.
type Ask struct {
	Address string
	Request wire.StoreChangesRequest
}

// SourceChanged says from where changes are learned now.
type SourceChanged struct {
	Source Source
	// Silent is how long the relays were not heard of.
	Silent time.Duration
}

func (Read) feedEffect()          {}
func (ReadStarter) feedEffect()   {}
func (ClaimStart) feedEffect()    {}
func (Replace) feedEffect()       {}
func (AskSnapshot) feedEffect()   {}
func (SendSnapshot) feedEffect()  {}
func (Poll) feedEffect()          {}
func (Apply) feedEffect()         {}
func (Send) feedEffect()          {}
func (Ask) feedEffect()           {}
func (SourceChanged) feedEffect() {}

// Source is from where a node learns of changes.
type Source uint8

// The sources.
const (
	// SourceStore is the store, for this node alone.
	SourceStore Source = iota
	// SourceRelay is the store, for this node and those it relays to.
	SourceRelay
	// SourcePeer is a relay.
	SourcePeer
	// SourcePeerRelay is a relay, for this node and those it relays to.
	SourcePeerRelay
)

// String returns the name used in logs.
func (s Source) String() string {
	return [...]string{"store", "store, relaying", "peer", "peer, relaying"}[s]
}
