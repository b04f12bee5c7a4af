package shell_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/metadata"
	"github.com/valveslip/valveslip/standin/worker"
	"github.com/valveslip/valveslip/verdict"
)

// The services and the host of the test routes.
const (
	plainService  = "plain"
	engineService = "engine"
	testHost      = "service.example"
	// waitLimit ends a wait whose condition never holds.
	waitLimit = 20 * time.Second
)

// deployment is a store, workers and nodes over loopback.
type deployment struct {
	t testing.TB
	// routeChanges are applied to every route.
	routeChanges      []func(*platform.RouteDocument)
	tenants           []platform.TenantDocument
	store             *metadata.Server
	server            *standin.Server
	workers           map[string]*standin.Server
	lastRequestNumber atomic.Int64
}

// newDeployment starts a store with a configuration and applies routeChanges to its routes.
func newDeployment(t testing.TB, routeChanges ...func(*platform.RouteDocument)) *deployment {
	t.Helper()
	d := &deployment{t: t, routeChanges: routeChanges, store: metadata.New(1), workers: map[string]*standin.Server{}}
	server, err := standin.Listen("127.0.0.1:0", d.store)
	if err != nil {
		t.Fatal(err)
	}
	d.server = server
	t.Cleanup(func() {
		server.Kill()
		d.store.Close()
	})
	d.configure(1)
	return d
}

func route(name, kind, service string, attempts int, resumable bool) platform.RouteDocument {
	return platform.RouteDocument{
		Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, TimeoutMS: 8000, ObjectiveMS: 400,
		Priority: 1, Service: service, Attempts: attempts, Resumable: resumable, GapObjectiveMS: 300,
	}
}

// withoutLatencyObjective removes a route's latency objective, so that no attempt is abandoned
// for being slow. Tests whose workers answer or fail at once need it because a busy machine may
// delay a worker.
func withoutLatencyObjective(route *platform.RouteDocument) { route.ObjectiveMS = 0 }

// configure writes a version of the configuration with additional routes.
func (d *deployment) configure(version int64, more ...platform.RouteDocument) {
	d.t.Helper()
	document := platform.ConfigurationDocument{
		Version: version,
		Routes: append([]platform.RouteDocument{
			route("read", "idempotent", plainService, 3, false),
			route("write", "non_idempotent", plainService, 1, false),
			route("stream", "streaming", engineService, 2, true),
			route("once", "streaming", engineService, 1, false),
		}, more...),
		Services: []platform.ServiceDocument{
			{Name: plainService, HealthPath: "/healthz", MaxConnections: 100},
			{Name: engineService, HealthPath: "/healthz", MaxConnections: 100, Engine: &platform.EngineDocument{
				Slots: 64, CacheTokens: 1000, WeightsMB: 100, AdapterSlots: 2, LoadsPerSecond: 20,
				Models: []platform.ModelDocument{
					{Name: "big", WeightsMB: 60, LoadS: 0.05, DiskS: 0.05, WarmS: 0.05, Adapters: 4, AdapterMB: 1},
					{Name: "rare", WeightsMB: 60, LoadS: 0.05, DiskS: 0.05, WarmS: 0.05},
				},
			}},
		},
		Limits:  platform.LimitsDocument{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderMS: 3000, IdleMS: 15000},
		Tenants: d.tenants,
	}
	for _, change := range d.routeChanges {
		for i := range document.Routes {
			change(&document.Routes[i])
		}
	}
	if err := d.store.Put(platform.KeyConfiguration, document); err != nil {
		d.t.Fatal(err)
	}
}

// addWorker starts a stand-in worker and registers it in the store.
func (d *deployment) addWorker(id, service string, change func(*worker.Config)) *worker.Worker {
	d.t.Helper()
	config := worker.Config{ID: id, Service: service, Zone: "z", Slots: 8, LoadTime: 30 * time.Millisecond}
	if service == engineService {
		config.Slots, config.Events, config.Pause = 64, 6, 2*time.Millisecond
		config.Models = map[string]catalog.ModelSpec{"big": {}, "rare": {}}
		config.Held = []string{"big"}
	}
	if change != nil {
		change(&config)
	}
	added := worker.New(config)
	added.Publish = func(key string, entry platform.WorkerDocument) { _ = d.store.Put(key, entry) }
	server, err := standin.Listen("127.0.0.1:0", added)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(server.Kill)
	d.workers[id] = server
	added.SetAddress(server.Address())
	d.register(added)
	return added
}

// register writes a worker's entry to the store.
func (d *deployment) register(w *worker.Worker) {
	d.t.Helper()
	if err := d.store.Put(w.Key(), w.Entry()); err != nil {
		d.t.Fatal(err)
	}
}

// registerAddress writes the entry of a worker that the test serves itself.
func (d *deployment) registerAddress(id, service, address string) {
	d.t.Helper()
	entry := platform.WorkerDocument{Service: service, Address: address, Zone: "z", Slots: 8, State: "ready"}
	if err := d.store.Put(platform.PrefixWorkers+id, entry); err != nil {
		d.t.Fatal(err)
	}
}

// startNode starts a node and waits until it is ready.
func (d *deployment) startNode(id string, changes ...func(*shell.Options)) *shell.Node {
	d.t.Helper()
	options := shell.Options{
		Core: fleet.Config{
			Self: fleet.NodeEntry{ID: cluster.NodeID(id)}, Zone: "z", Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"},
			FirstStart: true, FencingEnforced: true, OrderPause: 200 * time.Millisecond, HolderTTL: 600 * time.Millisecond,
			Routing: routing.Config{ExpectedRouters: 1, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 40, FailurePenalty: time.Second},
		},
		Seed: 1, CallersAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		MetricsAddress: "127.0.0.1:0", ReadyPath: platform.ReadyPath, StopTimeout: 8 * time.Second,
		Store: platform.NewStoreClient(d.server.Address(), 2*time.Second), Engines: platform.NewEngineClient(nil),
		Codec: platform.Codec{}, Dialect: platform.Dialect{}, Feed: feed.Config{PollInterval: 5 * time.Millisecond},
		Log: eventlog.New(io.Discard, eventlog.Options{}),
	}
	for _, change := range changes {
		change(&options)
	}
	node, err := shell.Start(options)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(node.Kill)
	d.eventually("the node is ready", func() bool { return status(node.ReadyURL()) == http.StatusOK })
	return node
}

// status returns the status of a GET; zero without an answer.
func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// eventually waits until a condition holds.
func (d *deployment) eventually(what string, holds func() bool) {
	d.t.Helper()
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	d.t.Fatalf("timed out waiting until %s", what)
}

// reply is an answer that a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends one request on a connection of its own and reads the whole answer.
func (d *deployment) call(node *shell.Node, method, path, body string, change func(http.Header)) reply {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.Address()+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = testHost
	request.Header.Set(platform.HeaderRequestID, "request-"+strconv.FormatInt(d.lastRequestNumber.Add(1), 10))
	request.Header.Set(platform.HeaderDeadline, "6000")
	if change != nil {
		change(request.Header)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return replyOf(client, request)
}

// replyOf sends a request and reads the whole answer.
func replyOf(client *http.Client, request *http.Request) reply {
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// callWithRetryAfter calls and repeats the call after the time in Retry-After for as long as the
// node answers 503.
func (d *deployment) callWithRetryAfter(node *shell.Node, method, path, body string, change func(http.Header)) reply {
	d.t.Helper()
	for deadline := time.Now().Add(waitLimit); ; {
		got := d.call(node, method, path, body, change)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil || time.Now().After(deadline) {
			return got
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
	}
}

// callUnlessLate calls and repeats the call after the time in Retry-After for as long as the node refuses it
// because its process runs late, which nothing in a test but a busy machine causes. Any other answer counts
// at the first call.
func (d *deployment) callUnlessLate(node *shell.Node, method, path, body string, change func(http.Header)) reply {
	d.t.Helper()
	for deadline := time.Now().Add(waitLimit); ; {
		got := d.call(node, method, path, body, change)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if !got.isLate() || err != nil || time.Now().After(deadline) {
			return got
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
	}
}

// isLate reports whether the answer is the refusal of a node whose process runs late.
func (r *reply) isLate() bool {
	var refusal struct {
		Code    verdict.Code `json:"code"`
		Verdict string       `json:"verdict"`
		Message string       `json:"message"`
	}
	return r.status == http.StatusServiceUnavailable && json.Unmarshal([]byte(r.body), &refusal) == nil &&
		refusal.Code == verdict.CodeOverloaded && refusal.Verdict == "not-run" && strings.Contains(refusal.Message, " late; ")
}

func withModel(model string) func(http.Header) {
	return func(header http.Header) {
		header.Set(platform.HeaderModel, model)
		header.Set(platform.HeaderTokens, "10,20")
	}
}

// eventNumbers returns the numbers of a stream's events and fails the test if an event is
// incomplete.
func eventNumbers(t *testing.T, body string) []int {
	t.Helper()
	var numbers []int
	for event := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		var number, piece int
		if _, err := fmt.Sscanf(event, "id: %d\ndata: piece %d", &number, &piece); err != nil || number != piece {
			t.Fatalf("event %q is incomplete: %v", event, err)
		}
		numbers = append(numbers, number)
	}
	return numbers
}

// oneTo returns the numbers from 1 to n.
func oneTo(n int) []int {
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = i + 1
	}
	return numbers
}

// readHead reads a request from a raw connection and discards its body.
func readHead(reader *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request, err
}
