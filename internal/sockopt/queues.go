package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes were written to a connection and not acknowledged by the peer's kernel, zero if
// the system doesn't tell.
func Unacknowledged(connection net.Conn) int { return queuedBytes(connection, unix.SIOCOUTQ) }

// Unread returns how many bytes have arrived on a connection and were not read, zero if the system doesn't tell.
func Unread(connection net.Conn) int { return queuedBytes(connection, unix.SIOCINQ) }

// queuedBytes returns the length of one of the kernel's queues of a connection.
func queuedBytes(connection net.Conn, request uint) (count int) {
	control(connection, func(descriptor int) {
		if n, err := unix.IoctlGetInt(descriptor, request); err == nil {
			count = n
		}
	})
	return count
}

// HungUp reports whether both directions of a connection have ended, as after a reset, and not only that the peer ended
// its own; false if the system doesn't tell. It does not take an error of the connection from those who read or write.
func HungUp(connection net.Conn) (hungUp bool) {
	control(connection, func(descriptor int) {
		polled := []unix.PollFd{{Fd: int32(descriptor)}}
		n, err := unix.Poll(polled, 0)
		hungUp = err == nil && n > 0 && polled[0].Revents&unix.POLLHUP != 0
	})
	return hungUp
}

// control calls a function with the descriptor of a connection, unless it has none or is closed.
func control(connection net.Conn, call func(descriptor int)) {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { call(int(descriptor)) })
}
