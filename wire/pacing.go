package wire

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// MachineLimit reports the rate limit that a machine has stated: the requests per second that it
// accepts from all nodes together. Without Limited it reports that the machine states no limit any
// more.
type MachineLimit struct {
	From      cluster.NodeID
	Machine   cluster.MachineID
	Limited   bool
	PerSecond float64
	// Brittle is how many requests the machine can turn away within a second before its process
	// ends; zero if it has not stated that. PerSecond is then what nodes derived from it.
	Brittle int
	// Concurrency is the number of requests that a brittle machine gets at a time, zero for others.
	Concurrency int
	// StatedPerSecond is the rate limit that a brittle machine has stated itself, zero for none.
	StatedPerSecond float64
}

// TurnRequest asks the node that paces the requests to a machine whether a request may be sent.
type TurnRequest struct {
	From        cluster.NodeID
	FromAddress string
	// Number identifies the request in the answer.
	Number  int64
	Machine cluster.MachineID
	// PerSecond is the machine's limit as the sender knows it, in requests per second. With Slots it is only
	// what the machine has stated itself, zero for none.
	PerSecond float64
	// Slots is the number of turns that may be in use at a time; zero for a limit by rate alone. Such
	// a turn must be returned.
	Slots int
}

// TurnReturned returns the turn that was granted for a TurnRequest.
type TurnReturned struct {
	From    cluster.NodeID
	Number  int64
	Machine cluster.MachineID
}

// TurnAnswer answers a TurnRequest.
type TurnAnswer struct {
	From    cluster.NodeID
	Number  int64
	Granted bool
	// Wait is the time after which the request may be sent or, if it is not Granted, after
	// which the sender may ask again.
	Wait time.Duration
}

type (
	machineLimitRecord MachineLimit
	turnRequestRecord  TurnRequest
	turnAnswerRecord   TurnAnswer
	turnReturnedRecord TurnReturned
)

func (r *machineLimitRecord) toMessage() Message { return MachineLimit(*r) }
func (r *turnRequestRecord) toMessage() Message  { return TurnRequest(*r) }
func (r *turnAnswerRecord) toMessage() Message   { return TurnAnswer(*r) }
func (r *turnReturnedRecord) toMessage() Message { return TurnReturned(*r) }
