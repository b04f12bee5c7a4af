package inspection

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/decisions"
	"github.com/valveslip/valveslip/membership"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
	"github.com/valveslip/valveslip/wire/exchange"
)

// Source is the node that is inspected.
type Source interface {
	// Inspect calls read with the core while nothing else uses it. It returns
	// false without a call when the node has no such core.
	Inspect(read func(core *node.Core)) bool
	Self() cluster.Node
	// Now is the time by which the core decides.
	Now() time.Time
	Journal() *decisions.Journal
	Send(address string, message wire.Message)
}

// DefaultAskTime bounds the wait for other nodes' answers.
const DefaultAskTime = 2 * time.Second

// eventLogLength is how many events a node keeps for its event stream.
const eventLogLength = 1024

// Backend implements admin.Backend.
type Backend struct {
	*admin.EventLog

	source  Source
	askTime time.Duration
	logger  *slog.Logger

	exchange exchange.Table
}

var _ admin.Backend = (*Backend)(nil)

// New returns a Backend for a node. It waits for other nodes' answers at most
// askTime, zero meaning DefaultAskTime; answers that do not come are left out, as are
// those that can't be read, which the logger is told.
func New(source Source, askTime time.Duration, logger *slog.Logger) *Backend {
	if askTime == 0 {
		askTime = DefaultAskTime
	}
	return &Backend{EventLog: admin.NewEventLog(eventLogLength), source: source, askTime: askTime, logger: logger}
}

// Settings implements admin.Backend.
func (b *Backend) Settings() (tree *settings.Tree, snapshot *settings.Snapshot) {
	b.source.Inspect(func(core *node.Core) { tree, snapshot = core.Tree(), core.Snapshot() })
	return tree, snapshot
}

// Members implements admin.Backend. The node itself is one of them.
func (b *Backend) Members(context.Context) ([]admin.Member, error) {
	var members []admin.Member
	b.source.Inspect(func(core *node.Core) {
		stamps := map[cluster.NodeID]settings.Stamp{b.source.Self().ID: core.Stamp()}
		newest := core.Stamp().Revision
		for _, peer := range core.Peers() {
			stamps[peer.ID] = peer.Stamp
			newest = max(newest, peer.Stamp.Revision)
		}
		members = append(members, describe(membership.Member{Node: b.source.Self(), State: membership.StateAlive}))
		for _, member := range core.Members() {
			if member.Node.ID != b.source.Self().ID {
				members = append(members, describe(member))
			}
		}
		for i := range members {
			stamp := stamps[members[i].ID]
			members[i].History, members[i].Revision = stamp.History, stamp.Revision
			members[i].Behind = newest - stamp.Revision
		}
	})
	return members, nil
}

// describe returns a member as the API shows it.
func describe(member membership.Member) admin.Member {
	return admin.Member{
		ID: member.Node.ID, Zone: member.Node.Zone, Region: member.Node.Region,
		PeerAddress: member.Node.PeerAddress, AdminAddress: member.Node.AdminAddress, CallerAddress: member.Node.CallerAddress,
		State: string(member.State), Incarnation: member.Incarnation, Since: member.Since,
	}
}

// Controllers implements admin.Backend.
func (b *Backend) Controllers(ctx context.Context) ([]admin.Controller, error) {
	return gather(ctx, b, b.controllers(), subjectControllers, "", b.localControllers()), nil
}

// Machines implements admin.Backend.
func (b *Backend) Machines(ctx context.Context) ([]admin.Machine, error) {
	return gather(ctx, b, b.controllers(), subjectMachines, "", b.localMachines()), nil
}

// Replicas implements admin.Backend.
func (b *Backend) Replicas(ctx context.Context) ([]admin.Replica, error) {
	return gather(ctx, b, b.controllers(), subjectReplicas, "", b.localReplicas()), nil
}

// Queues implements admin.Backend.
func (b *Backend) Queues(ctx context.Context) ([]admin.Queue, error) {
	return gather(ctx, b, b.others(), subjectQueues, "", b.localQueues()), nil
}

// ModelDecisions implements admin.Backend.
func (b *Backend) ModelDecisions(ctx context.Context, model cluster.ModelID) ([]admin.ModelDecision, error) {
	return gather(ctx, b, b.controllers(), subjectDecisions, string(model), b.localDecisions(model)), nil
}

// RequestTrace implements admin.Backend. A request's id begins with the id of
// the node that accepted it.
func (b *Backend) RequestTrace(ctx context.Context, id cluster.RequestID) (admin.RequestTrace, error) {
	owner, _, _ := strings.Cut(string(id), ".")
	if owner == string(b.source.Self().ID) {
		return b.localTrace(id)
	}
	for _, other := range b.others() {
		if string(other.ID) != owner {
			continue
		}
		if traces := gather[admin.RequestTrace](ctx, b, []cluster.Node{other}, subjectRequest, string(id), nil); len(traces) > 0 {
			return traces[0], nil
		}
	}
	return admin.RequestTrace{}, admin.ErrNotFound
}

// others returns the members that are not held to be dead, without this node.
func (b *Backend) others() []cluster.Node {
	var others []cluster.Node
	b.source.Inspect(func(core *node.Core) {
		for _, member := range core.Members() {
			if member.Running() && member.Node.ID != b.source.Self().ID {
				others = append(others, member.Node)
			}
		}
	})
	return others
}

// controllers returns the other nodes that claim a zone.
func (b *Backend) controllers() []cluster.Node {
	claimed := make(map[cluster.NodeID]bool)
	b.source.Inspect(func(core *node.Core) {
		for _, claim := range core.Claims() {
			claimed[claim.Node] = true
		}
	})
	var controllers []cluster.Node
	for _, other := range b.others() {
		if claimed[other.ID] {
			controllers = append(controllers, other)
		}
	}
	return controllers
}
