package shell

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is how long sent bytes may stay unacknowledged by a caller's kernel
// before the connection is closed. It also closes the connection of a caller that reads nothing
// of an answer for as long, so it is longer than most answers take.
const unacknowledgedTimeout = 15 * time.Second

// callerKeepAlive detects callers that went silent while nothing is sent to them. It costs two
// packets in 5 s for each idle connection.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 2}

// silenceLimitListener closes accepted connections whose peer has gone silent. Without it a
// request being read or an answer being sent would hold its memory until the kernel gives up
// after 15 minutes.
type silenceLimitListener struct{ net.Listener }

// Accept implements net.Listener. A socket option that can't be set is skipped.
func (l silenceLimitListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if probed, ok := connection.(interface {
		SetKeepAliveConfig(config net.KeepAliveConfig) error
	}); ok {
		_ = probed.SetKeepAliveConfig(callerKeepAlive)
	}
	if system, ok := connection.(syscall.Conn); ok {
		setUserTimeout(system)
	}
	return connection, nil
}

// withSilenceLimit wraps a listener whose answers are small: it limits silence but not the socket
// buffers.
func withSilenceLimit(listener net.Listener) net.Listener { return silenceLimitListener{listener} }

// setUserTimeout makes the kernel close a connection whose sent bytes are not acknowledged within
// unacknowledgedTimeout.
func setUserTimeout(connection syscall.Conn) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
}
