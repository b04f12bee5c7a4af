package shell_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

// endlessMachine serves streams that end only when the node stops reading, except for requests
// whose id starts with "quick", which have two events.
type endlessMachine struct {
	address      string
	written      atomic.Int64
	streamsBegun atomic.Int64
	streamsEnded atomic.Int64
}

func startEndless(t *testing.T) *endlessMachine {
	t.Helper()
	e := &endlessMachine{}
	event := strings.Repeat("x", 1<<10)
	e.address = startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		// A small buffer here keeps the kernel memory that the test reports close to that of the
		// node.
		_ = connection.(*net.TCPConn).SetWriteBuffer(4 << 10)
		for {
			request, err := readHead(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(platform.HeaderRequestID)
			streamTo(connection, id)
			if strings.HasPrefix(id, "quick") {
				_, _ = io.WriteString(connection, chunk(1, "a")+chunk(2, "b")+lastChunk)
				continue
			}
			e.streamsBegun.Add(1)
			for n := 1; err == nil; n++ {
				var count int
				count, err = io.WriteString(connection, chunk(n, event))
				e.written.Add(int64(count))
			}
			e.streamsEnded.Add(1)
			return
		}
	})
	return e
}

// registerEngine registers an engine that the test serves itself and that holds a model.
func (d *deployment) registerEngine(id, address string) {
	d.t.Helper()
	entry := platform.WorkerDocument{
		Service: engineService, Address: address, Zone: "z", Slots: 512, State: "ready",
		Models: []platform.HeldModelDocument{{Name: "big", Version: 1, Adapters: []string{}}},
	}
	if err := d.store.Put(platform.PrefixWorkers+id, entry); err != nil {
		d.t.Fatal(err)
	}
}

// requestWithoutReading requests an endless stream and reads nothing of it.
func (d *deployment) requestWithoutReading(node *shell.Node, id string) net.Conn {
	d.t.Helper()
	connection, err := net.Dial("tcp", node.Address())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = connection.Close() })
	_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, err = fmt.Fprintf(connection, "POST /once/ HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 60000\r\n%s: big\r\n%s: 10,20\r\nContent-Length: 1\r\n\r\np",
		testHost, platform.HeaderRequestID, id, platform.HeaderDeadline, platform.HeaderModel, platform.HeaderTokens)
	if err != nil {
		d.t.Fatal(err)
	}
	return connection
}

// retryUntilAdmitted repeats the request of a caller that reads nothing until the node admits it:
// a node on a busy machine rejects callers that come all at once with 503.
func (d *deployment) retryUntilAdmitted(node *shell.Node, id string, connection net.Conn) {
	d.t.Helper()
	status := make([]byte, len("HTTP/1.1 503"))
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		_ = connection.SetReadDeadline(limit)
		if _, err := io.ReadFull(connection, status); err != nil || !strings.HasSuffix(string(status), "503") {
			return
		}
		connection = d.requestWithoutReading(node, id)
	}
}

// reportMemory logs the memory of this process, including the test's callers and machines, and
// the kernel's memory for TCP.
func reportMemory(t *testing.T, when string) {
	t.Helper()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	resident, kernel := "?", "?"
	if data, err := os.ReadFile("/proc/self/status"); err == nil {
		for line := range strings.Lines(string(data)) {
			if value, found := strings.CutPrefix(line, "VmRSS:"); found {
				resident = strings.TrimSpace(value)
			}
		}
	}
	if data, err := os.ReadFile("/proc/net/sockstat"); err == nil {
		for line := range strings.Lines(string(data)) {
			if _, value, found := strings.Cut(line, " mem "); found && strings.HasPrefix(line, "TCP:") {
				kernel = strings.TrimSpace(value) + " pages"
			}
		}
	}
	t.Logf("%s: heap %d KB, resident %s, TCP %s", when, memory.HeapInuse>>10, resident, kernel)
}

// TestStalledCallersAreDisconnected guards against callers that read nothing and hold memory and
// machines. With 200 of them each stream must end and free its machine, the retained bytes must
// stay below the limit and be released, and another caller's stream must pass meanwhile.
func TestStalledCallersAreDisconnected(t *testing.T) {
	const (
		callers     = 200
		socketBytes = 16 << 10
		// kernelBytes is the kernel memory of all callers together, as the node counts it.
		kernelBytes = callers * 4 * socketBytes
	)
	for _, test := range []struct {
		name     string
		retained int64
		full     bool
	}{{"within the limit of the node", 2 * kernelBytes, false}, {"beyond the limit of the node", kernelBytes / 4, true}} {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t)
			machine := startEndless(t)
			d.registerEngine("e1", machine.address)
			// The timeout is longer than the callers take to connect, so that all are connected
			// at once.
			bounds := shell.CallerLimits{StallTimeout: 3 * time.Second, SocketBytes: socketBytes, RetainedBytes: test.retained}
			node := d.startNode("n1", func(o *shell.Options) { o.CallerLimits = bounds })
			reportMemory(t, "before")
			name := func(i int) string { return fmt.Sprintf("slow-%d", i) }
			connections := make([]net.Conn, callers)
			for i := range callers {
				connections[i] = d.requestWithoutReading(node, name(i))
			}
			for i := range callers {
				d.retryUntilAdmitted(node, name(i), connections[i])
			}
			d.eventually("all streams begin", func() bool { return machine.streamsBegun.Load() == callers })
			got := d.callWithRetryAfter(node, http.MethodPost, "/once/", "p", func(h http.Header) {
				withModel("big")(h)
				h.Set(platform.HeaderRequestID, "quick")
			})
			if got.status != http.StatusOK || !strings.Contains(got.body, "data: b") {
				t.Errorf("beside slow callers: answer %+v", got)
			}
			reportMemory(t, "with all callers")
			d.eventually("all streams of the machine have ended", func() bool { return machine.streamsEnded.Load() == callers })
			d.eventually("no request is in flight", func() bool { return metric(node, "valveslip_requests_in_flight") == 0 })
			reportMemory(t, "after")
			t.Logf("the machine wrote %d KB", machine.written.Load()>>10)
			stalled := metric(node, `valveslip_callers_stalled_total{cause="stalled"}`)
			full := metric(node, `valveslip_callers_stalled_total{cause="full"}`)
			if stalled+full != callers || full > 0 != test.full || test.full && stalled == 0 {
				t.Errorf("%v ended because nothing was read, %v because of the limit of the node", stalled, full)
			}
			peak := metric(node, "valveslip_retained_peak_bytes")
			if peak == 0 || peak > float64(test.retained) {
				t.Errorf("at most %v bytes were retained, the limit is %d", peak, test.retained)
			}
			if used := metric(node, "valveslip_retained_bytes"); used != 0 {
				t.Errorf("%v bytes are still retained", used)
			}
			if ended := metric(node, `valveslip_route_requests_total{code="caller_stalled"}`); ended != callers {
				t.Errorf("%v requests have the verdict, want %d", ended, callers)
			}
		})
	}
}

// TestStalledCallerIsLogged guards against a stalled caller that is not logged: the log must give
// the caller, the duration and the unread bytes, and the request's end must give the cause.
func TestStalledCallerIsLogged(t *testing.T) {
	d := newDeployment(t)
	machine := startEndless(t)
	d.registerEngine("e1", machine.address)
	output := &logText{}
	node := d.startNode("n1", func(o *shell.Options) {
		o.CallerLimits = shell.CallerLimits{StallTimeout: 300 * time.Millisecond}
		o.Log = eventlog.New(output, eventlog.Options{})
	})
	d.requestWithoutReading(node, "slow")
	d.eventually("both lines are written", func() bool {
		return strings.Contains(output.String(), "msg=caller_stalled") && strings.Contains(output.String(), "code=caller_stalled")
	})
	for line := range strings.Lines(output.String()) {
		switch {
		case strings.Contains(line, "msg=caller_stalled"):
			if strings.Contains(line, "waiting_bytes=0 ") || strings.Contains(line, "for_ms=0 ") || !strings.Contains(line, "full=false") {
				t.Errorf("line %s", line)
			}
		case strings.Contains(line, "msg=request_ended"):
			if !strings.Contains(line, "verdict=ran") || !strings.Contains(line, "took nothing of the answer") {
				t.Errorf("line %s", line)
			}
		}
	}
}

// TestBodyBeyondRetainedLimitIsRejected guards against buffering more bodies than the node has
// room for: such a body must be rejected as not run with Retry-After, and served once there is
// room.
func TestBodyBeyondRetainedLimitIsRejected(t *testing.T) {
	d := newDeployment(t)
	plain := d.addWorker("p1", plainService, nil)
	node := d.startNode("n1", func(o *shell.Options) { o.CallerLimits.RetainedBytes = 96 << 10 })
	const length = 64 << 10
	stays := d.dial(node, "/write/", "stays", length)
	if _, err := stays.Write(make([]byte, length-1)); err != nil {
		t.Fatal(err)
	}
	d.eventually("most of a body is retained", func() bool { return metric(node, "valveslip_retained_bytes") > length-8 })
	for _, body := range []io.Reader{strings.NewReader(strings.Repeat("b", length)), io.MultiReader(strings.NewReader(strings.Repeat("b", length)))} {
		got := d.send(node, "/write/", body)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Fatalf("answer %+v, want 503 with Retry-After", got)
		}
	}
	if len(plain.Runs()) != 0 {
		t.Fatal("a rejected request was run")
	}
	_ = stays.Close()
	d.eventually("there is room for the body again", func() bool {
		return d.send(node, "/write/", strings.NewReader(strings.Repeat("b", length))).status == http.StatusOK
	})
	d.eventually("all retained bytes are released", func() bool { return metric(node, "valveslip_retained_bytes") == 0 })
}

// send posts a body, in chunks if its length isn't known.
func (d *deployment) send(node *shell.Node, path string, body io.Reader) reply {
	d.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+node.Address()+path, body)
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = testHost
	request.Header.Set(platform.HeaderRequestID, fmt.Sprintf("sent-%d", d.lastRequestNumber.Add(1)))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	return replyOf(client, request)
}

// TestUnreadBodiesCountAsRetained guards against bodies that machines don't read and that are not
// counted: they must count as retained until their requests end, and must not delay requests to
// other machines.
func TestUnreadBodiesCountAsRetained(t *testing.T) {
	const callers, length = 8, 900 << 10
	d := newDeployment(t)
	taken, stopped := make(chan struct{}, callers), make(chan struct{})
	defer close(stopped)
	address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		taken <- struct{}{}
		<-stopped
	})
	d.registerAddress("p1", plainService, address)
	machine := startEndless(t)
	d.registerEngine("e1", machine.address)
	node := d.startNode("n1")
	var slow sync.WaitGroup
	for range callers {
		slow.Go(func() {
			got := d.call(node, http.MethodPost, "/write/", strings.Repeat("b", length), func(h http.Header) {
				h.Set(platform.HeaderDeadline, "3000")
			})
			if got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
				t.Errorf("answer %+v, want 502 or 504", got)
			}
		})
	}
	for range callers {
		<-taken
	}
	if used := metric(node, "valveslip_retained_bytes"); used < callers*length*9/10 {
		t.Errorf("%v bytes are retained of %d", used, callers*length)
	}
	got := d.call(node, http.MethodPost, "/once/", "p", func(h http.Header) {
		withModel("big")(h)
		h.Set(platform.HeaderRequestID, "quick")
	})
	if got.status != http.StatusOK || !strings.Contains(got.body, "data: b") {
		t.Errorf("beside slow machines: answer %+v", got)
	}
	slow.Wait()
	d.eventually("all retained bytes are released", func() bool { return metric(node, "valveslip_retained_bytes") == 0 })
}
