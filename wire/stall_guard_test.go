package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/internal/sockopt"
)

// TestRequestThatPeerStillAcknowledgesIsNotCut guards against a request that is cut off after its last piece was
// handed to the kernel, while the kernel still sends what it holds over a slow link.
func TestRequestThatPeerStillAcknowledgesIsNotCut(t *testing.T) {
	t.Parallel()
	const (
		size       = 512 << 10
		pieceBytes = 16 << 10
		pause      = 125 * time.Millisecond // 32 pieces in 4 s
		timeout    = 2 * time.Second
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	handedOver := make(chan int, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		_ = connection.(*net.TCPConn).SetReadBuffer(4 * pieceBytes)
		request, err := http.ReadRequest(bufio.NewReaderSize(connection, pieceBytes))
		if err != nil {
			return
		}
		for err == nil {
			time.Sleep(pause)
			_, err = io.CopyN(io.Discard, request.Body, pieceBytes)
		}
		if errors.Is(err, io.EOF) {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	var sent net.Conn
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		connection, err := dialer.DialContext(ctx, network, address)
		sent = connection
		return connection, err
	}}
	t.Cleanup(transport.CloseIdleConnections)
	body := &endNotifyingBody{Reader: strings.NewReader(strings.Repeat("b", size)), onEnd: func() { handedOver <- sockopt.Unacknowledged(sent) }}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String(), body)
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = size
	response, err := stallTimeout{next: transport, timeout: timeout}.RoundTrip(request)
	if err != nil {
		t.Fatalf("the request was cut off: %v; the kernel held %d of %d bytes when all were handed over", err, <-handedOver, size)
	}
	_ = response.Body.Close()
	if held := <-handedOver; held < size/2 {
		t.Fatalf("the kernel held %d of %d bytes when all were handed over: too few for the test", held, size)
	}
}

// endNotifyingBody is a body that calls onEnd when its end is read.
type endNotifyingBody struct {
	io.Reader
	onEnd func()
}

// Read implements io.Reader.
func (b *endNotifyingBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.onEnd()
	}
	return n, err
}

// Close implements io.Closer.
func (b *endNotifyingBody) Close() error { return nil }

// TestReadIsTriedAgainAfterPassedDeadline guards against a request that its receiver cuts off because its own process
// stood still, and against one that never ends because its sender has gone silent.
func TestReadIsTriedAgainAfterPassedDeadline(t *testing.T) {
	for _, test := range []struct {
		passed int
		want   error
	}{{1, nil}, {stallChecks, nil}, {stallChecks + 1, os.ErrDeadlineExceeded}} {
		body := &deadlineBody{
			ReadCloser: &lateBody{passed: test.passed}, controller: http.NewResponseController(deadlineWriter{}), timeout: time.Second,
		}
		if n, err := body.Read(make([]byte, 1)); !errors.Is(err, test.want) || err == nil && n != 1 {
			t.Errorf("%d deadlines passed: read %d bytes, %v, want %v", test.passed, n, err, test.want)
		}
	}
}

// lateBody is a body of which a byte is read after a number of passed deadlines.
type lateBody struct{ passed int }

// Read implements io.Reader.
func (b *lateBody) Read([]byte) (int, error) {
	if b.passed > 0 {
		b.passed--
		return 0, os.ErrDeadlineExceeded
	}
	return 1, nil
}

// Close implements io.Closer.
func (b *lateBody) Close() error { return nil }

// deadlineWriter is a response whose connection takes any deadline.
type deadlineWriter struct{ http.ResponseWriter }

// SetReadDeadline implements what http.ResponseController needs.
func (deadlineWriter) SetReadDeadline(time.Time) error { return nil }
