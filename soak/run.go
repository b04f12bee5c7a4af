package soak

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/soak/plan"
	"github.com/valveslip/valveslip/soak/proxy"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/metadata"
)

const (
	// loopback is the address to listen on, with a port that the kernel chooses.
	loopback = "127.0.0.1:0"
	// startPollInterval is the time between two checks whether all nodes are ready at the
	// start.
	startPollInterval = 20 * time.Millisecond
)

// run is a running deployment.
type run struct {
	options       Options
	ctx           context.Context
	cancel        context.CancelFunc
	recorder      *recorder
	usage         *usageMeter
	spawner       *spawner
	metadata      *metadata.Server
	server        *standin.Server
	configuration *configuration
	nodes         []*process
	workers       []*workerSlot
	// supervised is set once the supervision of the node processes has started.
	supervised bool
	// pendingUndos counts the faults that have not been undone yet.
	pendingUndos sync.WaitGroup
	// restarts counts the open requests of sendRepeatedly and sendKeyed, and the pending
	// replacements of crashed workers. poisonOver is set once the harmful request no longer
	// crashes workers.
	restarts   sync.WaitGroup
	poisonOver atomic.Bool
	// skewedTo is the node that most callers come to, nil while each comes to its own.
	skewedTo atomic.Pointer[process]
	// bursts is the number of caller bursts so far.
	bursts atomic.Int64

	mu          sync.Mutex
	err         error
	faults      map[plan.Kind]int
	proxies     []*proxy.Proxy
	workerLives []workerLife
	// network is the prefix of the run's /24 network in the loopback range, which networkHeld keeps other runs from.
	network     string
	networkHeld io.Closer
	// workerProxies are the proxies of all workers so far, partitions the present cuts of nodes.
	workerProxies []*proxy.Proxy
	partitions    map[int]*partition
	// burstCalls limits the open calls of all bursts together.
	burstCalls chan struct{}
	// filesScarce is set while bursts send no more calls for lack of files.
	filesScarce atomic.Bool
	// peerProxies maps the peer address of each node to the address of its proxy.
	peerProxies map[string]string
}

// Run plays a schedule and checks the promises. An error means that the run itself failed, not
// that a promise is broken.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := checkNodeLimits(options.Schedule.Nodes); err != nil {
		return nil, err
	}
	files, err := fileLimit()
	if err != nil {
		return nil, err
	}
	r := &run{
		burstCalls: make(chan struct{}, maxOpenBurstCalls(options.Schedule.Nodes, files)),
		options:    options, recorder: &recorder{began: time.Now()}, usage: &usageMeter{}, spawner: newSpawner(),
		faults: map[plan.Kind]int{}, partitions: map[int]*partition{}, peerProxies: map[string]string{},
	}
	r.ctx, r.cancel = context.WithTimeout(ctx, options.Duration+finalLimitTime+options.AwaitJudgement)
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	go r.usage.watch(r.ctx, r.pids)
	go r.watchFiles(r.ctx, files)
	go r.enforceCoreShare(r.ctx)
	r.play()
	if err := r.failure(); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrap(err, "the run was interrupted")
	}
	return r.report(), nil
}

// start starts the simulated platform, the simulated workers and the nodes.
func (r *run) start() error {
	r.metadata = metadata.New(r.options.Schedule.Seed)
	r.metadata.Rewrite = r.rewriteNodeEntry
	var err error
	if r.network, r.networkHeld, err = reserveNetwork(); err != nil {
		return err
	}
	if r.server, err = standin.Listen(loopback, r.metadata); err != nil {
		return err
	}
	r.configuration = &configuration{run: r}
	r.configuration.change(func() {})
	if err := r.enterExtraWorkers(); err != nil {
		return err
	}
	if err := r.prepareNodes(); err != nil {
		return err
	}
	for index := range r.options.Schedule.Workers {
		slot := &workerSlot{run: r, index: index, endLimit: func() {}}
		if err := slot.startNew(nil); err != nil {
			return err
		}
		r.workers = append(r.workers, slot)
	}
	r.supervised = true
	for _, node := range r.nodes {
		go node.supervise()
	}
	return r.awaitStart()
}

// awaitStart waits until all nodes are ready.
func (r *run) awaitStart() error {
	for r.ctx.Err() == nil {
		count := 0
		for _, node := range r.nodes {
			if node.ready() {
				count++
			}
		}
		if count == len(r.nodes) {
			return nil
		}
		if err := r.failure(); err != nil {
			return err
		}
		time.Sleep(startPollInterval)
	}
	return eris.Errorf("nodes did not become ready at the start; see their logs in %s", r.options.LogDir)
}

// fail records the first error of the run itself and ends the run.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
	r.cancel()
}

func (r *run) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// close ends every node process and simulated service.
func (r *run) close() {
	r.cancel()
	r.pendingUndos.Wait()
	r.poisonOver.Store(true)
	r.restarts.Wait()
	for _, node := range r.nodes {
		if r.supervised {
			node.endForGood()
		}
		node.client.CloseIdleConnections()
	}
	r.spawner.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, opened := range r.proxies {
		opened.Close()
	}
	for _, life := range r.workerLives {
		life.server.Kill()
	}
	if r.server != nil {
		r.server.Kill()
		r.metadata.Close()
	}
	if r.networkHeld != nil {
		_ = r.networkHeld.Close()
	}
}
