package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/valveslip/valveslip/internal/blackhole"
	"github.com/valveslip/valveslip/internal/sockopt"
)

// testTimeout ends a wait that would otherwise never end. It measures nothing.
const testTimeout = 20 * time.Second

// testMachine answers every request with "ok". Its connections can be silenced.
type testMachine struct {
	*blackhole.Listener
	t *testing.T
}

func startMachine(t *testing.T) *testMachine {
	t.Helper()
	listener, err := blackhole.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(connection)
		}
	}()
	return &testMachine{Listener: listener, t: t}
}

func answerAll(connection net.Conn) {
	reader := bufio.NewReader(connection)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// silenceAll silences all connections that were accepted so far.
func (m *testMachine) silenceAll() {
	m.t.Helper()
	if _, err := m.DropIncoming(); err != nil {
		m.t.Fatal(err)
	}
}

// newPool returns a pool with a long dial timeout: no test is about opening connections.
func newPool(options Options) *Pool {
	options.DialTimeout = testTimeout
	return NewPool(options)
}

func get(t *testing.T, pool *Pool, m *testMachine) *Conn {
	t.Helper()
	connection, err := pool.Get(context.Background(), m.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return connection
}

// exchange sends a request and reads its answer, which must arrive within the given time after the
// send.
func exchange(t *testing.T, c *Conn, within time.Duration) error {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://machine.example/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(c.Send(request, nil), c.connection.SetReadDeadline(time.Now().Add(within))); err != nil {
		return err
	}
	answer, err := c.Head(request)
	if err != nil {
		return err
	}
	c.Drain(answer, 1<<10, testTimeout)
	return nil
}

// serveAndRelease runs concurrent exchanges and releases their connections to the pool.
func serveAndRelease(t *testing.T, pool *Pool, m *testMachine, count int) {
	t.Helper()
	var connections []*Conn
	for range count {
		connections = append(connections, get(t, pool, m))
	}
	for _, c := range connections {
		if err := exchange(t, c, testTimeout); err != nil {
			t.Fatal(err)
		}
		c.Release()
	}
}

// TestSilentIdleConnectionIsNotReused: an idle connection that went silent is not used again once
// the kernel's keep-alive probes have failed.
func TestSilentIdleConnectionIsNotReused(t *testing.T) {
	t.Parallel()
	m, pool := startMachine(t), newPool(Options{IdleLimit: time.Hour})
	serveAndRelease(t, pool, m, 1)
	m.silenceAll()
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		c := get(t, pool, m)
		if !c.Reused() {
			c.Close()
			return
		}
		pool.put(c)
	}
	t.Fatal("silent connection is still in the pool")
}

// TestLostRequestClosesOlderIdleConnections: after a request was lost on a silent connection, the
// other idle connections that received nothing since are not used.
func TestLostRequestClosesOlderIdleConnections(t *testing.T) {
	t.Parallel()
	const unacknowledged = 400 * time.Millisecond
	for _, test := range []struct {
		name    string
		options Options
		within  time.Duration
		want    error
	}{
		{"broken by the kernel", Options{UserTimeout: unacknowledged}, testTimeout, syscall.ETIMEDOUT},
		{"abandoned", Options{UserTimeout: time.Hour}, 150 * time.Millisecond, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			m, pool := startMachine(t), newPool(test.options)
			serveAndRelease(t, pool, m, 3)
			m.silenceAll()
			c := get(t, pool, m)
			err := exchange(t, c, test.within)
			if err == nil || test.want != nil && !errors.Is(err, test.want) {
				t.Fatalf("request on a silent connection: error %v, want %v", err, test.want)
			}
			c.Close()
			next := get(t, pool, m)
			if next.Reused() {
				t.Fatal("another silent connection was reused")
			}
			if err := exchange(t, next, testTimeout); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// loseRequest loses a request on a silent connection.
func loseRequest(t *testing.T, pool *Pool, m *testMachine) {
	t.Helper()
	c := get(t, pool, m)
	if err := exchange(t, c, testTimeout); !errors.Is(err, syscall.ETIMEDOUT) {
		t.Fatalf("request on a silent connection: error %v, want ETIMEDOUT", err)
	}
	c.Close()
}

// TestSilenceAtTwoMachinesClosesIdleConnectionsToAll: silent connections to one machine don't
// affect other machines. Silent connections to two machines close the idle connections to all
// machines that received nothing since.
func TestSilenceAtTwoMachinesClosesIdleConnectionsToAll(t *testing.T) {
	t.Parallel()
	pool := newPool(Options{UserTimeout: 400 * time.Millisecond, IdleLimit: time.Hour})
	first, second, quiet, busy := startMachine(t), startMachine(t), startMachine(t), startMachine(t)
	for _, m := range []*testMachine{first, second, quiet, busy} {
		serveAndRelease(t, pool, m, 1)
	}
	first.silenceAll()
	second.silenceAll()
	loseRequest(t, pool, first)
	other := get(t, pool, quiet)
	if !other.Reused() {
		t.Fatal("one silent machine closed a connection to another machine")
	}
	pool.put(other)
	pool.mutex.Lock()
	other.idleSince = pool.lastSilence.heardAt.Add(-time.Nanosecond)
	pool.mutex.Unlock()
	serveAndRelease(t, pool, busy, 1)
	loseRequest(t, pool, second)
	if get(t, pool, quiet).Reused() {
		t.Fatal("connection without data since the silence was reused")
	}
	if !get(t, pool, busy).Reused() {
		t.Fatal("connection with data since the silence was closed")
	}
}

// TestConnectionsHeardSinceLostRequestAreKept: an idle connection that received data after the
// lost request was sent is kept.
func TestConnectionsHeardSinceLostRequestAreKept(t *testing.T) {
	t.Parallel()
	m, pool := startMachine(t), newPool(Options{UserTimeout: 400 * time.Millisecond})
	serveAndRelease(t, pool, m, 1)
	m.silenceAll()
	lost := get(t, pool, m)
	// The first exchange left the flag set.
	lost.bytesSent.Store(false)
	ended := make(chan error)
	go func() { ended <- exchange(t, lost, testTimeout) }()
	for !lost.bytesSent.Load() {
		time.Sleep(time.Millisecond)
	}
	serveAndRelease(t, pool, m, 2)
	if err := <-ended; !errors.Is(err, syscall.ETIMEDOUT) {
		t.Fatalf("request on a silent connection: error %v, want ETIMEDOUT", err)
	}
	lost.Close()
	if next := get(t, pool, m); !next.Reused() {
		t.Fatal("working connection was closed")
	}
}

// TestSlowAnswerKeepsIdleConnections: abandoning a request that the machine has acknowledged does
// not close the other connections.
func TestSlowAnswerKeepsIdleConnections(t *testing.T) {
	t.Parallel()
	m, pool := startMachine(t), newPool(Options{})
	serveAndRelease(t, pool, m, 2)
	c := get(t, pool, m)
	request, err := http.NewRequest(http.MethodPost, "http://machine.example/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Send(request, nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(400 * time.Millisecond)
	c.Close()
	if next := get(t, pool, m); !next.Reused() {
		t.Fatal("working connection was closed")
	}
}

// TestExpiredIdleConnectionsAreClosed: expired connections are closed when another connection is
// released, even one to another machine.
func TestExpiredIdleConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	pool := newPool(Options{IdleLimit: time.Millisecond})
	left, used := startMachine(t), startMachine(t)
	serveAndRelease(t, pool, left, 3)
	for limit := time.Now().Add(testTimeout); ; time.Sleep(2 * time.Millisecond) {
		serveAndRelease(t, pool, used, 1)
		pool.mutex.Lock()
		kept := len(pool.idle[left.Addr().String()])
		pool.mutex.Unlock()
		if kept == 0 {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%d expired connections are still in the pool", kept)
		}
	}
}

// TestAbandonedRequestIsNotDelivered: the part of a request that a machine has not received when
// the request is abandoned must not arrive later.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	t.Parallel()
	const length = 48 << 10
	listener, err := blackhole.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	pool := newPool(Options{UserTimeout: time.Hour})
	accepted := make(chan net.Conn, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			err = connection.(*net.TCPConn).SetReadBuffer(1 << 10)
		}
		if err == nil {
			accepted <- connection
		}
	}()
	c, err := pool.Get(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection := <-accepted
	body := make([]byte, length)
	request, err := http.NewRequest(http.MethodPost, "http://machine.example/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Send(request, body); err != nil {
		t.Fatal(err)
	}
	<-c.writeDone
	if c.writeError != nil || sockopt.Unacknowledged(c.connection) == 0 {
		t.Fatalf("request is not buffered in the kernel: write error %v", c.writeError)
	}
	c.Close()
	n, err := io.Copy(io.Discard, connection)
	if err == nil {
		t.Fatalf("%d bytes and a regular end of the connection arrived after the request was abandoned", n)
	}
}
