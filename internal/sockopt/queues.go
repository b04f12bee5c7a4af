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
	system, ok := connection.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(descriptor uintptr) {
		if n, err := unix.IoctlGetInt(int(descriptor), request); err == nil {
			count = n
		}
	})
	return count
}
