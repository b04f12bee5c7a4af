package metadata

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/platform"
	standin "github.com/valveslip/valveslip/standin/keyvalue"
)

const (
	// maxPageItems limits the items in one page of a range response.
	maxPageItems = 500
	// maxWatchWait is the longest wait that a watch request may ask for.
	maxWatchWait = 30 * time.Second
)

// Server is an HTTP handler for the store's API. It is safe for concurrent use.
// Faults are injected through the embedded server.
type Server struct {
	*standin.Server
	handler http.Handler
	// unresponsive makes the store accept requests and never answer them.
	unresponsive atomic.Bool
	// eventsSuppressed makes watch responses carry the revision but no events.
	eventsSuppressed atomic.Bool
	calls            atomic.Int64
	// era counts how often the store came back from a copy.
	era atomic.Int64
	// keyFault is the fault of transactions that write a key, nil for none.
	keyFault atomic.Pointer[keyFault]
	// Rewrite replaces the value of an item in range and watch responses; nil
	// leaves all values unchanged. It must be set before the first request.
	Rewrite func(key string, value []byte) []byte
}

// New returns an empty store. seed initializes the random numbers of the fault
// injector.
func New(seed uint64) *Server {
	s := &Server{Server: standin.NewServer(standin.Config{}, seed)}
	router := chi.NewRouter()
	router.Get(platform.PathRange, s.serveRange)
	router.Get(platform.PathWatch, s.serveWatch)
	router.Post(platform.PathTxn, s.applyTransaction)
	router.Post(platform.PathLease, s.grantLease)
	router.Post(platform.PathKeep+"{id}", s.keepLeaseAlive)
	router.Delete(platform.PathLeaseEnd+"{id}", s.revokeLease)
	s.handler = s.Wrap(router)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	w.Header().Set(platform.HeaderEra, strconv.FormatInt(s.era.Load(), 10))
	if s.unresponsive.Load() {
		<-r.Context().Done()
		return
	}
	s.handler.ServeHTTP(w, r)
}

// SetUnresponsive sets whether the store accepts requests without ever answering them.
func (s *Server) SetUnresponsive(silent bool) { s.unresponsive.Store(silent) }

// keyFault is what happens to transactions that write a key.
type keyFault struct {
	key string
	// losesAnswer is set if they are executed and not answered; otherwise they are refused.
	losesAnswer bool
}

// RefuseWrites refuses transactions that write a key, until ClearKeyFault.
func (s *Server) RefuseWrites(key string) { s.keyFault.Store(&keyFault{key: key}) }

// LoseWriteAnswers executes transactions that write a key without answering them, until ClearKeyFault.
func (s *Server) LoseWriteAnswers(key string) {
	s.keyFault.Store(&keyFault{key: key, losesAnswer: true})
}

// ClearKeyFault ends the fault of transactions that write a key.
func (s *Server) ClearKeyFault() { s.keyFault.Store(nil) }

// keyFaultOf returns the fault of a transaction, nil for none.
func (s *Server) keyFaultOf(transaction *keyvalue.Transaction) *keyFault {
	fault := s.keyFault.Load()
	if fault == nil || !slices.ContainsFunc(transaction.Operations, func(o keyvalue.Operation) bool { return o.Key == fault.key }) {
		return nil
	}
	return fault
}

// SuppressEvents sets whether watches receive no events while the store changes.
func (s *Server) SuppressEvents(muted bool) { s.eventsSuppressed.Store(muted) }

// Calls returns the number of requests received.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Put writes value as JSON without a precondition, as operators and workers do.
func (s *Server) Put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.PutBytes(key, encoded)
}

// PutBytes writes arbitrary bytes, which need not be valid JSON, without a
// precondition.
func (s *Server) PutBytes(key string, value []byte) (err error) {
	s.Do(func(now time.Time, state *standin.State) {
		_, err = state.Txn(now, keyvalue.Transaction{Operations: []keyvalue.Operation{{Key: key, Value: value}}})
	})
	return err
}

// Remove deletes a key without a precondition.
func (s *Server) Remove(key string) {
	s.Do(func(now time.Time, state *standin.State) {
		_, _ = state.Txn(now, keyvalue.Transaction{Operations: []keyvalue.Operation{{Key: key, Delete: true}}})
	})
}

// access calls function with the state and states the state's era in the response.
func (s *Server) access(w http.ResponseWriter, function func(now time.Time, state *standin.State)) {
	s.Do(func(now time.Time, state *standin.State) {
		function(now, state)
		w.Header().Set(platform.HeaderEra, strconv.FormatInt(s.era.Load(), 10))
	})
}

// Copy returns a copy of the store's contents.
func (s *Server) Copy() (taken standin.Copy) {
	s.Do(func(now time.Time, state *standin.State) { taken = state.Copy(now) })
	return taken
}

// Restore replaces the store's contents with a copy and begins a new era. What was written since the
// copy was taken is gone.
func (s *Server) Restore(from standin.Copy) {
	s.Do(func(now time.Time, state *standin.State) {
		state.Restore(now, from)
		s.era.Add(1)
	})
}

// Compact compacts the history up to the current revision.
func (s *Server) Compact() {
	s.Do(func(_ time.Time, state *standin.State) { state.Compact(state.Revision()) })
}

// Keys returns the sorted keys with a prefix.
func (s *Server) Keys(prefix string) []string {
	var keys []string
	s.Do(func(now time.Time, state *standin.State) {
		pairs, _ := state.Range(now, prefix)
		for _, pair := range pairs {
			keys = append(keys, pair.Key)
		}
	})
	return keys
}

// visibleItem returns a pair as range and watch responses show it.
func (s *Server) visibleItem(pair keyvalue.KeyValue) platform.Item {
	changed := toItem(pair)
	if s.Rewrite != nil {
		changed.Value = s.Rewrite(changed.Key, changed.Value)
	}
	return changed
}

func toItem(pair keyvalue.KeyValue) platform.Item {
	return platform.Item{Key: pair.Key, Value: pair.Value, ModRevision: pair.ModRevision.Counter(), CreateRevision: pair.CreateRevision.Counter(), Lease: pair.Lease}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveRange answers with one page of the items with a prefix.
func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var page platform.RangeAnswer
	after := r.URL.Query().Get("after")
	s.access(w, func(now time.Time, state *standin.State) {
		pairs, revision := state.Range(now, r.URL.Query().Get("path_prefix"))
		page.At = revision.Counter()
		page.Items = []platform.Item{}
		for _, pair := range pairs {
			if pair.Key <= after && after != "" {
				continue
			}
			if len(page.Items) == maxPageItems {
				page.More = true
				return
			}
			page.Items = append(page.Items, s.visibleItem(pair))
		}
	})
	writeJSON(w, http.StatusOK, page)
}

// serveWatch is a long poll: it answers as soon as there are events after the
// given revision, and without events when the requested wait ends.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil || time.Duration(wait)*time.Millisecond > maxWatchWait {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		changed := s.Changed()
		batch := s.eventsAfter(w, r.URL.Query().Get("path_prefix"), after)
		if s.eventsSuppressed.Load() {
			batch.Compacted, batch.Events, changed = false, nil, nil
		}
		if batch.Compacted || after > batch.Revision.Counter() {
			writeJSON(w, http.StatusGone, struct{}{})
			return
		}
		if len(batch.Events) > 0 {
			writeJSON(w, http.StatusOK, s.toWatchAnswer(&batch))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, http.StatusOK, s.toWatchAnswer(&batch))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) eventsAfter(w http.ResponseWriter, prefix string, after int64) (batch keyvalue.WatchBatch) {
	s.access(w, func(now time.Time, state *standin.State) {
		batch = state.EventsSince(now, prefix, keyvalue.Revision(after+1))
	})
	return batch
}

func (s *Server) toWatchAnswer(batch *keyvalue.WatchBatch) platform.WatchAnswer {
	changes := platform.WatchAnswer{At: batch.Revision.Counter(), Events: []platform.Item{}}
	for _, event := range batch.Events {
		changed := s.visibleItem(event.KeyValue)
		changed.Deleted = event.Deleted
		changes.Events = append(changes.Events, changed)
	}
	return changes
}

// applyTransaction serves a conditional write. If a condition isn't met, the
// response has the current items of the compared keys.
func (s *Server) applyTransaction(w http.ResponseWriter, r *http.Request) {
	var request platform.TxnRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	transaction := keyvalue.Transaction{}
	for _, expected := range request.Expected {
		transaction.Compares = append(transaction.Compares, keyvalue.Compare{Key: expected.Key, ModRevision: keyvalue.Revision(expected.Changed)})
		transaction.Reads = append(transaction.Reads, expected.Key)
	}
	for _, put := range request.Put {
		if isReadOnlyKey(put.Key) {
			writeJSON(w, http.StatusForbidden, struct{}{})
			return
		}
		transaction.Operations = append(transaction.Operations, keyvalue.Operation{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range request.Remove {
		transaction.Operations = append(transaction.Operations, keyvalue.Operation{Key: key, Delete: true})
	}
	fault := s.keyFaultOf(&transaction)
	if fault != nil && !fault.losesAnswer {
		writeJSON(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	var result keyvalue.TransactionResult
	var err error
	s.access(w, func(now time.Time, state *standin.State) { result, err = state.Txn(now, transaction) })
	if fault != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(err, keyvalue.ErrLeaseNotFound):
		writeJSON(w, http.StatusNotFound, struct{}{})
	case err != nil:
		writeJSON(w, http.StatusBadRequest, struct{}{})
	case !result.Succeeded:
		failure := platform.TxnAnswer{}
		for _, pair := range result.Found {
			failure.Items = append(failure.Items, toItem(pair))
		}
		writeJSON(w, http.StatusPreconditionFailed, failure)
	default:
		writeJSON(w, http.StatusOK, platform.TxnAnswer{Revision: result.Revision.Counter()})
	}
}

// isReadOnlyKey reports whether a key belongs to the workers or the operator, so
// that the serving system may not write it.
func isReadOnlyKey(key string) bool {
	return strings.HasPrefix(key, platform.PrefixWorkers) || key == platform.KeyConfiguration
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	var request platform.LeaseBody
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTLMillis <= 0 {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	var id int64
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	s.access(w, func(now time.Time, state *standin.State) { id = state.Grant(now, ttl) })
	writeJSON(w, http.StatusOK, platform.LeaseBody{Lease: id, TTLMillis: request.TTLMillis})
}

func (s *Server) keepLeaseAlive(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	var ttl time.Duration
	if err == nil {
		s.access(w, func(now time.Time, state *standin.State) { ttl, err = state.KeepAlive(now, id) })
	}
	if err != nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, platform.LeaseBody{TTLMillis: ttl.Milliseconds()})
}

func (s *Server) revokeLease(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	if err == nil {
		s.access(w, func(now time.Time, state *standin.State) { err = state.Revoke(now, id) })
	}
	if err != nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
