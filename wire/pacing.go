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
}

// TurnRequest asks the node that paces the requests to a machine whether a request may be sent.
type TurnRequest struct {
	From        cluster.NodeID
	FromAddress string
	// Number identifies the request in the answer.
	Number  int64
	Machine cluster.MachineID
	// PerSecond is the machine's limit as the sender knows it, in requests per second.
	PerSecond float64
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
)

func (r *machineLimitRecord) toMessage() Message { return MachineLimit(*r) }
func (r *turnRequestRecord) toMessage() Message  { return TurnRequest(*r) }
func (r *turnAnswerRecord) toMessage() Message   { return TurnAnswer(*r) }
