package shell_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

// Guarded failure: a node that was cut off from the store asks for the changes since then. One
// node of 69 answered 404 on routes that had been in force for 3.9 s, because the call's timeout
// of 0.62 s included the transfer of the answer. The answer held twelve versions of the
// configuration of 80 KB each and all heartbeats, 1.1 MB together, and a link of 10 Mbit/s
// carries 0.78 MB in that time. Each call timed out, the received part was dropped, and the next
// call asked for the same changes and more. A timeout that only limits silence lets the node
// catch up.

// startThrottledProxy forwards connections to an address and limits the bytes per second that
// come back on each.
func startThrottledProxy(t *testing.T, address string, bytesPerSecond int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				_ = near.Close()
				continue
			}
			go copyThrottled(far, near, 0)
			go copyThrottled(near, far, bytesPerSecond)
		}
	}()
	return listener.Addr().String()
}

// throttleInterval is the time between two writes of a throttled connection.
const throttleInterval = 10 * time.Millisecond

// copyThrottled copies until either end closes. It makes up for a late write, like a link on
// which bytes are queued, but not for time without bytes.
func copyThrottled(to, from net.Conn, bytesPerSecond int) {
	defer func() { _, _ = to.Close(), from.Close() }()
	if bytesPerSecond == 0 {
		_, _ = io.Copy(to, from)
		return
	}
	buffer := make([]byte, max(bytesPerSecond/int(time.Second/throttleInterval), 1))
	for due := time.Now(); ; {
		idle := time.Now()
		n, err := from.Read(buffer)
		due = due.Add(time.Since(idle))
		if _, failure := to.Write(buffer[:n]); err != nil || failure != nil {
			return
		}
		due = due.Add(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
	}
}

// manyRoutes returns the routes of a configuration of some 80 KB.
func manyRoutes(newest int64) []platform.RouteDocument {
	routes := make([]platform.RouteDocument, 0, 300)
	for n := range 300 {
		routes = append(routes, route(fmt.Sprintf("filler-%d", n), "idempotent", plainService, 3, false))
	}
	return append(routes, route(fmt.Sprintf("newest-%d", newest), "idempotent", plainService, 3, false))
}

// TestNodeFarBehindCatchesUp guards against a node that never catches up: it missed more changes
// than its link carries within the timeout of one call, while further changes are made.
func TestNodeFarBehindCatchesUp(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("p1", plainService, nil)
	slow := startThrottledProxy(t, d.server.Address(), 400<<10)
	node := d.startNode("n1", func(options *shell.Options) {
		options.Store = platform.NewStoreClient(slow, 20*time.Millisecond)
	})
	d.store.SetUnresponsive(true)
	version := int64(2)
	for ; version < 30; version++ {
		d.configure(version, manyRoutes(version)...)
	}
	d.store.SetUnresponsive(false)
	missed := version - 1
	d.eventually("a route that was added meanwhile is served", func() bool {
		version++
		d.configure(version, append(manyRoutes(version), route("missed", "idempotent", plainService, 3, false))...)
		time.Sleep(400 * time.Millisecond)
		return d.call(node, "GET", "/missed/", "", nil).status == 200
	})
	t.Logf("versions %d to %d", missed, version)
}
