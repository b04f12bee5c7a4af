package shell

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/membership"
	"github.com/valveslip/valveslip/node"
)

// stateCheckInterval is the time between two checks for changes of membership and of
// the controller role.
const stateCheckInterval = time.Second

// stateReporter logs and publishes changes of membership and of the controller role,
// which the core makes on its own.
type stateReporter struct {
	node   *Node
	token  cluster.FencingToken
	states map[cluster.NodeID]membership.State
}

// reportStateChanges checks for changes until the node stops. It also updates the
// members among which idempotency keys are distributed.
func (n *Node) reportStateChanges() {
	reporter := stateReporter{node: n, states: make(map[cluster.NodeID]membership.State)}
	ticker := time.NewTicker(stateCheckInterval)
	defer ticker.Stop()
	for {
		n.keys.SetMembers(time.Now())
		reporter.reportChanges()
		select {
		case <-ticker.C:
		case <-n.context.Done():
			return
		}
	}
}

// reportChanges compares the core's state with the last check.
func (r *stateReporter) reportChanges() {
	var token cluster.FencingToken
	var members []membership.Member
	r.node.Inspect(func(core *node.Core) {
		token, members = core.Controller().Token(), core.Members()
	})
	r.reportController(token)
	r.reportMembers(members)
}

// reportController reports that the node acquired or lost the controller role of its
// cell.
func (r *stateReporter) reportController(token cluster.FencingToken) {
	if token == r.token {
		return
	}
	r.token = token
	self := r.node.self
	text := fmt.Sprintf("node %s controls zone %s with token %d", self.ID, self.Zone, token)
	if token == 0 {
		text = fmt.Sprintf("node %s no longer controls zone %s", self.ID, self.Zone)
	}
	r.node.logger.Info("controller changed", "zone", self.Zone, "token", token, "holds", token != 0)
	r.node.backend.Append(admin.Event{At: time.Now(), Kind: admin.EventController, Zone: self.Zone, Node: self.ID, Text: text})
}

// reportMembers reports members whose state changed.
func (r *stateReporter) reportMembers(members []membership.Member) {
	states := make(map[cluster.NodeID]membership.State, len(members))
	for _, member := range members {
		states[member.Node.ID] = member.State
		if r.states[member.Node.ID] == member.State || member.Node.ID == r.node.self.ID {
			continue
		}
		r.node.logger.Info("member changed", "member", member.Node.ID, "member_zone", member.Node.Zone, "state", member.State)
		r.node.backend.Append(admin.Event{
			At: time.Now(), Kind: admin.EventMember, Zone: member.Node.Zone, Node: member.Node.ID,
			Text: fmt.Sprintf("node %s is %s, as node %s sees it", member.Node.ID, member.State, r.node.self.ID),
		})
	}
	r.states = states
}
