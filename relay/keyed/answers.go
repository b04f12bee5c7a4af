package keyed

import (
	"container/list"
	"net/http"
	"sync"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/relay"
)

// Bounds of the kept answers of one node, in bytes.
const (
	maxAnswerBytes = 256 << 10
	maxKeptBytes   = 8 << 20
)

// answer is a whole answer that went to a caller.
type answer struct {
	request     cluster.RequestID
	status      int
	contentType string
	body        []byte
}

// send writes the answer to a caller.
func (a *answer) send(sink relay.Sink) error {
	header := http.Header{"Content-Type": {a.contentType}}
	if err := sink.Start(a.status, header); err != nil {
		return err
	}
	return sink.Write(a.body)
}

// answers keeps the newest answers within maxKeptBytes.
type answers struct {
	mutex sync.Mutex
	bytes int
	order list.List
	byID  map[cluster.RequestID]*list.Element
}

// keep stores an answer and drops the oldest ones beyond the bound.
func (k *answers) keep(added *answer) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.byID == nil {
		k.byID = make(map[cluster.RequestID]*list.Element)
	}
	k.byID[added.request] = k.order.PushBack(added)
	k.bytes += len(added.body)
	for k.bytes > maxKeptBytes {
		oldest := k.order.Remove(k.order.Front()).(*answer)
		k.bytes -= len(oldest.body)
		delete(k.byID, oldest.request)
	}
}

// find returns the kept answer of a request, or nil.
func (k *answers) find(request cluster.RequestID) *answer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if element, kept := k.byID[request]; kept {
		return element.Value.(*answer)
	}
	return nil
}

// recorder passes an answer on to the caller and copies it. A caller that left
// does not end the request, because its answer is wanted by the repetition; but
// it ends a stream that has begun, because clients don't repeat those.
type recorder struct {
	sink   relay.Sink
	stream bool
	copied answer
	// gone is set when the caller left, large when the answer is not kept.
	gone  error
	large bool
}

// Start implements relay.Sink.
func (r *recorder) Start(status int, header http.Header) error {
	r.copied.status, r.copied.contentType = status, header.Get("Content-Type")
	r.gone = r.sink.Start(status, header)
	return nil
}

// Write implements relay.Sink.
func (r *recorder) Write(data []byte) error {
	r.large = r.large || len(r.copied.body)+len(data) > maxAnswerBytes
	if !r.large {
		r.copied.body = append(r.copied.body, data...)
	}
	if r.gone == nil {
		r.gone = r.sink.Write(data)
	}
	if r.stream {
		return r.gone
	}
	return nil
}
