package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
)

// PathCounters accepts GET and answers with Counters as JSON.
const PathCounters = "/standin/v1/counters"

// PathRuns accepts POST with a JSON list of prompt seeds and answers with the
// number of runs of each, or 404 if the engine's Recorder isn't a Ledger.
const PathRuns = "/standin/v1/runs"

// maxControlBytes limits the size of a request body.
const maxControlBytes = 16 << 20

// decode decodes a JSON body. If that fails, it answers 400 and returns false.
func decode(writer http.ResponseWriter, request *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxControlBytes))
	if err := decoder.Decode(into); err != nil {
		writeJSON(writer, http.StatusBadRequest, errorBody{Error: errorObject{Message: err.Error(), Type: "invalid_request_error"}})
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// writeOrderResult answers with the inventory, or with 409 and the refusal.
func writeOrderResult(writer http.ResponseWriter, status int, inventory cluster.Inventory, refused *engine.OrderRefusal) {
	if refused != nil {
		writeJSON(writer, http.StatusConflict, refused)
		return
	}
	writeJSON(writer, status, inventory)
}

func (s *Server) seal(writer http.ResponseWriter, request *http.Request) {
	var body engine.SealRequest
	if !decode(writer, request, &body) {
		return
	}
	var inventory cluster.Inventory
	var refused *engine.OrderRefusal
	s.Do(func(now time.Time, state *State) { inventory, refused = state.Seal(now, body.Token) })
	writeOrderResult(writer, http.StatusOK, inventory, refused)
}

func (s *Server) order(writer http.ResponseWriter, request *http.Request) {
	var order cluster.Order
	if !decode(writer, request, &order) {
		return
	}
	var inventory cluster.Inventory
	var refused *engine.OrderRefusal
	s.Do(func(now time.Time, state *State) {
		inventory, refused = state.Order(now, order)
		if refused == nil && order.Kind == cluster.OrderLoad && s.crashOnNextLoad {
			s.crashOnNextLoad = false
			s.crashDuringLoad()
		}
	})
	writeOrderResult(writer, http.StatusAccepted, inventory, refused)
}

func (s *Server) inventory(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, s.Inventory())
}

func (s *Server) report(writer http.ResponseWriter, _ *http.Request) {
	var report cluster.LoadReport
	s.Do(func(now time.Time, state *State) { report = state.Report(now) })
	writeJSON(writer, http.StatusOK, report)
}

func (s *Server) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	events := []cluster.CacheEvent{}
	s.Do(func(now time.Time, state *State) { events = append(events, state.CacheEvents(now, after)...) })
	writeJSON(writer, http.StatusOK, events)
}

func (s *Server) serveCounters(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, s.Counters())
}

func (s *Server) serveRuns(writer http.ResponseWriter, request *http.Request) {
	ledger, ok := s.config.Engine.Recorder.(*Ledger)
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	var seeds []uint64
	if decode(writer, request, &seeds) {
		writeJSON(writer, http.StatusOK, ledger.Count(seeds))
	}
}

// kvCacheBody is the body of an export response and of an import request.
type kvCacheBody struct {
	Model    cluster.ModelID
	Prefixes []uint64
}

// parseKVCache returns the model, version and token in the URL of a request to
// engine.PathKV.
func parseKVCache(request *http.Request) engine.KVCache {
	query := request.URL.Query()
	token, _ := strconv.ParseUint(query.Get("token"), 10, 64)
	return engine.KVCache{
		Model: cluster.ModelID(request.PathValue("model")), Version: query.Get("version"), Token: cluster.FencingToken(token),
	}
}

func (s *Server) exportKV(writer http.ResponseWriter, request *http.Request) {
	named := parseKVCache(request)
	cache := kvCacheBody{Model: named.Model}
	var refused *engine.OrderRefusal
	s.Do(func(now time.Time, state *State) { cache.Prefixes, refused = state.ExportKV(now, named) })
	if refused != nil {
		writeJSON(writer, http.StatusConflict, refused)
		return
	}
	writeJSON(writer, http.StatusOK, cache)
}

func (s *Server) importKV(writer http.ResponseWriter, request *http.Request) {
	var cache kvCacheBody
	if !decode(writer, request, &cache) {
		return
	}
	var refused *engine.OrderRefusal
	s.Do(func(now time.Time, state *State) {
		refused = state.ImportKV(now, parseKVCache(request), cache.Prefixes)
	})
	if refused != nil {
		writeJSON(writer, http.StatusConflict, refused)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (s *Server) cancel(writer http.ResponseWriter, request *http.Request) {
	key, ok := pathKey(request)
	known := false
	if ok {
		s.Do(func(now time.Time, state *State) { known = state.Cancel(now, key) })
	}
	if !known {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// pathKey returns the attempt key in a request path, or false if it is invalid.
func pathKey(request *http.Request) (Key, bool) {
	attempt, err := strconv.ParseUint(request.PathValue("attempt"), 10, 32)
	return Key{Request: cluster.RequestID(request.PathValue("request")), Attempt: cluster.Attempt(attempt)}, err == nil
}
