package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valveslip/valveslip/platform"
)

const (
	plainService = "bokun"
	plainPath    = "/puxa403/"
)

// plain is a worker of the booking service.
type plain struct {
	world *world
	id    string
	work  time.Duration

	mutex sync.Mutex
	// begun and done are the requests that the worker began and whose answers it finished.
	begun, done map[string]int
}

func (w *world) newPlain(id string, work time.Duration) *plain {
	return &plain{world: w, id: id, work: work, begun: map[string]int{}, done: map[string]int{}}
}

// begin serves the worker and writes its entry, again and again.
func (p *plain) begin(address string) error {
	address, err := p.world.serve(address, p)
	if err != nil {
		return err
	}
	go func() {
		for sequence := 0; ; sequence++ {
			err := p.world.store.Put(platform.PrefixWorkers+p.id, map[string]any{
				"service": plainService, "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready",
				"cold_left_ms": 0, "sequence": sequence,
			})
			if err != nil {
				p.world.note("entry of %s: %v", p.id, err)
			}
			select {
			case <-p.world.stop:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
	return nil
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderInstance, p.id)
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	_, _ = io.Copy(io.Discard, r.Body)
	p.count(p.begun, id)
	p.world.note("%s runs %s", p.id, id)
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		p.world.note("%s: the connection of %s has closed", p.id, id)
		return
	}
	w.Header().Set(platform.HeaderStamp, "stamp-"+p.id)
	_, _ = io.WriteString(w, strings.Repeat("b", 800))
	p.count(p.done, id)
	p.world.note("%s has answered %s", p.id, id)
}

func (p *plain) count(counts map[string]int, id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts[id]++
}

// configurePlain writes a configuration with the booking service alone.
func (w *world) configurePlain() error {
	return w.store.Put(platform.KeyConfiguration, platform.ConfigurationDocument{
		Version: 3,
		Routes: []platform.RouteDocument{{
			Name: "slot-confirm", Host: host, Prefix: plainPath, Kind: "non_idempotent", TimeoutMS: 1000, ObjectiveMS: 150, Priority: 2,
			Service: plainService, Attempts: 1,
		}},
		Services: []platform.ServiceDocument{{Name: plainService, HealthPath: "/healthz", MaxConnections: 96}},
		Limits:   platform.LimitsDocument{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderMS: 3000, IdleMS: 15000},
	})
}

// startPlain starts three workers of the booking service, and nodes.
func (w *world) startPlain(nodes int, work time.Duration) ([]*plain, error) {
	if err := w.configurePlain(); err != nil {
		return nil, err
	}
	var workers []*plain
	for number := range 3 {
		worker := w.newPlain(fmt.Sprintf("i-02d9e6b%d", number), work)
		if err := worker.begin(fmt.Sprintf("%s%d:8501", w.network, 100+number)); err != nil {
			return nil, err
		}
		workers = append(workers, worker)
	}
	_, err := w.startNodes(nodes)
	return workers, err
}
