package shell_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// startScriptedWorker serves raw connections of a worker by a script.
func startScriptedWorker(t testing.TB, script func(number int, connection net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				script(number, connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}

// answerTo writes a complete answer to a request.
func answerTo(out io.Writer, id, body string) {
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderRequestID, id, platform.HeaderStamp, len(body), body)
}

// TestLateAnswerIsDropped guards against passing a late answer to an earlier request on a
// keep-alive connection as the answer to the next request.
func TestLateAnswerIsDropped(t *testing.T) {
	d := newDeployment(t)
	var requests atomic.Int64
	address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		earlier := ""
		for {
			request, err := readHead(reader)
			if err != nil {
				return
			}
			requests.Add(1)
			id := request.Header.Get(platform.HeaderRequestID)
			if earlier != "" {
				answerTo(connection, earlier, "answer to "+earlier)
			}
			answerTo(connection, id, "answer to "+id)
			earlier = id
		}
	})
	d.registerAddress("p1", plainService, address)
	node := d.startNode("n1")
	for n := 1; n <= 4; n++ {
		got := d.call(node, http.MethodPost, "/write/", "b", nil)
		if want := fmt.Sprintf("answer to request-%d", n); got.status != http.StatusOK || got.body != want {
			t.Fatalf("answer %+v, want %q", got, want)
		}
	}
	if requests.Load() != 4 {
		t.Fatalf("%d requests reached the worker, want 4", requests.Load())
	}
}

// TestRequestOnClosedConnectionIsNotResent guards against sending a request twice: if the worker
// closes a keep-alive connection before the first byte of the answer, the request may have run,
// and neither the node nor net/http may send it again.
func TestRequestOnClosedConnectionIsNotResent(t *testing.T) {
	d := newDeployment(t)
	var requests atomic.Int64
	address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		for n := 1; n <= 2; n++ {
			request, err := readHead(reader)
			if err != nil {
				return
			}
			requests.Add(1)
			if n == 1 {
				answerTo(connection, request.Header.Get(platform.HeaderRequestID), "ok")
			}
		}
	})
	d.registerAddress("p1", plainService, address)
	node := d.startNode("n1")
	if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusBadGateway {
		t.Fatalf("answer %+v after the connection died, want 502", got)
	}
	if requests.Load() != 2 {
		t.Fatalf("%d requests reached the worker, want 2", requests.Load())
	}
}

// TestResetUnframedAnswerIsReportedAsBroken guards against an answer without length that looks
// complete although its connection was reset.
func TestResetUnframedAnswerIsReportedAsBroken(t *testing.T) {
	d := newDeployment(t)
	address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		request, err := readHead(reader)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nConnection: close\r\n\r\nhalf",
			platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderStamp)
		time.Sleep(20 * time.Millisecond)
		_ = connection.(*net.TCPConn).SetLinger(0)
	})
	d.registerAddress("p1", plainService, address)
	node := d.startNode("n1")
	if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status == http.StatusOK {
		t.Fatalf("a reset answer looks complete: %+v", got)
	}
}

// TestUnframedAnswerEndsItsConnection guards against rejecting an answer without length that
// ended properly, and against using its connection again.
func TestUnframedAnswerEndsItsConnection(t *testing.T) {
	d := newDeployment(t)
	address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		if request, err := readHead(reader); err == nil {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nwhole",
				platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderStamp)
		}
	})
	d.registerAddress("p1", plainService, address)
	node := d.startNode("n1")
	for range 2 {
		if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusOK || got.body != "whole" {
			t.Fatalf("answer %+v", got)
		}
	}
}

// TestEarlyAnswerKeepsConnectionInSync guards against a worker that answers before it has read
// the body: the connection must carry the rest of that body and nothing else.
func TestEarlyAnswerKeepsConnectionInSync(t *testing.T) {
	d := newDeployment(t)
	const length = 900 << 10
	received := make(chan int, 4)
	address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		// If the whole body was sent before the answer was read, the connection may be used for
		// another request.
		for whole := true; whole; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answerTo(connection, request.Header.Get(platform.HeaderRequestID), "early")
			time.Sleep(50 * time.Millisecond)
			rest, _ := io.ReadAll(io.LimitReader(reader, length))
			if strings.Trim(string(rest), "x") != "" {
				received <- -1
				return
			}
			received <- len(rest)
			whole = len(rest) == length
		}
	})
	d.registerAddress("p1", plainService, address)
	node := d.startNode("n1")
	for range 2 {
		got := d.call(node, http.MethodPost, "/write/", strings.Repeat("x", length), nil)
		if got.status != http.StatusOK || got.body != "early" {
			t.Fatalf("answer %+v", got)
		}
		if n := <-received; n < 0 || n > length {
			t.Fatalf("the connection carried %d bytes instead of a body of %d", n, length)
		}
	}
}

// TestWorkerAtReusedAddressRunsNothing guards against running a request on another worker that
// now has the address of a removed one: it must be rejected there and go to a worker that can run
// it.
func TestWorkerAtReusedAddressRunsNothing(t *testing.T) {
	d := newDeployment(t)
	other := d.addWorker("p9", engineService, nil)
	d.registerAddress("p1", plainService, d.workers["p9"].Address())
	d.addWorker("p2", plainService, nil)
	node := d.startNode("n1")
	for range 5 {
		if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusOK || !strings.HasSuffix(got.body, "from p2") {
			t.Fatalf("answer %+v, want one of p2", got)
		}
	}
	if len(other.Runs()) != 0 {
		t.Fatal("a worker of another service ran a request")
	}
}

// fullAdmission is how long after the beginning of a planned stop all requests are admitted.
const fullAdmission = 2850 * time.Millisecond

// TestPlannedStopAnswersEveryRequest guards against requests that are cut off by a planned stop:
// those on a keep-alive connection must get complete answers, and the answers must ask the caller
// to close the connection.
func TestPlannedStopAnswersEveryRequest(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1")
	began, stopped := time.Now(), make(chan struct{})
	go func() {
		defer close(stopped)
		node.Stop()
	}()
	d.eventually("the node is not ready any more", func() bool { return status(node.ReadyURL()) != http.StatusOK })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	askedToClose := false
	for n := 0; !askedToClose; n++ {
		request, err := http.NewRequest(http.MethodPost, "http://"+node.Address()+"/write/", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = testHost
		request.Header.Set(platform.HeaderRequestID, fmt.Sprintf("during-%d", n))
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("request %d during a planned stop got no answer: %v", n, err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || len(body) == 0 {
			t.Fatalf("request %d got %d, %q, %v", n, response.StatusCode, body, err)
		}
		askedToClose = response.Close
		// A delayed caller comes too late for a request with such a late deadline.
		refused := response.StatusCode == http.StatusServiceUnavailable && askedToClose && time.Since(began) >= fullAdmission
		if response.StatusCode != http.StatusOK && !refused {
			t.Fatalf("request %d got %d, %q", n, response.StatusCode, body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	<-stopped
}

// TestStoppingNodeAdmitsByDeadline guards against admitting requests late in a planned stop that
// may outlast it: they must be rejected as not run, while those with an earlier deadline must be
// served.
func TestStoppingNodeAdmitsByDeadline(t *testing.T) {
	d := newDeployment(t)
	plain := d.addWorker("p1", plainService, nil)
	release := make(chan struct{})
	plain.Behave = func(r *http.Request) worker.Behaviour {
		if r.Header.Get(platform.HeaderRequestID) == "lasting" {
			<-release
		}
		return worker.Serve
	}
	node := d.startNode("n1")
	// While this request runs, the node stays until its grace time is nearly over.
	lasting := d.dial(node, "/write/", "lasting", 1)
	if _, err := lasting.Write([]byte("b")); err != nil {
		t.Fatal(err)
	}
	d.eventually("a request is in flight", func() bool { return inFlight(t, node) == 1 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		node.Stop()
	}()
	d.eventually("a long request is rejected with Retry-After", func() bool {
		got := d.call(node, http.MethodPost, "/write/", "b", func(h http.Header) { h.Set(platform.HeaderDeadline, "7900") })
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && !got.isLate()
	})
	short := func(h http.Header) { h.Set(platform.HeaderDeadline, "2000") }
	if got := d.callUnlessLate(node, http.MethodPost, "/write/", "b", short); got.status != http.StatusOK {
		t.Fatalf("answer %+v to a request that ends in time", got)
	}
	close(release)
	<-stopped
}

// TestUnframedStreamIsWholeOrContinued guards against a stream with neither length nor chunks that is taken for cut
// at its end, or for whole although its connection ended in order inside an event.
func TestUnframedStreamIsWholeOrContinued(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	for i := range 3 {
		w := d.addWorker(fmt.Sprintf("unframed-%d", i), engineService, func(config *worker.Config) { config.Unframed = true })
		w.Behave = func(r *http.Request) worker.Behaviour {
			if r.Header.Get(platform.HeaderLastEvent) == "" && strings.HasSuffix(r.Header.Get(platform.HeaderRequestID), "0") {
				return worker.EndInsideEvent
			}
			return worker.Serve
		}
	}
	node := d.startNode("n1")
	for i := range 30 {
		got := d.call(node, http.MethodPost, "/stream/x", "", withModel("big"))
		if got.err != nil || got.status != http.StatusOK || !slices.Equal(eventNumbers(t, got.body), oneTo(6)) {
			t.Errorf("stream %d is answered %+v", i, got)
		}
	}
	if answer := d.call(node, http.MethodPost, "/once/x", "", withModel("big")); answer.status != http.StatusOK {
		t.Errorf("answer %+v", answer)
	}
}
