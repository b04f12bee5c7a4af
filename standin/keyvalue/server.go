package keyvalue

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/gateway"
	"github.com/valveslip/valveslip/standin/fault"
)

// maxBodyBytes limits the size of a request body, as etcd does by default.
const maxBodyBytes = 2 << 20

// progressInterval is the time between progress notifications of an idle watch.
const progressInterval = time.Second

// maxTTLSeconds is the longest TTL of a lease, the same as in etcd.
const maxTTLSeconds = 9_000_000_000

// Server serves a State through the etcd HTTP/JSON gateway. It is safe for
// concurrent use.
type Server struct {
	*fault.Injector
	http.Handler

	mu              sync.Mutex
	state           *State
	revisionChanged chan struct{}
	expiryTimer     *time.Timer
}

// NewServer returns a server with an empty store. seed initializes the random
// numbers of the fault injector.
func NewServer(config Config, seed uint64) *Server {
	server := &Server{
		Injector:        fault.NewInjector(seed, nil),
		state:           NewState(config),
		revisionChanged: make(chan struct{}),
	}
	mux := http.NewServeMux()
	handleUnary(mux, server, gateway.PathRange, server.rangeKeys)
	handleUnary(mux, server, gateway.PathTxn, server.applyTransaction)
	handleUnary(mux, server, gateway.PathCompaction, server.compact)
	handleUnary(mux, server, gateway.PathLeaseGrant, server.grantLease)
	handleUnary(mux, server, gateway.PathLeaseRevoke, server.revokeLease)
	handleUnary(mux, server, gateway.PathKVLeaseRevoke, server.revokeLease)
	handleUnary(mux, server, gateway.PathLeaseKeepAlive, server.keepLeaseAlive)
	mux.HandleFunc("POST "+gateway.PathWatch, server.serveWatch)
	server.Handler = server.Wrap(mux)
	return server
}

// Do expires leases, then calls function with the current time and the state
// while it holds the server's lock. It notifies watches if the revision changed.
func (s *Server) Do(function func(now time.Time, state *State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Revision()
	now := time.Now()
	s.state.Expire(now)
	function(now, s.state)
	s.notifyWatches(before)
	s.scheduleExpiry(now)
}

// Changed returns a channel that is closed when the revision next changes.
func (s *Server) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisionChanged
}

// notifyWatches wakes the watches if the revision is no longer previousRevision.
func (s *Server) notifyWatches(previousRevision keyvalue.Revision) {
	if s.state.Revision() != previousRevision {
		close(s.revisionChanged)
		s.revisionChanged = make(chan struct{})
	}
}

// scheduleExpiry sets the timer for the next lease that expires.
func (s *Server) scheduleExpiry(now time.Time) {
	next, ok := s.state.NextExpiry()
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
	if ok {
		s.expiryTimer = time.AfterFunc(next.Sub(now), func() { s.Do(func(time.Time, *State) {}) })
	}
}

// Close stops the lease timer.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
}

// handleUnary registers a handler for a unary call, which applies the rate
// limit, decodes the request, calls run under the server's lock and encodes the
// response.
func handleUnary[Request, Response any](mux *http.ServeMux, server *Server, path string, run func(time.Time, Request) (Response, error)) {
	mux.HandleFunc("POST "+path, func(writer http.ResponseWriter, incoming *http.Request) {
		var request Request
		if !server.checkRateLimit(writer) || !decodeRequest(writer, incoming, &request) {
			return
		}
		var response Response
		var err error
		server.Do(func(now time.Time, _ *State) { response, err = run(now, request) })
		if err != nil {
			writeError(writer, err)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(response)
	})
}

// checkRateLimit takes a token from the rate limiter. Without one it answers 429
// and returns false.
func (s *Server) checkRateLimit(writer http.ResponseWriter) bool {
	s.mu.Lock()
	allowed := s.state.Allow(time.Now())
	s.mu.Unlock()
	if !allowed {
		writer.Header().Set("Retry-After", "1")
		writeStatus(writer, http.StatusTooManyRequests, gateway.CodeResourceExhausted, "too many requests")
	}
	return allowed
}

// decodeRequest decodes a request body. On malformed JSON or unknown fields it
// answers 400 and returns false.
func decodeRequest(writer http.ResponseWriter, incoming *http.Request, request any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, incoming.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		writeStatus(writer, http.StatusBadRequest, gateway.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

// writeError answers with the status, code and text that the gateway has for an
// error of State.
func writeError(writer http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrLeaseNotFound):
		writeStatus(writer, http.StatusNotFound, gateway.CodeNotFound, "etcdserver: "+err.Error())
	case errors.Is(err, ErrFuture), errors.Is(err, ErrLeaseTTL):
		writeStatus(writer, http.StatusBadRequest, gateway.CodeOutOfRange, "etcdserver: mvcc: "+err.Error())
	default:
		writeStatus(writer, http.StatusBadRequest, gateway.CodeInvalidArgument, "etcdserver: "+err.Error())
	}
}

func writeStatus(writer http.ResponseWriter, status, code int, message string) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(gateway.Error{Error: message, Code: code, Message: message})
}

func (s *Server) rangeKeys(_ time.Time, request gateway.RangeRequest) (gateway.RangeResponse, error) {
	if len(request.Key) == 0 {
		return gateway.RangeResponse{}, ErrEmptyKey
	}
	return s.state.rangeResponse(request), nil
}

func (s *Server) applyTransaction(now time.Time, request gateway.TxnRequest) (gateway.TxnResponse, error) {
	return s.state.Apply(now, request)
}

func (s *Server) compact(_ time.Time, request gateway.CompactionRequest) (gateway.CompactionResponse, error) {
	if keyvalue.Revision(request.Revision) > s.state.Revision() {
		return gateway.CompactionResponse{}, ErrFuture
	}
	s.state.Compact(keyvalue.Revision(request.Revision))
	return gateway.CompactionResponse{Header: s.state.responseHeader()}, nil
}

func (s *Server) grantLease(now time.Time, request gateway.LeaseGrantRequest) (gateway.LeaseGrantResponse, error) {
	if request.TTL > maxTTLSeconds {
		return gateway.LeaseGrantResponse{}, ErrLeaseTTL
	}
	ttl := time.Duration(max(request.TTL, 1)) * time.Second
	id, err := s.state.GrantID(now, ttl, int64(request.ID))
	return gateway.LeaseGrantResponse{Header: s.state.responseHeader(), ID: gateway.Int64(id), TTL: gateway.Int64(ttl / time.Second)}, err
}

func (s *Server) revokeLease(now time.Time, request gateway.LeaseRequest) (gateway.LeaseRevokeResponse, error) {
	err := s.state.Revoke(now, int64(request.ID))
	return gateway.LeaseRevokeResponse{Header: s.state.responseHeader()}, err
}

// keepLeaseAlive extends a lease. For an unknown lease it returns TTL zero, as
// etcd does.
func (s *Server) keepLeaseAlive(now time.Time, request gateway.LeaseRequest) (gateway.LeaseKeepAliveResponse, error) {
	var response gateway.LeaseKeepAliveResponse
	ttl, _ := s.state.KeepAlive(now, int64(request.ID))
	response.Result.Header = s.state.responseHeader()
	response.Result.ID = request.ID
	response.Result.TTL = gateway.Int64(ttl / time.Second)
	return response, nil
}
