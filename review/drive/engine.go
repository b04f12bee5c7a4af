package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valveslip/valveslip/platform"
)

const (
	// reportLag is how far reports lag behind.
	reportLag = 100 * time.Millisecond
	// adapterTime is how long an adapter takes to arrive, maxComing how many may be on their way at once.
	adapterTime = 19 * time.Millisecond
	maxComing   = 4
)

// engineModel is a model that an engine may hold, with its size in MB and the time of a load.
type engineModel struct {
	sizeMB   float64
	loadTime time.Duration
}

// engine is a worker of a model service. An adapter that is to be unloaded keeps its place until its runs have ended.
type engine struct {
	world        *world
	id, service  string
	address      string
	models       map[string]engineModel
	weightsMB    float64
	adapterMB    float64
	adapterSlots int
	slots        int
	events       int
	pause        time.Duration
	fenced       bool
	// keepsRunning makes the worker go on with a run whose connection has closed.
	keepsRunning bool

	mutex    sync.Mutex
	held     map[string]map[string]bool
	coming   map[string]bool
	leaving  map[string]bool
	running  map[string]int
	busy     bool
	sequence int64
	fence    uint64
	beats    int64
	history  []datedReport
	runs     []engineRun
	orders   []engineOrder
}

type datedReport struct {
	at     time.Time
	report map[string]any
}

// engineRun is one request that the engine began.
type engineRun struct {
	request string
	at      time.Time
}

// engineOrder is an order that the engine received.
type engineOrder struct {
	platform.OrderDocument
	at     time.Time
	status int
}

func (w *world) newEngine(id, service string) *engine {
	return &engine{
		world: w, id: id, service: service, models: map[string]engineModel{}, weightsMB: 200000, adapterMB: 66, adapterSlots: 8, slots: 64,
		events: 40, pause: 40 * time.Millisecond, fenced: w.fenced,
		held: map[string]map[string]bool{}, coming: map[string]bool{}, leaving: map[string]bool{}, running: map[string]int{},
	}
}

// begin serves the engine and writes its entry, again and again.
func (e *engine) begin(address string) error {
	var err error
	if e.address, err = e.world.serve(address, e); err != nil {
		return err
	}
	e.mutex.Lock()
	e.remember()
	e.mutex.Unlock()
	go func() {
		for {
			e.beat()
			select {
			case <-e.world.stop:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
	return nil
}

// beat writes the entry.
func (e *engine) beat() {
	e.mutex.Lock()
	e.beats++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": e.beats, "stage": "both", "models": e.modelList(),
	}
	e.mutex.Unlock()
	if err := e.world.store.Put(platform.PrefixWorkers+e.id, entry); err != nil {
		e.world.note("entry of %s: %v", e.id, err)
	}
}

// modelList returns what the engine holds. The caller holds the mutex.
func (e *engine) modelList() []map[string]any {
	list := []map[string]any{}
	for name, adapters := range e.held {
		names := []string{}
		for adapter := range adapters {
			names = append(names, adapter)
		}
		slices.Sort(names)
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": names})
	}
	return list
}

// remember keeps the present state for later reports. The caller holds the mutex.
func (e *engine) remember() {
	coming := []string{}
	for name := range e.coming {
		coming = append(coming, name+"@1")
	}
	running := 0
	for _, count := range e.running {
		running += count
	}
	e.history = append(e.history, datedReport{at: time.Now(), report: map[string]any{
		"stage": "both", "models": e.modelList(), "busy": e.busy, "sequence": e.sequence, "waiting": 0, "running": running,
		"kv_used": 0, "kv_total": 130679, "handles": 0, "coming": coming,
	}})
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mutex.Lock()
	shown := e.history[0].report
	for _, state := range e.history {
		if time.Since(state.at) >= reportLag {
			shown = state.report
		}
	}
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != e.id {
		w.Header().Set(platform.HeaderInstance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case platform.PathOrder:
		e.serveOrder(w, r)
	case platform.PathReport:
		e.serveReport(w)
	case "/healthz":
		w.Header().Set(platform.HeaderInstance, e.id)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order platform.OrderDocument
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	status := e.order(&order)
	e.orders = append(e.orders, engineOrder{OrderDocument: order, at: time.Now(), status: status})
	e.remember()
	e.mutex.Unlock()
	e.world.note("%s: order %s %s/%s of %s, fence %d, count %d: %d", e.id, order.Operation, order.Model, order.Adapter, order.Holder, order.Fence, order.Expected, status)
	w.WriteHeader(status)
}

// order carries out an order and returns the status of its answer. The caller holds the mutex.
func (e *engine) order(order *platform.OrderDocument) int {
	switch {
	case e.fenced && order.Fence < e.fence:
		return http.StatusPreconditionFailed
	case order.Expected != e.sequence, order.Adapter == "" && e.busy:
		return http.StatusConflict
	}
	e.fence = max(e.fence, order.Fence)
	if order.Adapter != "" {
		return e.orderAdapter(order)
	}
	return e.orderModel(order)
}

func (e *engine) orderAdapter(order *platform.OrderDocument) int {
	key := order.Model + "/" + order.Adapter
	adapters, present := e.held[order.Model]
	switch {
	case !present:
		return http.StatusBadRequest
	case order.Operation == "load" && (e.coming[key] || adapters[order.Adapter] && !e.leaving[key]):
		return http.StatusOK
	case order.Operation == "load" && len(e.coming) >= maxComing:
		return http.StatusConflict
	case order.Operation == "load":
		e.sequence++
		e.coming[key] = true
		if used := e.usedSlots(); used > e.adapterSlots {
			e.world.breaks("%s is ordered to load adapter %s beyond its %d places: it holds %s", e.id, key, e.adapterSlots, e.describe())
		}
		time.AfterFunc(adapterTime, func() { e.adapterArrived(order.Model, order.Adapter) })
		return http.StatusAccepted
	case !adapters[order.Adapter]:
		return http.StatusOK
	}
	e.sequence++
	if e.running[key] == 0 {
		delete(adapters, order.Adapter)
		return http.StatusOK
	}
	e.leaving[key] = true
	return http.StatusAccepted
}

// usedSlots counts the adapters that are held or on their way.
func (e *engine) usedSlots() int {
	used := len(e.coming)
	for _, adapters := range e.held {
		used += len(adapters)
	}
	return used
}

// describe lists the adapters with the runs that use them.
func (e *engine) describe() string {
	var list []string
	for model, adapters := range e.held {
		for adapter := range adapters {
			key := model + "/" + adapter
			list = append(list, fmt.Sprintf("%s (%d runs, leaving %v)", adapter, e.running[key], e.leaving[key]))
		}
	}
	slices.Sort(list)
	return strings.Join(list, ", ") + fmt.Sprintf(", and %d on their way", len(e.coming))
}

func (e *engine) adapterArrived(model, adapter string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.coming, model+"/"+adapter)
	if held := e.held[model]; held != nil {
		held[adapter] = true
	}
	e.remember()
}

func (e *engine) orderModel(order *platform.OrderDocument) int {
	_, present := e.held[order.Model]
	if order.Operation == "load" {
		model, known := e.models[order.Model]
		switch {
		case !known:
			return http.StatusBadRequest
		case present:
			return http.StatusOK
		}
		e.sequence++
		e.busy = true
		used := model.sizeMB + e.adapterMB*float64(e.usedSlots())
		for name := range e.held {
			used += e.models[name].sizeMB
		}
		if used > e.weightsMB {
			e.world.breaks("%s is ordered to load model %s beyond its memory: %.0f of %.0f MB", e.id, order.Model, used, e.weightsMB)
		}
		time.AfterFunc(model.loadTime, func() {
			e.mutex.Lock()
			e.held[order.Model], e.busy = map[string]bool{}, false
			e.remember()
			e.mutex.Unlock()
			e.beat()
		})
		return http.StatusAccepted
	}
	if !present {
		return http.StatusOK
	}
	e.sequence++
	e.busy = true
	e.leaving[order.Model] = true
	go e.unloadWhenIdle(order.Model)
	return http.StatusAccepted
}

// unloadWhenIdle waits for the runs of a model and discards it.
func (e *engine) unloadWhenIdle(model string) {
	for {
		time.Sleep(10 * time.Millisecond)
		e.mutex.Lock()
		used := 0
		for key, count := range e.running {
			if key == model || strings.HasPrefix(key, model+"/") {
				used += count
			}
		}
		if used == 0 {
			delete(e.held, model)
			delete(e.leaving, model)
			e.busy = false
			e.remember()
			e.mutex.Unlock()
			e.beat()
			return
		}
		e.mutex.Unlock()
	}
}

// begins reports whether the engine may begin a run, and otherwise the status of the refusal.
func (e *engine) begins(key string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	model, adapter, _ := strings.Cut(key, "/")
	adapters, present := e.held[model]
	switch {
	case e.leaving[model], e.leaving[key]:
		return http.StatusServiceUnavailable
	case !present, adapter != "" && !adapters[adapter]:
		return http.StatusMisdirectedRequest
	}
	e.running[key]++
	e.remember()
	return 0
}

func (e *engine) ended(key string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running[key]--
	if model, adapter, found := strings.Cut(key, "/"); found && e.leaving[key] && e.running[key] == 0 {
		delete(e.leaving, key)
		delete(e.held[model], adapter)
	}
	e.remember()
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get(platform.HeaderRequestID), r.Header.Get(platform.HeaderModel)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderInstance, e.id)
	if status := e.begins(key); status != 0 {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(status)
		e.world.note("%s rejects %s for %s: %d", e.id, id, key, status)
		return
	}
	defer e.ended(key)
	e.mutex.Lock()
	e.runs = append(e.runs, engineRun{request: id, at: time.Now()})
	e.mutex.Unlock()
	e.world.note("%s runs %s on %s", e.id, id, key)
	w.Header().Set(platform.HeaderStamp, "stamp-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	events := e.events
	if asked := r.Header.Get("X-Events"); asked != "" {
		events, _ = strconv.Atoi(asked)
	}
	flusher := http.NewResponseController(w)
	gone := false
	for number := after + 1; number <= events; number++ {
		if !gone {
			_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", number, number, id)
			gone = err != nil || flusher.Flush() != nil || r.Context().Err() != nil
		}
		if gone && !e.keepsRunning {
			e.world.note("%s: the connection of %s has closed", e.id, id)
			return
		}
		time.Sleep(e.pause)
	}
	e.world.note("%s ends %s", e.id, id)
}
