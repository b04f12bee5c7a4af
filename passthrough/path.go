package passthrough

import (
	"context"
	"errors"

	"github.com/valveslip/valveslip/reachability"
)

// Path observes this node's own connections to machines.
type Path interface {
	// Failed records that a connection to a machine failed.
	Failed(address string, kind reachability.Kind, cause string)
}

// recordPathFailure reports a failure of the connection to the machine, unless the caller's leaving
// caused it.
func (a *attempt) recordPathFailure(kind reachability.Kind, err error) {
	if a.Path == nil || errors.Is(err, context.Canceled) || a.request.Context().Err() != nil {
		return
	}
	a.Path.Failed(a.decision.Address, kind, err.Error())
}

// recordUnanswered reports that the connection failed before the head of the answer arrived.
func (a *attempt) recordUnanswered(err error) {
	kind := reachability.Silence
	if !a.conn.Reused() {
		kind = reachability.NoConnection
	}
	a.recordPathFailure(kind, err)
}

// errSilent is the failure of a machine whose answer is overdue.
var errSilent = errors.New("the machine is silent")
