package sockopt

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestUserTimeoutIsSetOnDialedConnections guards against connections on which sent bytes stay unacknowledged
// for a quarter of an hour.
func TestUserTimeoutIsSetOnDialedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialer := net.Dialer{Control: UserTimeout(1700 * time.Millisecond)}
	connection, err := dialer.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	millis := 0
	if err := raw.Control(func(descriptor uintptr) {
		millis, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil || millis != 1700 {
		t.Fatalf("user timeout %d ms: %v", millis, err)
	}
}
