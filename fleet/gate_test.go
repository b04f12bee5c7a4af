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

const gateProof = 4500 * time.Millisecond

// gated is a node alone, which lends to itself, with one tenant of 1,000 tokens a second.
type gatedNode struct {
	t    *testing.T
	core *Core
	now  time.Time
	sent int
}

func newGatedNode(t *testing.T) *gatedNode {
	t.Helper()
	n := &gatedNode{t: t, now: time.Unix(1_000_000, 0)}
	n.core = New(Config{
		Self: NodeEntry{ID: "n1", Machine: "m1", Address: "a1"}, Zone: "z", Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"},
		KeyProof: gateProof, Lending: lending.Config{Window: 8 * time.Second, Overrun: 0.1, Slack: 1000},
	}, 1)
	n.configure(1, "h1")
	n.step(NodesRead{Full: true})
	n.step(StoreSynced{})
	n.prove()
	n.pass(3 * time.Second)
	n.prove()
	return n
}

// configure puts a configuration in force in which the tenant holds the keys.
func (n *gatedNode) configure(version int64, keys ...string) {
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

func (n *gatedNode) step(e Event) []Effect {
	var effects []Effect
	return append(effects, n.core.Step(n.now, e)...)
}

// pass lets time pass in steps that are shorter than a lease.
func (n *gatedNode) pass(d time.Duration) {
	const most = 100 * time.Millisecond
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(min(end.Sub(n.now), most))
		n.step(Tick{})
	}
}

func (n *gatedNode) prove() { n.step(KeysProven{At: n.now}) }

// machine enters the service's only machine.
func (n *gatedNode) machine() []Effect {
	return n.step(WorkersRead{Full: true, Workers: []catalog.Worker{{ID: "i1", Service: "s", Address: "w", Zone: "z", Slots: 100}}})
}

// ask sends a request of the tenant and returns its name.
func (n *gatedNode) ask(tokens int) (cluster.RequestID, []Effect) {
	n.sent++
	id := cluster.RequestID(fmt.Sprint("r", n.sent))
	return id, n.step(RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: id, Model: "s", TokenPath: "/", Deadline: n.now.Add(20 * time.Second), Attempts: 2,
		Credential: "h1", Tenant: "clinic", PromptTokens: tokens,
	}}})
}

// outcome is what became of a request by some effects: "sent", a code, or nothing.
func outcome(effects []Effect, id cluster.RequestID) string {
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

// TestProofIsJudgedAtTheDispatch: a request that waits for a machine until the proof of its
// key has lapsed is not sent. One whose proof was renewed is.
func TestProofIsJudgedAtTheDispatch(t *testing.T) {
	for name, renewed := range map[string]bool{"unavailable": false, "sent": true} {
		n := newGatedNode(t)
		id, effects := n.ask(10)
		if got := outcome(effects, id); got != "" {
			t.Fatalf("without a machine: %s", got)
		}
		n.pass(gateProof)
		if renewed {
			n.prove()
		}
		if got := outcome(n.machine(), id); got != name {
			t.Errorf("got %q, want %q", got, name)
		}
	}
}

// TestSendIsJudgedInItsInstant: a process that stood still between the dispatch and the send
// finds that the proof, or the tokens, have lapsed.
func TestSendIsJudgedInItsInstant(t *testing.T) {
	n := newGatedNode(t)
	n.machine()
	id, effects := n.ask(10)
	if got := outcome(effects, id); got != "sent" {
		t.Fatalf("got %q", got)
	}
	if failure := n.core.MaySend(n.now, id); failure != nil {
		t.Fatal(failure)
	}
	for _, late := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		if failure := n.core.MaySend(n.now.Add(late), id); failure == nil || failure.Verdict != verdict.NotRun {
			t.Errorf("%v late: %v", late, failure)
		}
	}
}

// TestTokensAreAskedForAgain: a request that waited for longer than its tokens last asks for
// new ones when it is sent, and gives the first ones back: what it was granted twice counts
// once.
func TestTokensAreAskedForAgain(t *testing.T) {
	n := newGatedNode(t)
	n.pass(2 * time.Second)
	n.prove()
	waiting, _ := n.ask(1000)
	n.pass(2 * time.Second)
	if got := outcome(n.machine(), waiting); got != "sent" {
		t.Fatalf("got %q", got)
	}
	if next, effects := n.ask(10); outcome(effects, next) != "sent" {
		t.Errorf("the next one: %q, want the tokens of the first given back", outcome(effects, next))
	}
}

// TestBeyondTheLimitIsRefusedAtOnce: with the time at which the tokens are there, and a
// request that asks then is served.
func TestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	n := newGatedNode(t)
	n.machine()
	var refused *verdict.Error
	for range 100 {
		id, effects := n.ask(100)
		if outcome(effects, id) == string(verdict.CodeTokenRateLimit) {
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
	n.pass(refused.RetryAfter)
	if id, effects := n.ask(100); outcome(effects, id) != "sent" {
		t.Errorf("back in time: %q", outcome(effects, id))
	}
}

// TestRefusalTellsTheWindow: a refusal by a limit says what is used of the window, what was asked
// for and who is first in line, and whether room is kept.
func TestRefusalTellsTheWindow(t *testing.T) {
	n := newGatedNode(t)
	n.machine()
	for range 100 {
		id, effects := n.ask(300)
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
	t.Error("nothing was refused")
}

// TestCallersWhoComeBackAreKnown: what a request asks for is told from what others do, and is the
// same through whatever node it comes and however much time is left to it.
func TestCallersWhoComeBackAreKnown(t *testing.T) {
	request := routing.Request{ID: "r1", Model: "m", PromptTokens: 700, MaxTokens: 50, Prefixes: []uint64{7}, Caller: 3, Deadline: time.Unix(9, 0)}
	back := request
	back.ID, back.Deadline, back.Returned = "r2", time.Unix(5, 0), true
	if requestFingerprint(&request) != requestFingerprint(&back) {
		t.Error("a caller that comes back is not known")
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
			t.Errorf("another %s is taken for the same", name)
		}
	}
}

// TestTakenAwayKeyIsNotSent: what waits under it is refused when the configuration comes.
func TestTakenAwayKeyIsNotSent(t *testing.T) {
	n := newGatedNode(t)
	id, _ := n.ask(10)
	compiled, err := catalog.Configuration{
		Version: 2, Services: []catalog.Service{{Name: "s"}}, Tenants: []catalog.Tenant{{Name: "clinic", Keys: []string{"h2"}}},
	}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	if got := outcome(n.step(ConfigurationRead{Compiled: compiled}), id); got != string(verdict.CodeUnauthorized) {
		t.Errorf("got %q", got)
	}
	if n.core.InFlight() != 0 {
		t.Errorf("%d in flight", n.core.InFlight())
	}
}
