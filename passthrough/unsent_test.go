package passthrough

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/reachability"
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/verdict"
)

// recordedPath is a Path that records the failures of connections.
type recordedPath struct {
	fixedPath
	failures []reachability.Kind
}

func (p *recordedPath) Failed(_ string, kind reachability.Kind, _ string) {
	p.failures = append(p.failures, kind)
}

// plainDialect is a Dialect that leaves requests to machines as they are.
type plainDialect struct{ Dialect }

func (plainDialect) PrepareForward(http.Header, Forward) {}

// maxResetDials bounds the connections on which the test waits for a reset before its first byte.
const maxResetDials = 50

// TestConnectionResetBeforeFirstByteIsFailureOfPath guards against a node that never notices that it has lost its path
// to all machines, because each connection comes up and is reset before a byte of the request goes out.
func TestConnectionResetBeforeFirstByteIsFailureOfPath(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialed, reset := make(chan struct{}), make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			<-dialed
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			reset <- struct{}{}
		}
	}()
	pool := upstream.NewPool(upstream.Options{})
	for range maxResetDials {
		conn, err := pool.Get(t.Context(), listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		dialed <- struct{}{}
		<-reset
		path := &recordedPath{}
		handler := &Handler{Config: Config{Path: path, Dialect: plainDialect{}}, now: time.Now}
		e := &exchange{Handler: handler, request: httptest.NewRequest(http.MethodGet, "/", nil), header: http.Header{}, route: &catalog.Route{}}
		a := &attempt{exchange: e, conn: conn}
		failure := a.sendAndReceive()
		conn.Close()
		if !errors.Is(failure, upstream.ErrNotSent) {
			continue
		}
		if failure.Verdict != verdict.NotRun || len(path.failures) != 1 || path.failures[0] != reachability.NoConnection {
			t.Errorf("failure %v, failures of the path %v", failure, path.failures)
		}
		return
	}
	t.Fatal("no connection was reset before its first byte")
}
