package shell_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/valveslip/valveslip/soak/proxy"
)

// TestStoppingNodesSendForNodeWithoutPath guards against callers of a node without a path to workers who get 502 while all
// other nodes stop: these refused its requests from the beginning of their stops, and the node sent them over the path that
// it had lost.
func TestStoppingNodesSendForNodeWithoutPath(t *testing.T) {
	t.Parallel()
	const relaysFor = 4 * time.Second
	d := newPartitionedDeployment(t, 3, withoutLatencyObjective)
	traffic := &stopTraffic{deployment: d.deployment, workers: d.workers, ends: map[string]int{}}
	d.cutOff(proxy.PartitionReset, 1)
	d.eventually("the node that is cut off serves", func() bool { return d.servesAllKinds(1, callsBeforeCut) })
	began, stopped := stopAsPlanned(d.nodes[0])
	_, otherStopped := stopAsPlanned(d.nodes[2])
	paths := []string{"/write/", "/once/", "/read/", "/stream/"}
	relayed := make(chan struct{})
	time.AfterFunc(relaysFor, func() { close(relayed) })
	during(began, 0, relayed, func(n int) { traffic.send(d.nodes[1], paths[n%4], 1500, 0) })
	traffic.calls.Wait()
	served := 0
	for i := range traffic.ended {
		if traffic.ended[i].isServed() {
			served++
		}
	}
	if served < len(traffic.ended)/2 {
		t.Errorf("%d of %d requests were served while the other nodes stopped", served, len(traffic.ended))
	}
	over := make(chan struct{})
	go func() {
		<-stopped
		<-otherStopped
		time.Sleep(time.Second)
		close(over)
	}()
	during(began, relaysFor, over, func(n int) { traffic.send(d.nodes[1], paths[n%4], 1500, 0) })
	traffic.wait()
	for i := range traffic.ended {
		if r := &traffic.ended[i]; r.inTime && r.got.status == http.StatusBadGateway {
			t.Errorf("%s %s was answered with 502: %s", r.path, r.id, r.got.body)
		}
	}
}
