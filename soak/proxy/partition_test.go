package proxy

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"
)

// dialFrom opens a connection that originates from the given address.
func dialFrom(source, target string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: timeout}
	return dialer.Dial("tcp", target)
}

// exchange sends a byte and returns what becomes of the answer within the given time.
func exchange(connection net.Conn, within time.Duration) error {
	_ = connection.SetDeadline(time.Now().Add(within))
	if _, err := connection.Write([]byte("x")); err != nil {
		return err
	}
	_, err := connection.Read(make([]byte, 1))
	return err
}

// TestPartitionAffectsOnlyItsClients guards against a fault that strikes a worker for all nodes, in
// place of one that takes the workers from some nodes.
func TestPartitionAffectsOnlyItsClients(t *testing.T) {
	const cut, sound = "127.0.0.21", "127.0.0.22"
	timedOut := func(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
	reset := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) }
	works := func(err error) bool { return err == nil }
	worksOrReset := func(err error) bool { return works(err) || reset(err) }
	var dialTimeout net.Error
	fails := func(err error) bool { return errors.As(err, &dialTimeout) && dialTimeout.Timeout() }
	for _, c := range []struct {
		name                           string
		kind                           Partition
		dial, established, newlyOpened func(error) bool
		// within is how long the connections of the client that is cut off are waited for.
		within time.Duration
	}{
		{"hang", PartitionHang, fails, timedOut, nil, silenceWindow},
		{"silence", PartitionSilence, works, timedOut, timedOut, silenceWindow},
		{"reset", PartitionReset, worksOrReset, reset, reset, testTimeout},
		{"refuse", PartitionRefuse, worksOrReset, works, reset, testTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			proxy, err := Listen(Options{Address: anyPort, Target: startEchoServer(t), OnError: func(err error) { t.Error(err) }})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(proxy.Close)
			open := func(source string) net.Conn {
				connection, err := dialFrom(source, proxy.Address(), testTimeout)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = connection.Close() })
				if err := exchange(connection, testTimeout); err != nil {
					t.Fatal(err)
				}
				return connection
			}
			cutOff, other := open(cut), open(sound)
			if err := proxy.CutOff(c.kind, netip.MustParseAddr(cut)); err != nil {
				t.Fatal(err)
			}
			if err := exchange(cutOff, c.within); !c.established(err) {
				t.Errorf("established connection: %v", err)
			}
			later, err := dialFrom(cut, proxy.Address(), silenceWindow)
			if !c.dial(err) {
				t.Errorf("dial: %v", err)
			}
			if err == nil {
				defer func() { _ = later.Close() }()
				if err := exchange(later, c.within); !c.newlyOpened(err) {
					t.Errorf("new connection: %v", err)
				}
			}
			if err := exchange(other, testTimeout); err != nil {
				t.Errorf("connection of another client: %v", err)
			}
			open(sound)
			if err := proxy.Heal(netip.MustParseAddr(cut)); err != nil {
				t.Fatal(err)
			}
			open(cut)
		})
	}
}
