package shell_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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

// keepAliveCaller is a client that keeps its connection open.
type keepAliveCaller struct {
	*testing.T
	connection net.Conn
	reader     *bufio.Reader
}

func newKeepAliveCaller(t *testing.T, connection net.Conn) *keepAliveCaller {
	t.Cleanup(func() { _ = connection.Close() })
	return &keepAliveCaller{T: t, connection: connection, reader: bufio.NewReader(connection)}
}

// dialPipe opens a connection to a node in the same process.
func dialPipe(t *testing.T, listener *pipe.Listener) net.Conn {
	t.Helper()
	connection, err := listener.DialContext(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	return connection
}

// send writes a request. The write may fail once the node has stopped.
func (c *keepAliveCaller) send() {
	_, _ = fmt.Fprintf(c.connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerSecret, len(hello), hello)
}

// expectDrainRejection reads a rejection that is the last answer on its connection and
// returns its Retry-After.
func (c *keepAliveCaller) expectDrainRejection(status int) time.Duration {
	c.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.Fatalf("read answer: %v", err)
	}
	code, verdict, retryAfter := decodeRejection(c.T, answer)
	if answer.StatusCode != status || code != "node_draining" || verdict != "not-run" || !answer.Close {
		c.Errorf("status %d, code %s, verdict %s, connection closed %t", answer.StatusCode, code, verdict, answer.Close)
	}
	wait, err := time.ParseDuration(retryAfter + "s")
	if err != nil || wait <= 0 {
		c.Errorf("Retry-After %q", retryAfter)
	}
	return wait
}

// startOnPipe starts a node with in-process listeners.
func startOnPipe(t *testing.T) (*shell.Node, *pipe.Listener) {
	t.Helper()
	listener := pipe.NewListener()
	return startOn(t, listener), listener
}

// startOn starts a node on a callers' listener.
func startOn(t *testing.T, listener net.Listener) *shell.Node {
	t.Helper()
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
	return started
}

// TestStoppingNodeStillAnswersAfterItsRetryAfter guards against a broken connection
// for a caller that waits for the Retry-After of a stopping node and then sends a
// request on a connection that it kept open.
func TestStoppingNodeStillAnswersAfterItsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, listener := startOnPipe(t)
		kept, first := newKeepAliveCaller(t, dialPipe(t, listener)), newKeepAliveCaller(t, dialPipe(t, listener))
		stopped := make(chan error, 1)
		go func() { stopped <- started.Stop() }()
		defer func() {
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		}()
		synctest.Wait()
		first.send()
		time.Sleep(first.expectDrainRejection(http.StatusServiceUnavailable))
		kept.send()
		kept.expectDrainRejection(http.StatusServiceUnavailable)
	})
}

// lateListener returns one more connection after it was closed, as when Accept has got a
// connection but has not run on before the listener is closed.
type lateListener struct {
	*pipe.Listener
	late chan net.Conn
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err == nil {
		return accepted, nil
	}
	select {
	case late := <-l.late:
		time.Sleep(20 * time.Millisecond)
		return late, nil
	default:
		return nil, err
	}
}

// TestStopEndsConnectionAcceptedDuringClose guards against a stop that misses a connection which is
// accepted while the listener is being closed: the stop then waited for it for 5 s, cut it without
// an answer and reported an error.
func TestStopEndsConnectionAcceptedDuringClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		listener := &lateListener{Listener: pipe.NewListener(), late: make(chan net.Conn, 1)}
		listener.late <- server
		started := startOn(t, listener)
		caller := newKeepAliveCaller(t, client)
		stopped := make(chan error, 1)
		go func() { stopped <- started.Stop() }()
		caller.expectDrainRejection(http.StatusRequestTimeout)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// slowListener notices only after a while that it was closed, as when the goroutine in Accept waits
// for a processor. Like a TCP listener it can't be closed twice.
type slowListener struct {
	*pipe.Listener
	closed atomic.Bool
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(20 * time.Millisecond)
	}
	return accepted, err
}

// Close implements net.Listener.
func (l *slowListener) Close() error {
	if l.closed.Swap(true) {
		return net.ErrClosed
	}
	return l.Listener.Close()
}

// TestStopWithSlowAcceptReportsNoError guards against a stop that reports connections as cut off
// although there are none: the listener was closed a second time while the goroutine in Accept had
// not noticed that it was closed.
func TestStopWithSlowAcceptReportsNoError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if err := startOn(t, &slowListener{Listener: pipe.NewListener()}).Stop(); err != nil {
			t.Error(err)
		}
	})
}

// TestStopAnswersPartlySentRequest guards against a connection that is closed without
// an answer because its request had arrived only in part when the node stopped.
func TestStopAnswersPartlySentRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, listener := startOnPipe(t)
		sender := newKeepAliveCaller(t, dialPipe(t, listener))
		_, _ = fmt.Fprintf(sender.connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			callerSecret, len(hello), hello[:1])
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- started.Stop() }()
		sender.expectDrainRejection(http.StatusServiceUnavailable)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// TestRequestSentDuringConnectionCloseIsNotRun sends a request after the node has
// begun to close the caller's keep-alive connection. The caller must learn that it was
// not run.
func TestRequestSentDuringConnectionCloseIsNotRun(t *testing.T) {
	f := startFixture(t, fixtureConfig{})
	connection, err := net.Dial("tcp", f.node.Self().CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	kept := newKeepAliveCaller(t, connection)
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
		t.Fatalf("connection was closed without a final answer: %v", err)
	}
	kept.send()
	kept.expectDrainRejection(http.StatusRequestTimeout)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if more := f.engine.Counters().Runs - runs; more != 0 {
		t.Errorf("the request ran %d times, want 0", more)
	}
}

// TestTLSConnectionGetsFinalAnswerBeforeClose checks that a keep-alive connection with
// TLS also gets the final answer before it is closed.
func TestTLSConnectionGetsFinalAnswerBeforeClose(t *testing.T) {
	ca := newTestCA(t)
	started, _ := startTLSNode(t, ca)
	connection, err := tls.Dial("tcp", started.Self().CallerAddress, trusting(ca))
	if err != nil {
		t.Fatal(err)
	}
	kept := newKeepAliveCaller(t, connection)
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
		t.Fatalf("connection was closed without a final answer: %v", err)
	}
	kept.send()
	kept.expectDrainRejection(http.StatusRequestTimeout)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
