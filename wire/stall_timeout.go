package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/valveslip/valveslip/internal/sockopt"
)

const (
	// tcpUserTimeout is the time without an acknowledgement of sent data after which the
	// kernel breaks a connection. It allows for a packet that is lost twice and retransmitted
	// after 0.2 and 0.4 s, and for half a second of packets queued at a slow link. A peer's
	// kernel acknowledges data even while the peer's process is busy.
	tcpUserTimeout = time.Second
	// maxUnsentBytes bounds the unsent data in the kernel's send buffer of a connection, so
	// that the writing of a request progresses as fast as its sending.
	maxUnsentBytes = 64 << 10
	// bodyChunkBytes is the size of the pieces of a request body whose writing counts as
	// progress; it takes 13 ms at 20 Mbit/s.
	bodyChunkBytes = 32 << 10
)

// keepAliveConfig makes the kernel break an idle connection within 2 s after the peer has gone
// silent, the shortest time that whole seconds allow with tcpUserTimeout. No keep-alive probes are
// sent on a connection in use.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// errStalled is the cause of the cancellation of a request that made no progress in sending its body
// or receiving its answer.
var errStalled = eris.New("the request to the peer made no progress within the send timeout")

// setSocketOptions sets tcpUserTimeout and, where the system supports it, maxUnsentBytes on a
// connection.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
	return errors.Join(err, failure)
}

// userTimeoutListener sets tcpUserTimeout on accepted connections. Without it an answer to a peer that has
// lost power would be written for a quarter of an hour.
type userTimeoutListener struct{ net.Listener }

// Accept implements net.Listener. A socket option that can't be set is skipped.
func (l userTimeoutListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if system, ok := connection.(syscall.Conn); ok {
		if raw, err := system.SyscallConn(); err == nil {
			_ = setSocketOptions("", "", raw)
		}
	}
	return connection, nil
}

// stallChecks is the number of checks for progress within a timeout. Checks without progress are counted, not their
// time: a process that stood still counts one.
const stallChecks = 4

// stallTimeout cancels requests that have a connection and make no progress for timeout.
type stallTimeout struct {
	next    http.RoundTripper
	timeout time.Duration
}

// RoundTrip implements http.RoundTripper. The time for opening a connection is bounded by the dialer.
// The response's body cannot be read after RoundTrip has returned.
func (b stallTimeout) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	guard := &stallGuard{interval: b.timeout / stallChecks, onStall: func() { cancel(errStalled) }}
	defer guard.stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { guard.watch(info.Conn) }})
	bounded := request.WithContext(ctx)
	bounded.Body = &progressBody{ReadCloser: request.Body, onProgress: guard.progressed}
	if rewind := request.GetBody; rewind != nil {
		bounded.GetBody = func() (io.ReadCloser, error) {
			body, err := rewind()
			return &progressBody{ReadCloser: body, onProgress: guard.progressed}, err
		}
	}
	return b.next.RoundTrip(bounded)
}

// stallGuard detects that a request makes no progress: no piece of its body is written, and the peer's kernel
// acknowledges nothing of what was written. What was written last may be under way on a slow link for long.
type stallGuard struct {
	interval time.Duration
	onStall  func()

	mu         sync.Mutex
	timer      *time.Timer
	connection net.Conn
	stopped    bool
	// unacknowledged is the length of the connection's send queue at the last check, failedChecks the number of checks
	// since the last progress.
	unacknowledged, failedChecks int
}

// watch begins to check the request on a connection that it got.
func (g *stallGuard) watch(connection net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if encrypted, ok := connection.(*tls.Conn); ok {
		connection = encrypted.NetConn()
	}
	g.connection, g.failedChecks = connection, 0
	if g.timer == nil {
		g.timer = time.AfterFunc(g.interval, g.check)
	}
}

// progressed notes that a piece of the body was written.
func (g *stallGuard) progressed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failedChecks = 0
}

// check cancels the request if it made no progress for more than stallChecks intervals.
func (g *stallGuard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	unacknowledged := sockopt.Unacknowledged(g.connection)
	g.failedChecks++
	if unacknowledged < g.unacknowledged {
		g.failedChecks = 0
	}
	g.unacknowledged = unacknowledged
	if g.failedChecks > stallChecks {
		g.onStall()
		return
	}
	g.timer.Reset(g.interval)
}

// stop ends the checks.
func (g *stallGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.timer != nil {
		g.timer.Stop()
	}
}

// progressBody calls onProgress whenever the next piece of a body is read, since the previous piece
// has been written by then.
type progressBody struct {
	io.ReadCloser
	onProgress func()
}

// Read implements io.Reader.
func (b *progressBody) Read(buffer []byte) (int, error) {
	b.onProgress()
	return b.ReadCloser.Read(buffer[:min(len(buffer), bodyChunkBytes)])
}

// withStallTimeout ends requests whose body makes no progress for timeout. It detaches the request's
// context, so that a body that has been read is handled even if its sender has disconnected:
// otherwise the subscriber would read the message's context while the router sets it.
func withStallTimeout(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body := &deadlineBody{ReadCloser: request.Body, controller: http.NewResponseController(writer), timeout: timeout}
		defer body.clearDeadline()
		request = request.WithContext(context.WithoutCancel(request.Context()))
		request.Body = body
		next.ServeHTTP(writer, request)
	})
}

// deadlineBody sets a read deadline for each read of a request's body.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
	timeout    time.Duration
}

// Read implements io.Reader. It tries again after a deadline that passed: on a process that stood still it passes
// although bytes are there.
func (b *deadlineBody) Read(buffer []byte) (int, error) {
	for failedChecks := 0; ; {
		if err := b.controller.SetReadDeadline(time.Now().Add(b.timeout / stallChecks)); err != nil {
			return 0, err
		}
		n, err := b.ReadCloser.Read(buffer)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if failedChecks++; failedChecks <= stallChecks {
				continue
			}
		}
		if err != nil {
			b.clearDeadline()
		}
		return n, err
	}
}

// clearDeadline removes the read deadline, because the server detects a disconnected sender by
// reading from the connection.
func (b *deadlineBody) clearDeadline() { _ = b.controller.SetReadDeadline(time.Time{}) }
