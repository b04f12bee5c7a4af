package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/valveslip/valveslip/platform"
)

const (
	modelService = "tannmal"
	modelName    = "daka510000"
	streamPath   = "/lohu930/"
	// patience is the deadline of the streams, as that of note-summary.
	patience = 25 * time.Second
	// longEvents is the length of a long stream; the longest of recall-draft has 261 events.
	longEvents = 250
)

// configure writes a configuration with one service of engines.
func (w *world) configure(models []platform.ModelDocument) error {
	return w.store.Put(platform.KeyConfiguration, platform.ConfigurationDocument{
		Version: 3,
		Routes: []platform.RouteDocument{{
			Name: "note-summary", Host: host, Prefix: streamPath, Kind: "streaming", TimeoutMS: 25000, ObjectiveMS: 6000, Priority: 2,
			Service: modelService, Attempts: 2, Sticky: true, Resumable: true, GapObjectiveMS: 300,
		}},
		Services: []platform.ServiceDocument{{Name: modelService, HealthPath: "/healthz", MaxConnections: 360, Engine: &platform.EngineDocument{
			Slots: 64, CacheTokens: 130679, Models: models, WeightsMB: 200000, AdapterSlots: 8, LoadsPerSecond: 2.2,
		}}},
		Limits: platform.LimitsDocument{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderMS: 3000, IdleMS: 15000},
	})
}

// startNodes starts a number of nodes, waits until they are ready, and returns the one that holds the lease for orders.
func (w *world) startNodes(count int) (*node, error) {
	for range count {
		if _, err := w.addNode(); err != nil {
			return nil, err
		}
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	return w.awaitHolder(15 * time.Second)
}

// adaptersInUse plays rounds in which two rare adapters are asked for at once at a worker whose other places are all in
// use: one that the worker holds and one that it does not. Without the burst, the second is asked for later.
func adaptersInUse(w *world, trouble bool) error {
	if err := w.configure([]platform.ModelDocument{{Name: modelName, WeightsMB: 72700, LoadS: 4.3, WarmS: 1.3, DiskS: 1.7, Adapters: 28, AdapterMB: 66}}); err != nil {
		return err
	}
	worker := w.newEngine("i-7f3a91c2", modelService)
	worker.models[modelName] = engineModel{sizeMB: 72700, loadTime: 4300 * time.Millisecond}
	worker.held[modelName] = map[string]bool{}
	if err := worker.begin(w.network + "100:8501"); err != nil {
		return err
	}
	if _, err := w.startNodes(3); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	held, missing := modelName+"/a1", modelName+"/a9"
	// The worker gets the first of the two.
	ask{node: w.nodes[0], path: streamPath, model: held, events: 20, wait: patience}.send(nil)
	for range 4 {
		if err := w.playRound(held, missing, trouble); err != nil {
			return err
		}
		held, missing = missing, held
	}
	return nil
}

// playRound lets callers use seven adapters for 10 s, and then ask for two more.
func (w *world) playRound(held, missing string, trouble bool) error {
	var all sync.WaitGroup
	defer all.Wait()
	began := make(chan struct{}, 16)
	use := func(n *node, model string, events int) {
		all.Go(func() {
			first := make(chan struct{})
			go func() { <-first; began <- struct{}{} }()
			ask{node: n, path: streamPath, model: model, events: events, wait: patience}.send(first)
		})
	}
	for number := 2; number <= 8; number++ {
		use(w.nodes[number%len(w.nodes)], fmt.Sprintf("%s/a%d", modelName, number), longEvents)
	}
	for range 7 {
		select {
		case <-began:
		case <-time.After(10 * time.Second):
			return fmt.Errorf("a stream did not begin")
		}
	}
	time.Sleep(1500 * time.Millisecond)
	use(w.nodes[1], held, longEvents/2)
	if trouble {
		time.Sleep(50 * time.Millisecond)
	} else {
		time.Sleep(1500 * time.Millisecond)
	}
	use(w.nodes[2], missing, 20)
	return nil
}
