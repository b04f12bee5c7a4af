package shell_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/verdict"
)

// refusingStore rejects the node's reads and watches once refuses is set, and still serves its
// leases.
type refusingStore struct {
	shell.Store
	refuses atomic.Bool
}

func (s *refusingStore) Changes(ctx context.Context, prefix string, after keyvalue.Revision, maxBytes int64) (keyvalue.WatchBatch, error) {
	if s.refuses.Load() {
		return keyvalue.WatchBatch{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "rejected by the test")
	}
	return s.Store.Changes(ctx, prefix, after, maxBytes)
}

func (s *refusingStore) Range(ctx context.Context, prefix string) ([]keyvalue.KeyValue, keyvalue.Revision, error) {
	if s.refuses.Load() {
		return nil, 0, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "rejected by the test")
	}
	return s.Store.Range(ctx, prefix)
}

// startZone starts the nodes of one zone; the first has the largest capacity and becomes the
// relay.
func (d *deployment) startZone(nodes int, change func(int, *shell.Options)) []*shell.Node {
	started := make([]*shell.Node, nodes)
	for i := range started {
		started[i] = d.startNode(fmt.Sprintf("n%d", i), func(o *shell.Options) {
			o.Core.Self.Zone, o.Core.Self.Capacity = o.Core.Zone, float64(nodes-i)
			o.Feed.PollInterval, o.Feed.RelayPollInterval, o.Feed.SourceTimeout = 20*time.Millisecond, 20*time.Millisecond, 500*time.Millisecond
			change(i, o)
		})
	}
	return started
}

// TestRelayUpdatesNodeRejectedByStore guards against a node that misses changes because the store
// rejects its calls: the relay of its zone must pass new routes on to it.
func TestRelayUpdatesNodeRejectedByStore(t *testing.T) { testNodeRejectedByStore(t, 5) }

// TestPeerUpdatesNodeRejectedByStore guards against the same failure in a zone that is too small
// for a relay: the peer must pass the changes on.
func TestPeerUpdatesNodeRejectedByStore(t *testing.T) { testNodeRejectedByStore(t, 2) }

// testNodeRejectedByStore makes the store reject the calls of the last of count nodes.
func testNodeRejectedByStore(t *testing.T, count int) {
	t.Helper()
	d := newDeployment(t)
	d.addWorker("p1", plainService, nil)
	store := &refusingStore{Store: platform.NewStoreClient(d.server.Address(), 2*time.Second)}
	nodes := d.startZone(count, func(i int, o *shell.Options) {
		if i == count-1 {
			o.Store = store
		}
	})
	last := nodes[count-1]
	store.refuses.Store(true)
	d.configure(2, route("added", "idempotent", plainService, 2, false))
	d.eventually("the rejected node serves the added route", func() bool {
		return d.call(last, http.MethodGet, "/added/", "", nil).status == http.StatusOK
	})
}

// TestNodesReadStoreAfterRelayDies guards against a zone that gets no changes after its relay
// died: the other nodes must read them from the store.
func TestNodesReadStoreAfterRelayDies(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("p1", plainService, nil)
	nodes := d.startZone(5, func(int, *shell.Options) {})
	nodes[0].Kill()
	d.configure(2, route("added", "idempotent", plainService, 2, false))
	for _, node := range nodes[1:] {
		d.eventually("a node without a relay serves the added route", func() bool {
			return d.call(node, http.MethodGet, "/added/", "", nil).status == http.StatusOK
		})
	}
}

// slowStore delays the answer to a watch beyond the duration from which a call is logged as slow.
type slowStore struct{ shell.Store }

func (s *slowStore) Changes(ctx context.Context, prefix string, after keyvalue.Revision, most int64) (keyvalue.WatchBatch, error) {
	time.Sleep(400 * time.Millisecond)
	return s.Store.Changes(ctx, prefix, after, most)
}

// TestSlowStoreCallsDuringUpdatesHaveNoRace guards against a data race between the end of slow
// store calls and updates from other nodes; run it with the race detector.
func TestSlowStoreCallsDuringUpdatesHaveNoRace(t *testing.T) {
	d := newDeployment(t)
	nodes := d.startZone(5, func(n int, options *shell.Options) {
		options.Feed.SourceTimeout = 50 * time.Millisecond
		if n > 0 {
			options.Store = &slowStore{Store: options.Store}
		}
	})
	d.addWorker("p1", plainService, nil)
	for version := int64(2); version < 12; version++ {
		d.configure(version, route(fmt.Sprintf("added-%d", version), "idempotent", plainService, 2, false))
		time.Sleep(100 * time.Millisecond)
	}
	for _, node := range nodes {
		d.eventually("the newest route is served", func() bool {
			return d.call(node, http.MethodGet, "/added-11/", "", nil).status == http.StatusOK
		})
	}
}

// failingStore fails every second call for changes, each time with another cause.
type failingStore struct {
	shell.Store
	calls atomic.Int64
}

func (s *failingStore) Changes(ctx context.Context, prefix string, after keyvalue.Revision, most int64) (keyvalue.WatchBatch, error) {
	if call := s.calls.Add(1); call%2 == 0 {
		return keyvalue.WatchBatch{}, fmt.Errorf("failure %d", call)
	}
	return s.Store.Changes(ctx, prefix, after, most)
}

// slowLog delays what is written to it.
type slowLog struct{}

func (slowLog) Write(line []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return len(line), nil
}

// TestStaleViewDuringStoreFailuresHasNoRace guards against a data race between a store call that fails and
// the log line on a stale view that names the cause; run it with the race detector.
func TestStaleViewDuringStoreFailuresHasNoRace(t *testing.T) {
	d := newDeployment(t)
	nodes := d.startZone(5, func(n int, options *shell.Options) {
		options.Feed.SourceTimeout, options.Feed.MaxChangeDelay = 50*time.Millisecond, 20*time.Millisecond
		options.Store, options.Log = &failingStore{Store: options.Store}, eventlog.New(slowLog{}, eventlog.Options{})
	})
	d.addWorker("p1", plainService, nil)
	for version := int64(2); version < 12; version++ {
		d.configure(version, route(fmt.Sprintf("added-%d", version), "idempotent", plainService, 2, false))
		time.Sleep(50 * time.Millisecond)
	}
	for _, node := range nodes {
		d.eventually("the newest route is served", func() bool {
			return d.call(node, http.MethodGet, "/added-11/", "", nil).status == http.StatusOK
		})
	}
}
