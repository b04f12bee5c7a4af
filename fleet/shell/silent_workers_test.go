package shell_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/valveslip/valveslip/internal/blackhole"
	"github.com/valveslip/valveslip/standin/worker"
)

// TestRequestIsServedAfterAllKeepAliveConnectionsGoSilent guards against losing an attempt to
// each dead keep-alive connection. When all of them go silent, one lost attempt at each of two
// workers must be enough to discard them all, so that the third attempt of an idempotent request
// succeeds.
func TestRequestIsServedAfterAllKeepAliveConnectionsGoSilent(t *testing.T) {
	t.Run("two workers", func(t *testing.T) { testAllConnectionsGoSilent(t, []string{"p1", "p2"}) })
	t.Run("more workers than attempts", func(t *testing.T) { testAllConnectionsGoSilent(t, []string{"p1", "p2", "p3", "p4"}) })
}

func testAllConnectionsGoSilent(t *testing.T, ids []string) {
	const requestsPerWorker = 6
	totalRequests := requestsPerWorker * len(ids)
	d := newDeployment(t)
	var proxies []*blackhole.Proxy
	var arrived atomic.Int64
	release := make(chan struct{})
	for _, id := range ids {
		w := d.addWorker(id, plainService, nil)
		w.Behave = func(*http.Request) worker.Behaviour {
			arrived.Add(1)
			<-release
			return worker.Serve
		}
		proxy, err := blackhole.NewProxy(d.workers[id].Address(), 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = proxy.Close() })
		proxies = append(proxies, proxy)
		d.registerAddress(id, plainService, proxy.Address())
	}
	node := d.startNode("n1")
	var calls sync.WaitGroup
	for range totalRequests {
		calls.Go(func() { d.call(node, http.MethodPost, "/write/", "b", nil) })
	}
	d.eventually("all requests run", func() bool { return arrived.Load() == int64(totalRequests) })
	close(release)
	calls.Wait()
	for _, proxy := range proxies {
		if n, err := proxy.DropIncoming(); n == 0 || err != nil {
			t.Fatalf("%d keep-alive connections are open: %v", n, err)
		}
	}
	if got := d.call(node, http.MethodGet, "/read/", "", nil); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
}
