package relay

import (
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
)

// Tickets holds the tickets of all requests that have not ended. It is not safe for
// concurrent use: the shell that steps the core owns it.
type Tickets map[cluster.RequestID]*Ticket

// Deliver appends a routing effect to the ticket of its request. Finish, the last effect
// of a request, also removes the ticket.
func (t Tickets) Deliver(effect routing.Effect) {
	var id cluster.RequestID
	switch effect := effect.(type) {
	case routing.Dispatch:
		id = effect.Request
	case routing.CancelAttempt:
		id = effect.Request
	case routing.Finish:
		id = effect.Request
		defer delete(t, id)
	default:
		return
	}
	if ticket, known := t[id]; known {
		ticket.Deliver(effect)
	}
}
