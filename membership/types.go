package membership

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// State of a member as this node knows it.
type State string

// The states. Their values are those of wire.MemberRecord.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	// StateLeaving members still run but will stop soon.
	StateLeaving State = "leaving"
	StateDead    State = "dead"
)

// rank orders the states at equal incarnation: the larger replaces the smaller.
// Unknown states, from a newer version, rank lowest and so change nothing.
func (s State) rank() int {
	switch s {
	case StateAlive:
		return 1
	case StateSuspect:
		return 2
	case StateLeaving:
		return 3
	case StateDead:
		return 4
	default:
		return 0
	}
}

// Member is a node and its state. Suspected members are still to be treated as
// running.
type Member struct {
	Node  cluster.Node
	State State
	// Incarnation grows from start to start of processes at one address, and
	// when the member refutes a suspicion.
	Incarnation uint64
	// Since is when this node learned of State.
	Since time.Time
}

// Running reports whether the member is not held to be dead.
func (m Member) Running() bool { return m.State != StateDead }

// Config holds the timing. The zero value of a field means its default.
type Config struct {
	// ZoneInterval between probes of members of the own zone, one member a
	// probe, in turn; the default is 1 s.
	ZoneInterval time.Duration
	// RemoteInterval between probes of random members of other zones; the
	// default is 2 s.
	RemoteInterval time.Duration
	// ProbeTimeout is how long an answer may take; the default is 1 s. It
	// must be above the round trip between regions.
	ProbeTimeout time.Duration
	// SuspicionTime is how long a suspected member has to refute; the default
	// is 4 s. It is tripled while this node's own last probes all failed, as
	// then the fault is probably its own.
	SuspicionTime time.Duration
	// ForgetTime is how long a dead member is remembered, so that old gossip
	// does not bring it back; the default is 2 min.
	ForgetTime time.Duration
	// RejoinInterval between heartbeats to seeds and lost members, to find
	// the others again after a partition; the default is 5 s.
	RejoinInterval time.Duration
	// RejoinTime is how long the address of a lost member is tried; the
	// default is 3 h.
	RejoinTime time.Duration
	// SyncInterval is the least time between two full exchanges of members
	// that this node starts; the default is 10 s.
	SyncInterval time.Duration
	// GossipRecords bounds the member records on one heartbeat; the default
	// is 8. Full exchanges are not bounded.
	GossipRecords int
}

func (c Config) withDefaults() Config {
	c.ZoneInterval = cmp.Or(c.ZoneInterval, time.Second)
	c.RemoteInterval = cmp.Or(c.RemoteInterval, 2*time.Second)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, time.Second)
	c.SuspicionTime = cmp.Or(c.SuspicionTime, 4*time.Second)
	c.ForgetTime = cmp.Or(c.ForgetTime, 2*time.Minute)
	c.RejoinInterval = cmp.Or(c.RejoinInterval, 5*time.Second)
	c.RejoinTime = cmp.Or(c.RejoinTime, 3*time.Hour)
	c.SyncInterval = cmp.Or(c.SyncInterval, 10*time.Second)
	c.GossipRecords = cmp.Or(c.GossipRecords, 8)
	return c
}

// Event is an input of the core.
type Event interface{ membershipEvent() }

// HeartbeatReceived brings a heartbeat of a peer.
type HeartbeatReceived struct{ Heartbeat wire.Heartbeat }

// Tick lets time pass. It should come several times a ProbeTimeout; a longer
// gap is taken for a pause of this process, not for silence of the others.
type Tick struct{}

// LeaveStarted says that this node will stop.
type LeaveStarted struct{}

func (HeartbeatReceived) membershipEvent() {}
func (Tick) membershipEvent()              {}
func (LeaveStarted) membershipEvent()      {}

// Effect is an output of the core.
type Effect interface{ membershipEffect() }

// SendHeartbeat asks to send Heartbeat to Address; the caller fills in Stamp
// and Claims.
type SendHeartbeat struct {
	Address   string
	Heartbeat wire.Heartbeat
}

// Changed reports a member that is new, or whose state or data changed.
type Changed struct{ Member Member }

func (SendHeartbeat) membershipEffect() {}
func (Changed) membershipEffect()       {}
