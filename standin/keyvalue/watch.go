package keyvalue

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/gateway"
	"github.com/valveslip/valveslip/standin/fault"
)

// watch streams the changes of one range until the caller leaves, the history
// is compacted under it, or the service is down.
func (s *Server) watch(writer http.ResponseWriter, incoming *http.Request) {
	var request gateway.WatchRequest
	if !s.admit(writer) || !decode(writer, incoming, &request) {
		return
	}
	if request.CreateRequest == nil {
		writeStatus(writer, http.StatusBadRequest, gateway.CodeInvalidArgument, "create_request is missing")
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	stream := watchStream{server: s, request: *request.CreateRequest, encoder: json.NewEncoder(writer), flush: http.NewResponseController(writer).Flush}
	stream.run(incoming)
}

// watchStream is one watch.
type watchStream struct {
	server  *Server
	request gateway.WatchCreateRequest
	encoder *json.Encoder
	flush   func() error
	next    int64
}

func (w *watchStream) run(incoming *http.Request) {
	w.next = int64(w.request.StartRevision)
	created := gateway.WatchResult{Created: true}
	w.server.Do(func(_ time.Time, state *State) {
		created.Header = state.header()
		if w.next == 0 {
			w.next = state.Revision() + 1
		}
	})
	if !w.send(created) {
		return
	}
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	report := false
	for {
		batch, changed := w.collect()
		if batch.Compacted {
			w.send(gateway.WatchResult{Canceled: true, CompactRevision: gateway.Int64(batch.Revision)})
			return
		}
		if (len(batch.Events) > 0 || report) && !w.send(result(batch)) {
			return
		}
		select {
		case <-incoming.Context().Done():
			return
		case <-changed:
			report = false
		case <-progress.C:
			report = w.request.ProgressNotify
		}
		if _, down := w.server.Trigger(fault.KindDown); down {
			panic(http.ErrAbortHandler)
		}
	}
}

// collect returns what the watch has not seen and a channel that closes when
// there may be more.
func (w *watchStream) collect() (keyvalue.WatchBatch, chan struct{}) {
	var batch keyvalue.WatchBatch
	var changed chan struct{}
	w.server.Do(func(_ time.Time, state *State) {
		batch = state.eventsBetween(string(w.request.Key), string(w.request.RangeEnd), w.next)
		if w.next <= batch.Revision {
			w.next = batch.Revision + 1
		}
		changed = w.server.changed
	})
	return batch, changed
}

// result writes a batch in the gateway's form.
func result(batch keyvalue.WatchBatch) gateway.WatchResult {
	answer := gateway.WatchResult{Header: gateway.Header{Revision: gateway.Int64(batch.Revision)}}
	for _, event := range batch.Events {
		written := gateway.Event{KV: toGateway(event.KeyValue)}
		if event.Deleted {
			written.Type = gateway.TypeDelete
		}
		answer.Events = append(answer.Events, written)
	}
	return answer
}

func (w *watchStream) send(result gateway.WatchResult) bool {
	return w.encoder.Encode(gateway.WatchResponse{Result: result}) == nil && w.flush() == nil
}
