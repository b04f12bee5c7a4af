package passthrough

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/valveslip/valveslip/catalog"
)

// TestRefusalReachesCallerWhoseBodyIsUnread guards against a caller who never reads that its request did not run:
// a connection that is closed while bytes of the body are unread is reset, and the reset drops the refusal.
func TestRefusalReachesCallerWhoseBodyIsUnread(t *testing.T) {
	compiled, err := catalog.Configuration{}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	for may, status := range map[bool]int{true: http.StatusNotFound, false: http.StatusServiceUnavailable} {
		for _, test := range []struct {
			size int
			post func(address string, body []byte) (int, error)
		}{
			{100 << 10, postThenRead}, {800 << 10, postThenRead}, {100 << 10, postAndRead}, {2 << 20, postAndRead},
		} {
			t.Run(fmt.Sprintf("%d, %d bytes", status, test.size), func(t *testing.T) {
				server := httptest.NewUnstartedServer(NewHandler(Config{
					Dialect: testDialect{}, Catalog: func() *catalog.Compiled { return compiled },
					MayAccept: func() (time.Duration, bool) { return time.Second, may },
				}))
				limitReadBuffer(t, server.Listener)
				server.Start()
				defer server.Close()
				for range 20 {
					if got, err := test.post(server.Listener.Addr().String(), make([]byte, test.size)); got != status {
						t.Errorf("status %d, want %d: %v", got, status, err)
					}
				}
			})
		}
	}
}

// limitReadBuffer makes a listener's connections take a small part of a body at once, as a node's do.
func limitReadBuffer(t *testing.T, listener net.Listener) {
	t.Helper()
	raw, err := listener.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, 32<<10)
	})
	if err := errors.Join(err, optionErr); err != nil {
		t.Fatal(err)
	}
}

// postAndRead sends a request on a connection of its own and reads the answer beside the sending.
func postAndRead(address string, body []byte) (status int, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+address+"/r/", "text/plain", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// postThenRead sends a request on a connection of its own and reads the answer after the whole body was sent.
func postThenRead(address string, body []byte) (status int, err error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, connection.Close()) }()
	head := fmt.Sprintf("POST /r/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(body))
	if _, err := connection.Write(append([]byte(head), body...)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
