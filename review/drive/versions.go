package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valveslip/valveslip/platform"
)

const (
	streamService = "tannmal"
	streamPath    = "/lohu930/"
	// streamDeadline is the deadline of recall-draft, streamEvents and streamPause make its answers last 12 s.
	streamDeadline = 15 * time.Second
	streamEvents   = 120
	streamPause    = 100 * time.Millisecond
	// contact is how long a machine must have run undisturbed to be in touch.
	contact = 3 * time.Second
	// triesOfCaller and pauseOfCaller are how often and how far apart callers try again.
	triesOfCaller = 6
	pauseOfCaller = time.Second
)

// streamer is a worker that answers with streams, of one version of its software.
type streamer struct {
	world   *world
	id      string
	version string
	address string

	mutex    sync.Mutex
	draining bool
}

// begin serves the worker and writes its entry, again and again.
func (s *streamer) begin(address string) error {
	var err error
	if s.address, err = s.world.serve(address, s); err != nil {
		return err
	}
	go func() {
		for sequence := 0; ; sequence++ {
			s.beat(sequence)
			select {
			case <-s.world.stop:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
	return nil
}

// beat writes the entry.
func (s *streamer) beat(sequence int) {
	s.mutex.Lock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.mutex.Unlock()
	err := s.world.store.Put(platform.PrefixWorkers+s.id, map[string]any{
		"service": streamService, "address": s.address, "zone": zone, "version": s.version, "slots": 64, "state": state,
		"cold_left_ms": 0, "sequence": sequence,
	})
	if err != nil {
		s.world.note("entry of %s: %v", s.id, err)
	}
}

// ServeHTTP implements http.Handler.
func (s *streamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderInstance, s.id)
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	id, last := r.Header.Get(platform.HeaderRequestID), r.Header.Get(platform.HeaderLastEvent)
	_, _ = io.Copy(io.Discard, r.Body)
	s.world.note("%s (%s) runs %s after event %q", s.id, s.version, id, last)
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderStamp, "stamp-"+s.id)
	after, _ := strconv.Atoi(last)
	writeStream(w, r, s.version, after)
}

// writeStream writes the events of a stream after one of them.
func writeStream(w http.ResponseWriter, r *http.Request, version string, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for number := after + 1; number <= streamEvents; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, version); err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-time.After(streamPause):
		case <-r.Context().Done():
			return
		}
	}
}

// replace starts a worker of another version, after which this one says that it leaves and serves on.
func (s *streamer) replace(id, version, address string) error {
	next := &streamer{world: s.world, id: id, version: version}
	if err := next.begin(address); err != nil {
		return err
	}
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	s.beat(1000)
	s.world.note("%s (%s) has come, %s (%s) drains", id, version, s.id, s.version)
	return nil
}

// reader is a caller of one stream.
type reader struct {
	world    *world
	name     string
	first    string
	last     int
	versions map[string]bool
	whole    bool
}

// try sends one request, taking the stream up after its last event, and returns the status, zero without an answer.
func (c *reader) try(n *node, number int, left time.Duration) int {
	id := fmt.Sprintf("%s-%d", c.name, number)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.base()+streamPath+"2f", strings.NewReader("prompt "+c.name))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if c.last > 0 {
		request.Header.Set(platform.HeaderLastEvent, strconv.Itoa(c.last))
		request.Header.Set(platform.HeaderResumes, c.first)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		c.world.note("%s at %s: %v", id, n.name, err)
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		c.world.note("%s at %s: %d, Retry-After %s, %.160s", id, n.name, answer.StatusCode, answer.Header.Get("Retry-After"), text)
		return answer.StatusCode
	}
	before := c.last
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			c.last, _ = strconv.Atoi(text)
			if c.first == "" {
				c.first = id
			}
		}
		if version, found := strings.CutPrefix(lines.Text(), "data: "); found {
			c.versions[version] = true
		}
	}
	c.whole = lines.Err() == nil && c.last == streamEvents
	c.world.note("%s at %s: 200, events %d to %d, %v", id, n.name, before+1, c.last, lines.Err())
	return answer.StatusCode
}

// takenUp kills all nodes at once while a worker of the next version takes the place of one, and counts the streams that
// go on at nodes in touch beside the new ones that begin there.
func takenUp(w *world, trouble bool) error {
	err := w.store.Put(platform.KeyConfiguration, platform.ConfigurationDocument{
		Version: 3,
		Routes: []platform.RouteDocument{{
			Name: "recall-draft", Host: host, Prefix: streamPath, Kind: "streaming", TimeoutMS: 15000, ObjectiveMS: 600, Priority: 1,
			Service: streamService, Attempts: 2, Sticky: true, Resumable: true, GapObjectiveMS: 300,
		}},
		Services: []platform.ServiceDocument{{Name: streamService, HealthPath: "/healthz", MaxConnections: 360}},
		Limits:   platform.LimitsDocument{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderMS: 3000, IdleMS: 15000},
	})
	if err != nil {
		return err
	}
	var workers []*streamer
	for number := range 4 {
		worker := &streamer{world: w, id: fmt.Sprintf("i-7f3a91c%d", number), version: "v1"}
		if err := worker.begin(fmt.Sprintf("%s%d:8501", w.network, 100+number)); err != nil {
			return err
		}
		workers = append(workers, worker)
	}
	if _, err := w.startNodes(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var all sync.WaitGroup
	var mutex sync.Mutex
	inTouch := time.Time{}
	taken, goOn, asked, begun := map[string]bool{}, map[string]bool{}, 0, 0
	start := func(number int) {
		c := &reader{world: w, name: fmt.Sprintf("9c41d07b%02d", number), versions: map[string]bool{}}
		deadline := time.Now().Add(streamDeadline)
		for try := range triesOfCaller {
			left := time.Until(deadline)
			if c.whole || left <= 0 {
				return
			}
			mutex.Lock()
			counts := c.last > 0 && !inTouch.IsZero() && time.Now().After(inTouch)
			mutex.Unlock()
			before := c.last
			_ = c.try(w.nodes[(number+try)%len(w.nodes)], try+1, left)
			mutex.Lock()
			if counts {
				taken[c.name] = true
				goOn[c.name] = goOn[c.name] || c.last > before
			}
			mutex.Unlock()
			time.Sleep(pauseOfCaller)
		}
	}
	for number := range 24 {
		all.Go(func() { start(number) })
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range w.nodes {
			_, _ = n.command.Process.Wait()
		}
	}
	time.Sleep(400 * time.Millisecond)
	if os.Getenv("RELEASE") != "0" {
		if err := workers[0].replace("i-02d9e6b4", "v2", w.network+"110:8501"); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if trouble {
		for _, n := range w.nodes {
			if err := n.start(); err != nil {
				return err
			}
		}
		if err := w.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	mutex.Lock()
	inTouch = time.Now().Add(contact)
	mutex.Unlock()
	time.Sleep(contact + 200*time.Millisecond)
	for number := range 12 {
		all.Go(func() {
			c := &reader{world: w, name: fmt.Sprintf("5c1e07a2%02d", number), versions: map[string]bool{}}
			_ = c.try(w.nodes[number%len(w.nodes)], 1, streamDeadline)
			mutex.Lock()
			defer mutex.Unlock()
			asked++
			if c.last > 0 {
				begun++
			}
		})
	}
	all.Wait()
	went := 0
	for _, on := range goOn {
		if on {
			went++
		}
	}
	w.note("taken up at nodes in touch: %d streams, %d went on; new: %d streams, %d began", len(taken), went, asked, begun)
	if len(taken) >= 12 && float64(went)/float64(len(taken)) < float64(begun)/float64(asked)/2 {
		w.breaks("of %d streams that were taken up %d went on, of %d new ones %d began", len(taken), went, asked, begun)
	}
	return nil
}
