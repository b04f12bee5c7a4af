package shell_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

const (
	faultyWorkers = 20
	// maxFaultyHeap bounds how much the heap of this process grows beside faulty workers: twice the bytes that a node may
	// retain of requests and answers, as the collector lets the heap double, and as much for connections and for the
	// test itself.
	maxFaultyHeap = 128 << 20
)

// addFaultyWorkers registers workers of a service that answer every call, reports and health checks included, without
// end: each second one as fast as the node reads, the others a byte at a time.
func (d *deployment) addFaultyWorkers(service string, counter *runCounter) {
	var longest atomic.Int64
	for n := range faultyWorkers {
		var address string
		if n%2 == 0 {
			endless := endlessAnswers[n/2%len(endlessAnswers)]
			address = startEndlessWorker(d.t.(*testing.T), endless.begin, endless.repeated, &longest, counter)
		} else {
			trickle := trickles[n/2%len(trickles)]
			address = startTrickling(d.t, trickle.begin, trickle.repeated, counter)
		}
		if service == engineService {
			d.registerEngine(fmt.Sprintf("faulty-%d", n), address)
		} else {
			d.registerAddress(fmt.Sprintf("faulty-%d", n), service, address)
		}
	}
}

// readInPieces sends a request on a connection of its own and reads the answer slowly, until the node closes or for 3 s.
func (d *deployment) readInPieces(node *shell.Node, path, id string) (status int) {
	connection, err := net.Dial("tcp", node.Address())
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = connection.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n%s: big\r\n%s: 10,20\r\nContent-Length: 1\r\n\r\nb",
		path, testHost, platform.HeaderRequestID, id, platform.HeaderDeadline, platform.HeaderModel, platform.HeaderTokens)
	got := readSlowly(bufio.NewReader(connection))
	return got.status
}

// TestFaultyWorkersLeaveMemoryAndOthersServed guards against many workers that write without end, fast and slowly, in
// answers, reports and health checks, beside callers who read slowly: a node then runs out of memory or fails the
// requests of other services.
func TestFaultyWorkersLeaveMemoryAndOthersServed(t *testing.T) {
	for _, test := range []struct {
		faulty, sound string
		faultyPaths   []string
		soundPath     string
	}{
		{plainService, engineService, []string{"/read/", "/write/"}, "/stream/"},
		{engineService, plainService, []string{"/stream/", "/once/"}, "/write/"},
	} {
		t.Run(test.faulty, func(t *testing.T) {
			d := newDeployment(t)
			counter := &runCounter{}
			d.addFaultyWorkers(test.faulty, counter)
			d.addWorker("sound", test.sound, nil)
			node := d.startNode("n1")
			var before runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var calls sync.WaitGroup
			for n := range 60 {
				calls.Go(func() {
					id := fmt.Sprintf("faulty-%d", n)
					status := d.readInPieces(node, test.faultyPaths[n%2], id)
					if n%2 == 1 {
						checkOnce(t, counter, id, reply{status: status})
					}
				})
			}
			var highest uint64
			for n := range 60 {
				time.Sleep(30 * time.Millisecond)
				got := d.callUnlessLate(node, http.MethodPost, test.soundPath, "b", withModel("big"))
				if got.status != http.StatusOK || got.err != nil {
					t.Errorf("request %d of another service got %d %q, %v", n, got.status, got.body, got.err)
				}
				var memory runtime.MemStats
				runtime.ReadMemStats(&memory)
				highest = max(highest, memory.HeapAlloc)
			}
			calls.Wait()
			grown := int64(highest) - int64(before.HeapAlloc)
			t.Logf("the heap grew by %d KB at most", grown>>10)
			if grown > maxFaultyHeap {
				t.Errorf("the heap grew by %d bytes, want %d at most", grown, maxFaultyHeap)
			}
		})
	}
}
