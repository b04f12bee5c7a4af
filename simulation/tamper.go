package simulation

import (
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
)

// DefectHooks are hooks that inject defects between the cores and the world, so that tests
// can show that a checker detects them. Product code has no such hooks.
type DefectHooks struct {
	// Effect may change an effect before it is applied, or drop it by returning
	// nil.
	Effect func(from *Node, effect node.Effect) node.Effect
	// Event may change an event before it is passed to a core.
	Event func(event node.Event) node.Event
	// Answer may change the request ID and the number of tokens of an answer that
	// a relay received.
	Answer func(request *cluster.RequestID, tokens *int)
}
