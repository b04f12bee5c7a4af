package admin

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// newCell returns two nodes of two zones that know each other; the second is
// returned with the server that it listens on.
func newCell(t *testing.T) (first, second *harness, listener *httptest.Server) {
	first, second = newHarness(t, twoTeams), newHarness(t, twoTeams)
	second.handler = New(Config{Backend: second.backend, Store: second.store, Self: "n2", Peers: &Peers{Scheme: "http"}})
	listener = httptest.NewServer(second.handler)
	t.Cleanup(listener.Close)
	first.handler = New(Config{Backend: first.backend, Store: first.store, Self: "n1", Peers: &Peers{Scheme: "http"}})
	for i, h := range []*harness{first, second} {
		node, zone := []cluster.NodeID{"n1", "n2"}[i], []cluster.ZoneID{"east", "west"}[i]
		h.backend.members = []Member{
			{ID: "n1", State: "alive", AdminAddress: "127.0.0.1:0"},
			{ID: "n2", State: "alive", AdminAddress: strings.TrimPrefix(listener.URL, "http://")},
		}
		h.backend.controllers = []Controller{{Zone: "east", Node: "n1", Token: 5}, {Zone: "west", Node: "n2", Token: 6}}
		h.backend.controllers[i].Machines = 1
		h.backend.machines = []Machine{{ID: cluster.MachineID("m-" + zone), Zone: zone}}
		h.backend.replicas = []Replica{{Model: "parents", Machine: cluster.MachineID("m-" + zone), Zone: zone, State: "loaded"}}
		h.backend.queues = []Queue{{Node: node, Model: "letters", Waiting: 1}}
		h.backend.decisions = map[cluster.ModelID][]ModelDecision{"parents": {{Zone: zone, Node: node, Decision: placement.Decision{Wanted: 1}}}}
		id := cluster.RequestID(string(node) + ".1")
		h.backend.traces = map[cluster.RequestID]RequestTrace{id: {ID: id, Model: "parents", TokenPath: "/dental", Node: node}}
	}
	return first, second, listener
}

func TestAnyNodeAnswersForAll(t *testing.T) {
	h, _, listener := newCell(t)
	var machines Page[Machine]
	h.get("reader", "/machines").want(http.StatusOK, &machines)
	var queues Page[Queue]
	h.get("reader", "/queues").want(http.StatusOK, &queues)
	var controllers Page[Controller]
	h.get("reader", "/controllers").want(http.StatusOK, &controllers)
	if len(machines.Items) != 2 || len(queues.Items) != 2 || controllers.Items[1].Machines != 1 {
		t.Errorf("machines %+v, queues %+v, controllers %+v", machines, queues, controllers)
	}
	h.get("reader", "/machines?local=true").want(http.StatusOK, &machines)
	if len(machines.Items) != 1 {
		t.Errorf("local machines %+v", machines)
	}
	var reasons ModelReasons
	h.get("reader", "/why/models/parents").want(http.StatusOK, &reasons)
	if len(reasons.Zones) != 2 || len(reasons.Replicas) != 2 || strings.Count(reasons.Text, "\n") != 1 {
		t.Errorf("reasons %+v", reasons)
	}
	var request RequestReasons
	h.get("reader", "/why/requests/n2.1").want(http.StatusOK, &request)
	if request.Node != "n2" {
		t.Errorf("request %+v", request)
	}
	h.get("reader", "/why/requests/n2.9").wantFailure(http.StatusNotFound)
	h.get("reader", "/why/requests/n9.1").wantFailure(http.StatusNotFound)
	h.get("zebra-editor", "/why/requests/n2.1").wantFailure(http.StatusNotFound)

	listener.Close()
	machines, reasons = Page[Machine]{}, ModelReasons{}
	h.get("reader", "/machines").want(http.StatusOK, &machines)
	h.get("reader", "/why/models/parents").want(http.StatusOK, &reasons)
	if !slices.Equal(machines.Missing, []cluster.NodeID{"n2"}) || !strings.Contains(reasons.Text, "controller n2 did not answer") {
		t.Errorf("with a node gone: %+v, %s", machines, reasons.Text)
	}
	h.get("reader", "/why/requests/n2.1").wantFailure(http.StatusServiceUnavailable)
}
