package membership

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// State is the state of a member as this node knows it.
type State string

// The member states. Their values are those of wire.MemberRecord.State.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	// StateLeaving marks a member that still runs but will stop soon.
	StateLeaving State = "leaving"
	StateDead    State = "dead"
)

// precedence orders the states of records with equal incarnation: the larger
// value replaces the smaller. A state that this version does not know has the
// lowest precedence and therefore changes nothing.
func (s State) precedence() int {
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

// Member is a node and its state. A suspected member is still treated as running.
type Member struct {
	Node  cluster.Node
	State State
	// Incarnation increases with each process start at one address and each time
	// the member refutes a suspicion.
	Incarnation uint64
	// Since is the time at which this node learned of State.
	Since time.Time
}

// Running reports whether the member is in any state other than StateDead.
func (m Member) Running() bool { return m.State != StateDead }

// Config holds intervals, timeouts and limits. The zero value of a field selects
// its default.
type Config struct {
	// ZoneInterval is the interval between probes of members in the node's own
	// zone. Each probe goes to the next member of a round. The default is 1 s.
	ZoneInterval time.Duration
	// RemoteInterval is the interval between probes of random members in other
	// zones. The default is 2 s.
	RemoteInterval time.Duration
	// ProbeTimeout is the time a member has to answer a probe. The default is
	// 1 s. It must exceed the round-trip time between regions.
	ProbeTimeout time.Duration
	// SuspicionTime is the time a suspected member has to refute the suspicion.
	// The default is 4 s. It is tripled while the latest probes of this node
	// have all failed, because the fault is then probably its own.
	SuspicionTime time.Duration
	// ForgetTime is how long a dead member is remembered, so that old gossip
	// does not bring it back. The default is 2 min.
	ForgetTime time.Duration
	// RejoinInterval is the interval between heartbeats to seeds and to
	// addresses of dead members, which find the other members again after a
	// partition. The default is 5 s.
	RejoinInterval time.Duration
	// RejoinTime is how long the address of a dead member is tried. The default
	// is 3 h.
	RejoinTime time.Duration
	// SyncInterval is the minimum time between two full exchanges of members
	// that this node starts. The default is 10 s.
	SyncInterval time.Duration
	// GossipRecords is the maximum number of member records in one heartbeat.
	// The default is 8. Full exchanges are not limited.
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

// Event is an input to the core.
type Event interface{ membershipEvent() }

// HeartbeatReceived reports a heartbeat from a peer.
type HeartbeatReceived struct{ Heartbeat wire.Heartbeat }

// Tick reports that time has passed. It should occur several times per
// ProbeTimeout; a longer gap is treated as a pause of this process, not as
// silence of the other members.
type Tick struct{}

// LeaveStarted reports that this node will stop.
type LeaveStarted struct{}

func (HeartbeatReceived) membershipEvent() {}
func (Tick) membershipEvent()              {}
func (LeaveStarted) membershipEvent()      {}

// Effect is an output of the core.
type Effect interface{ membershipEffect() }

// SendHeartbeat requests that Heartbeat be sent to Address; the caller fills in
// Stamp and Claims.
type SendHeartbeat struct {
	Address   string
	Heartbeat wire.Heartbeat
}

// Changed reports a member that is new or whose state or node data changed.
type Changed struct{ Member Member }

func (SendHeartbeat) membershipEffect() {}
func (Changed) membershipEffect()       {}
