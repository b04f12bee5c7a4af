package wire

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// StreamOrigin tells at which software release of machines the stream that answers a request began.
type StreamOrigin struct {
	Request cluster.RequestID
	Release string
	// Left is how much longer the caller may resume the stream.
	Left time.Duration
}

// StreamOrigins tells a node at which releases streams began.
type StreamOrigins struct {
	From        cluster.NodeID
	FromAddress string
	// Number identifies the message in its acknowledgement.
	Number  int64
	Streams []StreamOrigin
}

// StreamOriginsReceived acknowledges a StreamOrigins.
type StreamOriginsReceived struct {
	From   cluster.NodeID
	Number int64
}

// StreamOriginRequest asks at which release the stream that answers a request began.
type StreamOriginRequest struct {
	From        cluster.NodeID
	FromAddress string
	// Number identifies the request in the answer.
	Number  int64
	Request cluster.RequestID
}

// StreamOriginAnswer answers a StreamOriginRequest. If the sender does not know the stream, Found is
// false and Release empty.
type StreamOriginAnswer struct {
	From    cluster.NodeID
	Number  int64
	Found   bool
	Release string
}

func (StreamOrigins) message()         {}
func (StreamOriginsReceived) message() {}
func (StreamOriginRequest) message()   {}
func (StreamOriginAnswer) message()    {}

type streamOriginRecord StreamOrigin

type streamOriginsRecord struct {
	From        cluster.NodeID
	FromAddress string
	Number      int64
	Streams     []streamOriginRecord
}

type (
	streamOriginsReceivedRecord StreamOriginsReceived
	streamOriginRequestRecord   StreamOriginRequest
	streamOriginAnswerRecord    StreamOriginAnswer
)

func streamOriginsToRecord(m StreamOrigins) *streamOriginsRecord {
	return &streamOriginsRecord{From: m.From, FromAddress: m.FromAddress, Number: m.Number, Streams: mapSlice(m.Streams, func(s StreamOrigin) streamOriginRecord { return streamOriginRecord(s) })}
}

func (r *streamOriginsRecord) toMessage() Message {
	return StreamOrigins{From: r.From, FromAddress: r.FromAddress, Number: r.Number, Streams: mapSlice(r.Streams, func(s streamOriginRecord) StreamOrigin { return StreamOrigin(s) })}
}

func (r *streamOriginsReceivedRecord) toMessage() Message { return StreamOriginsReceived(*r) }
func (r *streamOriginRequestRecord) toMessage() Message   { return StreamOriginRequest(*r) }
func (r *streamOriginAnswerRecord) toMessage() Message    { return StreamOriginAnswer(*r) }
