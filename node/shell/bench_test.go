package shell_test

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	standin "github.com/valveslip/valveslip/standin/engine"
)

// endpoint is a URL that reaches the engine directly or routed through the node.
type endpoint struct {
	name, url string
}

// endpoints returns the direct and the routed endpoint of a fixture.
func (f *fixture) endpoints() []endpoint {
	return []endpoint{
		{"direct", "http://" + f.address + "/v1/chat/completions"},
		{"routed", f.url("/v1/chat/completions")},
	}
}

// smallBody requests one token, streamBody a stream of streamTokens tokens.
const (
	smallBody    = `{"model":"recall-letters","messages":[{"role":"user","content":"hello"}],"max_tokens":1}`
	streamBody   = `{"model":"recall-letters","messages":[{"role":"user","content":"hello"}],"max_tokens":500,"stream":true}`
	streamTokens = 500
)

// benchmarkClient returns a client that keeps one connection open per worker.
func benchmarkClient(b *testing.B) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// sendRequest sends a request, reads the whole answer and returns its length.
func sendRequest(b *testing.B, client *http.Client, url, body string) int64 {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		b.Fatal(err)
	}
	request.Header["Authorization"] = []string{"Bearer " + callerSecret}
	answer, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer answer.Body.Close()
	length, err := io.Copy(io.Discard, answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK {
		b.Errorf("status %d, %v", answer.StatusCode, err)
	}
	return length
}

// BenchmarkLatency sends small requests one at a time, alternating between the
// endpoints, and reports the p50 and p99 latency of each.
func BenchmarkLatency(b *testing.B) {
	f := startFixture(b, fixtureConfig{})
	client := benchmarkClient(b)
	endpoints := f.endpoints()
	times := make([][]time.Duration, len(endpoints))
	for _, endpoint := range endpoints {
		sendRequest(b, client, endpoint.url, smallBody)
	}
	for b.Loop() {
		for i, endpoint := range endpoints {
			began := time.Now()
			sendRequest(b, client, endpoint.url, smallBody)
			times[i] = append(times[i], time.Since(began))
		}
	}
	b.ReportMetric(0, "ns/op")
	for i, endpoint := range endpoints {
		slices.Sort(times[i])
		b.ReportMetric(float64(times[i][len(times[i])/2].Microseconds()), endpoint.name+"-p50-µs")
		b.ReportMetric(float64(times[i][len(times[i])*99/100].Microseconds()), endpoint.name+"-p99-µs")
	}
}

// BenchmarkSmall sends small requests over 64 concurrent connections.
func BenchmarkSmall(b *testing.B) {
	f := startFixture(b, fixtureConfig{})
	for _, endpoint := range f.endpoints() {
		b.Run(endpoint.name, func(b *testing.B) {
			client := benchmarkClient(b)
			b.ReportAllocs()
			runParallel(b, 64, func() { sendRequest(b, client, endpoint.url, smallBody) })
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkStreams reads 500-token streams over 64 concurrent connections.
func BenchmarkStreams(b *testing.B) {
	f := startFixture(b, fixtureConfig{})
	for _, endpoint := range f.endpoints() {
		b.Run(endpoint.name, func(b *testing.B) {
			client := benchmarkClient(b)
			var length atomic.Int64
			runParallel(b, 64, func() { length.Add(sendRequest(b, client, endpoint.url, streamBody)) })
			b.ReportMetric(float64(b.N)*streamTokens/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkPacedStreams reads streams over 512 concurrent connections from an engine
// that generates one token per stream and millisecond, so that tokens arrive one at a
// time.
func BenchmarkPacedStreams(b *testing.B) {
	f := startFixture(b, fixtureConfig{engine: standin.Config{Slots: 512, StepTime: time.Millisecond}})
	for _, endpoint := range f.endpoints() {
		b.Run(endpoint.name, func(b *testing.B) {
			client := benchmarkClient(b)
			runParallel(b, 512, func() { sendRequest(b, client, endpoint.url, streamBody) })
			b.ReportMetric(float64(b.N)*streamTokens/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// runParallel runs b.N tasks on the given number of goroutines and reports the CPU
// time per task.
func runParallel(b *testing.B, workers int, task func()) {
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	startCPUTime := processCPUTime(b)
	b.ResetTimer()
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for remaining.Add(-1) >= 0 {
				task()
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64((processCPUTime(b)-startCPUTime).Microseconds())/float64(b.N), "cpu-µs/op")
}

// processCPUTime returns the CPU time used by this process, which includes client and
// engine. It varies less than elapsed time on a shared machine.
func processCPUTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
