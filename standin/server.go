package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// idleTimeout is longer than the clients' idle timeout, so that the client
// closes an idle connection first and never writes to one that the server is
// closing.
const idleTimeout = 5 * time.Minute

// Server serves one stand-in on one TCP address. Kill simulates a process
// crash; Restart listens again on the same address.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	server  *http.Server
}

// Listen starts to serve handler on address. With port 0 the kernel chooses a
// free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	server := &Server{handler: handler, address: address}
	return server, server.Restart()
}

// Address returns the listener's host:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// Restart listens again after Kill or Close. It does nothing when the server is
// already listening.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", s.address)
	}
	s.address = listener.Addr().String()
	server := &http.Server{
		Handler: markAnswers(s.handler), IdleTimeout: idleTimeout, ReadHeaderTimeout: idleTimeout, ConnContext: withConn, ConnState: trackAnswers,
	}
	s.server = server
	go func() { _ = server.Serve(answerListener{listener}) }()
	return nil
}

// Kill closes the listener and all connections without waiting for requests in
// flight.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// Close shuts the server down gracefully: it stops accepting connections, waits
// for requests in flight until ctx ends and then closes the remaining
// connections.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}
