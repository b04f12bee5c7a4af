package engine

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/fault"
)

// Fetcher fetches one checkpoint from the weight store. It returns nil if the
// checkpoint was loaded completely.
type Fetcher func(ctx context.Context, fetch Fetch) error

// ServerConfig configures a Server.
type ServerConfig struct {
	Engine Config
	// Fetch fetches checkpoints of remote loads. With nil, the duration of remote
	// loads follows from Config.RemoteBytesPerSecond.
	Fetch Fetcher
	// FaultSeed initializes the random numbers of the fault injector.
	FaultSeed uint64
	// RestartAfter is the time until a crashed engine restarts; the default is 1 s.
	RestartAfter time.Duration
}

const defaultRestartAfter = time.Second

// Server serves a State over HTTP: the OpenAI API, the control API and the
// fault endpoint. It is safe for concurrent use.
type Server struct {
	*fault.Injector
	http.Handler

	config ServerConfig

	mu    sync.Mutex
	state *State
	// wakeChannels has the channel of each waiting answer writer.
	wakeChannels map[Key]chan struct{}
	formats      *formatCache
	// fetchCancels has the cancel function of each fetch by order ID.
	fetchCancels     map[string]context.CancelFunc
	timer            *time.Timer
	timerAt          time.Time
	crashOnNextLoad  bool
	closed           bool
	listener         *standin.Server
	assignedRequests uint64 // number of request IDs that the server assigned
}

// NewServer returns an engine without replicas, which doesn't listen yet.
func NewServer(config ServerConfig) *Server {
	if config.RestartAfter <= 0 {
		config.RestartAfter = defaultRestartAfter
	}
	config.Engine.StoreFetch = config.Fetch != nil
	if config.Engine.Epoch == 0 {
		config.Engine.Epoch = uint64(time.Now().UnixNano())
	}
	server := &Server{
		config: config, state: NewState(config.Engine),
		wakeChannels: map[Key]chan struct{}{}, formats: newFormatCache(), fetchCancels: map[string]context.CancelFunc{},
	}
	server.Injector = fault.NewInjector(config.FaultSeed, server.inject)
	server.Handler = server.Wrap(server.routes())
	return server
}

// routes returns the handler of all the engine's paths except the fault endpoint.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models", s.listModels)
	mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("POST "+engine.PathSeal, s.seal)
	mux.HandleFunc("GET "+engine.PathInventory, s.inventory)
	mux.HandleFunc("POST "+engine.PathOrders, s.order)
	mux.HandleFunc("GET "+engine.PathReport, s.report)
	mux.HandleFunc("GET "+engine.PathCacheEvents, s.cacheEvents)
	mux.HandleFunc("GET "+engine.PathStreams+"/{request}/{attempt}", s.resume)
	mux.HandleFunc("DELETE "+engine.PathStreams+"/{request}/{attempt}", s.cancel)
	mux.HandleFunc("GET "+engine.PathKV+"/{model}", s.exportKV)
	mux.HandleFunc("PUT "+engine.PathKV+"/{model}", s.importKV)
	mux.HandleFunc("GET "+PathCounters, s.serveCounters)
	mux.HandleFunc("POST "+PathRuns, s.serveRuns)
	return mux
}

// Listen starts to serve the engine on address and returns the listener's
// address. With port 0 the kernel chooses a free port.
func (s *Server) Listen(address string) (string, error) {
	listener, err := standin.Listen(address, s)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	return listener.Address(), nil
}

// Do calls function with the current time and the state while it holds the
// server's lock. It then applies the effects and schedules the next event.
func (s *Server) Do(function func(now time.Time, state *State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	function(now, s.state)
	s.state.Advance(now)
	s.applyEffects(s.state.Take())
	s.scheduleAdvance(now)
}

// applyEffects wakes the answer writers of changed attempts, cancels aborted
// fetches and starts new ones.
func (s *Server) applyEffects(effects Effects) {
	for _, key := range effects.Changed {
		if wake := s.wakeChannels[key]; wake != nil {
			select {
			case wake <- struct{}{}:
			default:
			}
		}
	}
	for _, order := range effects.Aborted {
		if cancel := s.fetchCancels[order]; cancel != nil {
			cancel()
		}
	}
	for _, fetch := range effects.Fetches {
		s.startFetch(fetch)
	}
}

// startFetch fetches a checkpoint in a goroutine.
func (s *Server) startFetch(fetch Fetch) {
	ctx, cancel := context.WithCancel(context.Background())
	s.fetchCancels[fetch.Order] = cancel
	if s.crashOnNextLoad {
		s.crashOnNextLoad = false
		go s.crashDuringLoad()
	}
	go func() {
		err := s.config.Fetch(ctx, fetch)
		cancel()
		s.Do(func(now time.Time, state *State) {
			delete(s.fetchCancels, fetch.Order)
			state.FinishFetch(now, fetch.Order, err == nil)
		})
	}()
}

// scheduleAdvance sets the timer for the state's next event.
func (s *Server) scheduleAdvance(now time.Time) {
	next, ok := s.state.Next()
	if !ok || s.closed {
		if !s.timerAt.IsZero() {
			s.timer.Stop()
			s.timerAt = time.Time{}
		}
		return
	}
	if next.Equal(s.timerAt) && next.After(now) {
		return
	}
	s.timerAt = next
	if s.timer == nil {
		s.timer = time.AfterFunc(next.Sub(now), func() { s.Do(func(time.Time, *State) {}) })
		return
	}
	s.timer.Reset(next.Sub(now))
}

// Counters returns the engine's counters.
func (s *Server) Counters() Counters {
	var counters Counters
	s.Do(func(now time.Time, state *State) {
		state.Advance(now)
		counters = state.Counters()
	})
	return counters
}

// Inventory returns the engine's inventory.
func (s *Server) Inventory() cluster.Inventory {
	var inventory cluster.Inventory
	s.Do(func(now time.Time, state *State) { inventory = state.Inventory(now) })
	return inventory
}

// Kill simulates a crash of the engine's process: connections are closed and the
// state in memory is lost.
func (s *Server) Kill() {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.Kill()
	}
	s.Do(func(now time.Time, state *State) { state.Crash(now) })
}

// Restart serves a killed engine at its address again, without replicas. It does
// nothing after Close.
func (s *Server) Restart() error {
	s.mu.Lock()
	listener, closed := s.listener, s.closed
	s.mu.Unlock()
	if listener == nil || closed {
		return nil
	}
	return listener.Restart()
}

// Close shuts the engine down. It waits for requests in flight until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	listener := s.listener
	s.mu.Unlock()
	var err error
	if listener != nil {
		err = listener.Close(ctx)
	}
	s.Do(func(now time.Time, state *State) { state.Crash(now) })
	return err
}

// crashAndRestart kills the engine and restarts it after downtime, or after
// RestartAfter if downtime isn't positive.
func (s *Server) crashAndRestart(downtime time.Duration) {
	s.Kill()
	if downtime <= 0 {
		downtime = s.config.RestartAfter
	}
	time.AfterFunc(downtime, func() { _ = s.Restart() })
}

// crashDelayAfterLoadStart is the time from the start of a load to the crash by
// KindDieMidLoad.
const crashDelayAfterLoadStart = 50 * time.Millisecond

func (s *Server) crashDuringLoad() {
	time.AfterFunc(crashDelayAfterLoadStart, func() { s.crashAndRestart(0) })
}

// inject implements the faults of engines. It returns false for other kinds.
func (s *Server) inject(order fault.Order) bool {
	switch order.Kind {
	case fault.KindDieMidLoad:
		s.mu.Lock()
		s.crashOnNextLoad = true
		s.mu.Unlock()
	case fault.KindDie:
		go s.crashAndRestart(time.Duration(order.For))
	case fault.KindStale:
		s.freezeReport(time.Duration(order.For))
	case fault.KindClear:
		s.Do(func(now time.Time, state *State) { state.ThawReport() })
	case fault.KindReclaim:
		s.Do(func(now time.Time, state *State) { state.SetLeaving(now) })
		time.AfterFunc(time.Duration(order.Notice), s.Kill)
	default:
		return false
	}
	return true
}

// freezeReport freezes the load report for a duration, or until the faults are
// cleared if it is zero.
func (s *Server) freezeReport(duration time.Duration) {
	s.Do(func(now time.Time, state *State) { state.FreezeReport(now) })
	if duration > 0 {
		time.AfterFunc(duration, func() {
			s.Do(func(_ time.Time, state *State) { state.ThawReport() })
		})
	}
}

// attemptKey returns the attempt key in the request's headers. Without a request
// ID it assigns one, and without a valid attempt number it uses 1.
func (s *Server) attemptKey(request *http.Request) Key {
	id := request.Header.Get(engine.HeaderRequestID)
	if id == "" {
		s.mu.Lock()
		s.assignedRequests++
		id = string(s.config.Engine.Machine) + "-" + strconv.FormatUint(s.assignedRequests, 10)
		s.mu.Unlock()
	}
	attempt, err := strconv.ParseUint(request.Header.Get(engine.HeaderAttempt), 10, 32)
	if err != nil {
		attempt = 1
	}
	return Key{Request: cluster.RequestID(id), Attempt: cluster.Attempt(attempt)}
}
