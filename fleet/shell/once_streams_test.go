package shell_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// rejection is how an engine rejects the first send of a stream.
type rejection struct {
	name   string
	status int
	// fields are additional lines of the head.
	fields string
	// queued is how long the request waits at the engine before it is rejected.
	queued time.Duration
	// body is sent in chunks, and the second half of the answer after a pause.
	body   string
	halved time.Duration
	// early is set if the rejection is sent before the body of the request is read.
	early bool
}

// rejections are the ways in which an engine says that it did not run a request.
var rejections = []rejection{
	{name: "full", status: http.StatusServiceUnavailable},
	{name: "deadline passed in queue", status: http.StatusServiceUnavailable, queued: 80 * time.Millisecond},
	{name: "load under way", status: http.StatusServiceUnavailable, fields: "Retry-After: 0.01\r\n"},
	{name: "limited", status: http.StatusTooManyRequests, fields: "Retry-After: 0.01\r\n"},
	{name: "model or version missing", status: http.StatusMisdirectedRequest},
	{name: "another instance", status: http.StatusMisdirectedRequest, fields: platform.HeaderInstance + ": other\r\n"},
	{name: "closes", status: http.StatusServiceUnavailable, fields: "Connection: close\r\n"},
	{name: "chunked", status: http.StatusServiceUnavailable, body: "full"},
	{name: "in two pieces", status: http.StatusServiceUnavailable, body: "full", halved: 10 * time.Millisecond},
	{name: "body that lasts", status: http.StatusServiceUnavailable, body: strings.Repeat("full", 1000), halved: 60 * time.Millisecond},
	{name: "continue first", status: http.StatusServiceUnavailable, fields: "\r\n"},
	{name: "early", status: http.StatusServiceUnavailable, early: true},
}

// write sends the rejection of a request. It ends early if the connection does.
func (r *rejection) write(out io.Writer, id string) {
	prefix, fields := "", r.fields
	if r.name == "continue first" {
		prefix, fields = "HTTP/1.1 100 Continue\r\n\r\n", ""
	}
	head := fmt.Sprintf("%sHTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\n%s", prefix, r.status, http.StatusText(r.status),
		platform.HeaderRequestID, id, platform.HeaderNotExecuted, fields)
	if r.body == "" {
		_, _ = io.WriteString(out, head+"Content-Length: 0\r\n\r\n")
		return
	}
	text := head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body)
	if r.halved == 0 {
		_, _ = io.WriteString(out, text)
		return
	}
	half := len(text) / 2
	if _, err := io.WriteString(out, text[:half]); err == nil {
		time.Sleep(r.halved)
		_, _ = io.WriteString(out, text[half:])
	}
}

// rejectingEngine is an engine that rejects the first sends of each stream and may send each rejection a second time.
type rejectingEngine struct {
	*worker.Worker
	counter *runCounter
	// how returns how the engine rejects a request.
	how func(id string) *rejection
	// inPlace is set if the copy comes in the place of the next answer on the connection; otherwise it comes
	// within maxCopyDelay.
	inPlace bool
	// firstEvent is the longest time until a run sends its first event, and readDelay the longest one until the engine reads
	// what has arrived.
	firstEvent, readDelay time.Duration

	mutex    sync.Mutex
	rejected map[string]bool
}

// maxCopyDelay is the longest time from a rejection to its copy.
const maxCopyDelay = 60 * time.Millisecond

// addRejectingEngine starts an engine and registers it.
func (d *deployment) addRejectingEngine(id string, engine *rejectingEngine) {
	d.t.Helper()
	engine.Worker = worker.New(worker.Config{
		ID: id, Service: engineService, Zone: "z", Slots: 64, Events: 3, LoadTime: 30 * time.Millisecond,
		Models: map[string]catalog.ModelSpec{"big": {}, "rare": {}}, Held: []string{"big"},
	})
	engine.rejected = map[string]bool{}
	engine.SetAddress(startScriptedWorker(d.t, engine.serve))
	d.register(engine.Worker)
}

// serve serves one connection.
func (e *rejectingEngine) serve(_ int, connection net.Conn, reader *bufio.Reader) {
	var pending []func()
	out := &lockedWriter{out: connection}
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		if e.readDelay > 0 {
			time.Sleep(rand.N(e.readDelay))
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(platform.HeaderRequestID)
		if !strings.HasPrefix(request.URL.Path, "/once/") {
			recorder := httptest.NewRecorder()
			e.ServeHTTP(recorder, request)
			answer := recorder.Result()
			answer.ContentLength = int64(recorder.Body.Len())
			if answer.Write(out) != nil {
				return
			}
			continue
		}
		how := e.how(id)
		rejects := how != nil && e.rejectsNow(id)
		if rejects && how.early {
			how.write(out, id)
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		for _, write := range pending {
			write()
		}
		pending = nil
		if !rejects {
			e.counter.add(id)
			if e.answer(out, id) != nil {
				return
			}
			continue
		}
		time.Sleep(how.queued)
		if !how.early {
			how.write(out, id)
		}
		repeat := func() { how.write(out, id) }
		if e.inPlace {
			pending = append(pending, repeat)
		} else {
			time.AfterFunc(rand.N(maxCopyDelay), repeat)
		}
	}
}

// rejectsNow reports whether this is the first send of a request.
func (e *rejectingEngine) rejectsNow(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	first := !e.rejected[id]
	e.rejected[id] = true
	return first
}

// answer streams the answer of a run.
func (e *rejectingEngine) answer(out io.Writer, id string) error {
	if e.firstEvent > 0 {
		time.Sleep(rand.N(e.firstEvent))
	}
	_, err := fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		platform.HeaderRequestID, id, platform.HeaderStamp)
	for n := 1; n <= 3 && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		_, err = fmt.Fprintf(out, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(2 * time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(out, "0\r\n\r\n")
	}
	return err
}

// lockedWriter writes whole pieces one after the other.
type lockedWriter struct {
	mutex sync.Mutex
	out   io.Writer
}

func (w *lockedWriter) Write(data []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.out.Write(data)
}

// startDispatchingNodes starts nodes of which one places the attempts of all at engines.
func (d *deployment) startDispatchingNodes(count int, changes ...func(*shell.Options)) []*shell.Node {
	d.t.Helper()
	var nodes []*shell.Node
	for i := range count {
		id := cluster.NodeID(fmt.Sprint("n", i))
		nodes = append(nodes, d.startNode(string(id), append([]func(*shell.Options){func(o *shell.Options) {
			o.Core.Dispatching = true
			o.Core.Self.Machine, o.Core.Self.Capacity = "machine-"+string(id), float64(1+i)
			o.Core.Routing.RetryExtra = 3000
		}}, changes...)...))
	}
	return nodes
}

// oncePlay sends streams that may run once to nodes.
type oncePlay struct {
	d     *deployment
	nodes []*shell.Node
	// callers send at the same time, each one stream after the other until count streams were sent.
	callers, count int
	body           string
	// deadline returns the deadline of the next stream; leaves is the longest time until its caller leaves, zero if callers stay.
	deadline func() time.Duration
	leaves   time.Duration
}

// run returns the answers by request ID.
func (p *oncePlay) run() map[string]reply {
	var mutex sync.Mutex
	var group sync.WaitGroup
	answers, next := map[string]reply{}, 0
	for range p.callers {
		group.Go(func() {
			for {
				mutex.Lock()
				n := next
				next++
				mutex.Unlock()
				if n >= p.count {
					return
				}
				id := fmt.Sprintf("once-%d", n)
				got := p.send(p.nodes[n%len(p.nodes)], id)
				mutex.Lock()
				answers[id] = got
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return answers
}

func (p *oncePlay) send(node *shell.Node, id string) reply {
	deadline := 3 * time.Second
	if p.deadline != nil {
		deadline = p.deadline()
	}
	patience := deadline + 5*time.Second
	if p.leaves > 0 {
		patience = rand.N(p.leaves)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Address()+"/once/x", strings.NewReader(p.body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = testHost
	withModel("big")(request.Header)
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	return replyOf(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, request)
}

// check fails the test for each stream that ran twice, or ran although it was refused, and returns how many of
// them were served and refused.
func (p *oncePlay) check(counter *runCounter, answers map[string]reply) (served, refused int) {
	p.d.t.Helper()
	// A send that is under way may still begin.
	time.Sleep(500 * time.Millisecond)
	twice, ran := 0, 0
	statuses := map[int]int{}
	for id, got := range answers {
		statuses[got.status]++
		runs := counter.of(id)
		promised := slices.Contains(promisedStatuses, got.status)
		switch {
		case runs > 1:
			twice++
		case runs > 0 && promised:
			ran++
		}
		if got.status == http.StatusOK && got.err == nil {
			served++
		}
		if promised {
			refused++
		}
	}
	p.d.t.Logf("%d streams, statuses %v (0: none)", len(answers), statuses)
	if twice+ran > 0 {
		p.d.t.Errorf("of %d streams %d ran more than once and %d ran although refused", len(answers), twice, ran)
	}
	return served, refused
}

// TestStreamRejectedTwiceRunsOnce guards against a stream that may run once and runs twice, or runs although it was
// refused: an engine rejects it, a node of which another one places the attempts sends it there again, and the rejection comes
// a second time.
func TestStreamRejectedTwiceRunsOnce(t *testing.T) {
	for _, how := range rejections {
		for _, inPlace := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, copy in place of next answer=%t", how.name, inPlace), func(t *testing.T) {
				t.Parallel()
				d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
				play := &oncePlay{d: d, callers: 6, count: 60, body: "b"}
				if how.early {
					play.body = strings.Repeat("b", 100<<10)
				}
				rejects := func(string) *rejection { return &how }
				if how.status == http.StatusMisdirectedRequest {
					// A node sends nothing for a model to an engine that lacks it until a report lists the model again.
					rejects = func(id string) *rejection {
						if strings.HasSuffix(id, "0") {
							return &how
						}
						return nil
					}
					play.count, play.deadline = 30, func() time.Duration { return 600 * time.Millisecond }
				}
				for i := range 4 {
					d.addRejectingEngine(fmt.Sprintf("e%d", i), &rejectingEngine{counter: counter, inPlace: inPlace, how: rejects})
				}
				play.nodes = d.startDispatchingNodes(3)
				if served, _ := play.check(counter, play.run()); served == 0 {
					t.Error("no stream was served")
				}
			})
		}
	}
}

// TestRefusedStreamRejectedTwiceDoesNotRun guards against a stream that runs although it was refused: its second send runs, the
// copy of the first rejection is taken for its answer, and the retry budget or the time left allows no third one.
func TestRefusedStreamRejectedTwiceDoesNotRun(t *testing.T) {
	for _, test := range []struct {
		name     string
		budget   float64
		deadline time.Duration
		refuses  bool
	}{
		{"small retry budget", 60, 3 * time.Second, true},
		{"deadline soon", 3000, 150 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
			for i := range 2 {
				d.addRejectingEngine(fmt.Sprintf("e%d", i), &rejectingEngine{
					counter: counter, inPlace: true, how: func(string) *rejection { return &rejections[0] },
				})
			}
			play := &oncePlay{d: d, callers: 6, count: 240, body: "b"}
			play.deadline = func() time.Duration { return test.deadline }
			play.nodes = d.startDispatchingNodes(3, func(o *shell.Options) { o.Core.Routing.RetryExtra = test.budget })
			if served, refused := play.check(counter, play.run()); served == 0 || refused == 0 && test.refuses {
				t.Errorf("%d streams were served and %d refused: the play lacks what it is about", served, refused)
			}
		})
	}
}

// freezeSteps keeps one node after the other from taking steps for 10 to 260 ms, the next one after every, until the returned
// function is called.
func freezeSteps(nodes []*shell.Node, every time.Duration) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			node := nodes[n%len(nodes)]
			group.Go(func() {
				release := node.BlockSteps()
				time.Sleep(10*time.Millisecond + rand.N(250*time.Millisecond))
				release()
			})
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

// TestStreamRunsOnceBesideFaults guards against a stream that may run once and runs twice, or runs although it was refused,
// while engines reject first sends twice and something else goes wrong: nodes stand still, deadlines pass
// around the send, callers leave, engines read late what was written, or the node that places attempts is killed or
// stopped.
func TestStreamRunsOnceBesideFaults(t *testing.T) {
	const often, seldom = 30 * time.Millisecond, 200 * time.Millisecond
	for _, test := range []struct {
		name             string
		freeze           time.Duration
		deadline, leaves time.Duration
		firstEvent, read time.Duration
		ends             func(*shell.Node)
	}{
		{name: "nodes frozen mostly", freeze: often, deadline: time.Second},
		{name: "nodes frozen now and then", freeze: seldom, deadline: 2 * time.Second},
		{name: "frozen nodes, short deadlines", freeze: seldom, deadline: 600 * time.Millisecond, firstEvent: 300 * time.Millisecond},
		{name: "callers leave", leaves: 300 * time.Millisecond, firstEvent: 200 * time.Millisecond},
		{name: "short deadlines, engines read late", deadline: 250 * time.Millisecond, firstEvent: 100 * time.Millisecond, read: 200 * time.Millisecond},
		{name: "frozen nodes, callers leave, engines read late", freeze: seldom, leaves: time.Second, deadline: 700 * time.Millisecond, firstEvent: 100 * time.Millisecond, read: 200 * time.Millisecond},
		{name: "dispatcher is killed", ends: (*shell.Node).Kill},
		{name: "dispatcher is killed, frozen nodes", ends: (*shell.Node).Kill, freeze: seldom, deadline: time.Second},
		{name: "dispatcher stops", ends: (*shell.Node).Stop, firstEvent: 200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
			for i := range 2 {
				d.addRejectingEngine(fmt.Sprintf("e%d", i), &rejectingEngine{
					counter: counter, inPlace: i == 0, firstEvent: test.firstEvent, readDelay: test.read,
					how: func(id string) *rejection { return &rejections[len(id)%4] },
				})
			}
			nodes := d.startDispatchingNodes(3)
			play := &oncePlay{d: d, nodes: nodes, callers: 12, count: 180, body: "b", leaves: test.leaves}
			if test.deadline > 0 {
				play.deadline = func() time.Duration { return 20*time.Millisecond + rand.N(test.deadline) }
			}
			stop := func() {}
			if test.freeze > 0 {
				stop = freezeSteps(nodes, test.freeze)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if test.ends != nil {
					time.Sleep(300 * time.Millisecond)
					test.ends(nodes[2])
				}
			}()
			answers := play.run()
			stop()
			<-ended
			play.check(counter, answers)
		})
	}
}
