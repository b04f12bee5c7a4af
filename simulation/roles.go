package simulation

import (
	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/wire"
)

// roleInspector is implemented by cores that expose their controller and the
// controller claims that they know.
type roleInspector interface {
	Controller() *authority.Controller
	Claims() []wire.ControllerClaim
}

// Controller returns the live process in the zone whose controller has the newest
// fencing token, nil if there is none.
func (w *World) Controller(zone cluster.ZoneID) *Node {
	var holder *Node
	var newest cluster.FencingToken
	for _, candidate := range w.nodes {
		core, ok := candidate.core.(roleInspector)
		if !ok || !candidate.alive || candidate.Place.Zone != zone {
			continue
		}
		if token := core.Controller().Token(); token > newest {
			holder, newest = candidate, token
		}
	}
	return holder
}

// Apportioner returns the live process that the newest claim known to any node
// names as apportioner, nil if there is none.
func (w *World) Apportioner() *Node {
	var newest wire.ControllerClaim
	for _, candidate := range w.nodes {
		core, ok := candidate.core.(roleInspector)
		if !ok || !candidate.alive {
			continue
		}
		for _, claim := range core.Claims() {
			if claim.Zone == node.ApportionerZone && claim.Token > newest.Token {
				newest = claim
			}
		}
	}
	for _, candidate := range w.nodes {
		if candidate.alive && candidate.ID == newest.Node {
			return candidate
		}
	}
	return nil
}

// SendRequest sends a request to a live process of the zone other than avoid. If there is
// none, it sends the request like any other arrival.
func (w *World) SendRequest(arrival Arrival, avoid *Node) {
	for _, candidate := range w.nodes {
		if candidate != avoid && candidate.Place.Zone == arrival.Zone && candidate.alive &&
			!candidate.draining && !candidate.paused {
			w.Callers.sendTo(candidate, arrival)
			return
		}
	}
	w.Callers.send(arrival)
}
