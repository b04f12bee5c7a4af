package soak

import (
	"context"
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
	// loopback lets the kernel choose the port.
	loopback = "127.0.0.1:0"
	// startPoll spaces looks at whether all nodes are ready at the start.
	startPoll = 20 * time.Millisecond
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
	// supervised is set once the nodes' processes were started.
	supervised bool
	// undone waits for the ends of faults.
	undone sync.WaitGroup
	// restarts waits for the harmful request's tries, and for the workers that follow those
	// it ended; poisonOver is set once it ends none any more.
	restarts   sync.WaitGroup
	poisonOver atomic.Bool
	// bursts numbers the bursts of callers.
	bursts atomic.Int64

	mu      sync.Mutex
	err     error
	faults  map[plan.Kind]int
	proxies []*proxy.Proxy
	lives   []life
	// network is the run's part of the loopback network, up to the last number.
	network string
	// shown are the addresses by which nodes find each other.
	shown map[string]string
}

// Run plays a schedule and judges what was seen. An error means that the run itself
// failed, not that a promise is broken.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := checkNodes(options.Schedule.Nodes); err != nil {
		return nil, err
	}
	r := &run{
		options: options, recorder: &recorder{began: time.Now()}, usage: &usageMeter{}, spawner: newSpawner(),
		faults: map[plan.Kind]int{}, shown: map[string]string{},
	}
	r.ctx, r.cancel = context.WithTimeout(ctx, options.Duration)
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	go r.usage.watch(r.ctx, r.pids)
	go r.holdToShare(r.ctx)
	r.play()
	if err := r.failure(); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrap(err, "the run was ended")
	}
	return r.report(), nil
}

// start starts the stand-ins and the nodes.
func (r *run) start() error {
	r.metadata = metadata.New(r.options.Schedule.Seed)
	r.metadata.Rewrite = r.show
	var err error
	if r.network, err = freeNetwork(); err != nil {
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
		if err := slot.begin(nil); err != nil {
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
		time.Sleep(startPoll)
	}
	return eris.Errorf("the nodes did not become ready; their logs are in %s", r.options.LogDir)
}

// fail notes the first error of the run itself and ends it.
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

// close ends every process and stand-in.
func (r *run) close() {
	r.cancel()
	r.undone.Wait()
	r.poisonOver.Store(true)
	r.restarts.Wait()
	for _, node := range r.nodes {
		if r.supervised {
			node.finish()
		}
		node.client.CloseIdleConnections()
	}
	r.spawner.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, opened := range r.proxies {
		opened.Close()
	}
	for _, over := range r.lives {
		over.server.Kill()
	}
	if r.server != nil {
		r.server.Kill()
		r.metadata.Close()
	}
}
