package shell_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/valveslip/valveslip/catalog"
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
