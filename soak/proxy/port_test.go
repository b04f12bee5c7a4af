package proxy

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// listenWhereKernelChooses listens on a port that the kernel chooses from those from first to last.
func listenWhereKernelChooses(host string, first, last int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(descriptor uintptr) {
			err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, last<<16|first)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp4", net.JoinHostPort(host, "0"))
}

// TestRefusingProxyKeepsItsPort guards against a run that ends with "address already in use": while a proxy refuses
// connections, the kernel gave its port to the next listener, and the proxy could not open again.
func TestRefusingProxyKeepsItsPort(t *testing.T) {
	p := startEchoProxy(t)
	host, portText, err := net.SplitHostPort(p.Address())
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		t.Fatal(err)
	}
	p.Refuse()
	for _, other := range []string{host, "0.0.0.0"} {
		if listener, err := listenWhereKernelChooses(other, port, port); err == nil {
			t.Errorf("the kernel gave the port of the refusing proxy to %s", listener.Addr())
			t.Cleanup(func() { _ = listener.Close() })
		}
	}
	if c, err := net.Dial("tcp", p.Address()); err == nil && !t.Failed() {
		t.Error("the proxy accepts connections while it refuses them")
		_ = c.Close()
	}
	if err := p.Open(); err != nil {
		t.Fatal(err)
	}
	if err := dial(t, p).roundTrip(testTimeout); err != nil {
		t.Fatalf("new connection after Open: %v", err)
	}
}
