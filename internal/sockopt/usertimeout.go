package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ControlFunc is a function for net.Dialer.Control and net.ListenConfig.Control.
type ControlFunc = func(network, address string, raw syscall.RawConn) error

// UserTimeout returns a function that lets the kernel close a connection on which sent bytes are not
// acknowledged for the given time. That time also decides when keep-alive probes give up, whatever their
// count: at the first probe that is due once nothing was heard for it.
func UserTimeout(after time.Duration) ControlFunc {
	return func(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw, after) }
}

// SetUserTimeout does the same to an open connection.
func SetUserTimeout(raw syscall.RawConn, after time.Duration) error {
	var failure error
	if err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	}); err != nil {
		return err
	}
	return failure
}
