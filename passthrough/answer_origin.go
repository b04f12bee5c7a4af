package passthrough

import (
	"context"
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
	// anonymous is set if the request was sent without its ID, so that no answer can name it.
	anonymous bool
	// machine is the machine that was asked.
	machine cluster.MachineID
	// carried is the number of exchanges that the connection had carried before the send, and resent whether the
	// request was one of them.
	carried int
	resent  bool
	// throughPeer is set if another node reads the answers of the machine and passes on the one that it takes for
	// the request's.
	throughPeer bool
	// named is which request the last answer names, empty before the first one. answers counts the answers.
	named   string
	answers int
}

// newAnswerOrigin returns the origin for a request that is about to be sent to a machine on the connection, and that
// may be sent again within the given time. stated is the ID that the request states, empty for none.
func newAnswerOrigin(conn *upstream.Conn, request, stated cluster.RequestID, machine cluster.MachineID, within time.Duration) answerOrigin {
	origin := answerOrigin{
		request: request, anonymous: stated == "", machine: machine, carried: conn.Exchanges(), resent: conn.HasCarried(string(request)),
	}
	conn.RecordCarried(string(request), within)
	return origin
}

// connFor returns a connection on which the answers to a request can be told from others: one that has not carried the
// request, and a new one for a request that states no ID.
func connFor(ctx context.Context, pool *upstream.Pool, address string, stated cluster.RequestID) (*upstream.Conn, error) {
	if stated == "" {
		return pool.Dial(ctx, address)
	}
	return pool.GetFor(ctx, address, string(stated))
}

// answerOriginThroughPeer returns the origin for a request that is about to be sent on a connection to another node,
// which sends it to the machine.
func answerOriginThroughPeer(conn *upstream.Conn, request cluster.RequestID, machine cluster.MachineID) answerOrigin {
	return answerOrigin{request: request, machine: machine, carried: conn.Exchanges(), throughPeer: true}
}

// owns reports whether an answer belongs to the send.
func (o *answerOrigin) owns(answer *AnswerAttributes) bool {
	o.answers++
	switch answer.RequestID {
	case "":
		o.named = namesNone
		return answer.NotRun && (o.rejectedByOther(answer) || o.anonymous && o.isFirst())
	case o.request:
		o.named = namesOwn
		return !o.resent
	}
	o.named = namesOther
	return false
}

// rejectedByOther reports whether the answer comes from another machine than the one that was asked. A connection
// belongs to one process, which rejects all requests for other machines, so that it does not matter to which of them
// the answer belongs.
func (o *answerOrigin) rejectedByOther(answer *AnswerAttributes) bool {
	return answer.Misdirected && answer.Machine != "" && answer.Machine != o.machine
}

// isFirst reports whether the last answer is the first one on a connection that has carried nothing but this send.
func (o *answerOrigin) isFirst() bool { return o.carried == 0 && o.answers == 1 && !o.throughPeer }

// discarded returns the log record for an answer that does not belong to the send.
func (o *answerOrigin) discarded(status int, answer *AnswerAttributes) eventlog.AnswerDiscarded {
	return eventlog.AnswerDiscarded{
		Request: o.request, Machine: o.machine, Status: status, Named: o.named, NotRun: answer.NotRun, Carried: o.carried, Resent: o.resent,
	}
}
