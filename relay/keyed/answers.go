package keyed

import (
	"container/list"
	"net/http"
	"sync"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/relay"
)

// Limits of the answers that a node keeps for repetitions, in bytes.
const (
	maxAnswerBytes = 256 << 10
	maxKeptBytes   = 8 << 20
)

// storedAnswer is a complete answer that is kept for repetitions of its request.
type storedAnswer struct {
	request     cluster.RequestID
	status      int
	contentType string
	body        []byte
}

// send writes the answer to a caller.
func (a *storedAnswer) send(sink relay.Sink) error {
	header := http.Header{"Content-Type": {a.contentType}}
	if err := sink.Start(a.status, header); err != nil {
		return err
	}
	return sink.Write(a.body)
}

// answerCache keeps the newest answers, up to maxKeptBytes in total.
type answerCache struct {
	mutex sync.Mutex
	bytes int
	order list.List
	byID  map[cluster.RequestID]*list.Element
}

// add stores an answer and evicts the oldest ones beyond maxKeptBytes.
func (k *answerCache) add(added *storedAnswer) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.byID == nil {
		k.byID = make(map[cluster.RequestID]*list.Element)
	}
	k.byID[added.request] = k.order.PushBack(added)
	k.bytes += len(added.body)
	for k.bytes > maxKeptBytes {
		oldest := k.order.Remove(k.order.Front()).(*storedAnswer)
		k.bytes -= len(oldest.body)
		delete(k.byID, oldest.request)
	}
}

// find returns the kept answer of a request, nil if there is none.
func (k *answerCache) find(request cluster.RequestID) *storedAnswer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if element, kept := k.byID[request]; kept {
		return element.Value.(*storedAnswer)
	}
	return nil
}

// answerRecorder passes an answer on to the caller and keeps a copy. A caller that
// disconnects does not end the request, because its repetition will need the answer. It
// does end a stream that has begun, because clients don't repeat those.
type answerRecorder struct {
	sink     relay.Sink
	stream   bool
	recorded storedAnswer
	// callerErr is the error of writing to the caller, nil while it is connected.
	// tooLarge is true when the answer exceeds maxAnswerBytes and is not kept.
	callerErr error
	tooLarge  bool
}

// Start implements relay.Sink.
func (r *answerRecorder) Start(status int, header http.Header) error {
	r.recorded.status, r.recorded.contentType = status, header.Get("Content-Type")
	r.callerErr = r.sink.Start(status, header)
	return nil
}

// Write implements relay.Sink.
func (r *answerRecorder) Write(data []byte) error {
	r.tooLarge = r.tooLarge || len(r.recorded.body)+len(data) > maxAnswerBytes
	if !r.tooLarge {
		r.recorded.body = append(r.recorded.body, data...)
	}
	if r.callerErr == nil {
		r.callerErr = r.sink.Write(data)
	}
	if r.stream {
		return r.callerErr
	}
	return nil
}
