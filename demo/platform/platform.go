package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/metadata"
	"github.com/valveslip/valveslip/standin/worker"
)

const (
	host             = "demo.example"
	plainService     = "booking"
	modelService     = "assistant"
	nodeCount        = 2
	modelWorkerCount = 2
	plainWorkerCount = 2
	readyTimeout     = 10 * time.Second
	callTimeout      = 10 * time.Second
)

// Demo is a running deployment.
type Demo struct {
	metadataStore *metadata.Server
	servers       []*standin.Server
	nodes         []*shell.Node
	workers       []*worker.Worker
}

// Start starts the deployment. The nodes write their logs to log.
func Start(log io.Writer) (*Demo, error) {
	d := &Demo{metadataStore: metadata.New(1)}
	server, err := standin.Listen("127.0.0.1:0", d.metadataStore)
	if err != nil {
		return nil, err
	}
	d.servers = append(d.servers, server)
	if err := d.metadataStore.Put(platform.KeyConfiguration, configuration()); err != nil {
		return nil, err
	}
	for n := range plainWorkerCount {
		if err := d.addWorker(worker.Config{ID: fmt.Sprintf("booker-%d", n+1), Service: plainService, Slots: 8}); err != nil {
			return nil, err
		}
	}
	for n := range modelWorkerCount {
		config := worker.Config{
			ID: fmt.Sprintf("engine-%d", n+1), Service: modelService, Slots: 64, Events: 8, Pause: 15 * time.Millisecond,
			LoadTime: 600 * time.Millisecond, Held: []string{"daily"},
			Models: map[string]catalog.ModelSpec{"daily": {}, "rare": {}},
		}
		if err := d.addWorker(config); err != nil {
			return nil, err
		}
	}
	for n := range nodeCount {
		node, err := shell.Start(d.nodeOptions(fmt.Sprintf("node-%d", n+1), server.Address(), log))
		if err != nil {
			d.Stop()
			return nil, err
		}
		d.nodes = append(d.nodes, node)
	}
	return d, d.awaitReady()
}

func (d *Demo) addWorker(config worker.Config) error {
	config.Zone = "zone"
	added := worker.New(config)
	added.Publish = func(key string, entry platform.WorkerDocument) { _ = d.metadataStore.Put(key, entry) }
	server, err := standin.Listen("127.0.0.1:0", added)
	if err != nil {
		return err
	}
	added.SetAddress(server.Address())
	d.servers, d.workers = append(d.servers, server), append(d.workers, added)
	return d.metadataStore.Put(added.Key(), added.Entry())
}

// nodeOptions returns the options of one node.
func (d *Demo) nodeOptions(name, store string, log io.Writer) shell.Options {
	const anyPort = "127.0.0.1:0"
	return shell.Options{
		Core: fleet.Config{
			Self: fleet.NodeEntry{ID: cluster.NodeID(name), Machine: name}, Zone: "zone",
			Regions: map[cluster.ZoneID]cluster.RegionID{"zone": "region"}, FirstStart: true, FencingEnforced: true,
			Routing: routing.Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 20, FailurePenalty: time.Second},
		},
		CallersAddress: anyPort, ReadyAddress: anyPort, PeerAddress: anyPort, MetricsAddress: anyPort, ReadyPath: platform.ReadyPath,
		Store: platform.NewStoreClient(store, 2*time.Second), Engines: platform.NewEngineClient(nil),
		Codec: platform.Codec{}, Dialect: platform.Dialect{}, Log: eventlog.New(log, eventlog.Options{Node: name}),
	}
}

// configuration returns the routes and services of the demo.
func configuration() platform.ConfigurationDocument {
	route := func(name, kind, service string, attempts int, resumable bool) platform.RouteDocument {
		return platform.RouteDocument{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, TimeoutMS: 8000, ObjectiveMS: 1500,
			Service: service, Attempts: attempts, Resumable: resumable, GapObjectiveMS: 300,
		}
	}
	return platform.ConfigurationDocument{
		Version: 1,
		Routes: []platform.RouteDocument{
			route("confirm", "non_idempotent", plainService, 1, false), route("draft", "streaming", modelService, 2, true),
		},
		Services: []platform.ServiceDocument{{Name: plainService}, {Name: modelService, Engine: &platform.EngineDocument{
			Slots: 64, WeightsMB: 100, AdapterSlots: 4, LoadsPerSecond: 4,
			Models: []platform.ModelDocument{
				{Name: "daily", WeightsMB: 60, LoadS: 0.6, Adapters: 2, AdapterMB: 1}, {Name: "rare", WeightsMB: 60, LoadS: 0.6},
			},
		}}},
	}
}

// awaitReady waits until all nodes are ready and exactly one is the lease holder.
func (d *Demo) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		ready, holding := 0, 0
		for _, node := range d.nodes {
			if response, err := http.Get(node.ReadyURL()); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
			if node.HoldsOrderLease() {
				holding++
			}
		}
		if ready == len(d.nodes) && holding == 1 {
			return nil
		}
	}
	return eris.New("the nodes did not become ready with one lease holder in time")
}

// PrintAddresses prints the nodes' addresses and an example request.
func (d *Demo) PrintAddresses(out io.Writer) {
	for _, node := range d.nodes {
		fmt.Fprintf(out, "node %s, figures %s\n", node.Address(), node.MetricsURL())
	}
	fmt.Fprintf(out, "\ncurl -N -H 'Host: %s' -H '%s: demo-1' -H '%s: rare' -H '%s: 8000' -d prompt http://%s/draft/\n",
		host, platform.HeaderRequestID, platform.HeaderModel, platform.HeaderDeadline, d.nodes[0].Address())
}

// Report counts the outcomes of a bounded load.
type Report struct {
	Sent, Served, RefusedNotRun, Failed int
	// RanTwice counts the repeated runs of requests that are not repeatable.
	// RanThoughRefused counts runs of requests that were refused as not run.
	RanTwice, RanThoughRefused int
}

// Broken reports whether a promise broke.
func (r *Report) Broken() bool { return r.RanTwice+r.RanThoughRefused > 0 }

// Load sends a number of mixed requests to all nodes, at most 16 at once, and
// compares the outcomes with the workers' runs.
func (d *Demo) Load(ctx context.Context, requests int) Report {
	var mutex sync.Mutex
	var calls sync.WaitGroup
	report := Report{Sent: requests}
	refused := map[string]bool{}
	slots := make(chan struct{}, 16)
	for n := range requests {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			id := fmt.Sprintf("load-%d", n)
			status := d.call(ctx, n, id)
			mutex.Lock()
			defer mutex.Unlock()
			switch status {
			case http.StatusOK:
				report.Served++
			case http.StatusServiceUnavailable:
				report.RefusedNotRun++
				refused[id] = true
			default:
				report.Failed++
			}
		})
	}
	calls.Wait()
	d.checkRuns(&report, refused)
	return report
}

// call sends one request and returns the status of its answer, zero if the
// answer is missing or incomplete.
func (d *Demo) call(ctx context.Context, n int, id string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path, model := "/confirm/", ""
	if n%3 != 0 {
		path, model = "/draft/", []string{"daily", "rare", "daily/a1", "daily/a2"}[n%4]
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.nodes[n%len(d.nodes)].Address()+path, strings.NewReader("prompt"))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderModel, model)
	request.Header.Set(platform.HeaderDeadline, "8000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// checkRuns counts the runs on all workers that break a promise.
func (d *Demo) checkRuns(report *Report, refused map[string]bool) {
	runs := map[string]int{}
	for _, w := range d.workers {
		for _, run := range w.Runs() {
			runs[run.RequestID]++
			if refused[run.RequestID] {
				report.RanThoughRefused++
			}
			if run.Model == "" && runs[run.RequestID] > 1 {
				report.RanTwice++
			}
		}
	}
}

// Stop kills the nodes and workers and closes the metadata store.
func (d *Demo) Stop() {
	for _, node := range d.nodes {
		node.Kill()
	}
	for _, server := range d.servers {
		server.Kill()
	}
	d.metadataStore.Close()
}
