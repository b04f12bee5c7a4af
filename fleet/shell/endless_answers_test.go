package shell_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valveslip/valveslip/platform"
)

// endlessAnswers are the ways in which a worker may write without end. Each has a begin, which may name the request,
// and a part that is repeated until the node closes the connection.
var endlessAnswers = []struct{ name, begin, repeated string }{
	{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 4096)},
	{"field", "HTTP/1.1 200 OK\r\nLong: ", strings.Repeat("x", 4096)},
	{"fields", "HTTP/1.1 200 OK\r\n", strings.Repeat("Field: value\r\n", 256)},
	{"folded field", "HTTP/1.1 200 OK\r\nLong: x\r\n", strings.Repeat(" more of it\r\n", 256)},
	{"interim answers", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 128)},
	{"answers to others", "", "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": other\r\nContent-Length: 4\r\n\r\nbody"},
	{"answer to another", "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	{"body in chunks", "HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\n%s\r\n\r\n", strings.Repeat("x", 4096)},
	{"size of a chunk", "HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
	{"extension of a chunk", "HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 4096)},
	{"trailer", "HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", strings.Repeat("Field: value\r\n", 256)},
	{"body of a failure", "HTTP/1.1 500 Failed\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
}

// maxEndlessBytes bounds what a worker can write before the node closes the connection: the longest answer without a
// stated length, 64 MiB, and the buffers of both kernels.
const maxEndlessBytes = 96 << 20

// startEndlessWorker starts a worker that answers each request without end and returns its address. longest is the
// largest number of bytes that it could write on one connection.
func startEndlessWorker(t *testing.T, begin, repeated string, longest *atomic.Int64, counter *runCounter) string {
	return startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
		request, err := readHead(reader)
		if err != nil {
			return
		}
		counter.add(request.Header.Get(platform.HeaderRequestID))
		begin := begin
		if strings.Contains(begin, "%s") {
			stamp := fmt.Sprintf("%s: %s\r\n%s: s", platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderStamp)
			begin = fmt.Sprintf(begin, stamp)
		}
		_, err = connection.Write([]byte(begin))
		for written := int64(len(begin)); err == nil; {
			var n int
			n, err = connection.Write([]byte(repeated))
			written += int64(n)
			for known := longest.Load(); written > known && !longest.CompareAndSwap(known, written); known = longest.Load() {
			}
		}
	})
}

// TestEndlessAnswerIsCutAndPromisesNothing guards against a worker that writes without end and thereby takes the memory
// of a node, holds callers to their deadlines, or makes the node promise that nothing ran.
func TestEndlessAnswerIsCutAndPromisesNothing(t *testing.T) {
	for _, endless := range endlessAnswers {
		t.Run(endless.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withoutLatencyObjective)
			var longest atomic.Int64
			counter := &runCounter{}
			d.registerAddress("p1", plainService, startEndlessWorker(t, endless.begin, endless.repeated, &longest, counter))
			node := d.startNode("n1")
			for n := 1; n <= 3; n++ {
				got := d.call(node, http.MethodPost, "/write/", "b", nil)
				checkOnce(t, counter, fmt.Sprintf("request-%d", n), got)
				if got.status == http.StatusOK && got.err == nil || got.status == http.StatusGatewayTimeout {
					t.Errorf("caller got %d, %v: a whole answer, or none before its deadline", got.status, got.err)
				}
			}
			if longest.Load() > maxEndlessBytes {
				t.Errorf("the worker could write %d bytes, want %d at most", longest.Load(), maxEndlessBytes)
			}
		})
	}
}

// TestEndlessWorkerLeavesOthersServed guards against requests that fail because one of two workers writes without end:
// those that may be repeated must be served by the other one.
func TestEndlessWorkerLeavesOthersServed(t *testing.T) {
	for _, endless := range endlessAnswers[:7] {
		t.Run(endless.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withoutLatencyObjective)
			var longest atomic.Int64
			d.registerAddress("p1", plainService, startEndlessWorker(t, endless.begin, endless.repeated, &longest, &runCounter{}))
			d.addWorker("p2", plainService, nil)
			node := d.startNode("n1")
			for n := range 20 {
				if got := d.call(node, http.MethodPost, "/read/", "b", nil); got.status != http.StatusOK || got.err != nil {
					t.Errorf("request %d got %d %q, %v", n, got.status, got.body, got.err)
				}
			}
		})
	}
}

// TestEndlessRejectionIsRefusedAtOnce guards against a caller that waits for the end of a rejection's body, which it
// never gets, and against a connection that is used again in the middle of such a body.
func TestEndlessRejectionIsRefusedAtOnce(t *testing.T) {
	head := "HTTP/1.1 503 Service Unavailable\r\n%s\r\n" + platform.HeaderNotExecuted + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, repeated := range map[string]string{"fast": "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", "nothing after the head": ""} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, withoutLatencyObjective)
			address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
				request, err := readHead(reader)
				if err == nil {
					_, err = fmt.Fprintf(connection, head, platform.HeaderRequestID+": "+request.Header.Get(platform.HeaderRequestID))
				}
				for err == nil && repeated != "" {
					_, err = connection.Write([]byte(repeated))
				}
				_, _ = reader.ReadByte()
			})
			d.registerAddress("p1", plainService, address)
			node := d.startNode("n1")
			got := d.call(node, http.MethodPost, "/write/", "b", func(h http.Header) { h.Set(platform.HeaderDeadline, "7000") })
			if got.status != http.StatusServiceUnavailable || strings.Contains(got.body, "deadline") {
				t.Errorf("caller got %d %q, want 503 before the deadline", got.status, got.body)
			}
		})
	}
}

// TestEndlessEventIsCut guards against a stream whose event has no end, which must be kept until it is complete.
func TestEndlessEventIsCut(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	var longest atomic.Int64
	head := "HTTP/1.1 200 OK\r\n%s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: "
	address := startEndlessWorker(t, head, strings.Repeat("x", 4096), &longest, &runCounter{})
	entry := platform.WorkerDocument{
		Service: engineService, Address: address, Zone: "z", Version: "v1", Slots: 8, State: "ready",
		Models: []platform.HeldModelDocument{{Name: "big", Version: 1, Adapters: []string{}}},
	}
	if err := d.store.Put(platform.PrefixWorkers+"e1", entry); err != nil {
		t.Fatal(err)
	}
	node := d.startNode("n1")
	if got := d.call(node, http.MethodPost, "/once/", "b", withModel("big")); got.status != http.StatusBadGateway {
		t.Errorf("caller got %d %q, %v, want 502", got.status, got.body, got.err)
	}
	// An event may have 1 MiB; the rest is in the buffers of both kernels.
	const most = 16 << 20
	if longest.Load() == 0 || longest.Load() > most {
		t.Errorf("the worker could write %d bytes, want %d at most", longest.Load(), most)
	}
}
