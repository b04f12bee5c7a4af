package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"
)

const (
	anyPort = "127.0.0.1:0"
	// silenceWindow is how long a connection must deliver nothing to count as silent.
	silenceWindow = 100 * time.Millisecond
	// testTimeout bounds every wait for an expected event.
	testTimeout = 20 * time.Second
)

// startEchoServer starts a server that returns all data it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", anyPort)
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
			go func() {
				defer func() { _ = connection.Close() }()
				_, _ = io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

// startEchoProxy returns a proxy in front of an echo server.
func startEchoProxy(t *testing.T) *Proxy {
	p, err := Listen(Options{Address: anyPort, Target: startEchoServer(t), OnError: func(err error) { t.Error(err) }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// testClient is a client with one connection to the proxy.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, p *Proxy) *testClient {
	connection, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return &testClient{Conn: connection, reader: bufio.NewReader(connection)}
}

// roundTrip sends a line and reads its echo within the given time.
func (c *testClient) roundTrip(within time.Duration) error {
	if _, err := c.Write([]byte("line\n")); err != nil {
		return err
	}
	return c.readEcho(within)
}

func (c *testClient) readEcho(within time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(within))
	line, err := c.reader.ReadString('\n')
	if err == nil && line != "line\n" {
		return errors.New("unexpected line: " + line)
	}
	return err
}

// TestProxyForwardsDataAndEndOfStream checks that data and a half-close reach the
// other end.
func TestProxyForwardsDataAndEndOfStream(t *testing.T) {
	c := dial(t, startEchoProxy(t))
	if err := c.roundTrip(testTimeout); err != nil {
		t.Fatal(err)
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if err := c.readEcho(testTimeout); !errors.Is(err, io.EOF) {
		t.Fatalf("read after the half-close returned %v, want EOF", err)
	}
}

// TestSilencedConnectionsStaySilentAndNewOnesWork guards against silence that
// ends, or that also affects connections made later.
func TestSilencedConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	p := startEchoProxy(t)
	c := dial(t, p)
	if err := c.roundTrip(testTimeout); err != nil {
		t.Fatal(err)
	}
	p.Silence()
	if err := c.roundTrip(silenceWindow); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("silent connection returned %v, want a timeout", err)
	}
	if err := dial(t, p).roundTrip(testTimeout); err != nil {
		t.Fatalf("new connection after Silence: %v", err)
	}
}

// TestSilentLinkClosesAfterItsEndsClose guards against silent links that leak file
// descriptors or end too early. A link to a real target stays until both ends have closed; a
// link to a simulated target ends when the client closes.
func TestSilentLinkClosesAfterItsEndsClose(t *testing.T) {
	for _, simulated := range []bool{false, true} {
		p, client, server := connectThroughProxy(t, simulated)
		p.Silence()
		if err := client.Close(); err != nil {
			t.Fatal(err)
		}
		if !simulated {
			_ = server.SetReadDeadline(time.Now().Add(2 * silentPollInterval))
			if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("server end of the silent link returned %v, want a timeout", err)
			}
			if err := server.Close(); err != nil {
				t.Fatal(err)
			}
		}
		for end := time.Now().Add(testTimeout); len(p.openLinks()) > 0; time.Sleep(silenceWindow) {
			if time.Now().After(end) {
				t.Fatal("the link stayed open after its ends had closed")
			}
		}
	}
}

// connectThroughProxy returns a proxy and the client's and the server's end of a link through it.
func connectThroughProxy(t *testing.T, simulated bool) (*Proxy, net.Conn, net.Conn) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p, err := Listen(Options{Address: anyPort, Target: listener.Addr().String(), Simulated: simulated, OnError: func(err error) { t.Error(err) }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	client := dial(t, p)
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	for len(p.openLinks()) == 0 {
		runtime.Gosched()
	}
	return p, client, server
}

// TestResourceExhaustionIsReported guards against a lack of file descriptors in the proxy
// that is mistaken for a link fault: the error must reach Options.OnError.
func TestResourceExhaustionIsReported(t *testing.T) {
	reported := make(chan error, 1)
	p, err := Listen(Options{Address: anyPort, OnError: func(err error) { reported <- err }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	go p.accept(exhaustedListener{})
	if err := <-reported; !Exhausted(err) {
		t.Errorf("OnError was called with %v, want a resource limit error", err)
	}
}

// exhaustedListener fails to accept because the limit of open files is reached.
type exhaustedListener struct{ net.Listener }

func (exhaustedListener) Accept() (net.Conn, error) {
	return nil, os.NewSyscallError("accept4", syscall.EMFILE)
}

// TestResetAffectsOnlyOpenConnections checks that open connections get a TCP reset and new ones
// work.
func TestResetAffectsOnlyOpenConnections(t *testing.T) {
	p := startEchoProxy(t)
	c := dial(t, p)
	if err := c.roundTrip(testTimeout); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if err := c.readEcho(testTimeout); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("open connection returned %v, want ECONNRESET", err)
	}
	if err := dial(t, p).roundTrip(testTimeout); err != nil {
		t.Fatal(err)
	}
}

// TestHeldDataArrivesAfterHoldEnds checks that data held back in one direction is not lost
// but delivered once the hold ends.
func TestHeldDataArrivesAfterHoldEnds(t *testing.T) {
	for _, cut := range []func(*Mode, bool){
		func(m *Mode, on bool) { m.HoldRequests = on }, func(m *Mode, on bool) { m.HoldAnswers = on },
	} {
		p := startEchoProxy(t)
		c := dial(t, p)
		p.Change(func(m *Mode) { cut(m, true) })
		if err := c.roundTrip(silenceWindow); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read during the hold returned %v, want a timeout", err)
		}
		p.Change(func(m *Mode) { cut(m, false) })
		if err := c.readEcho(testTimeout); err != nil {
			t.Fatalf("read after the hold: %v", err)
		}
	}
}

// TestDelayAndThrottleSlowTheAnswer checks that both modes slow down a round trip.
func TestDelayAndThrottleSlowTheAnswer(t *testing.T) {
	for _, mode := range []Mode{{Delay: silenceWindow}, {BytesPerSecond: 50}} {
		p := startEchoProxy(t)
		c := dial(t, p)
		p.Change(func(m *Mode) { *m = mode })
		began := time.Now()
		if err := c.roundTrip(testTimeout); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took < silenceWindow {
			t.Errorf("round trip with %+v took %s, want at least the silence window", mode, took)
		}
	}
}

// TestRefuseBlocksConnectionsUntilOpen checks that Refuse ends open connections and
// prevents new ones until the proxy is opened again.
func TestRefuseBlocksConnectionsUntilOpen(t *testing.T) {
	p := startEchoProxy(t)
	c := dial(t, p)
	p.Refuse()
	if err := c.roundTrip(testTimeout); err == nil {
		t.Fatal("an open connection survived Refuse")
	}
	if _, err := net.Dial("tcp", p.Address()); err == nil {
		t.Fatal("the proxy accepted a connection while refusing")
	}
	if err := p.Open(); err != nil {
		t.Fatal(err)
	}
	if err := dial(t, p).roundTrip(testTimeout); err != nil {
		t.Fatal(err)
	}
}
