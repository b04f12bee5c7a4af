package shell

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/membership"
	"github.com/valveslip/valveslip/node"
)

// followInterval is how often changes of membership and of the controller's
// role are looked for.
const followInterval = time.Second

// follower tells operators of changes that the core makes by itself, and keeps
// the owners of idempotency keys up to date.
type follower struct {
	node   *Node
	token  cluster.FencingToken
	states map[cluster.NodeID]membership.State
}

// follow looks for changes until the node stops.
func (n *Node) follow() {
	f := follower{node: n, states: make(map[cluster.NodeID]membership.State)}
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		n.keys.SetMembers(time.Now())
		f.look()
		select {
		case <-ticker.C:
		case <-n.context.Done():
			return
		}
	}
}

// look compares the core with what was seen last.
func (f *follower) look() {
	var token cluster.FencingToken
	var members []membership.Member
	f.node.Inspect(func(core *node.Core) {
		token, members = core.Controller().Token(), core.Members()
	})
	f.controller(token)
	f.members(members)
}

// controller reports that the node took or gave up its cell.
func (f *follower) controller(token cluster.FencingToken) {
	if token == f.token {
		return
	}
	f.token = token
	self := f.node.self
	text := fmt.Sprintf("node %s controls zone %s with token %d", self.ID, self.Zone, token)
	if token == 0 {
		text = fmt.Sprintf("node %s no longer controls zone %s", self.ID, self.Zone)
	}
	f.node.logger.Info("controller changed", "zone", self.Zone, "token", token, "holds", token != 0)
	f.node.backend.Append(admin.Event{At: time.Now(), Kind: admin.EventController, Zone: self.Zone, Node: self.ID, Text: text})
}

// members reports members whose state changed.
func (f *follower) members(members []membership.Member) {
	known := make(map[cluster.NodeID]membership.State, len(members))
	for _, member := range members {
		known[member.Node.ID] = member.State
		if f.states[member.Node.ID] == member.State || member.Node.ID == f.node.self.ID {
			continue
		}
		f.node.logger.Info("member changed", "member", member.Node.ID, "member_zone", member.Node.Zone, "state", member.State)
		f.node.backend.Append(admin.Event{
			At: time.Now(), Kind: admin.EventMember, Zone: member.Node.Zone, Node: member.Node.ID,
			Text: fmt.Sprintf("node %s is %s, as node %s sees it", member.Node.ID, member.State, f.node.self.ID),
		})
	}
	f.states = known
}
