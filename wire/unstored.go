package wire

import "github.com/valveslip/valveslip/cluster"

// UnstoredStateRequest asks a node for what it knows that the store, which came back from a copy, may not
// show.
type UnstoredStateRequest struct {
	From        cluster.NodeID
	FromAddress string
	// ConfigurationVersion is the version of the configuration that the sender has in force.
	ConfigurationVersion int64
}

// UnstoredState answers an UnstoredStateRequest.
type UnstoredState struct {
	From cluster.NodeID
	// ConfigurationVersion is the version that the sender has in force. Configuration is its stored form,
	// empty if the version is not later than that of the request.
	ConfigurationVersion int64
	Configuration        []byte
	// Leaving are the machines that have said that they leave.
	Leaving []cluster.MachineID
}

func (UnstoredStateRequest) message() {}
func (UnstoredState) message()        {}

type (
	unstoredStateRequestRecord UnstoredStateRequest
	unstoredStateRecord        UnstoredState
)

func (r *unstoredStateRequestRecord) toMessage() Message { return UnstoredStateRequest(*r) }
func (r *unstoredStateRecord) toMessage() Message        { return UnstoredState(*r) }
