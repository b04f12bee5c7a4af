package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// idleTimeout of the stand-ins' connections is longer than that of the clients,
// so that a client never writes on a connection the server is just closing.
const idleTimeout = 5 * time.Minute

// Server serves one stand-in on one TCP address. Kill ends it as abruptly as
// the death of a process; Restart brings it back on the same address.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	server  *http.Server
}

// Listen serves handler on address; port 0 lets the kernel choose.
func Listen(address string, handler http.Handler) (*Server, error) {
	server := &Server{handler: handler, address: address}
	return server, server.Restart()
}

// Address is the host:port being served.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL is the base URL being served.
func (s *Server) URL() string { return "http://" + s.Address() }

// Restart listens again after Kill. It does nothing when already listening.
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
	server := &http.Server{Handler: s.handler, IdleTimeout: idleTimeout, ReadHeaderTimeout: idleTimeout}
	s.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Kill closes the listener and every connection at once.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// Close stops accepting, waits for requests in flight until ctx ends and then
// closes what is left.
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
