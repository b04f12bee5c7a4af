package shell_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// trickles are the parts of an answer in which a worker may write a byte at a time, as it may write without end.
var trickles = []struct{ name, begin, repeated string }{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"field", "HTTP/1.1 200 OK\r\nLong: ", "x"},
	{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"size of a chunk", "HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"trailer", "HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "Field: value\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\n%s\r\n\r\n", "x"},
	{"body with a length", "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 100000\r\n\r\n", "x"},
}

// startTrickling starts a worker that answers each request with begin and then a byte of repeated every 50 ms.
func startTrickling(t testing.TB, begin, repeated string, counter *runCounter) string {
	return startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		request, err := readHead(reader)
		if err != nil {
			return
		}
		counter.add(request.Header.Get(platform.HeaderRequestID))
		begin := begin
		if strings.Contains(begin, "%s") {
			begin = fmt.Sprintf(begin, fmt.Sprintf("%s: %s\r\n%s: s", platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderStamp))
		}
		_, err = connection.Write([]byte(begin))
		for n := 0; err == nil; n++ {
			_, err = connection.Write([]byte{repeated[n%len(repeated)]})
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestTricklingWorkerLeavesOthersServed guards against requests that may be repeated and wait to their deadlines for a
// worker that writes a byte at a time, though another one would serve them.
func TestTricklingWorkerLeavesOthersServed(t *testing.T) {
	for _, trickle := range trickles {
		t.Run(trickle.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.registerAddress("p1", plainService, startTrickling(t, trickle.begin, trickle.repeated, &runCounter{}))
			d.addWorker("p2", plainService, nil)
			node := d.startNode("n1")
			var calls sync.WaitGroup
			for range 20 {
				calls.Go(func() {
					if got := d.callUnlessLate(node, http.MethodPost, "/read/", "b", nil); got.status != http.StatusOK || got.err != nil {
						t.Errorf("caller got %d %q, %v", got.status, got.body, got.err)
					}
				})
				time.Sleep(20 * time.Millisecond)
			}
			calls.Wait()
		})
	}
}

// TestTricklingStreamGoesOnElsewhere guards against a stream that could go on at another worker and waits to its deadline
// for one that writes an event a byte at a time.
func TestTricklingStreamGoesOnElsewhere(t *testing.T) {
	for name, begin := range map[string]string{
		"first event": "HTTP/1.1 200 OK\r\n%s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
		"third event": "HTTP/1.1 200 OK\r\n%s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: ",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			counter := &runCounter{}
			entry := platform.WorkerDocument{
				Service: engineService, Address: startTrickling(t, begin, "x", counter), Zone: "z", Version: "v1", Slots: 8, State: "ready",
				Models: []platform.HeldModelDocument{{Name: "big", Version: 1, Adapters: []string{}}},
			}
			if err := d.store.Put(platform.PrefixWorkers+"e1", entry); err != nil {
				t.Fatal(err)
			}
			d.addWorker("e2", engineService, nil)
			node := d.startNode("n1")
			var calls sync.WaitGroup
			for range 20 {
				calls.Go(func() {
					got := d.callUnlessLate(node, http.MethodPost, "/stream/", "b", withModel("big"))
					if got.status != http.StatusOK || got.err != nil || !slices.Equal(eventNumbers(t, got.body), oneTo(6)) {
						t.Errorf("caller got %d %q, %v", got.status, got.body, got.err)
					}
				})
				time.Sleep(20 * time.Millisecond)
			}
			calls.Wait()
			if len(counter.runs) == 0 {
				t.Error("no stream began at the worker that trickles")
			}
		})
	}
}
