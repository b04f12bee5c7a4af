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

// answerOrigin tells for one send of a request whether an answer on its connection belongs to it.
type answerOrigin struct {
	request cluster.RequestID
	// carried is the number of exchanges that the connection had carried before the send, and resent whether the
	// request was one of them.
	carried int
	resent  bool
	// named is which request the last answer names, empty before the first one.
	named string
}

// newAnswerOrigin returns the origin for a request that is about to be sent on the connection, and that may be sent
// again within the given time.
func newAnswerOrigin(conn *upstream.Conn, request cluster.RequestID, within time.Duration) answerOrigin {
	origin := answerOrigin{request: request, carried: conn.Exchanges(), resent: conn.HasCarried(string(request))}
	conn.RecordCarried(string(request), within)
	return origin
}

// owns reports whether an answer belongs to the send.
func (o *answerOrigin) owns(answer *AnswerAttributes) bool {
	switch answer.RequestID {
	case o.request:
		o.named = namesOwn
		return true
	case "":
		o.named = namesNone
		return answer.NotRun
	}
	o.named = namesOther
	return false
}

// discarded returns the log record for an answer that does not belong to the send.
func (o *answerOrigin) discarded(machine cluster.MachineID, status int, answer *AnswerAttributes) eventlog.AnswerDiscarded {
	return eventlog.AnswerDiscarded{
		Request: o.request, Machine: machine, Status: status, Named: o.named, NotRun: answer.NotRun, Carried: o.carried, Resent: o.resent,
	}
}
