package weights

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valveslip/valveslip/standin/fault"
	"github.com/valveslip/valveslip/weights"
)

// PathLoads accepts POST with a LoadRequest. It answers 200 when the load has
// finished, or 429 when the start rate is exceeded. Closing the connection aborts
// the load.
const PathLoads = "/v1/loads"

// HeaderRetryAfterMillis has the retry delay in milliseconds, because
// Retry-After has whole seconds only.
const HeaderRetryAfterMillis = "Retry-After-Ms"

// LoadRequest requests the transfer of one checkpoint.
type LoadRequest struct {
	// ID identifies the load and must be unique.
	ID    string
	Model string
	Bytes int64
}

// Server serves a State over HTTP. It is safe for concurrent use. A
// fault.KindSlow changes the store's transfer rate to the share Order.Speed.
type Server struct {
	*fault.Injector
	http.Handler

	mu       sync.Mutex
	state    *State
	loadDone map[string]chan struct{}
	timer    *time.Timer
}

// NewServer returns a store without running loads. seed initializes the random
// numbers of the fault injector.
func NewServer(config Config, seed uint64) *Server {
	server := &Server{state: NewState(config), loadDone: map[string]chan struct{}{}}
	server.Injector = fault.NewInjector(seed, server.inject)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+weights.PathStatus, server.serveStatus)
	mux.HandleFunc("POST "+PathLoads, server.serveLoad)
	server.Handler = server.Wrap(mux)
	return server
}

// Do calls function with the current time and the state while it holds the
// server's lock. It then completes the requests of finished loads and sets the
// timer for the next finish.
func (s *Server) Do(function func(now time.Time, state *State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	function(now, s.state)
	for _, id := range s.state.Advance(now) {
		if done := s.loadDone[id]; done != nil {
			close(done)
			delete(s.loadDone, id)
		}
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	if next, ok := s.state.Next(); ok {
		s.timer = time.AfterFunc(next.Sub(now), func() { s.Do(func(time.Time, *State) {}) })
	}
}

// inject implements KindSlow as a lower transfer rate, and KindClear. The
// injector's own request delay has no effect while Order.Delay is zero.
func (s *Server) inject(order fault.Order) bool {
	switch order.Kind {
	case fault.KindClear:
		s.setSpeed(1)
	case fault.KindSlow:
		s.setSpeed(order.Speed)
		if order.For > 0 {
			time.AfterFunc(time.Duration(order.For), func() { s.setSpeed(1) })
		}
	default:
		return false
	}
	return true
}

func (s *Server) setSpeed(speed float64) {
	s.Do(func(now time.Time, state *State) { state.SetSpeed(now, speed) })
}

func (s *Server) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	var status weights.Status
	s.Do(func(now time.Time, state *State) { status = state.Status(now) })
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(status)
}

func (s *Server) serveLoad(writer http.ResponseWriter, incoming *http.Request) {
	var request LoadRequest
	if err := json.NewDecoder(incoming.Body).Decode(&request); err != nil || request.ID == "" || request.Bytes < 0 {
		http.Error(writer, "a load with an ID is needed", http.StatusBadRequest)
		return
	}
	done := make(chan struct{})
	retryAfter, ok := s.startLoad(request, done)
	if !ok {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
		writer.Header().Set(HeaderRetryAfterMillis, strconv.FormatInt(retryAfter.Milliseconds()+1, 10))
		http.Error(writer, "too many starts", http.StatusTooManyRequests)
		return
	}
	select {
	case <-done:
		writer.WriteHeader(http.StatusOK)
	case <-incoming.Context().Done():
		s.Do(func(now time.Time, state *State) {
			state.Abort(now, request.ID)
			delete(s.loadDone, request.ID)
		})
	}
}

// startLoad starts a load; done is closed when it has finished.
func (s *Server) startLoad(request LoadRequest, done chan struct{}) (retryAfter time.Duration, ok bool) {
	s.Do(func(now time.Time, state *State) {
		if retryAfter, ok = state.Start(now, request.ID, request.Bytes); ok {
			s.loadDone[request.ID] = done
		}
	})
	return retryAfter, ok
}
