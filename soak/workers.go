package soak

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/proxy"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/worker"
)

// The services and the capacities and timings of their workers.
const (
	serviceEngine = "assistant"
	serviceFirst  = "booking"
	serviceSecond = "ledger"

	engineSlots  = 64
	plainSlots   = 16
	streamEvents = 12
	streamPause  = 40 * time.Millisecond
	plainTime    = 120 * time.Millisecond
	loadTime     = 300 * time.Millisecond
	// Two models fit into the memory of an engine.
	modelMB          = 60
	engineMB         = 130
	megabyte         = 1_000_000
	modelCount       = 8
	adapterMB        = 1
	adaptersPerModel = 2
	loadsPerSecond   = 2
)

// unframedShare is the share of engines, one in so many, whose answers end with their connection, where workers
// of several software versions serve.
const unframedShare = 2

// startsPerRelease is how often a slot's worker starts with the same software version in a row.
const startsPerRelease = 2

// workersPerService is the distance between two slots with the same service.
const workersPerService = 2

func modelName(index int) string { return fmt.Sprintf("model-%d", index+1) }

// faultBehaviour is how a worker deviates from normal service while a fault lasts.
type faultBehaviour struct {
	mu     sync.Mutex
	active worker.Behaviour
	// shedsUntil is the time until which all requests are rejected.
	shedsUntil   time.Time
	requestCount atomic.Uint64
}

// misbehaveEvery is the period, in requests, of the misbehaviour: a worker under a fault
// serves the other requests normally.
const misbehaveEvery = 2

func (b *faultBehaviour) set(behaviour worker.Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = behaviour
}

// shed makes the worker reject all requests until the given time.
func (b *faultBehaviour) shed(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shedsUntil = until
}

// choose returns what to do with a request. Under a fault, every misbehaveEvery-th request
// misbehaves.
func (b *faultBehaviour) choose(*http.Request) worker.Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.shedsUntil) {
		return worker.Shed
	}
	if b.active == worker.Serve || b.requestCount.Add(1)%misbehaveEvery != 0 {
		return worker.Serve
	}
	return b.active
}

// workerSlot is a position in the deployment that is filled by one worker after the other,
// usually each with a new id.
type workerSlot struct {
	*run
	index int

	mu         sync.Mutex
	lifeNumber int
	startCount int
	// nextRelease is the software version of later starts that a fault has named, empty for none.
	nextRelease   string
	id            string
	startedMillis int64
	// name identifies the current worker in the history. It includes the start time, since
	// successive workers may have the same id.
	name      string
	worker    *worker.Worker
	server    *standin.Server
	proxy     *proxy.Proxy
	behaviour *faultBehaviour
	// bearable is what the workers say that they may turn away within a second, from brittleFrom until
	// brittleUntil.
	bearable                  int
	brittleFrom, brittleUntil time.Time
	// endLimit ends the limit that the worker announces, if there is one.
	endLimit func()
}

// extraWorkerPrefix begins the ids of the extra workers.
const extraWorkerPrefix = "extra-"

// enterExtraWorkers writes store entries of workers that never get requests.
func (r *run) enterExtraWorkers() error {
	for index := range r.options.Schedule.ExtraWorkers {
		entry := platform.WorkerDocument{
			Service: "extra", Address: fmt.Sprintf("127.0.0.1:%d", 1+index%1000), Zone: zoneName(0), Version: "v1", Slots: plainSlots, State: "ready",
		}
		if err := r.metadata.Put(fmt.Sprintf("%s%s%05d", platform.PrefixWorkers, extraWorkerPrefix, index), entry); err != nil {
			return err
		}
	}
	return nil
}

// service returns the service that the slot's workers belong to.
func (s *workerSlot) service() string {
	switch s.index % 4 {
	case 1:
		return serviceFirst
	case 3:
		return serviceSecond
	}
	return serviceEngine
}

// startNew starts a worker with a new id. It gets a new address unless an existing proxy is
// given.
func (s *workerSlot) startNew(at *proxy.Proxy) error {
	s.lifeNumber++
	s.id = fmt.Sprintf("%s-%d-%d", s.service(), s.index, s.lifeNumber)
	return s.startCurrent(at)
}

// startCurrent starts a worker with the current id. Its start time is later than that of the
// worker before it, even within the same millisecond.
func (s *workerSlot) startCurrent(at *proxy.Proxy) error {
	var held []string
	if s.nextRelease != "" && s.worker != nil {
		held = heldModels(s.worker)
	}
	if err := s.startUnlisted(at, held); err != nil {
		return err
	}
	return s.metadata.Put(s.worker.Key(), s.worker.Entry())
}

// startUnlisted starts a worker with the current id, which holds the given models, without writing its entry.
func (s *workerSlot) startUnlisted(at *proxy.Proxy, held []string) error {
	s.startedMillis = max(time.Now().UnixMilli(), s.startedMillis+1)
	config := worker.Config{
		StartMillis: s.startedMillis, Release: s.drawRelease(),
		ID: s.id, Service: s.service(), Zone: zoneName(s.index % zoneCount(len(s.nodes))), Slots: plainSlots, RunTime: plainTime,
		Unfenced: !s.options.Schedule.Fencing, Held: held,
	}
	if s.service() == serviceEngine {
		config.Slots, config.Events, config.Pause, config.LoadTime = engineSlots, s.streamEventCount(), streamPause, loadTime
		config.Unframed = s.options.Schedule.Releases > 1 && s.startCount%unframedShare == 0
		config.MemoryBytes, config.Models = engineMB*megabyte, map[string]catalog.ModelSpec{}
		for index := range modelCount {
			config.Models[modelName(index)] = catalog.ModelSpec{Bytes: modelMB * megabyte}
		}
	}
	conduct := &faultBehaviour{}
	started := worker.New(config)
	started.Behave = func(r *http.Request) worker.Behaviour {
		if s.crashIfPoisoned(r, started) || s.crashIfPartHarmful(r, started) {
			return worker.CutAfterRun
		}
		return conduct.choose(r)
	}
	server, err := standin.Listen(loopback, started)
	if err != nil {
		return err
	}
	if at == nil {
		if at, err = s.newProxy(server.Address(), true, nil); err != nil {
			return err
		}
		s.addWorkerProxy(at)
	}
	at.Retarget(server.Address())
	started.SetAddress(at.Address())
	started.Publish = func(key string, entry platform.WorkerDocument) { s.publish(started, key, entry) }
	s.worker, s.server, s.proxy, s.behaviour = started, server, at, conduct
	s.name = fmt.Sprintf("%s@%d", s.id, s.startedMillis)
	s.announceBrittle()
	s.recordLife(s.name, s.service(), started, server)
	return nil
}

// drawRelease returns the software version of the slot's next worker. Versions have no order; a worker that
// starts again, also with its id, may have another one than before.
func (s *workerSlot) drawRelease() string {
	s.startCount++
	if s.nextRelease != "" {
		return s.nextRelease
	}
	releases := max(s.options.Schedule.Releases, 1)
	return fmt.Sprintf("v1.%d", (s.index/workersPerService+s.startCount/startsPerRelease)%releases)
}

// publish writes a worker's store entry unless another worker has taken its place.
func (s *workerSlot) publish(by *worker.Worker, key string, entry platform.WorkerDocument) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if by == s.worker {
		_ = s.metadata.Put(key, entry)
	}
}

// current returns the name, worker, proxy and fault behaviour of the current worker.
func (s *workerSlot) current() (string, *worker.Worker, *proxy.Proxy, *faultBehaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.name, s.worker, s.proxy, s.behaviour
}

// recordDisturbance records that the current worker is disturbed until the returned function
// is called.
func (s *workerSlot) recordDisturbance() func() {
	id, _, _, _ := s.current()
	return s.recorder.beginDisturbance(check.Disturbance{
		Node: check.AllNodes, Scope: check.ScopeWorker, Worker: id, From: s.recorder.elapsed(),
	})
}

// setBehaviour makes the worker misbehave for the given time.
func (s *workerSlot) setBehaviour(behaviour worker.Behaviour, length time.Duration) {
	restored := s.recordDisturbance()
	_, _, _, conduct := s.current()
	conduct.set(behaviour)
	s.undoAfter(length, func() {
		conduct.set(worker.Serve)
		restored()
	})
}

// delayOrders makes orders reach the worker late for the given time.
func (s *workerSlot) delayOrders(delay, length time.Duration) {
	restored := s.recordDisturbance()
	_, delayed, _, _ := s.current()
	delayed.DelayOrders(delay)
	s.undoAfter(length, func() {
		delayed.DelayOrders(0)
		restored()
	})
}
