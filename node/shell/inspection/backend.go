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

// Source provides access to the inspected node.
type Source interface {
	// Inspect calls read with exclusive access to the core. It returns false without
	// calling read if the node has no such core.
	Inspect(read func(core *node.Core)) bool
	Self() cluster.Node
	// Now returns the time on which the core's decisions are based.
	Now() time.Time
	Journal() *decisions.Journal
	Send(address string, message wire.Message)
}

// DefaultQueryTimeout limits the wait for other nodes' answers.
const DefaultQueryTimeout = 2 * time.Second

// eventLogLength is the number of events kept for a node's event stream.
const eventLogLength = 1024

// Backend implements admin.Backend.
type Backend struct {
	*admin.EventLog

	source       Source
	queryTimeout time.Duration
	logger       *slog.Logger

	exchange exchange.Table
}

var _ admin.Backend = (*Backend)(nil)

// New returns a Backend for a node. It waits for other nodes' answers for at most
// queryTimeout, DefaultQueryTimeout if zero. Missing answers are left out; answers
// that cannot be decoded are left out and logged.
func New(source Source, queryTimeout time.Duration, logger *slog.Logger) *Backend {
	if queryTimeout == 0 {
		queryTimeout = DefaultQueryTimeout
	}
	return &Backend{EventLog: admin.NewEventLog(eventLogLength), source: source, queryTimeout: queryTimeout, logger: logger}
}

// Settings implements admin.Backend.
func (b *Backend) Settings() (tree *settings.Tree, snapshot *settings.Snapshot) {
	b.source.Inspect(func(core *node.Core) { tree, snapshot = core.Tree(), core.Snapshot() })
	return tree, snapshot
}

// Members implements admin.Backend. The list includes the node itself.
func (b *Backend) Members(context.Context) ([]admin.Member, error) {
	var members []admin.Member
	b.source.Inspect(func(core *node.Core) {
		stamps := map[cluster.NodeID]settings.Stamp{b.source.Self().ID: core.Stamp()}
		newest := core.Stamp().Revision
		for _, peer := range core.Peers() {
			stamps[peer.ID] = peer.Stamp
			newest = max(newest, peer.Stamp.Revision)
		}
		members = append(members, memberView(membership.Member{Node: b.source.Self(), State: membership.StateAlive}))
		for _, member := range core.Members() {
			if member.Node.ID != b.source.Self().ID {
				members = append(members, memberView(member))
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

// memberView returns a member in the form of the administration API.
func memberView(member membership.Member) admin.Member {
	return admin.Member{
		ID: member.Node.ID, Zone: member.Node.Zone, Region: member.Node.Region,
		PeerAddress: member.Node.PeerAddress, AdminAddress: member.Node.AdminAddress, CallerAddress: member.Node.CallerAddress,
		State: string(member.State), Incarnation: member.Incarnation, Since: member.Since,
	}
}

// Controllers implements admin.Backend.
func (b *Backend) Controllers(ctx context.Context) ([]admin.Controller, error) {
	return collect(ctx, b, b.otherControllers(), subjectControllers, "", b.localControllers()), nil
}

// Machines implements admin.Backend.
func (b *Backend) Machines(ctx context.Context) ([]admin.Machine, error) {
	return collect(ctx, b, b.otherControllers(), subjectMachines, "", b.localMachines()), nil
}

// Replicas implements admin.Backend.
func (b *Backend) Replicas(ctx context.Context) ([]admin.Replica, error) {
	return collect(ctx, b, b.otherControllers(), subjectReplicas, "", b.localReplicas()), nil
}

// Queues implements admin.Backend.
func (b *Backend) Queues(ctx context.Context) ([]admin.Queue, error) {
	return collect(ctx, b, b.otherMembers(), subjectQueues, "", b.localQueues()), nil
}

// ModelDecisions implements admin.Backend.
func (b *Backend) ModelDecisions(ctx context.Context, model cluster.ModelID) ([]admin.ModelDecision, error) {
	return collect(ctx, b, b.otherControllers(), subjectDecisions, string(model), b.localDecisions(model)), nil
}

// RequestTrace implements admin.Backend. A request ID begins with the ID of the node
// that accepted the request.
func (b *Backend) RequestTrace(ctx context.Context, id cluster.RequestID) (admin.RequestTrace, error) {
	owner, _, _ := strings.Cut(string(id), ".")
	if owner == string(b.source.Self().ID) {
		return b.localTrace(id)
	}
	for _, other := range b.otherMembers() {
		if string(other.ID) != owner {
			continue
		}
		if traces := collect[admin.RequestTrace](ctx, b, []cluster.Node{other}, subjectRequest, string(id), nil); len(traces) > 0 {
			return traces[0], nil
		}
	}
	return admin.RequestTrace{}, admin.ErrNotFound
}

// otherMembers returns the running members except this node.
func (b *Backend) otherMembers() []cluster.Node {
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

// otherControllers returns the other nodes that claim a zone.
func (b *Backend) otherControllers() []cluster.Node {
	claimed := make(map[cluster.NodeID]bool)
	b.source.Inspect(func(core *node.Core) {
		for _, claim := range core.Claims() {
			claimed[claim.Node] = true
		}
	})
	var controllers []cluster.Node
	for _, other := range b.otherMembers() {
		if claimed[other.ID] {
			controllers = append(controllers, other)
		}
	}
	return controllers
}
