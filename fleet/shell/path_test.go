package shell_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// TestPlainRequestAndStreamAreServed guards against a request or a stream that is altered on its
// way through the node.
func TestPlainRequestAndStreamAreServed(t *testing.T) {
	d := newDeployment(t)
	plain := d.addWorker("p1", plainService, nil)
	d.addWorker("e1", engineService, nil)
	node := d.startNode("n1")
	got := d.call(node, http.MethodPost, "/write/x?y=1", "the body", nil)
	if got.status != http.StatusOK || !strings.HasSuffix(got.body, "from p1") || got.header.Get(platform.HeaderStamp) == "" {
		t.Fatalf("answer %+v", got)
	}
	if runs := plain.Runs(); len(runs) != 1 || runs[0].Body != "the body" {
		t.Fatalf("runs %+v, want one with the caller's body", runs)
	}
	stream := d.call(node, http.MethodPost, "/stream/x", "prompt", withModel("big"))
	if stream.status != http.StatusOK || !slices.Equal(eventNumbers(t, stream.body), oneTo(6)) {
		t.Fatalf("stream %+v", stream)
	}
}

// TestUnknownRouteIsNotFoundUntilAdded guards against an unknown route that is not answered with
// 404, and against an added route that is not served.
func TestUnknownRouteIsNotFoundUntilAdded(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1")
	if got := d.call(node, http.MethodGet, "/added/", "", nil); got.status != http.StatusNotFound {
		t.Fatalf("status %d for a route that does not exist, want 404", got.status)
	}
	d.configure(2, route("added", "idempotent", plainService, 2, false))
	d.eventually("the added route is served", func() bool {
		return d.call(node, http.MethodGet, "/added/", "", nil).status == http.StatusOK
	})
}

// TestRejectedRequestIsRetriedOnAnotherWorker guards against giving up on a request that a worker
// rejected without running it. It must go to another worker even if it is not idempotent; if all
// reject it, the caller must get 503 with Retry-After.
func TestRejectedRequestIsRetriedOnAnotherWorker(t *testing.T) {
	d := newDeployment(t)
	reject := func(*http.Request) worker.Behaviour { return worker.Reject }
	first := d.addWorker("p1", plainService, nil)
	first.Behave = reject
	d.addWorker("p2", plainService, nil)
	node := d.startNode("n1")
	for range 4 {
		if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusOK || !strings.HasSuffix(got.body, "from p2") {
			t.Fatalf("answer %+v, want one of p2", got)
		}
	}
	d.store.Remove(platform.PrefixWorkers + "p2")
	d.eventually("a rejection has a Retry-After", func() bool {
		got := d.call(node, http.MethodPost, "/write/", "b", func(h http.Header) { h.Set(platform.HeaderDeadline, "300") })
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
	})
	if len(first.Runs()) != 0 {
		t.Fatal("a worker ran a request that it rejected")
	}
}

// TestNonIdempotentRequestRunsOnce guards against running a non-idempotent request twice. After a
// send without the worker's answer the caller must get 502, which does not claim that nothing
// ran, and nothing is sent again.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	d := newDeployment(t)
	cut := func(*http.Request) worker.Behaviour { return worker.CutAfterRun }
	first, second := d.addWorker("p1", plainService, nil), d.addWorker("p2", plainService, nil)
	first.Behave, second.Behave = cut, cut
	node := d.startNode("n1")
	got := d.call(node, http.MethodPost, "/write/", "b", nil)
	if got.status != http.StatusBadGateway {
		t.Fatalf("status %d after a cut, want 502", got.status)
	}
	if runs := len(first.Runs()) + len(second.Runs()); runs != 1 {
		t.Fatalf("the request ran %d times, want once", runs)
	}
}

// TestIdempotentRequestIsRetried guards against passing on a failure while another worker can
// serve the idempotent request. If all workers fail, the last worker's own answer must be passed
// on.
func TestIdempotentRequestIsRetried(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	first := d.addWorker("p1", plainService, nil)
	first.Behave = func(*http.Request) worker.Behaviour { return worker.FailWith500 }
	d.addWorker("p2", plainService, nil)
	node := d.startNode("n1")
	for range 6 {
		if got := d.call(node, http.MethodGet, "/read/", "", nil); got.status != http.StatusOK {
			t.Fatalf("answer %+v, want that of the working worker", got)
		}
	}
	d.store.Remove(platform.PrefixWorkers + "p2")
	d.eventually("the worker's own failure is passed on", func() bool {
		got := d.call(node, http.MethodGet, "/read/", "", nil)
		return got.status == http.StatusInternalServerError && got.header.Get(platform.HeaderStamp) == "stamp-p1" && strings.HasSuffix(got.body, "from p1")
	})
}

// TestCutStreamResumesOnAnotherWorker guards against losing or repeating events of a cut stream:
// it must resume on another worker after the last complete event, within the same answer.
func TestCutStreamResumesOnAnotherWorker(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	first := d.addWorker("e1", engineService, nil)
	second := d.addWorker("e2", engineService, nil)
	cut := func(r *http.Request) worker.Behaviour {
		if r.Header.Get(platform.HeaderLastEvent) == "" {
			return worker.CutStream
		}
		return worker.Serve
	}
	first.Behave, second.Behave = cut, cut
	node := d.startNode("n1")
	got := d.call(node, http.MethodPost, "/stream/", "p", withModel("big"))
	if got.err != nil || !slices.Equal(eventNumbers(t, got.body), oneTo(6)) {
		t.Fatalf("stream %+v", got)
	}
	runs := append(first.Runs(), second.Runs()...)
	if len(runs) != 2 || runs[0].LastEvent+runs[1].LastEvent != "3" {
		t.Fatalf("runs %+v, want two, one of them after event 3", runs)
	}
}

// TestCutStreamEndsWithBrokenConnection guards against a cut stream that looks complete to the
// caller: a stream that can't be resumed must end with a broken connection.
func TestCutStreamEndsWithBrokenConnection(t *testing.T) {
	d := newDeployment(t)
	first := d.addWorker("e1", engineService, nil)
	first.Behave = func(*http.Request) worker.Behaviour { return worker.CutStream }
	node := d.startNode("n1")
	got := d.call(node, http.MethodPost, "/once/", "p", withModel("big"))
	if got.err == nil {
		t.Fatalf("the cut stream ended as if it were complete: %q", got.body)
	}
	if !slices.Equal(eventNumbers(t, got.body), oneTo(3)) {
		t.Fatalf("body %q, want the complete events before the cut", got.body)
	}
}

// TestMissingModelIsLoaded guards against a model that no engine holds and that is never loaded:
// it must replace an idle model, and an adapter must be loaded with its base model.
func TestMissingModelIsLoaded(t *testing.T) {
	d := newDeployment(t)
	engine := d.addWorker("e1", engineService, nil)
	node := d.startNode("n1")
	d.eventually("the node gives the orders", node.HoldsOrderLease)
	if got := d.callWithRetryAfter(node, http.MethodPost, "/stream/", "p", withModel("rare")); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	if got := d.callWithRetryAfter(node, http.MethodPost, "/stream/", "p", withModel("big/a2")); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	var made []string
	for _, order := range engine.Orders() {
		made = append(made, strings.TrimSuffix(order.Operation+" "+order.Model+"/"+order.Adapter, "/"))
	}
	want := []string{"unload big", "load rare", "unload rare", "load big", "load big/a2"}
	if !slices.Equal(made, want) {
		t.Fatalf("orders %q, want %q", made, want)
	}
}

// TestDrainingWorkerGetsNoRequests guards against sending requests to a worker whose entry in the
// store says that it is draining.
func TestDrainingWorkerGetsNoRequests(t *testing.T) {
	d := newDeployment(t)
	first := d.addWorker("p1", plainService, nil)
	d.addWorker("p2", plainService, nil)
	node := d.startNode("n1")
	first.Drain()
	// Changes are applied in order, so once this one is in force the earlier one is too.
	d.configure(2, route("added", "idempotent", plainService, 2, false))
	d.eventually("the node has applied later changes", func() bool {
		return d.call(node, http.MethodGet, "/added/", "", nil).status == http.StatusOK
	})
	before := len(first.Runs())
	for range 20 {
		d.call(node, http.MethodGet, "/read/", "", nil)
	}
	if len(first.Runs()) != before {
		t.Fatal("a draining worker got a request")
	}
}

// TestCallerDisconnectCancelsRun guards against a worker that goes on running a request whose
// caller has disconnected: the node must close the worker's connection.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	d := newDeployment(t)
	first := d.addWorker("p1", plainService, nil)
	first.Behave = func(*http.Request) worker.Behaviour { return worker.Hang }
	node := d.startNode("n1")
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Address()+"/write/", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = testHost
	request.Header.Set(platform.HeaderRequestID, "leaves")
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	d.eventually("the request runs", func() bool { return len(first.Runs()) == 1 })
	leave()
	d.eventually("the worker sees that its caller disconnected", func() bool { return first.Abandoned() == 1 })
}

// TestNodeServesDuringStoreOutage guards against a node that stops serving while the store is
// silent, and against one that does not follow changes afterwards.
func TestNodeServesDuringStoreOutage(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1")
	d.store.SetUnresponsive(true)
	for range 5 {
		if got := d.call(node, http.MethodGet, "/read/", "", nil); got.status != http.StatusOK {
			t.Fatalf("status %d during the outage", got.status)
		}
	}
	d.configure(2, route("added", "idempotent", plainService, 2, false))
	time.Sleep(50 * time.Millisecond)
	d.store.SetUnresponsive(false)
	d.eventually("the change made meanwhile is in force", func() bool {
		return d.call(node, http.MethodGet, "/added/", "", nil).status == http.StatusOK
	})
}

// TestStoreIsReadAgainAfterHistoryIsDropped guards against a node that misses changes because the
// store has dropped its history: it must read everything again.
func TestStoreIsReadAgainAfterHistoryIsDropped(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1")
	d.configure(2, route("added", "idempotent", plainService, 2, false))
	d.store.Compact()
	d.eventually("the change is in force although the history is dropped", func() bool {
		return d.call(node, http.MethodGet, "/added/", "", nil).status == http.StatusOK
	})
}

// TestAnotherNodeTakesOrdersLease guards against a zone without orders after the lease holder
// died: another node must take the lease with a larger fencing token.
func TestAnotherNodeTakesOrdersLease(t *testing.T) {
	d := newDeployment(t)
	engine := d.addWorker("e1", engineService, nil)
	first := d.startNode("n1")
	d.eventually("the first node gives the orders", first.HoldsOrderLease)
	second := d.startNode("n2")
	if got := d.call(second, http.MethodPost, "/stream/", "p", withModel("rare")); got.status != http.StatusOK {
		t.Fatalf("answer %+v through the first node", got)
	}
	before := engine.Orders()
	// A node that was paused for the lease duration of 0.6 s may have lost the lease to the other
	// node.
	holder, other := first, second
	if second.HoldsOrderLease() {
		holder, other = second, first
	}
	holder.Kill()
	d.eventually("the other node gives the orders", other.HoldsOrderLease)
	if got := d.call(other, http.MethodPost, "/stream/", "p", withModel("big")); got.status != http.StatusOK {
		t.Fatalf("answer %+v after the takeover", got)
	}
	after := engine.Orders()
	if len(after) <= len(before) || after[len(after)-1].Fence <= before[len(before)-1].Fence {
		t.Fatalf("orders %+v after %+v, want a larger token", after, before)
	}
}

// TestRestartOnSameMachineGivesOrdersAtOnce guards against a restarted node that waits for its
// own old lease, and against a node on another machine that does not wait for the pause between
// lease holders.
func TestRestartOnSameMachineGivesOrdersAtOnce(t *testing.T) {
	d := newDeployment(t)
	onMachine := func(machine string, first bool) func(*shell.Options) {
		return func(options *shell.Options) {
			options.Core.Self.Machine, options.Core.FirstStart = machine, first
			options.Core.OrderPause, options.Core.HolderTTL = time.Hour, time.Minute
		}
	}
	first := d.startNode("n1", onMachine("m1", true))
	d.eventually("the first node gives the orders", first.HoldsOrderLease)
	first.Kill()
	restarted := d.startNode("n2", onMachine("m1", false))
	d.eventually("the node that started again gives the orders", restarted.HoldsOrderLease)
	restarted.Kill()
	d.store.Remove(fleet.KeyHolder)
	other := d.startNode("n3", onMachine("m2", false))
	d.eventually("another machine has the lease", func() bool { return len(d.store.Keys(fleet.KeyHolder)) == 1 })
	if other.HoldsOrderLease() {
		t.Fatal("a node on another machine gives orders before the pause is over")
	}
}

// TestMutedWatchDoesNotSkipChanges guards against skipped changes: a muted watch returns no
// changes but a later revision. The node must not continue from that revision, and must read
// everything again once the history is dropped.
func TestMutedWatchDoesNotSkipChanges(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1", func(options *shell.Options) {
		options.Store = platform.NewStoreClient(d.server.Address(), 50*time.Millisecond)
	})
	d.store.SuppressEvents(true)
	d.configure(2, route("added", "idempotent", plainService, 2, false))
	calls := d.store.Calls()
	d.eventually("some watches returned no changes", func() bool { return d.store.Calls() > calls+4 })
	d.store.Compact()
	d.store.SuppressEvents(false)
	d.eventually("the change is in force", func() bool {
		return d.call(node, http.MethodGet, "/added/", "", nil).status == http.StatusOK
	})
}
