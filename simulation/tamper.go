package simulation

import (
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
)

// Tamper plants defects between the cores and the world, so that tests can show
// that a checker notices them. Product code has no such switches.
type Tamper struct {
	// Effect may change an effect before it is carried out, or drop it by
	// returning nil.
	Effect func(from *Node, effect node.Effect) node.Effect
	// Event may change an event before a core sees it.
	Event func(event node.Event) node.Event
	// Answer may change what a relay received.
	Answer func(request *cluster.RequestID, tokens *int)
}
