package replication

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// Config holds limits and timeouts. A zero field means its default.
type Config struct {
	// Address is this node's peer address, to which answers are sent.
	Address string
	// Fanout is the number of peers that accepted edits are pushed to; the default is
	// 4. Negative means none.
	Fanout int
	// BacklogEntries and BacklogBytes bound the number and size of the accepted edits
	// that are kept for peers; the defaults are 1,024 and 512 KiB. Negative means that
	// none are kept, so that only snapshots are sent.
	BacklogEntries int
	BacklogBytes   int
	// RequestTimeout is how long a peer's answer is awaited before another peer is
	// asked; the default is 1 s.
	RequestTimeout time.Duration
	// PeerTTL is how long a peer is remembered after its last heartbeat; the default
	// is 15 min.
	PeerTTL time.Duration
	// MaxHeartbeatAge is the age of a peer's last heartbeat from which on nothing is
	// pushed to or requested from that peer; the default is 10 min.
	MaxHeartbeatAge time.Duration
	// Compile and DecodeTree replace (*settings.Tree).Compile and settings.DecodeTree,
	// which are the defaults. Test harnesses that run many nodes in one process use
	// them to share results.
	Compile    func(*settings.Tree, settings.Stamp) (*settings.Snapshot, error)
	DecodeTree func([]byte) (*settings.Tree, error)
}

func (c Config) withDefaults() Config {
	c.Fanout = cmp.Or(c.Fanout, 4)
	c.BacklogEntries = cmp.Or(c.BacklogEntries, 1024)
	c.BacklogBytes = cmp.Or(c.BacklogBytes, 512<<10)
	c.RequestTimeout = cmp.Or(c.RequestTimeout, time.Second)
	c.PeerTTL = cmp.Or(c.PeerTTL, 15*time.Minute)
	c.MaxHeartbeatAge = cmp.Or(c.MaxHeartbeatAge, 10*time.Minute)
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

// Loaded holds the whole configuration as read from the key-value service.
type Loaded struct {
	Tree  *settings.Tree
	Stamp settings.Stamp
}

// Accepted holds accepted edits, ordered by revision, that were read from the key-value
// service or committed by this node.
type Accepted struct {
	History string
	Entries []settings.Entry
}

// HeartbeatStamp holds the stamp of a peer's heartbeat.
type HeartbeatStamp struct {
	From     cluster.NodeID
	Address  string
	Stamp    settings.Stamp
	SameZone bool
}

// MessageReceived holds a ConfigurationRequest, ConfigurationEntries or
// ConfigurationSnapshot of a peer. From and Address are used where the message does not
// state the sender, as with peers of version 1 of the schemas.
type MessageReceived struct {
	From    cluster.NodeID
	Address string
	Message wire.Message
}

// PeerGone says that a peer is dead and can be forgotten.
type PeerGone struct{ ID cluster.NodeID }

// Tick makes the core check its timeouts. It should occur several times per
// RequestTimeout.
type Tick struct{}

func (Loaded) replicationEvent()          {}
func (Accepted) replicationEvent()        {}
func (HeartbeatStamp) replicationEvent()  {}
func (MessageReceived) replicationEvent() {}
func (PeerGone) replicationEvent()        {}
func (Tick) replicationEvent()            {}

// Effect is an output of the core.
type Effect interface{ replicationEffect() }

// Send asks the caller to send Message to the peer at Address.
type Send struct {
	Address string
	Message wire.Message
}

// InForce says that a configuration is in force from now on.
type InForce struct {
	Snapshot *settings.Snapshot
	Tree     *settings.Tree
}

// LoadNeeded says that accepted edits of the key-value service do not follow the
// configuration of this node, so that the whole configuration must be read.
type LoadNeeded struct{}

// Rejected reports a configuration that could not be put in force. The previous one
// stays in force.
type Rejected struct {
	Stamp settings.Stamp
	Err   error
}

func (Send) replicationEffect()       {}
func (InForce) replicationEffect()    {}
func (LoadNeeded) replicationEffect() {}
func (Rejected) replicationEffect()   {}

// Compare orders stamps by history, then by revision; the larger stamp is the newer one.
// It ignores digests.
func Compare(a, b settings.Stamp) int {
	return cmp.Or(cmp.Compare(a.History, b.History), cmp.Compare(a.Revision, b.Revision))
}

// Peer is what this node knows of another node's configuration.
type Peer struct {
	ID      cluster.NodeID
	Address string
	Stamp   settings.Stamp
	// Seen is the time of the last heartbeat.
	Seen     time.Time
	SameZone bool
}
