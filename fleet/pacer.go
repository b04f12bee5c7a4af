package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/pacing"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

// pacer keeps requests to machines within the limits that the machines reported. It announces
// limits to all nodes and obtains turns for the router.
type pacer struct {
	core  *Core
	turns *pacing.Core
	// pendingDecisions are decisions that the router has not been told yet.
	pendingDecisions []routing.TurnDecided
}

func newPacer(core *Core) *pacer {
	return &pacer{core: core, turns: pacing.New(core.config.Self.pacingPeer())}
}

// pacingPeer returns the node as a peer of package pacing.
func (e *NodeEntry) pacingPeer() pacing.Peer {
	return pacing.Peer{ID: e.ID, Address: e.Address, Machine: e.Machine}
}

// peersChanged passes the live nodes to the pacing core.
func (p *pacer) peersChanged() {
	peers := make([]pacing.Peer, 0, len(p.core.nodes.live))
	for _, entry := range p.core.nodes.live {
		peers = append(peers, entry.pacingPeer())
	}
	p.step(pacing.PeersChanged{Peers: peers})
}

// step hands an event to the pacing core and carries out its effects.
func (p *pacer) step(event pacing.Event) {
	for _, effect := range p.turns.Step(p.core.now, event) {
		switch e := effect.(type) {
		case pacing.Send:
			p.core.send(e.Address, e.Message)
		case pacing.TurnDecided:
			p.core.log(eventlog.TurnDecided{Machine: e.Machine, Granted: e.Granted, Wait: e.Wait, By: e.By})
			p.pendingDecisions = append(p.pendingDecisions, routing.TurnDecided{Machine: e.Machine, Granted: e.Granted, Wait: e.Wait, Turn: routing.SlotTurn{Number: e.Number, By: e.By}})
		}
	}
}

// broadcastLimit announces a limit, which a machine reported to this node, to all other nodes.
func (p *pacer) broadcastLimit(e *routing.MachineLimitChanged) {
	self := p.core.config.Self.ID
	p.core.limits.limitHeard(e.Machine)
	p.core.log(eventlog.WorkerLimited{Machine: e.Machine, Limited: e.Notice.Limited, Limit: e.Notice.PerSecond, Stated: e.Notice.StatedPerSecond, Brittle: e.Notice.Brittle, Turns: e.Notice.Concurrency, By: self, Request: e.Request})
	for _, id := range slices.Sorted(maps.Keys(p.core.nodes.live)) {
		if id != self {
			p.core.send(p.core.nodes.live[id].Address, wire.MachineLimit{
				From: self, Machine: e.Machine, Limited: e.Notice.Limited, PerSecond: e.Notice.PerSecond, Brittle: e.Notice.Brittle, Concurrency: e.Notice.Concurrency,
				StatedPerSecond: e.Notice.StatedPerSecond,
			})
		}
	}
}

// limitReceived handles a machine's limit announced by another node.
func (p *pacer) limitReceived(m *wire.MachineLimit) {
	p.core.log(eventlog.WorkerLimited{Machine: m.Machine, Limited: m.Limited, Limit: m.PerSecond, Stated: m.StatedPerSecond, Brittle: m.Brittle, Turns: m.Concurrency, By: m.From})
	p.core.feedRouter(routing.MachineLimitReceived{
		Machine: m.Machine, Notice: routing.Notice{Limited: m.Limited, PerSecond: m.PerSecond, Brittle: m.Brittle, Concurrency: m.Concurrency, StatedPerSecond: m.StatedPerSecond},
	})
	p.core.limits.limitHeard(m.Machine)
}

// due returns the time of the next required tick.
func (p *pacer) due() time.Time { return p.turns.NextDue() }

// tick advances the pacing core's time and passes its decisions to the router.
func (p *pacer) tick() {
	if due := p.due(); !due.IsZero() && !p.core.now.Before(due) {
		p.step(pacing.Tick{})
	}
	for len(p.pendingDecisions) > 0 {
		next := p.pendingDecisions[0]
		p.pendingDecisions = p.pendingDecisions[1:]
		p.core.feedRouter(next)
	}
}
