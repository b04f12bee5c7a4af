package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin"
)

// The deployment: one service without an engine, whose answers are streams that may be resumed.
const (
	serviceName   = "lines"
	streamPath    = "/lines/1"
	streamTimeout = 15 * time.Second
	streamEvents  = 200
	eventTime     = 40 * time.Millisecond
	beatInterval  = 1200 * time.Millisecond
)

// The disruption: one worker of four ends without a word and is back under its id after downTime, with
// the next version of its software.
const (
	rounds         = 5
	streamsPerNode = 24
	crashAfter     = 1500 * time.Millisecond
	downTime       = 1400 * time.Millisecond
	roundLength    = 16 * time.Second
	// allowedMixed is the number of streams that may hold events of two versions.
	allowedMixed = 2
)

// worker is a worker of the service. It may start again at its address under its id.
type worker struct {
	*deployment
	id, zone string
	server   *standin.Server

	mu      sync.Mutex
	version string
	born    int64
	beats   int64
	up      bool
}

func startWorker(d *deployment, id, zone, version, address string) (*worker, error) {
	w := &worker{deployment: d, id: id, zone: zone, version: version, born: time.Now().UnixMilli(), up: true}
	server, err := standin.Listen(address, w)
	if err != nil {
		return nil, err
	}
	w.server = server
	w.publish()
	go w.beat()
	return w, nil
}

// beat writes the entry at each interval while the worker runs.
func (w *worker) beat() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(beatInterval):
			w.publish()
		}
	}
}

func (w *worker) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.beats++
	born := w.born
	w.put(platform.PrefixWorkers+w.id, platform.WorkerDocument{
		Service: serviceName, Address: w.server.Address(), Zone: w.zone, Version: w.version, Slots: 64, State: "ready", Sequence: w.beats, Born: &born,
	})
}

// crash ends the worker with all its connections.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	w.mu.Unlock()
	w.server.Kill()
	w.rec.log("worker %s of version %s ends", w.id, w.version)
}

// start starts the worker again under its id, and writes its entry as soon as it listens.
func (w *worker) start(version string) error {
	w.mu.Lock()
	w.version, w.born, w.beats, w.up = version, time.Now().UnixMilli(), 0, true
	w.mu.Unlock()
	if err := w.server.Restart(); err != nil {
		return err
	}
	w.publish()
	w.rec.log("worker %s starts again with version %s, and its entry is written", w.id, version)
	return nil
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set(platform.HeaderInstance, w.id)
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	version, born := w.version, w.born
	w.mu.Unlock()
	switch r.URL.Path {
	case "/healthz":
		return
	case platform.PathReport:
		_ = json.NewEncoder(out).Encode(map[string]any{"models": []any{}, "busy": false, "sequence": 0, "born": born})
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(platform.HeaderRequestID)
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	w.rec.log("worker %s of version %s runs %s after event %d", w.id, version, id, after)
	out.Header().Set(platform.HeaderRequestID, id)
	out.Header().Set(platform.HeaderStamp, "stamp-"+w.id)
	out.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(out)
	for number := after + 1; number <= streamEvents; number++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", number, version); err != nil {
			return
		}
		_ = flusher.Flush()
	}
}

// streamConfiguration has one route whose streams may be resumed.
func streamConfiguration() platform.ConfigurationDocument {
	return platform.ConfigurationDocument{
		Version: 1,
		Routes: []platform.RouteDocument{{
			Name: "lines", Host: routeHost, Prefix: "/lines/", Kind: "streaming", TimeoutMS: 15_000, ObjectiveMS: 600, Priority: 1,
			Service: serviceName, Attempts: 2, Resumable: true, GapObjectiveMS: 300,
		}},
		Services: []platform.ServiceDocument{{Name: serviceName, HealthPath: "/healthz", MaxConnections: 360}},
		Limits:   platform.LimitsDocument{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderMS: 3000, IdleMS: 15_000},
	}
}

// streams plays the case.
func streams(rec *recorder, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.put(platform.KeyConfiguration, streamConfiguration())
	restarting, err := startWorker(d, "i-first", "grandi", "v1", d.network+"101:0")
	if err != nil {
		return false, err
	}
	zones := []string{"grandi", "artun", "holt"}
	for i, id := range []string{"i-second", "i-third", "i-fourth"} {
		if _, err := startWorker(d, id, zones[i], "v0", fmt.Sprintf("%s%d:0", d.network, 102+i)); err != nil {
			return false, err
		}
	}
	for i := range zones {
		if _, err := d.startNode(i, zones, true); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	mixed, whole, total := 0, 0, 0
	for round := range rounds {
		began := time.Now()
		rec.log("round %d", round+1)
		sent := &group{}
		for range streamsPerNode {
			for _, n := range d.nodes {
				sent.send(context.Background(), call{node: n, method: http.MethodPost, path: streamPath, model: "lines", prompt: 100, tokens: streamEvents, deadline: streamTimeout})
			}
		}
		if trouble {
			time.Sleep(time.Until(began.Add(crashAfter)))
			restarting.crash()
			time.Sleep(downTime)
			if err := restarting.start(fmt.Sprintf("v%d", round+2)); err != nil {
				return false, err
			}
		}
		sent.wait.Wait()
		for _, r := range sent.results {
			total++
			if len(r.versions) > 1 {
				mixed++
			}
			if r.complete && r.events == streamEvents {
				whole++
			}
		}
		rec.log("round %d: so far %d of %d streams hold events of two versions, %d are whole", round+1, mixed, total, whole)
		time.Sleep(time.Until(began.Add(roundLength)))
	}
	return mixed > allowedMixed, nil
}
