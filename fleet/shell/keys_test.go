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

// keyProof is how old proofs of keys may be in these tests.
const keyProof = 900 * time.Millisecond

func proves(options *shell.Options) { options.Core.KeyProof = keyProof }

func withKey(key string) func(http.Header) {
	return func(header http.Header) { header.Set(platform.HeaderAuthorization, "Bearer "+key) }
}

// seenHeaders has a worker keep the head of each request.
func seenHeaders(w *worker.Worker) func() []http.Header {
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

// newKeyed starts a deployment whose callers need keys, but for one route.
func newKeyed(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, func(r *platform.RouteDocument) { r.Public = r.Name == "write" })
	rank := 0
	d.tenants = []platform.TenantDocument{
		{Name: "clinic", Keys: []string{"clinic-1", "clinic-2"}, Priority: &rank}, {Name: "school", Keys: []string{"school-1"}},
	}
	d.configure(2)
	return d
}

// TestCallersNeedKeys: a route that isn't public serves callers with a known key only, in the
// name of the tenant that holds it and at its rank; workers see no key.
func TestCallersNeedKeys(t *testing.T) {
	d := newKeyed(t)
	seen := seenHeaders(d.addWorker("p1", plainService, nil))
	node := d.startNode("n1", proves)
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
		t.Errorf("the worker is told %v, want the tenant and its rank", headers[0])
	}
	for _, header := range headers {
		if header.Get(platform.HeaderAuthorization) != "" {
			t.Error("a worker saw a key")
		}
	}
}

// TestTakenAwayKeyIsRefused: once the configuration without it is in force, and a key that
// was added is taken.
func TestTakenAwayKeyIsRefused(t *testing.T) {
	d := newKeyed(t)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1", proves)
	if got := d.call(node, http.MethodGet, "/read/", "", withKey("school-1")); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	d.tenants[1].Keys = []string{"school-2"}
	d.configure(3)
	d.eventually("the key is refused", func() bool {
		return d.call(node, http.MethodGet, "/read/", "", withKey("school-1")).status == http.StatusUnauthorized
	})
	if got := d.call(node, http.MethodGet, "/read/", "", withKey("school-2")); got.status != http.StatusOK {
		t.Fatalf("the added key gets %+v", got)
	}
}

// TestMutedWatchHidesNoRevocation: a store whose watches bring nothing is asked for the key
// itself.
func TestMutedWatchHidesNoRevocation(t *testing.T) {
	d := newKeyed(t)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1", proves)
	d.store.SetMuted(true)
	d.tenants[1].Keys = nil
	d.configure(3)
	d.eventually("the key is refused", func() bool {
		return d.call(node, http.MethodGet, "/read/", "", withKey("school-1")).status == http.StatusUnauthorized
	})
}

// TestNodeWithoutProofSendsNothingKeyed: cut off from the store and from peers, a node goes on
// for as long as its proof lasts and then refuses what needs a key, with the time to come
// back, and says that it isn't ready; what needs none is served. It serves again once it has
// a proof.
func TestNodeWithoutProofSendsNothingKeyed(t *testing.T) {
	d := newKeyed(t)
	plain := d.addWorker("p1", plainService, nil)
	node := d.startNode("n1", proves)
	if got := d.call(node, http.MethodGet, "/read/", "", withKey("school-1")); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	d.store.SetSilent(true)
	var refused reply
	d.eventually("requests with a key are refused", func() bool {
		refused = d.call(node, http.MethodGet, "/read/", "", withKey("school-1"))
		return refused.status != http.StatusOK
	})
	if refused.status != http.StatusServiceUnavailable || refused.header.Get("Retry-After") == "" {
		t.Fatalf("refused with %+v, want 503 and when to come back", refused)
	}
	ran := len(plain.Runs())
	if got := d.call(node, http.MethodGet, "/read/", "", withKey("unknown")); got.status != http.StatusServiceUnavailable {
		t.Errorf("an unknown key gets %d of a node that knows too little, want 503", got.status)
	}
	if got := d.call(node, http.MethodPost, "/write/", "", nil); got.status != http.StatusOK {
		t.Errorf("a public route answers %+v", got)
	}
	if len(plain.Runs()) != ran+1 {
		t.Errorf("%d requests ran without proof", len(plain.Runs())-ran-1)
	}
	if code := status(node.ReadyURL()); code != http.StatusServiceUnavailable {
		t.Errorf("the node says it is ready: %d", code)
	}
	d.store.SetSilent(false)
	d.eventually("requests with a key are served again", func() bool {
		return d.call(node, http.MethodGet, "/read/", "", withKey("school-1")).status == http.StatusOK
	})
}

// TestWaitingRequestIsRefusedOnceItsKeyIsGone: a request that waits for a machine while its
// key is taken away is refused at once, and not sent.
func TestWaitingRequestIsRefusedOnceItsKeyIsGone(t *testing.T) {
	d := newKeyed(t)
	node := d.startNode("n1", proves)
	answered := make(chan reply, 1)
	go func() { answered <- d.call(node, http.MethodGet, "/read/", "", withKey("school-1")) }()
	d.eventually("the request waits", func() bool { return inFlight(t, node) == 1 })
	d.tenants[1].Keys = nil
	d.configure(3)
	if got := <-answered; got.status != http.StatusUnauthorized {
		t.Errorf("answer %+v, want 401", got)
	}
}
