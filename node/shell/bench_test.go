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

// path is one way to the engine: direct, or routed through the node.
type path struct {
	name, url string
}

// paths returns both ways of a fixture.
func (f *fixture) paths() []path {
	return []path{
		{"direct", "http://" + f.address + "/v1/chat/completions"},
		{"routed", f.url("/v1/chat/completions")},
	}
}

// smallBody asks for one token, streamBody for a long stream.
const (
	smallBody    = `{"model":"recall-letters","messages":[{"role":"user","content":"hello"}],"max_tokens":1}`
	streamBody   = `{"model":"recall-letters","messages":[{"role":"user","content":"hello"}],"max_tokens":500,"stream":true}`
	streamTokens = 500
)

// benchmarkClient keeps enough connections open for every worker.
func benchmarkClient(b *testing.B) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// ask sends a body and reads the whole answer; it returns its length.
func ask(b *testing.B, client *http.Client, url, body string) int64 {
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

// BenchmarkLatency sends one small request after the other, alternating
// between the ways, and reports p50 and p99 of each in one run.
func BenchmarkLatency(b *testing.B) {
	f := start(b, fixtureConfig{})
	client := benchmarkClient(b)
	ways := f.paths()
	times := make([][]time.Duration, len(ways))
	for _, way := range ways {
		ask(b, client, way.url, smallBody)
	}
	for b.Loop() {
		for i, way := range ways {
			began := time.Now()
			ask(b, client, way.url, smallBody)
			times[i] = append(times[i], time.Since(began))
		}
	}
	b.ReportMetric(0, "ns/op")
	for i, way := range ways {
		slices.Sort(times[i])
		b.ReportMetric(float64(times[i][len(times[i])/2].Microseconds()), way.name+"-p50-µs")
		b.ReportMetric(float64(times[i][len(times[i])*99/100].Microseconds()), way.name+"-p99-µs")
	}
}

// BenchmarkSmall sends small requests from 64 connections at once.
func BenchmarkSmall(b *testing.B) {
	f := start(b, fixtureConfig{})
	for _, way := range f.paths() {
		b.Run(way.name, func(b *testing.B) {
			client := benchmarkClient(b)
			b.ReportAllocs()
			inParallel(b, 64, func() { ask(b, client, way.url, smallBody) })
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkStreams reads 500-token streams from 64 connections at once.
func BenchmarkStreams(b *testing.B) {
	f := start(b, fixtureConfig{})
	for _, way := range f.paths() {
		b.Run(way.name, func(b *testing.B) {
			client := benchmarkClient(b)
			var length atomic.Int64
			inParallel(b, 64, func() { length.Add(ask(b, client, way.url, streamBody)) })
			b.ReportMetric(float64(b.N)*streamTokens/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkPacedStreams reads streams from 512 connections at once of an engine
// that makes a token of each every millisecond, so that tokens come one by one.
func BenchmarkPacedStreams(b *testing.B) {
	f := start(b, fixtureConfig{engine: standin.Config{Slots: 512, StepTime: time.Millisecond}})
	for _, way := range f.paths() {
		b.Run(way.name, func(b *testing.B) {
			client := benchmarkClient(b)
			inParallel(b, 512, func() { ask(b, client, way.url, streamBody) })
			b.ReportMetric(float64(b.N)*streamTokens/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// inParallel runs b.N tasks on a number of goroutines.
func inParallel(b *testing.B, workers int, task func()) {
	var left atomic.Int64
	left.Store(int64(b.N))
	before := processorTime(b)
	b.ResetTimer()
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for left.Add(-1) >= 0 {
				task()
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

// processorTime is the time all cores have spent on this process, client and
// engine included. It varies less than elapsed time on a shared machine.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
