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

// The services and the sizes of their workers.
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
	// Two of the models fit on an engine.
	modelMB     = 60
	engineMB    = 130
	megabyte    = 1_000_000
	modelCount  = 8
	adapterMB   = 1
	adapters    = 2
	loadsSecond = 2
)

func modelName(index int) string { return fmt.Sprintf("model-%d", index+1) }

// behaviours are what a worker does besides serving, while a fault lasts.
type behaviours struct {
	mu    sync.Mutex
	every worker.Behaviour
	// sheds is until when all requests are turned away.
	sheds time.Time
	count atomic.Uint64
}

// strikeEvery is how many requests a misbehaving worker serves between two that it
// does not.
const strikeEvery = 2

func (b *behaviours) set(behaviour worker.Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.every = behaviour
}

// shed has all requests turned away until a time.
func (b *behaviours) shed(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sheds = until
}

// choose has every second request misbehave.
func (b *behaviours) choose(*http.Request) worker.Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.sheds) {
		return worker.Shed
	}
	if b.every == worker.Serve || b.count.Add(1)%strikeEvery != 0 {
		return worker.Serve
	}
	return b.every
}

// workerSlot is a place for a worker: one life after the other, mostly with new names.
type workerSlot struct {
	*run
	index int

	mu   sync.Mutex
	life int
	id   string
	born int64
	// name of the present life, which the history knows it by: lives may share an id.
	name    string
	worker  *worker.Worker
	server  *standin.Server
	proxy   *proxy.Proxy
	conduct *behaviours
	// endLimit ends the limit that the worker names, if it does.
	endLimit func()
}

// enterExtraWorkers enters workers that nobody asks for.
func (r *run) enterExtraWorkers() error {
	for index := range r.options.Schedule.ExtraWorkers {
		entry := platform.WorkerDocument{
			Service: "extra", Address: fmt.Sprintf("127.0.0.1:%d", 1+index%1000), Zone: zoneName(0), Version: "v1", Slots: plainSlots, State: "ready",
		}
		if err := r.metadata.Put(fmt.Sprintf("%sextra-%05d", platform.PrefixWorkers, index), entry); err != nil {
			return err
		}
	}
	return nil
}

// service that the slot's workers serve.
func (s *workerSlot) service() string {
	switch s.index % 4 {
	case 1:
		return serviceFirst
	case 3:
		return serviceSecond
	}
	return serviceEngine
}

// begin starts a life under a new name, at a new address unless one is given.
func (s *workerSlot) begin(at *proxy.Proxy) error {
	s.life++
	s.id = fmt.Sprintf("%s-%d-%d", s.service(), s.index, s.life)
	return s.beginAs(at)
}

// beginAs starts a life under the present name. It is born later than the one before, also
// within the same millisecond.
func (s *workerSlot) beginAs(at *proxy.Proxy) error {
	s.born = max(time.Now().UnixMilli(), s.born+1)
	config := worker.Config{
		Born: s.born,
		ID:   s.id, Service: s.service(), Zone: zoneName(s.index % zones(len(s.nodes))), Slots: plainSlots, RunTime: plainTime,
		Unfenced: !s.options.Schedule.Fencing,
	}
	if s.service() == serviceEngine {
		config.Slots, config.Events, config.Pause, config.LoadTime = engineSlots, streamEvents, streamPause, loadTime
		config.MemoryBytes, config.Models = engineMB*megabyte, map[string]catalog.ModelSpec{}
		for index := range modelCount {
			config.Models[modelName(index)] = catalog.ModelSpec{Bytes: modelMB * megabyte}
		}
	}
	conduct := &behaviours{}
	started := worker.New(config)
	started.Behave = func(r *http.Request) worker.Behaviour {
		if s.poisoned(r, started) {
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
	}
	at.Retarget(server.Address())
	started.SetAddress(at.Address())
	started.Publish = func(key string, entry platform.WorkerDocument) { s.publish(started, key, entry) }
	s.worker, s.server, s.proxy, s.conduct = started, server, at, conduct
	s.name = fmt.Sprintf("%s@%d", s.id, s.born)
	s.lived(s.name, s.service(), started, server)
	return s.metadata.Put(started.Key(), started.Entry())
}

// publish enters a worker unless its life is over.
func (s *workerSlot) publish(by *worker.Worker, key string, entry platform.WorkerDocument) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if by == s.worker {
		_ = s.metadata.Put(key, entry)
	}
}

// present returns the worker of the present life.
func (s *workerSlot) present() (string, *worker.Worker, *proxy.Proxy, *behaviours) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.name, s.worker, s.proxy, s.conduct
}

// disturb notes that the present worker is out of order.
func (s *workerSlot) disturb() func() {
	id, _, _, _ := s.present()
	return s.recorder.disturb(check.Disturbance{
		Node: check.AllNodes, Scope: check.ScopeWorker, Worker: id, From: s.recorder.now(),
	})
}

// misbehave has the worker do so for a while.
func (s *workerSlot) misbehave(behaviour worker.Behaviour, length time.Duration) {
	restored := s.disturb()
	_, _, _, conduct := s.present()
	conduct.set(behaviour)
	s.later(length, func() {
		conduct.set(worker.Serve)
		restored()
	})
}

// delayOrders has orders come late for a while.
func (s *workerSlot) delayOrders(delay, length time.Duration) {
	restored := s.disturb()
	_, delayed, _, _ := s.present()
	delayed.DelayOrders(delay)
	s.later(length, func() {
		delayed.DelayOrders(0)
		restored()
	})
}

// crash ends the worker without a word; another one comes back at its address.
func (s *workerSlot) crash(length time.Duration) {
	restored := s.disturb()
	s.mu.Lock()
	ended, server, at := s.worker, s.server, s.proxy
	s.mu.Unlock()
	at.Refuse()
	server.Kill()
	s.later(length, func() {
		defer restored()
		s.replace(ended, at)
		if err := at.Open(); err != nil {
			s.fail(err)
		}
	})
}

// restart ends the worker without a word; it comes back at its address under its id. One that
// leaves is not waited for: it ends like one that crashes.
func (s *workerSlot) restart(length time.Duration) {
	s.mu.Lock()
	ended, server, at := s.worker, s.server, s.proxy
	s.mu.Unlock()
	if ended.Draining() {
		s.crash(length)
		return
	}
	restored := s.disturb()
	at.Refuse()
	server.Kill()
	s.later(length, func() {
		defer restored()
		s.comeBack(ended, at)
		if err := at.Open(); err != nil {
			s.fail(err)
		}
	})
}

// comeBack starts a worker again under its name, unless another one has taken its place.
func (s *workerSlot) comeBack(over *worker.Worker, at *proxy.Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker != over {
		return
	}
	if err := s.beginAs(at); err != nil {
		s.fail(err)
	}
}

// limit has the worker name a limit for a while, in place of one that it names. That puts nothing
// out of order.
func (s *workerSlot) limit(perSecond float64, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLimit()
	name, needy := s.name, s.worker
	needy.SetLimit(perSecond)
	index, from := 0, s.recorder.now()
	s.recorder.record(func(h *check.History) {
		index = len(h.WorkerLimits)
		h.WorkerLimits = append(h.WorkerLimits, check.WorkerLimit{Worker: name, PerSecond: perSecond, From: from, To: always})
	})
	ended := false
	s.endLimit = func() {
		if ended {
			return
		}
		ended = true
		s.recorder.record(func(h *check.History) { h.WorkerLimits[index].To = s.recorder.now() })
		needy.SetLimit(0)
	}
	end := s.endLimit
	s.later(length, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		end()
	})
}

// shed has the worker turn all requests away for a while and ask for rest. Its nodes are told, so
// that it puts nothing out of order.
func (s *workerSlot) shed(rest, length time.Duration) {
	_, needy, _, conduct := s.present()
	needy.SetRest(rest)
	conduct.shed(time.Now().Add(length))
}

// leave has the worker say in its answers that it leaves, and in its entry after a while.
func (s *workerSlot) leave(length time.Duration) {
	name, leaving, _, _ := s.present()
	leaving.Leave()
	at := s.recorder.now()
	s.recorder.record(func(h *check.History) {
		h.LeavingAnswers = append(h.LeavingAnswers, check.Leaving{Worker: name, At: at})
	})
	s.later(length, func() {
		if _, present, _, _ := s.present(); present == leaving {
			s.drain(quietDrain)
		}
	})
}

// drain has the worker say that it leaves; it goes on serving what it has, and
// another one comes at another address.
func (s *workerSlot) drain(length time.Duration) {
	id, leaving, _, _ := s.present()
	leaving.Drain()
	at := s.recorder.now()
	s.recorder.record(func(h *check.History) {
		h.Leavings = append(h.Leavings, check.Leaving{Worker: id, At: at})
		h.LeavingAnswers = append(h.LeavingAnswers, check.Leaving{Worker: id, At: at})
	})
	s.later(length, func() { s.replace(leaving, nil) })
}

// replace puts a new life in the place of one that is over, unless that was done.
func (s *workerSlot) replace(over *worker.Worker, at *proxy.Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker != over {
		return
	}
	s.metadata.Remove(over.Key())
	if err := s.begin(at); err != nil {
		s.fail(err)
	}
}
