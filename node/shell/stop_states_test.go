package shell_test

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// TestStopEndsDuringTLSHandshake guards against a stop that never returns while a caller's TLS
// handshake is under way: the handshake and the look at its state waited for each other.
func TestStopEndsDuringTLSHandshake(t *testing.T) {
	started, _ := startTLSNode(t, newTestCA(t))
	connection, err := net.Dial("tcp", started.Self().CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	awaitAccepted(t, started.Self().CallerAddress)
	if err := started.Stop(); err != nil {
		t.Error(err)
	}
}

// awaitAccepted returns once the node has accepted the connections that were opened before.
func awaitAccepted(t *testing.T, address string) {
	t.Helper()
	later, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	// A server that gets no TLS record closes the connection.
	_, _ = fmt.Fprint(later, "GET / HTTP/1.1\r\n\r\n")
	_, _ = io.Copy(io.Discard, later)
	_ = later.Close()
}
