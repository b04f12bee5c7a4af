package keyvalue

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/gateway"
	"github.com/valveslip/valveslip/standin/fault"
)

// serveWatch streams the events of one range until the caller disconnects, the
// next revision is compacted, or a KindDown fault closes the connection.
func (s *Server) serveWatch(writer http.ResponseWriter, incoming *http.Request) {
	var request gateway.WatchRequest
	if !s.checkRateLimit(writer) || !decodeRequest(writer, incoming, &request) {
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

// watchStream is an active watch. nextRevision is the first revision that has
// not been sent.
type watchStream struct {
	server       *Server
	request      gateway.WatchCreateRequest
	encoder      *json.Encoder
	flush        func() error
	nextRevision keyvalue.Revision
}

func (w *watchStream) run(incoming *http.Request) {
	w.nextRevision = keyvalue.Revision(w.request.StartRevision)
	created := gateway.WatchResult{Created: true}
	w.server.Do(func(_ time.Time, state *State) {
		created.Header = state.responseHeader()
		if w.nextRevision == 0 {
			w.nextRevision = state.Revision() + 1
		}
	})
	if !w.send(created) {
		return
	}
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	reportProgress := false
	for {
		batch, changed := w.nextBatch()
		if batch.Compacted {
			w.send(gateway.WatchResult{Canceled: true, CompactRevision: gateway.Int64(batch.Revision)})
			return
		}
		if (len(batch.Events) > 0 || reportProgress) && !w.send(toWatchResult(batch)) {
			return
		}
		select {
		case <-incoming.Context().Done():
			return
		case <-changed:
			reportProgress = false
		case <-progress.C:
			reportProgress = w.request.ProgressNotify
		}
		if _, down := w.server.Trigger(fault.KindDown); down {
			panic(http.ErrAbortHandler)
		}
	}
}

// nextBatch returns the events that have not been sent and a channel that is
// closed when the revision next changes.
func (w *watchStream) nextBatch() (keyvalue.WatchBatch, chan struct{}) {
	var batch keyvalue.WatchBatch
	var changed chan struct{}
	w.server.Do(func(_ time.Time, state *State) {
		batch = state.eventsBetween(string(w.request.Key), string(w.request.RangeEnd), w.nextRevision)
		if w.nextRevision <= batch.Revision {
			w.nextRevision = batch.Revision + 1
		}
		changed = w.server.revisionChanged
	})
	return batch, changed
}

// toWatchResult converts a batch to the gateway's type.
func toWatchResult(batch keyvalue.WatchBatch) gateway.WatchResult {
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
