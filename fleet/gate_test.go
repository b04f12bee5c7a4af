package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// testKeyProof is the maximum age of the key proof in these tests.
const testKeyProof = 4500 * time.Millisecond

// gateTestNode is a single node, which lends tokens to itself, with one tenant of 1,000 tokens
// per second.
type gateTestNode struct {
	t            *testing.T
	core         *Core
	now          time.Time
	requestCount int
}

func newGateTestNode(t *testing.T) *gateTestNode {
	t.Helper()
	n := &gateTestNode{t: t, now: time.Unix(1_000_000, 0)}
	n.core = New(Config{
		Self: NodeEntry{ID: "n1", Machine: "m1", Address: "a1"}, Zone: "z", Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"},
		KeyProof: testKeyProof, Lending: lending.Config{Window: 8 * time.Second, Overrun: 0.1, Slack: 1000},
	}, 1)
	n.configure(1, "h1")
	n.step(NodesRead{Full: true})
	n.step(StoreSynced{})
	n.proveKeys()
	n.advance(3 * time.Second)
	n.proveKeys()
	return n
}

// configure applies a configuration in which the tenant has the given keys.
func (n *gateTestNode) configure(version int64, keys ...string) {
	n.t.Helper()
	compiled, err := catalog.Configuration{
		Version: version, Services: []catalog.Service{{Name: "s"}},
		Tenants: []catalog.Tenant{{Name: "clinic", Keys: keys, Limit: catalog.Limit{Rate: 1000, Burst: 1000, Unit: catalog.UnitTokens}}},
	}.Compile()
	if err != nil {
		n.t.Fatal(err)
	}
	n.step(ConfigurationRead{Compiled: compiled})
}

func (n *gateTestNode) step(e Event) []Effect {
	var effects []Effect
	return append(effects, n.core.Step(n.now, e)...)
}

// advance moves the clock forward in steps shorter than a lease.
func (n *gateTestNode) advance(d time.Duration) {
	const maxStep = 100 * time.Millisecond
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(min(end.Sub(n.now), maxStep))
		n.step(Tick{})
	}
}

func (n *gateTestNode) proveKeys() { n.step(KeysProven{At: n.now}) }

// addMachine adds the service's only machine.
func (n *gateTestNode) addMachine() []Effect {
	return n.step(WorkersRead{Full: true, Workers: []catalog.Worker{{ID: "i1", Service: "s", Address: "w", Zone: "z", Slots: 100}}})
}

// sendRequest sends a request of the tenant and returns its ID.
func (n *gateTestNode) sendRequest(tokens int) (cluster.RequestID, []Effect) {
	n.requestCount++
	id := cluster.RequestID(fmt.Sprint("r", n.requestCount))
	return id, n.step(RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: id, Model: "s", TokenPath: "/", Deadline: n.now.Add(20 * time.Second), Attempts: 2,
		Credential: "h1", Tenant: "clinic", PromptTokens: tokens,
	}}})
}

// outcomeOf returns the outcome of a request in the effects: "sent", an error code, or nothing.
func outcomeOf(effects []Effect, id cluster.RequestID) string {
	for _, effect := range effects {
		out, isRouting := effect.(RoutingOutput)
		if !isRouting {
			continue
		}
		switch e := out.Effect.(type) {
		case routing.Dispatch:
			if e.Request == id {
				return "sent"
			}
		case routing.Finish:
			if e.Request == id && e.Failure != nil {
				return string(e.Failure.Code)
			}
		}
	}
	return ""
}

// Guards against sending a request whose key proof expired while it waited for a machine. A
// request whose proof was renewed is sent.
func TestExpiredKeyProofStopsDispatch(t *testing.T) {
	for name, renewed := range map[string]bool{"unavailable": false, "sent": true} {
		n := newGateTestNode(t)
		id, effects := n.sendRequest(10)
		if got := outcomeOf(effects, id); got != "" {
			t.Fatalf("outcome without a machine: %s", got)
		}
		n.advance(testKeyProof)
		if renewed {
			n.proveKeys()
		}
		if got := outcomeOf(n.addMachine(), id); got != name {
			t.Errorf("got %q, want %q", got, name)
		}
	}
}

// Guards against sending after the process was suspended between the dispatch and the send, when
// the key proof or the tokens have expired.
func TestExpiredProofOrTokensStopSend(t *testing.T) {
	n := newGateTestNode(t)
	n.addMachine()
	id, effects := n.sendRequest(10)
	if got := outcomeOf(effects, id); got != "sent" {
		t.Fatalf("got %q", got)
	}
	if failure := n.core.MaySend(n.now, id); failure != nil {
		t.Fatal(failure)
	}
	for _, delay := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		if failure := n.core.MaySend(n.now.Add(delay), id); failure == nil || failure.Verdict != verdict.NotRun {
			t.Errorf("%v late: %v", delay, failure)
		}
	}
}

// Guards against sending with expired tokens after a long wait, and against counting the request
// twice: the first tokens are returned when new ones are requested.
func TestExpiredTokensAreRequestedAgainAtDispatch(t *testing.T) {
	n := newGateTestNode(t)
	n.advance(2 * time.Second)
	n.proveKeys()
	waiting, _ := n.sendRequest(1000)
	n.advance(2 * time.Second)
	if got := outcomeOf(n.addMachine(), waiting); got != "sent" {
		t.Fatalf("got %q", got)
	}
	if next, effects := n.sendRequest(10); outcomeOf(effects, next) != "sent" {
		t.Errorf("second request: %q, want it sent with the tokens that the first returned", outcomeOf(effects, next))
	}
}

// Guards against a request beyond the limit that waits instead of being refused, and against a
// Retry-After at which the tokens are not available.
func TestRequestBeyondLimitIsRefusedWithRetryAfter(t *testing.T) {
	n := newGateTestNode(t)
	n.addMachine()
	var refused *verdict.Error
	for range 100 {
		id, effects := n.sendRequest(100)
		if outcomeOf(effects, id) == string(verdict.CodeTokenRateLimit) {
			for _, effect := range effects {
				if out, ok := effect.(RoutingOutput); ok {
					if finish, ended := out.Effect.(routing.Finish); ended {
						refused = finish.Failure
					}
				}
			}
			break
		}
	}
	if refused == nil || refused.RetryAfter <= 0 || refused.RetryAfter > time.Second {
		t.Fatalf("refused: %+v", refused)
	}
	n.advance(refused.RetryAfter)
	if id, effects := n.sendRequest(100); outcomeOf(effects, id) != "sent" {
		t.Errorf("retry after Retry-After: %q, want sent", outcomeOf(effects, id))
	}
}

// Guards against a refusal that doesn't explain itself: it gives the window's usage, the amount
// requested, the first request in line and whether room is reserved.
func TestLimitRefusalDescribesWindowUsage(t *testing.T) {
	n := newGateTestNode(t)
	n.addMachine()
	for range 100 {
		id, effects := n.sendRequest(300)
		for _, effect := range effects {
			out, isRouting := effect.(RoutingOutput)
			if !isRouting {
				continue
			}
			finish, ended := out.Effect.(routing.Finish)
			if !ended || finish.Request != id || finish.Failure == nil {
				continue
			}
			for _, part := range []string{"1000 a second", "has not 300 left", "of 9000 are used in the window", "first in line is rank 0 with 300", "room is kept"} {
				if !strings.Contains(finish.Failure.Message, part) {
					t.Errorf("%q is missing in %q", part, finish.Failure.Message)
				}
			}
			return
		}
	}
	t.Error("no request was refused")
}

// Guards against treating a retry as a different request, or different requests as the same. The
// fingerprint depends on neither the node nor the remaining time.
func TestRequestFingerprintIsStableAcrossRetries(t *testing.T) {
	request := routing.Request{ID: "r1", Model: "m", PromptTokens: 700, MaxTokens: 50, Prefixes: []uint64{7}, Caller: 3, Deadline: time.Unix(9, 0)}
	retry := request
	retry.ID, retry.Deadline, retry.Returned = "r2", time.Unix(5, 0), true
	if requestFingerprint(&request) != requestFingerprint(&retry) {
		t.Error("the retry of a request has another fingerprint")
	}
	for name, change := range map[string]func(*routing.Request){
		"model":  func(r *routing.Request) { r.Model = "n" },
		"prompt": func(r *routing.Request) { r.PromptTokens = 701 },
		"prefix": func(r *routing.Request) { r.Prefixes = []uint64{8} },
		"caller": func(r *routing.Request) { r.Caller = 4 },
	} {
		other := request
		change(&other)
		if requestFingerprint(&other) == requestFingerprint(&request) {
			t.Errorf("a request that differs in its %s has the same fingerprint", name)
		}
	}
}

// Guards against sending a waiting request whose key a new configuration has revoked.
func TestRevokedKeyEndsWaitingRequest(t *testing.T) {
	n := newGateTestNode(t)
	id, _ := n.sendRequest(10)
	compiled, err := catalog.Configuration{
		Version: 2, Services: []catalog.Service{{Name: "s"}}, Tenants: []catalog.Tenant{{Name: "clinic", Keys: []string{"h2"}}},
	}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	if got := outcomeOf(n.step(ConfigurationRead{Compiled: compiled}), id); got != string(verdict.CodeUnauthorized) {
		t.Errorf("got %q", got)
	}
	if n.core.InFlight() != 0 {
		t.Errorf("%d in flight", n.core.InFlight())
	}
}
