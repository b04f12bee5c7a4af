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
	host         = "demo.example"
	plainService = "booking"
	modelService = "assistant"
	nodes        = 2
	engines      = 2
	bookers      = 2
	readyLimit   = 10 * time.Second
	callLimit    = 10 * time.Second
)

// Demo is a running deployment.
type Demo struct {
	store   *metadata.Server
	servers []*standin.Server
	nodes   []*shell.Node
	workers []*worker.Worker
}

// Start starts the deployment; lines of the nodes' logs go to log.
func Start(log io.Writer) (*Demo, error) {
	d := &Demo{store: metadata.New(1)}
	server, err := standin.Listen("127.0.0.1:0", d.store)
	if err != nil {
		return nil, err
	}
	d.servers = append(d.servers, server)
	if err := d.store.Put(platform.KeyConfiguration, configuration()); err != nil {
		return nil, err
	}
	for n := range bookers {
		if err := d.addWorker(worker.Config{ID: fmt.Sprintf("booker-%d", n+1), Service: plainService, Slots: 8}); err != nil {
			return nil, err
		}
	}
	for n := range engines {
		config := worker.Config{
			ID: fmt.Sprintf("engine-%d", n+1), Service: modelService, Slots: 64, Events: 8, Pause: 15 * time.Millisecond,
			LoadTime: 600 * time.Millisecond, Held: []string{"daily"},
			Models: map[string]catalog.ModelSpec{"daily": {}, "rare": {}},
		}
		if err := d.addWorker(config); err != nil {
			return nil, err
		}
	}
	for n := range nodes {
		node, err := shell.Start(d.options(fmt.Sprintf("node-%d", n+1), server.Address(), log))
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
	added.Publish = func(key string, entry platform.WorkerDocument) { _ = d.store.Put(key, entry) }
	server, err := standin.Listen("127.0.0.1:0", added)
	if err != nil {
		return err
	}
	added.SetAddress(server.Address())
	d.servers, d.workers = append(d.servers, server), append(d.workers, added)
	return d.store.Put(added.Key(), added.Entry())
}

// options of one node.
func (d *Demo) options(name, store string, log io.Writer) shell.Options {
	const anyPort = "127.0.0.1:0"
	return shell.Options{
		Core: fleet.Config{
			Self: fleet.NodeEntry{ID: cluster.NodeID(name), Machine: name}, Zone: "zone",
			Regions: map[cluster.ZoneID]cluster.RegionID{"zone": "region"}, FirstStart: true, FencingEnforced: true,
			Routing: routing.Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 20, FailurePenalty: time.Second},
		},
		CallersAddress: anyPort, ReadyAddress: anyPort, PeerAddress: anyPort, MetricsAddress: anyPort, ReadyPath: platform.ReadyPath,
		Store: platform.NewStoreClient(store, 2*time.Second), Engines: platform.NewEngineClient(),
		Codec: platform.Codec{}, Dialect: platform.Dialect{}, Log: eventlog.New(log, eventlog.Options{Node: name}),
	}
}

// configuration is what an operator would write.
func configuration() platform.ConfigurationDocument {
	route := func(name, kind, service string, attempts int, resumable bool) platform.RouteDocument {
		return platform.RouteDocument{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, TimeoutMS: 8000, AimMS: 1500,
			Service: service, Attempts: attempts, Resumable: resumable, GapAimMS: 300,
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

// awaitReady waits until all nodes are ready and one gives the orders.
func (d *Demo) awaitReady() error {
	for limit := time.Now().Add(readyLimit); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		ready, holding := 0, 0
		for _, node := range d.nodes {
			if response, err := http.Get(node.ReadyURL()); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
			if node.Holding() {
				holding++
			}
		}
		if ready == len(d.nodes) && holding == 1 {
			return nil
		}
	}
	return eris.New("the nodes did not become ready")
}

// Announce tells how the deployment can be called.
func (d *Demo) Announce(out io.Writer) {
	for _, node := range d.nodes {
		fmt.Fprintf(out, "node %s, figures %s\n", node.Address(), node.MetricsURL())
	}
	fmt.Fprintf(out, "\ncurl -N -H 'Host: %s' -H '%s: demo-1' -H '%s: rare' -H '%s: 8000' -d prompt http://%s/draft/\n",
		host, platform.HeaderRequestID, platform.HeaderModel, platform.HeaderDeadline, d.nodes[0].Address())
}

// Report is what a bounded load met.
type Report struct {
	Sent, Served, RefusedNotRun, Failed int
	// RanTwice counts requests that are not repeatable and ran more than once,
	// RanThoughRefused those that ran although the caller was told they had not.
	RanTwice, RanThoughRefused int
}

// Broken reports whether a promise broke.
func (r *Report) Broken() bool { return r.RanTwice+r.RanThoughRefused > 0 }

// Load sends a bounded mix of requests to all nodes and checks what ran.
func (d *Demo) Load(ctx context.Context, requests int) Report {
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	report := Report{Sent: requests}
	refused := map[string]bool{}
	gate := make(chan struct{}, 16)
	for n := range requests {
		gate <- struct{}{}
		waiting.Go(func() {
			defer func() { <-gate }()
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
	waiting.Wait()
	d.checkRuns(&report, refused)
	return report
}

// call sends one request and reads its answer; zero without a whole one.
func (d *Demo) call(ctx context.Context, n int, id string) int {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
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

// checkRuns counts what ran against the promises.
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

// Stop ends everything.
func (d *Demo) Stop() {
	for _, node := range d.nodes {
		node.Kill()
	}
	for _, server := range d.servers {
		server.Kill()
	}
	d.store.Close()
}
