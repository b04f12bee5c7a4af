package shell_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/node/shell"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// operatorSecret is the bootstrap token of the nodes that startUnconnectedNode
// returns.
const operatorSecret = "operator-secret"

// startUnconnectedNode starts a node with the composed core whose platform services
// are unreachable.
func startUnconnectedNode(t *testing.T, seeds ...string) *shell.Node {
	t.Helper()
	const loopback, nowhere = "127.0.0.1:0", "http://127.0.0.1:1"
	started, err := shell.Start(context.Background(), node.Config{
		Zone: zone, CallerAddress: loopback, AdminAddress: loopback, PeerAddress: loopback, Seeds: seeds, DrainTime: time.Second,
		KeyValueURL: nowhere, MachineListURL: nowhere, WeightStoreURL: nowhere, BootstrapTokenSHA256: hash(operatorSecret),
	}, shell.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Kill)
	return started
}

// readAdminPage reads a page of a node's administration API.
func readAdminPage(t *testing.T, n *shell.Node, path string, into any) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+n.Self().AdminAddress+"/admin/v1"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorSecret)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if err := json.NewDecoder(answer.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode
}

// TestAnyNodeReturnsRequestTraceOfAnotherNode checks that a node gets the trace of a
// request from the node that accepted it.
func TestAnyNodeReturnsRequestTraceOfAnotherNode(t *testing.T) {
	first := startUnconnectedNode(t)
	second := startUnconnectedNode(t, first.Self().PeerAddress)
	waitFor(t, "membership", func() bool { return len(members(first)) == 1 && len(members(second)) == 1 })

	id := cluster.RequestID(first.Self().ID + ".1")
	at := time.Unix(1_000_000, 0)
	first.Journal().RecordArrival(at, &routing.Request{ID: id, Model: model, TokenPath: "/dental"})
	first.Journal().RecordDispatch(at.Add(time.Second), &routing.Dispatch{Request: id, Attempt: 1, Machine: machine})
	failure := verdict.Wrap(errors.New("reset"), verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine did not answer")
	first.Journal().RecordFinish(at.Add(2*time.Second), &routing.Finish{Request: id, Failure: failure})

	var trace struct {
		Node     cluster.NodeID
		Attempts []struct{ Machine cluster.MachineID }
		Outcome  struct{ Code, Verdict string }
	}
	for _, queried := range []*shell.Node{first, second} {
		if status := readAdminPage(t, queried, "/why/requests/"+string(id), &trace); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if trace.Node != first.Self().ID || len(trace.Attempts) != 1 || trace.Attempts[0].Machine != machine {
			t.Errorf("request trace %+v", trace)
		}
		if trace.Outcome.Code != string(verdict.CodeEngineFailed) || trace.Outcome.Verdict != "may-have-run" {
			t.Errorf("outcome %+v", trace.Outcome)
		}
	}
	if status := readAdminPage(t, second, "/why/requests/"+string(id)+"2", &trace); status != http.StatusNotFound {
		t.Errorf("unknown request: status %d", status)
	}
}

// TestEveryNodeListsAllMembers checks that each node's list of members includes the
// node itself.
func TestEveryNodeListsAllMembers(t *testing.T) {
	first := startUnconnectedNode(t)
	second := startUnconnectedNode(t, first.Self().PeerAddress)
	waitFor(t, "membership", func() bool { return len(members(first)) == 1 && len(members(second)) == 1 })
	for _, queried := range []*shell.Node{first, second} {
		var list struct {
			Items []struct {
				ID    cluster.NodeID
				State string
			}
		}
		if status := readAdminPage(t, queried, "/members", &list); status != http.StatusOK || len(list.Items) != 2 {
			t.Errorf("status %d, %+v", status, list)
		}
	}
}
