package hollow

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/membership"
	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/wire"
)

const (
	// tickInterval is the interval of the ticks of the cores.
	tickInterval = 250 * time.Millisecond
	// maxQueuedMessages limits the messages that are queued for a paused node.
	maxQueuedMessages = 1000
)

// node is an address at which hollow processes run, one after another.
type node struct {
	deployment  *Deployment
	index       int
	region      int
	version     int32
	identity    cluster.Node
	generation  int
	membership  *membership.Core
	replication *replication.Core

	running   bool
	startedAt time.Time
	// pausedAt and pausedUntil are the limits of the last pause. pausedUntil is in the future while
	// the process is paused.
	pausedAt, pausedUntil time.Time
	queuedMessages        [][]byte
	traffic               Traffic
}

// start starts a new process at the address of the node.
func (n *node) start() {
	n.generation++
	d := n.deployment
	n.identity.ID = cluster.NodeID(fmt.Sprintf("node-%03d-%06d", n.index, n.generation))
	n.running, n.startedAt, n.queuedMessages = true, d.clock.now, nil
	n.pausedAt, n.pausedUntil = time.Time{}, time.Time{}
	n.membership = membership.New(n.identity, d.seeds, d.options.Membership, d.random.Uint64())
	configuration := d.options.Replication
	configuration.Address = n.identity.PeerAddress
	configuration.Compile, configuration.DecodeTree = d.treeCache.compile, d.treeCache.decode
	n.replication = replication.New(n.identity.ID, configuration)
	d.byID[n.identity.ID] = n
	generation := n.generation
	d.clock.schedule(time.Duration(d.random.Int64N(int64(tickInterval))), func() { n.tick(generation) })
}

// crash ends the process without notice to other nodes.
func (n *node) crash() { n.running = false }

// pause suspends the process for the duration. Messages that arrive meanwhile are queued and then
// delivered.
func (n *node) pause(duration time.Duration) {
	n.pausedAt = n.deployment.clock.now
	n.pausedUntil = n.pausedAt.Add(duration)
	generation := n.generation
	n.deployment.clock.schedule(duration, func() {
		if !n.running || n.generation != generation || n.paused() {
			return
		}
		queued := n.queuedMessages
		n.queuedMessages = nil
		for _, data := range queued {
			n.deliver(data)
		}
	})
}

func (n *node) paused() bool { return n.deployment.clock.now.Before(n.pausedUntil) }

// tick sends a tick to the cores and schedules the next one, until the process ends.
func (n *node) tick(generation int) {
	if !n.running || n.generation != generation {
		return
	}
	if !n.paused() {
		now := n.deployment.clock.now
		n.applyMembership(n.membership.Step(now, membership.Tick{}))
		n.applyReplication(n.replication.Step(now, replication.Tick{}))
	}
	n.deployment.clock.schedule(tickInterval, func() { n.tick(generation) })
}

// deliver decodes a message and passes it to the cores.
func (n *node) deliver(data []byte) {
	if !n.running {
		return
	}
	if n.paused() {
		if len(n.queuedMessages) < maxQueuedMessages {
			n.queuedMessages = append(n.queuedMessages, data)
		}
		return
	}
	message, err := wire.Decode(data)
	if err != nil {
		panic("hollow: " + err.Error())
	}
	now := n.deployment.clock.now
	heartbeat, isHeartbeat := message.(wire.Heartbeat)
	if !isHeartbeat {
		n.applyReplication(n.replication.Step(now, replication.MessageReceived{Message: message}))
		return
	}
	n.applyMembership(n.membership.Step(now, membership.HeartbeatReceived{Heartbeat: heartbeat}))
	if n.deployment.options.WatchAll {
		return
	}
	n.applyReplication(n.replication.Step(now, replication.HeartbeatStamp{
		From: heartbeat.From.ID, Address: heartbeat.From.PeerAddress, Stamp: heartbeat.Stamp,
		SameZone: heartbeat.From.Zone == n.identity.Zone,
	}))
}

// applyMembership executes the effects of the membership core.
func (n *node) applyMembership(effects []membership.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case membership.SendHeartbeat:
			e.Heartbeat.Stamp = n.replication.Stamp()
			e.Heartbeat.Claims = n.deployment.claims
			n.deployment.network.send(n, e.Address, e.Heartbeat)
		case membership.Changed:
			if n.deployment.onMemberChange != nil {
				n.deployment.onMemberChange(n, e.Member)
			}
			if e.Member.State == membership.StateDead {
				n.replication.Step(n.deployment.clock.now, replication.PeerGone{ID: e.Member.Node.ID})
			}
		}
	}
}

// applyReplication executes the effects of the replication core.
func (n *node) applyReplication(effects []replication.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case replication.Send:
			n.deployment.network.send(n, e.Address, e.Message)
		case replication.InForce:
			if n.deployment.onActivated != nil {
				n.deployment.onActivated(n, e.Snapshot.Stamp)
			}
		case replication.LoadNeeded:
			if n.deployment.onLoadNeeded != nil {
				n.deployment.onLoadNeeded(n)
			}
		case replication.Rejected:
			panic(fmt.Sprintf("hollow: configuration %+v rejected: %v", e.Stamp, e.Err))
		}
	}
}
