package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// RawServer answers each request with given bytes, whether they are a valid response or not.
type RawServer struct{ listener net.Listener }

// ListenRaw starts to answer on a free port of 127.0.0.1. The bytes for a request are answer's; the connection then
// serves the next request.
func ListenRaw(answer func(*http.Request) string) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen on 127.0.0.1")
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(connection, answer)
		}
	}()
	return &RawServer{listener: listener}, nil
}

// serveRaw answers the requests of a connection until the client closes it.
func serveRaw(connection net.Conn, answer func(*http.Request) string) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(connection, answer(request)); err != nil {
			return
		}
	}
}

// Address returns the listener's host:port.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *RawServer) URL() string { return "http://" + s.Address() }

// Close ends the listening. Open connections end with their clients'.
func (s *RawServer) Close() error { return s.listener.Close() }
