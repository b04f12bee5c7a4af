package shell_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// post sends a non-idempotent request to a node or a worker, reads the answer and returns its
// status.
func post(b *testing.B, client *http.Client, address, id, body string) int {
	return postAs(b, client, address, id, body, "")
}

// postAs is post with a key; empty for none.
func postAs(b *testing.B, client *http.Client, address, id, body, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/write/", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Host = testHost
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, "5000")
	if key != "" {
		request.Header.Set(platform.HeaderAuthorization, "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// BenchmarkRoutedPath compares a small request through a node with one sent directly to the
// worker, both over loopback and keep-alive connections. It reports p50 and p99 of each and the
// time that the node adds.
func BenchmarkRoutedPath(b *testing.B) {
	d := newDeployment(b)
	d.addWorker("p1", plainService, nil)
	node := d.startNode("n1")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	send := func(address, id string) time.Duration {
		began := time.Now()
		if status := post(b, client, address, id, "body"); status != http.StatusOK {
			b.Fatalf("status %d", status)
		}
		return time.Since(began)
	}
	direct := d.workers["p1"].Address()
	var routed, straight []time.Duration
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		straight = append(straight, send(direct, fmt.Sprintf("d%d", n)))
		routed = append(routed, send(node.Address(), fmt.Sprintf("r%d", n)))
	}
	slices.Sort(routed)
	slices.Sort(straight)
	at := func(times []time.Duration, share float64) float64 {
		return float64(times[int(share*float64(len(times)-1))].Microseconds())
	}
	b.ReportMetric(at(straight, 0.5), "direct-p50-us")
	b.ReportMetric(at(straight, 0.99), "direct-p99-us")
	b.ReportMetric(at(routed, 0.5), "routed-p50-us")
	b.ReportMetric(at(routed, 0.99), "routed-p99-us")
	b.ReportMetric(at(routed, 0.5)/at(straight, 0.5), "p50-ratio")
}
