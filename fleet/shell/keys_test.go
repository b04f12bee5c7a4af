package shell_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// maxKeyProofAge is the maximum age of a key proof in these tests.
const maxKeyProofAge = 900 * time.Millisecond

func withKeyProof(options *shell.Options) { options.Core.KeyProof = maxKeyProofAge }

func withKey(key string) func(http.Header) {
	return func(header http.Header) { header.Set(platform.HeaderAuthorization, "Bearer "+key) }
}

// recordHeaders makes a worker record the headers of each request.
func recordHeaders(w *worker.Worker) func() []http.Header {
	var mutex sync.Mutex
	var seen []http.Header
	w.Behave = func(r *http.Request) worker.Behaviour {
		mutex.Lock()
		defer mutex.Unlock()
		seen = append(seen, r.Header.Clone())
		return worker.Serve
	}
	return func() []http.Header {
		mutex.Lock()
		defer mutex.Unlock()
		return slices.Clone(seen)
	}
}

// newKeyedDeployment starts a deployment whose routes require a key, except for one public route.
func newKeyedDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, func(r *platform.RouteDocument) { r.Public = r.Name == "write" })
	rank := 0
	d.tenants = []platform.TenantDocument{
		{Name: "clinic", Keys: []string{"clinic-1", "clinic-2"}, Priority: &rank}, {Name: "school", Keys: []string{"school-1"}},
	}
	d.configure(2)
	return d
}

// TestRouteRequiresKnownKey guards against requests without a known key on a route that isn't
// public. The worker must see the tenant of the key and its rank, whatever the caller claims, and
// must not see the key.
func TestRouteRequiresKnownKey(t *testing.T) {
	d := newKeyedDeployment(t)
	seen := recordHeaders(d.addWorker("p1", plainService, nil))
	node := d.startNode("n1", withKeyProof)
	got := d.call(node, http.MethodGet, "/read/", "", func(h http.Header) {
		withKey("clinic-2")(h)
		h.Set(platform.HeaderTenant, "school")
	})
	if got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	if public := d.call(node, http.MethodPost, "/write/", "", nil); public.status != http.StatusOK {
		t.Fatalf("a public route answers %+v", public)
	}
	for name, change := range map[string]func(http.Header){
		"none": nil, "unknown": withKey("clinic-3"), "empty": withKey(""), "scheme": func(h http.Header) { h.Set("Authorization", "Basic clinic-1") },
		"two": func(h http.Header) { withKey("clinic-1")(h); h.Add("Authorization", "Bearer clinic-1") },
	} {
		if got := d.call(node, http.MethodGet, "/read/", "", change); got.status != http.StatusUnauthorized {
			t.Errorf("key %s: status %d, want 401", name, got.status)
		}
	}
	headers := seen()
	if len(headers) != 2 {
		t.Fatalf("%d requests reached the worker, want 2", len(headers))
	}
	if headers[0].Get(platform.HeaderTenant) != "clinic" || headers[0].Get(platform.HeaderPriority) != strconv.Itoa(1) {
		t.Errorf("the worker got headers %v, want the tenant and its rank", headers[0])
	}
	for _, header := range headers {
		if header.Get(platform.HeaderAuthorization) != "" {
			t.Error("a worker saw a key")
		}
	}
}

// TestRemovedKeyIsRejected guards against a removed key that is still accepted after the
// configuration without it is in force, and against an added key that is rejected.
func TestRemovedKeyIsRejected(t *testing.T) {
	d := newKeyedDeployment(t)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1", withKeyProof)
	if got := d.call(node, http.MethodGet, "/read/", "", withKey("school-1")); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	d.tenants[1].Keys = []string{"school-2"}
	d.configure(3)
	d.eventually("the key is rejected", func() bool {
		return d.call(node, http.MethodGet, "/read/", "", withKey("school-1")).status == http.StatusUnauthorized
	})
	if got := d.call(node, http.MethodGet, "/read/", "", withKey("school-2")); got.status != http.StatusOK {
		t.Fatalf("the added key gets %+v", got)
	}
}

// TestRemovedKeyIsRejectedDespiteMutedWatch guards against a removed key that stays valid because
// the store's watches return nothing: the node must verify the key of the configuration itself.
func TestRemovedKeyIsRejectedDespiteMutedWatch(t *testing.T) {
	d := newKeyedDeployment(t)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1", withKeyProof)
	d.store.SuppressEvents(true)
	d.tenants[1].Keys = nil
	d.configure(3)
	d.eventually("the key is rejected", func() bool {
		return d.call(node, http.MethodGet, "/read/", "", withKey("school-1")).status == http.StatusUnauthorized
	})
}

// TestNodeWithoutKeyProofRejectsKeyedRequests guards against serving removed keys while the node
// is cut off from the store and its peers. Once its key proof is too old it must reject keyed
// requests with Retry-After and report that it is not ready, still serve public routes, and serve
// keyed requests again after a new proof.
func TestNodeWithoutKeyProofRejectsKeyedRequests(t *testing.T) {
	d := newKeyedDeployment(t)
	plain := d.addWorker("p1", plainService, nil)
	node := d.startNode("n1", withKeyProof)
	if got := d.call(node, http.MethodGet, "/read/", "", withKey("school-1")); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	d.store.SetUnresponsive(true)
	var rejected reply
	d.eventually("requests with a key are rejected", func() bool {
		rejected = d.call(node, http.MethodGet, "/read/", "", withKey("school-1"))
		return rejected.status != http.StatusOK
	})
	if rejected.status != http.StatusServiceUnavailable || rejected.header.Get("Retry-After") == "" {
		t.Fatalf("rejected with %+v, want 503 with Retry-After", rejected)
	}
	ran := len(plain.Runs())
	if got := d.call(node, http.MethodGet, "/read/", "", withKey("unknown")); got.status != http.StatusServiceUnavailable {
		t.Errorf("an unknown key gets %d from a node without a recent proof, want 503", got.status)
	}
	if got := d.call(node, http.MethodPost, "/write/", "", nil); got.status != http.StatusOK {
		t.Errorf("a public route answers %+v", got)
	}
	if len(plain.Runs()) != ran+1 {
		t.Errorf("%d requests ran without proof", len(plain.Runs())-ran-1)
	}
	if code := status(node.ReadyURL()); code != http.StatusServiceUnavailable {
		t.Errorf("the node reports that it is ready: %d", code)
	}
	d.store.SetUnresponsive(false)
	d.eventually("requests with a key are served again", func() bool {
		return d.call(node, http.MethodGet, "/read/", "", withKey("school-1")).status == http.StatusOK
	})
}

// TestQueuedRequestIsRejectedWhenKeyIsRemoved guards against sending a queued request whose key
// was removed while it waited for a machine: it must be rejected at once.
func TestQueuedRequestIsRejectedWhenKeyIsRemoved(t *testing.T) {
	d := newKeyedDeployment(t)
	node := d.startNode("n1", withKeyProof)
	answered := make(chan reply, 1)
	go func() { answered <- d.call(node, http.MethodGet, "/read/", "", withKey("school-1")) }()
	d.eventually("the request waits", func() bool { return inFlight(t, node) == 1 })
	d.tenants[1].Keys = nil
	d.configure(3)
	if got := <-answered; got.status != http.StatusUnauthorized {
		t.Errorf("answer %+v, want 401", got)
	}
}
