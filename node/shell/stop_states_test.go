package shell_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
)

// TestStopAnswersPartlySentHeader guards against a connection that is closed without an answer
// because the header of its request had arrived only in part when the node stopped.
func TestStopAnswersPartlySentHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, listener := startOnPipe(t)
		sender := newKeepAliveCaller(t, dialPipe(t, listener))
		_, _ = fmt.Fprint(sender.connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n")
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- started.Stop() }()
		sender.expectDrainRejection(http.StatusRequestTimeout)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// trusting returns a configuration that trusts an authority.
func trusting(ca *testCA, protocols ...string) *tls.Config {
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca.pem)
	return &tls.Config{RootCAs: roots, NextProtos: protocols}
}

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

// TestStopAnswersUnusedTLSConnection guards against a TLS connection that is cut without an answer
// because its handshake was taken for the beginning of a request.
func TestStopAnswersUnusedTLSConnection(t *testing.T) {
	ca := newTestCA(t)
	started, _ := startTLSNode(t, ca)
	connection, err := tls.Dial("tcp", started.Self().CallerAddress, trusting(ca))
	if err != nil {
		t.Fatal(err)
	}
	awaitAccepted(t, started.Self().CallerAddress)
	unused := newKeepAliveCaller(t, connection)
	stopped := make(chan error, 1)
	go func() { stopped <- started.Stop() }()
	unused.expectDrainRejection(http.StatusRequestTimeout)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestStopEndsHTTP2Connection guards against a stop that cuts off a caller's HTTP/2 connection
// without telling it which requests ran, and reports an error.
func TestStopEndsHTTP2Connection(t *testing.T) {
	ca := newTestCA(t)
	started, _ := startTLSNode(t, ca)
	transport := &http.Transport{TLSClientConfig: trusting(ca), ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	answer, err := (&http.Client{Transport: transport}).Get("https://" + started.Self().CallerAddress + "/v1/models")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	if answer.ProtoMajor != 2 {
		t.Fatalf("answered with %s", answer.Proto)
	}
	if err := started.Stop(); err != nil {
		t.Error(err)
	}
}
