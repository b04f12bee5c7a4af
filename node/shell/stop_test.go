package shell_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/pipe"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/node/shell"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

// caller is a client that keeps its connection.
type caller struct {
	*testing.T
	connection net.Conn
	reader     *bufio.Reader
}

func newCaller(t *testing.T, connection net.Conn) *caller {
	t.Cleanup(func() { _ = connection.Close() })
	return &caller{T: t, connection: connection, reader: bufio.NewReader(connection)}
}

// dialPipe opens a caller's connection.
func dialPipe(t *testing.T, listener *pipe.Listener) net.Conn {
	t.Helper()
	connection, err := listener.DialContext(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	return connection
}

// send writes a request; it may fail once the node is gone.
func (c *caller) send() {
	_, _ = fmt.Fprintf(c.connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerSecret, len(hello), hello)
}

// refused reads a refusal that is the last answer on its connection and returns
// after what time the caller should come back.
func (c *caller) refused(status int) time.Duration {
	c.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.Fatalf("no answer: %v", err)
	}
	code, verdict, retryAfter := refusalOf(c.T, answer)
	if answer.StatusCode != status || code != "node_draining" || verdict != "not-run" || !answer.Close {
		c.Errorf("status %d, %s, %s, last %t", answer.StatusCode, code, verdict, answer.Close)
	}
	wait, err := time.ParseDuration(retryAfter + "s")
	if err != nil || wait <= 0 {
		c.Errorf("Retry-After %q", retryAfter)
	}
	return wait
}

// startOnPipe starts a node that is reached within the process alone.
func startOnPipe(t *testing.T) (*shell.Node, *pipe.Listener) {
	t.Helper()
	listener := pipe.NewListener()
	core := &routerCore{router: routing.New(routing.Config{Zone: zone, ExpectedRouters: 1}, 1), snapshot: snapshot(nil)}
	started, err := shell.Start(context.Background(), node.Config{Zone: zone, DrainTime: 10 * time.Second}, shell.Options{
		CallerListener: listener, AdminListener: pipe.NewListener(),
		NewCore:      func(cluster.Node) shell.Stepper { return core },
		NewTransport: func(string, func(wire.Message)) (shell.Transport, error) { return noTransport{}, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	started.Step(node.Tick{})
	return started, listener
}

// TestStopOutlastsItsRetryAfter holds that a caller that comes back when a stopping
// node told the others to, on a connection that it kept, gets an answer.
func TestStopOutlastsItsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, listener := startOnPipe(t)
		kept, first := newCaller(t, dialPipe(t, listener)), newCaller(t, dialPipe(t, listener))
		stopped := make(chan error, 1)
		go func() { stopped <- started.Stop() }()
		defer func() {
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		}()
		synctest.Wait()
		first.send()
		time.Sleep(first.refused(http.StatusServiceUnavailable))
		kept.send()
		kept.refused(http.StatusServiceUnavailable)
	})
}

// TestStopRefusesHalfSentRequest guards against a caller whose connection is cut without a word
// because its request had not come whole when the node stopped.
func TestStopRefusesHalfSentRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, listener := startOnPipe(t)
		half := newCaller(t, dialPipe(t, listener))
		_, _ = fmt.Fprintf(half.connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			callerSecret, len(hello), hello[:1])
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- started.Stop() }()
		half.refused(http.StatusServiceUnavailable)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// TestRequestThatCrossesTheCloseIsNotRun sends a request once the node has begun
// to close the connection that its caller kept.
func TestRequestThatCrossesTheCloseIsNotRun(t *testing.T) {
	f := start(t, fixtureConfig{})
	connection, err := net.Dial("tcp", f.node.Self().CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	kept := newCaller(t, connection)
	kept.send()
	answer, err := http.ReadResponse(kept.reader, nil)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", answer, err)
	}
	if _, err := kept.reader.Discard(int(answer.ContentLength)); err != nil {
		t.Fatal(err)
	}
	runs := f.engine.Counters().Runs
	stopped := make(chan error, 1)
	go func() { stopped <- f.node.Stop() }()
	if _, err := kept.reader.Peek(1); err != nil {
		t.Fatalf("the connection was closed without a word: %v", err)
	}
	kept.send()
	kept.refused(http.StatusRequestTimeout)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if more := f.engine.Counters().Runs - runs; more != 0 {
		t.Errorf("%d runs", more)
	}
}

// TestSecuredConnectionsAreDismissed holds that the end of a kept connection is told
// under TLS too.
func TestSecuredConnectionsAreDismissed(t *testing.T) {
	signer := newAuthority(t)
	started, _ := securedNode(t, signer)
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(signer.pem)
	connection, err := tls.Dial("tcp", started.Self().CallerAddress, &tls.Config{RootCAs: roots})
	if err != nil {
		t.Fatal(err)
	}
	kept := newCaller(t, connection)
	kept.send()
	answer, err := http.ReadResponse(kept.reader, nil)
	if err != nil || answer.Close {
		t.Fatalf("%v, %v", answer, err)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- started.Stop() }()
	if _, err := kept.reader.Peek(1); err != nil {
		t.Fatalf("the connection was closed without a word: %v", err)
	}
	kept.send()
	kept.refused(http.StatusRequestTimeout)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
