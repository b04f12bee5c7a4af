package feed

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// Event is an input of a Core.
type Event interface{ feedEvent() }

// Tick reports that time has passed.
type Tick struct{}

// PeersChanged lists the live nodes of all zones.
type PeersChanged struct{ Peers []Peer }

// ReadDone is the outcome of a Read: the contents of the store at Revision.
type ReadDone struct {
	Began    time.Time
	Revision keyvalue.Revision
	Pairs    []wire.StoreChange
	// MorePages is set if the first page did not hold everything and OnePage was set. Pairs are
	// left out then.
	MorePages bool
	Err       error
}

// StarterRead is the outcome of a ReadStarter: the record of the node that last became the starter
// of this node's zone.
type StarterRead struct {
	// Starter is empty and Revision zero if there is no record.
	Starter  Starter
	Revision keyvalue.Revision
	Err      error
}

// StarterClaimed is the outcome of a ClaimStarter. Won reports whether this node wrote the record;
// Starter and Revision are what the record holds.
type StarterClaimed struct {
	Won      bool
	Starter  Starter
	Revision keyvalue.Revision
	Err      error
}

// PollDone is the outcome of a Poll.
type PollDone struct {
	Began    time.Time
	Revision keyvalue.Revision
	Changes  []wire.StoreChange
	// Compacted is set if the store has dropped the history that was asked for, TooLong if the
	// changes have more bytes than the poll allows.
	Compacted, TooLong bool
	// EraEnded is set with Compacted if the store has come back from a copy since that revision.
	EraEnded bool
	Err      error
}

// UpdateReceived is an update from a relay.
type UpdateReceived struct{ Update wire.StoreChanges }

// ChangesRequested is a peer's request for changes that it misses.
type ChangesRequested struct{ Request wire.StoreChangesRequest }

// SnapshotRequested is a starting node's request for a snapshot.
type SnapshotRequested struct{ Request wire.StoreSnapshotRequest }

// SnapshotReceived is a part of another node's snapshot.
type SnapshotReceived struct{ Part wire.StoreSnapshot }

// Invalidated reports that what is known may be out of date in a way that later changes don't show.
type Invalidated struct{}

// EraSeen reports the newest era that an answer of the store to any call of this node stated.
type EraSeen struct{ Era keyvalue.Era }

func (EraSeen) feedEvent()           {}
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

// Read asks for the contents of the store. Known is the revision up to which changes are known,
// zero for none. With OnePage no further page is asked for if the first does not hold everything.
type Read struct {
	Known   keyvalue.Revision
	OnePage bool
}

// ReadStarter asks for the record of the starter of this node's zone.
type ReadStarter struct{}

// ClaimStarter writes this node into the starter's record if the record still has Revision, zero
// for no record.
type ClaimStarter struct{ Revision keyvalue.Revision }

// ReplaceContents delivers the contents of the store at Revision, as another node's snapshot held
// them.
type ReplaceContents struct {
	Revision keyvalue.Revision
	Pairs    []wire.StoreChange
	// From is the node that sent the snapshot. Took is the time since this node began to start up;
	// zero for a snapshot that closes a gap.
	From cluster.NodeID
	Took time.Duration
}

// RequestSnapshot sends a request for a snapshot to a node; the message may be lost.
type RequestSnapshot struct {
	Address string
	Request wire.StoreSnapshotRequest
}

// SendSnapshot sends a part of a snapshot to a node; the message may be lost.
type SendSnapshot struct {
	Address string
	Part    wire.StoreSnapshot
}

// Poll asks the store for the changes after a revision, unless they have more than MaxBytes bytes.
type Poll struct {
	After    keyvalue.Revision
	MaxBytes int64
}

// Apply delivers changes, in order, that bring what is known up to Revision.
type Apply struct {
	Revision keyvalue.Revision
	Changes  []wire.StoreChange
	// Relay is the node that forwarded them, empty for the store itself.
	Relay string
}

// SendUpdate sends an update to a peer; the message may be lost.
type SendUpdate struct {
	Address string
	Update  wire.StoreChanges
}

// RequestChanges sends a request for missing changes to a node; the message may be lost.
type RequestChanges struct {
	Address string
	Request wire.StoreChangesRequest
}

// SourceChanged reports that the node learns of changes from another source.
type SourceChanged struct {
	Source Source
	// Silent is the age of the newest read that came from the node's source.
	Silent time.Duration
}

func (Read) feedEffect()            {}
func (ReadStarter) feedEffect()     {}
func (ClaimStarter) feedEffect()    {}
func (ReplaceContents) feedEffect() {}
func (RequestSnapshot) feedEffect() {}
func (SendSnapshot) feedEffect()    {}
func (Poll) feedEffect()            {}
func (Apply) feedEffect()           {}
func (SendUpdate) feedEffect()      {}
func (RequestChanges) feedEffect()  {}
func (SourceChanged) feedEffect()   {}

// Source is where a node learns of changes.
type Source uint8

// The sources of changes.
const (
	// SourceStore means that the node polls the store for itself alone.
	SourceStore Source = iota
	// SourceRelay means that the node polls the store and forwards changes to others.
	SourceRelay
	// SourcePeer means that the node learns from a relay.
	SourcePeer
	// SourcePeerRelay means that the node learns from a relay and forwards changes to others.
	SourcePeerRelay
)

// String returns the name used in logs.
func (s Source) String() string {
	return [...]string{"store", "store, relaying", "peer", "peer, relaying"}[s]
}
