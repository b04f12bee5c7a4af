package passthrough

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/upstream"
)

// Which request an answer names, as logged.
const (
	namesOwn   = "own"
	namesOther = "other"
	namesNone  = "none"
)

// answerOrigin tells for one send of a request whether an answer on its connection belongs to it. A machine may
// send surplus answers, late and in the place of the next one. The ID of a request is the same at each of its sends,
// so that it identifies a send only on a connection that has not carried the request before.
type answerOrigin struct {
	request cluster.RequestID
	// machine is the machine that was asked.
	machine cluster.MachineID
	// carried is the number of exchanges that the connection had carried before the send, and resent whether the
	// request was one of them.
	carried int
	resent  bool
	// named is which request the last answer names, empty before the first one.
	named string
}

// newAnswerOrigin returns the origin for a request that is about to be sent to a machine on the connection, and that
// may be sent again within the given time.
func newAnswerOrigin(conn *upstream.Conn, request cluster.RequestID, machine cluster.MachineID, within time.Duration) answerOrigin {
	origin := answerOrigin{request: request, machine: machine, carried: conn.Exchanges(), resent: conn.HasCarried(string(request))}
	conn.RecordCarried(string(request), within)
	return origin
}

// answerOriginThroughPeer returns the origin for a request that is about to be sent on a connection to another node,
// which sends it to the machine.
func answerOriginThroughPeer(conn *upstream.Conn, request cluster.RequestID, machine cluster.MachineID) answerOrigin {
	return answerOrigin{request: request, machine: machine, carried: conn.Exchanges()}
}

// owns reports whether an answer belongs to the send.
func (o *answerOrigin) owns(answer *AnswerAttributes) bool {
	switch answer.RequestID {
	case o.request:
		o.named = namesOwn
		return !o.resent
	case "":
		o.named = namesNone
		return answer.NotRun
	}
	o.named = namesOther
	return false
}

// discarded returns the log record for an answer that does not belong to the send.
func (o *answerOrigin) discarded(status int, answer *AnswerAttributes) eventlog.AnswerDiscarded {
	return eventlog.AnswerDiscarded{
		Request: o.request, Machine: o.machine, Status: status, Named: o.named, NotRun: answer.NotRun, Carried: o.carried, Resent: o.resent,
	}
}
