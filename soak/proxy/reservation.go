package proxy

import (
	"net/netip"
	"os"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// reservation is a bound socket that never listens. While it is open, the kernel gives its port to nobody who
// leaves the choice of the port to it, and a listener on the very address can still be opened and closed.
type reservation struct {
	descriptor int
	address    netip.AddrPort
}

// reserve binds an IPv4 address. With port 0 the kernel chooses a free port.
func reserve(address string) (*reservation, error) {
	wanted, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy: parse address %s", address)
	}
	if !wanted.Addr().Is4() {
		return nil, eris.Errorf("proxy: reserve %s: not an IPv4 address", address)
	}
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrapf(os.NewSyscallError("socket", err), "proxy: reserve %s", address)
	}
	r := &reservation{descriptor: descriptor}
	if err := r.bind(wanted); err != nil {
		r.release()
		return nil, eris.Wrapf(err, "proxy: reserve %s", address)
	}
	return r, nil
}

// bind binds the socket and reads the address that it has got.
func (r *reservation) bind(wanted netip.AddrPort) error {
	// Without the option on both sockets, the listener could not take the port.
	if err := unix.SetsockoptInt(r.descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(r.descriptor, &unix.SockaddrInet4{Port: int(wanted.Port()), Addr: wanted.Addr().As4()}); err != nil {
		return os.NewSyscallError("bind", err)
	}
	bound, err := unix.Getsockname(r.descriptor)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	inet, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return eris.Errorf("the socket has an address of type %T", bound)
	}
	r.address = netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port))
	return nil
}

// release gives the port up.
func (r *reservation) release() { _ = unix.Close(r.descriptor) }
