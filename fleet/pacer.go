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

// pacer keeps requests to machines within the limits that these named: it has all nodes know
// of a limit, and gets the router its turns.
type pacer struct {
	core *Core
	pace *pacing.Core
	// decided are answers that the router has yet to be told.
	decided []routing.TurnDecided
}

func newPacer(core *Core) *pacer {
	return &pacer{core: core, pace: pacing.New(core.config.Self.pacer())}
}

// pacer is the node as those that pace machines are chosen from.
func (e *NodeEntry) pacer() pacing.Peer {
	return pacing.Peer{ID: e.ID, Address: e.Address, Machine: e.Machine}
}

// peersChanged tells who paces of the live nodes.
func (p *pacer) peersChanged() {
	peers := make([]pacing.Peer, 0, len(p.core.nodes.live))
	for _, entry := range p.core.nodes.live {
		peers = append(peers, entry.pacer())
	}
	p.step(pacing.PeersChanged{Peers: peers})
}

// step feeds the pacing core and carries its effects out.
func (p *pacer) step(event pacing.Event) {
	for _, effect := range p.pace.Step(p.core.now, event) {
		switch e := effect.(type) {
		case pacing.Send:
			p.core.send(e.Address, e.Message)
		case pacing.TurnDecided:
			p.core.log(eventlog.TurnDecided{Machine: e.Machine, Granted: e.Granted, Wait: e.Wait, By: e.By})
			p.decided = append(p.decided, routing.TurnDecided{Machine: e.Machine, Granted: e.Granted, Wait: e.Wait})
		}
	}
}

// found tells all nodes what this one heard of a machine's limit.
func (p *pacer) found(e *routing.MachineLimitFound) {
	self := p.core.config.Self.ID
	p.core.log(eventlog.WorkerLimited{Machine: e.Machine, Limited: e.Notice.Limited, Limit: e.Notice.PerSecond, By: self, Request: e.Request})
	for _, id := range slices.Sorted(maps.Keys(p.core.nodes.live)) {
		if id != self {
			p.core.send(p.core.nodes.live[id].Address, wire.MachineLimit{
				From: self, Machine: e.Machine, Limited: e.Notice.Limited, PerSecond: e.Notice.PerSecond,
			})
		}
	}
}

// told takes what another node heard of a machine's limit.
func (p *pacer) told(m *wire.MachineLimit) {
	p.core.log(eventlog.WorkerLimited{Machine: m.Machine, Limited: m.Limited, Limit: m.PerSecond, By: m.From})
	p.core.routing(routing.MachineLimitTold{
		Machine: m.Machine, Notice: routing.Notice{Limited: m.Limited, PerSecond: m.PerSecond},
	})
}

// due returns when the next tick has something to do.
func (p *pacer) due() time.Time { return p.pace.NextDue() }

// tick lets the pacing core's time pass, and tells the router what was decided.
func (p *pacer) tick() {
	if due := p.due(); !due.IsZero() && !p.core.now.Before(due) {
		p.step(pacing.Tick{})
	}
	for len(p.decided) > 0 {
		next := p.decided[0]
		p.decided = p.decided[1:]
		p.core.routing(next)
	}
}
