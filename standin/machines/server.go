package machines

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/machines"
	"github.com/valveslip/valveslip/standin/fault"
)

// reclaimForwardTimeout limits the request that tells an engine that its machine
// is being reclaimed.
const reclaimForwardTimeout = 2 * time.Second

// Server serves a State at machines.PathMachines: GET returns the list, POST
// adds or updates a machine. A fault.KindReclaim marks the machine as leaving
// and is forwarded to the engine at the machine's address. Server is safe for
// concurrent use.
type Server struct {
	*fault.Injector
	http.Handler

	mu    sync.Mutex
	state *State
}

// NewServer returns a server with an empty list that shows changes after lag.
// seed initializes the random numbers of the fault injector.
func NewServer(lag time.Duration, seed uint64) *Server {
	server := &Server{state: NewState(lag)}
	server.Injector = fault.NewInjector(seed, server.inject)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+machines.PathMachines, server.serveList)
	mux.HandleFunc("POST "+machines.PathMachines, server.servePut)
	server.Handler = server.Wrap(mux)
	return server
}

// Do calls function with the current time and the state while it holds the
// server's lock.
func (s *Server) Do(function func(now time.Time, state *State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	function(time.Now(), s.state)
}

// Put adds or updates a machine.
func (s *Server) Put(machine cluster.Machine) {
	s.Do(func(now time.Time, state *State) { state.Put(now, machine) })
}

func (s *Server) serveList(writer http.ResponseWriter, request *http.Request) {
	var answer machines.List
	s.Do(func(now time.Time, state *State) { answer.Machines, answer.Version = state.List(now) })
	tag := strconv.Quote(strconv.FormatUint(answer.Version, 10))
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}

func (s *Server) servePut(writer http.ResponseWriter, request *http.Request) {
	var machine cluster.Machine
	if err := json.NewDecoder(request.Body).Decode(&machine); err != nil || machine.ID == "" {
		http.Error(writer, "a machine with an ID is needed", http.StatusBadRequest)
		return
	}
	s.Put(machine)
	writer.WriteHeader(http.StatusNoContent)
}

// inject implements the faults of the machine list itself. It returns false for
// other kinds, and for a reclaim of an unknown machine.
func (s *Server) inject(order fault.Order) bool {
	switch order.Kind {
	case fault.KindClear:
		s.Do(func(_ time.Time, state *State) { state.Thaw() })
	case fault.KindStale:
		s.Do(func(now time.Time, state *State) { state.Freeze(now) })
		if order.For > 0 {
			time.AfterFunc(time.Duration(order.For), func() {
				s.Do(func(_ time.Time, state *State) { state.Thaw() })
			})
		}
	case fault.KindReclaim:
		return s.reclaim(order)
	default:
		return false
	}
	return true
}

// reclaim marks the machine as leaving and notifies its engine. It returns false
// if the machine isn't listed.
func (s *Server) reclaim(order fault.Order) bool {
	var machine cluster.Machine
	var found bool
	s.Do(func(now time.Time, state *State) {
		machine, found = state.Reclaim(now, cluster.MachineID(order.Machine), time.Duration(order.Notice))
	})
	if found {
		go forwardReclaim(machine, order)
	}
	return found
}

// forwardReclaim sends the fault to the machine's engine. Errors are ignored,
// because an engine that is down has nothing to drain.
func forwardReclaim(machine cluster.Machine, order fault.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), reclaimForwardTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+machine.Address+fault.Path, bytes.NewReader(order.Encode()))
	if err != nil {
		return
	}
	if answer, err := http.DefaultClient.Do(request); err == nil {
		_ = answer.Body.Close()
	}
}
