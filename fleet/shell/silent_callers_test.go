package shell_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/internal/blackhole"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// dial opens a caller's connection and writes the head of a request.
func (d *deployment) dial(node *shell.Node, path, id string, length int) *net.TCPConn {
	d.t.Helper()
	connection, err := net.Dial("tcp", node.Address())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 60000\r\nContent-Length: %d\r\n\r\n",
		path, testHost, platform.HeaderRequestID, id, platform.HeaderDeadline, length)
	if err != nil {
		d.t.Fatal(err)
	}
	return connection.(*net.TCPConn)
}

// ran reports whether a worker ran a request.
func ran(w *worker.Worker, id string) bool {
	return slices.ContainsFunc(w.Runs(), func(r worker.Run) bool { return r.RequestID == id })
}

// TestCallerDisconnectDuringModelLoadIsNotRun guards against running a request whose caller
// disconnected while the model was being loaded.
func TestCallerDisconnectDuringModelLoadIsNotRun(t *testing.T) {
	d := newDeployment(t)
	// The load never ends, so the caller disconnects during it.
	loadingEngine := d.addWorker("e1", engineService, func(config *worker.Config) { config.Held, config.LoadTime = nil, time.Hour })
	node := d.startNode("n1")
	d.eventually("the node gives the orders", node.HoldsOrderLease)
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Address()+"/stream/", strings.NewReader("p"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = testHost
	request.Header.Set(platform.HeaderRequestID, "leaves")
	withModel("rare")(request.Header)
	left := make(chan error)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		left <- err
	}()
	d.eventually("the model is being loaded", func() bool {
		return slices.ContainsFunc(loadingEngine.Orders(), func(o platform.OrderDocument) bool {
			return o.Operation == "load" && o.Model == "rare"
		})
	})
	leave()
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Fatalf("the caller did not wait: %v", err)
	}
	d.eventually("the node has noticed that the caller disconnected", func() bool { return inFlight(t, node) == 0 })
	d.store.Remove(loadingEngine.Key())
	readyEngine := d.addWorker("e2", engineService, nil)
	if got := d.callWithRetryAfter(node, http.MethodPost, "/stream/", "p", withModel("rare")); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	if ran(loadingEngine, "leaves") || ran(readyEngine, "leaves") {
		t.Fatal("the request of the disconnected caller was run")
	}
}

// inFlight returns a node's number of requests in flight.
func inFlight(t *testing.T, node *shell.Node) int {
	t.Helper()
	response, err := http.Get(node.MetricsURL())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var count int
		if n, _ := fmt.Sscanf(lines.Text(), "valveslip_requests_in_flight %d", &count); n == 1 {
			return count
		}
	}
	t.Fatalf("no metric of the requests in flight: %v", lines.Err())
	panic("unreachable")
}

// TestCallerDisconnectWithinBodyIsNotRun guards against running a request whose body was cut.
func TestCallerDisconnectWithinBodyIsNotRun(t *testing.T) {
	d := newDeployment(t)
	plain := d.addWorker("p1", plainService, nil)
	node := d.startNode("n1")
	const length = 512 << 10
	connection := d.dial(node, "/write/", "leaves", length)
	if _, err := connection.Write(make([]byte, length/2)); err != nil {
		t.Fatal(err)
	}
	if err := connection.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// The node closes the connection once it is done with the request.
	if _, err := io.Copy(io.Discard, connection); err != nil {
		t.Fatal(err)
	}
	if ran(plain, "leaves") {
		t.Fatal("a request with half a body was run")
	}
}

// TestIncompleteBodyTimesOutAsNotRun guards against a caller that sends half a body and stays: it
// must get an answer at its deadline, as not run.
func TestIncompleteBodyTimesOutAsNotRun(t *testing.T) {
	d := newDeployment(t)
	plain := d.addWorker("p1", plainService, nil)
	node := d.startNode("n1")
	connection := d.dial(node, "/write/", "stops", 1<<10)
	if _, err := connection.Write(make([]byte, 1<<9)); err != nil {
		t.Fatal(err)
	}
	_ = connection.SetReadDeadline(time.Now().Add(waitLimit))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || ran(plain, "stops") {
		t.Fatalf("status %d, run %t, want 503 and not run", response.StatusCode, ran(plain, "stops"))
	}
}

// TestCallerDisconnectClosesConnectionOfReadingWorker guards against a worker that reads a long
// body slowly and does not learn that the caller disconnected: its connection must be closed.
func TestCallerDisconnectClosesConnectionOfReadingWorker(t *testing.T) {
	d := newDeployment(t)
	const length = 900 << 10
	begun, ended := make(chan struct{}), make(chan error, 1)
	address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		close(begun)
		_, err := io.Copy(io.Discard, reader)
		ended <- err
	})
	d.registerAddress("p1", plainService, address)
	node := d.startNode("n1")
	connection := d.dial(node, "/write/", "leaves", length)
	if _, err := connection.Write(make([]byte, length)); err != nil {
		t.Fatal(err)
	}
	<-begun
	_ = connection.Close()
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the worker's connection stays open")
	}
}

// TestHalfClosedCallerCountsAsDisconnected checks that a caller that closed its sending half
// counts as disconnected, as in net/http: it can't be told from one that closed both halves.
func TestHalfClosedCallerCountsAsDisconnected(t *testing.T) {
	d := newDeployment(t)
	hangingWorker := d.addWorker("p1", plainService, nil)
	hangingWorker.Behave = func(*http.Request) worker.Behaviour { return worker.Hang }
	node := d.startNode("n1")
	connection := d.dial(node, "/write/", "leaves", 1)
	if _, err := connection.Write([]byte("b")); err != nil {
		t.Fatal(err)
	}
	d.eventually("the request runs", func() bool { return ran(hangingWorker, "leaves") })
	if err := connection.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	d.eventually("the worker sees that its caller disconnected", func() bool { return hangingWorker.Abandoned() == 1 })
}

// countedListener counts the open connections.
type countedListener struct {
	net.Listener
	open *atomic.Int64
}

// countedConn is a connection of a countedListener.
type countedConn struct {
	*net.TCPConn
	open *atomic.Int64
	once atomic.Bool
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{TCPConn: connection.(*net.TCPConn), open: l.open}, nil
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.once.Swap(true) {
		c.open.Add(-1)
	}
	return c.TCPConn.Close()
}

// silentCallerWait ends the wait for the close of a silent caller's connection.
const silentCallerWait = time.Minute

// TestSilentCallerConnectionIsClosed guards against connections that stay open after the caller
// went silent within its body or while it is sent an answer.
func TestSilentCallerConnectionIsClosed(t *testing.T) {
	for _, test := range []struct {
		name string
		sent int
	}{{"within the body", 1}, {"during the answer", 2}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			plain := d.addWorker("p1", plainService, nil)
			release := make(chan struct{})
			plain.Behave = func(*http.Request) worker.Behaviour { <-release; return worker.Serve }
			var open atomic.Int64
			node := d.startNode("n1", func(options *shell.Options) {
				options.MetricsAddress = ""
				options.Listen = func(network, address string) (net.Listener, error) {
					listener, err := net.Listen(network, address)
					return countedListener{Listener: listener, open: &open}, err
				}
			})
			http.DefaultClient.CloseIdleConnections()
			d.eventually("no other connection is open", func() bool { return open.Load() == 0 })
			connection := d.dial(node, "/write/", "silent", 2)
			if _, err := connection.Write(make([]byte, test.sent)); err != nil {
				t.Fatal(err)
			}
			d.eventually("the connection is open", func() bool { return open.Load() == 1 })
			if err := blackhole.DropIncoming(connection); err != nil {
				t.Fatal(err)
			}
			close(release)
			for limit := time.Now().Add(silentCallerWait); open.Load() != 0; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("the silent caller's connection is still open")
				}
			}
		})
	}
}
