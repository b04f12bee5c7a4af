package replication

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// Config holds the bounds and timing. The zero value of a field means its
// default.
type Config struct {
	// Address is this node's peer address, where answers are sent.
	Address string
	// Fanout is to how many peers a node that moved pushes; the default is 4.
	// Negative means none.
	Fanout int
	// BacklogEntries and BacklogBytes bound the accepted edits that are kept
	// for peers; the defaults are 1,024 and 512 KiB. Negative means none, so
	// that only snapshots are sent.
	BacklogEntries int
	BacklogBytes   int
	// RequestTimeout is how long the answer of one peer is awaited before
	// another is asked; the default is 1 s.
	RequestTimeout time.Duration
	// PeerTime is how long a peer is remembered after its last heartbeat; the
	// default is 15 min.
	PeerTime time.Duration
	// FreshTime is how recent a heartbeat must be for a peer to be pushed to
	// or asked; the default is 10 min.
	FreshTime time.Duration
	// Compile and DecodeTree replace (*settings.Tree).Compile and
	// settings.DecodeTree, for harnesses that run many nodes in one process
	// and share their results. The defaults are those functions.
	Compile    func(*settings.Tree, settings.Stamp) (*settings.Snapshot, error)
	DecodeTree func([]byte) (*settings.Tree, error)
}

func (c Config) withDefaults() Config {
	c.Fanout = cmp.Or(c.Fanout, 4)
	c.BacklogEntries = cmp.Or(c.BacklogEntries, 1024)
	c.BacklogBytes = cmp.Or(c.BacklogBytes, 512<<10)
	c.RequestTimeout = cmp.Or(c.RequestTimeout, time.Second)
	c.PeerTime = cmp.Or(c.PeerTime, 15*time.Minute)
	c.FreshTime = cmp.Or(c.FreshTime, 10*time.Minute)
	if c.Compile == nil {
		c.Compile = (*settings.Tree).Compile
	}
	if c.DecodeTree == nil {
		c.DecodeTree = settings.DecodeTree
	}
	return c
}

// Event is an input of the core.
type Event interface{ replicationEvent() }

// Loaded brings the whole configuration as read from the key-value service.
type Loaded struct {
	Tree  *settings.Tree
	Stamp settings.Stamp
}

// Accepted brings accepted edits, in order of revision, that were seen in the
// key-value service or committed by this node.
type Accepted struct {
	History string
	Entries []settings.Entry
}

// StampSeen brings the stamp on a peer's heartbeat.
type StampSeen struct {
	From     cluster.NodeID
	Address  string
	Stamp    settings.Stamp
	SameZone bool
}

// MessageReceived brings a ConfigurationRequest, ConfigurationEntries or
// ConfigurationSnapshot of a peer. From and Address replace those of the
// message where it has none, as with peers of version 1 of the schemas.
type MessageReceived struct {
	From    cluster.NodeID
	Address string
	Message wire.Message
}

// PeerGone says that a peer is dead and need not be remembered.
type PeerGone struct{ ID cluster.NodeID }

// Tick lets time pass. It should come several times a RequestTimeout.
type Tick struct{}

func (Loaded) replicationEvent()          {}
func (Accepted) replicationEvent()        {}
func (StampSeen) replicationEvent()       {}
func (MessageReceived) replicationEvent() {}
func (PeerGone) replicationEvent()        {}
func (Tick) replicationEvent()            {}

// Effect is an output of the core.
type Effect interface{ replicationEffect() }

// Send asks to send Message to the peer at Address.
type Send struct {
	Address string
	Message wire.Message
}

// InForce says that a configuration decides from now on.
type InForce struct {
	Snapshot *settings.Snapshot
	Tree     *settings.Tree
}

// LoadNeeded says that accepted edits of the key-value service do not connect
// to the configuration held here, so it should be read whole.
type LoadNeeded struct{}

// Rejected reports a configuration that could not be put in force. The former
// one stays.
type Rejected struct {
	Stamp settings.Stamp
	Err   error
}

func (Send) replicationEffect()       {}
func (InForce) replicationEffect()    {}
func (LoadNeeded) replicationEffect() {}
func (Rejected) replicationEffect()   {}

// Compare orders stamps: by history, then by revision. A larger stamp is newer.
// Digests do not matter.
func Compare(a, b settings.Stamp) int {
	return cmp.Or(cmp.Compare(a.History, b.History), cmp.Compare(a.Revision, b.Revision))
}

// Peer is what this node knows of another node's configuration.
type Peer struct {
	ID      cluster.NodeID
	Address string
	Stamp   settings.Stamp
	// Seen is when the last heartbeat came.
	Seen     time.Time
	SameZone bool
}
