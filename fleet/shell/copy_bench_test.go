package shell_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// streamTo writes the head of a stream's answer; the events follow.
func streamTo(out io.Writer, id string) {
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		platform.HeaderRequestID, id, platform.HeaderStamp)
}

// chunk returns one event as an HTTP chunk.
func chunk(number int, data string) string {
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, data)
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// lastChunk ends a stream.
const lastChunk = "0\r\n\r\n"

// BenchmarkCopyPath streams events through a node as fast as they come, one write of the worker
// each, on one keep-alive connection. It reports the CPU time of worker, node and caller
// together.
func BenchmarkCopyPath(b *testing.B) {
	const count = 500
	d := newDeployment(b)
	var chunks []string
	for n := 1; n <= count; n++ {
		chunks = append(chunks, chunk(n, strings.Repeat("x", 40)))
	}
	address := startScriptedWorker(b, func(_ int, connection net.Conn, reader *bufio.Reader) {
		for {
			request, err := readHead(reader)
			if err != nil {
				return
			}
			streamTo(connection, request.Header.Get(platform.HeaderRequestID))
			for _, event := range chunks {
				_, _ = io.WriteString(connection, event)
			}
			_, _ = io.WriteString(connection, lastChunk)
		}
	})
	entry := platform.WorkerDocument{
		Service: engineService, Address: address, Zone: "z", Slots: 8, State: "ready",
		Models: []platform.HeldModelDocument{{Name: "big", Version: 1, Adapters: []string{}}},
	}
	if err := d.store.Put(platform.PrefixWorkers+"e1", entry); err != nil {
		b.Fatal(err)
	}
	node := d.startNode("n1")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	var used time.Duration
	streams := 0
	b.ReportAllocs()
	for b.Loop() {
		streams++
		request, err := http.NewRequest(http.MethodPost, "http://"+node.Address()+"/stream/", strings.NewReader("p"))
		if err != nil {
			b.Fatal(err)
		}
		request.Host = testHost
		request.Header.Set(platform.HeaderRequestID, fmt.Sprintf("s%d", streams))
		request.Header.Set(platform.HeaderDeadline, "6000")
		withModel("big")(request.Header)
		before := cpuTime(b)
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		used += cpuTime(b) - before
		if err != nil || response.StatusCode != http.StatusOK || n < count {
			b.Fatalf("status %d, %d bytes, %v", response.StatusCode, n, err)
		}
	}
	b.ReportMetric(float64(used.Nanoseconds())/float64(streams*count), "cpu-ns/event")
	b.ReportMetric(float64(streams*count)/b.Elapsed().Seconds(), "events/s")
}
