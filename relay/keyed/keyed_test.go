package keyed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// cell is a set of nodes joined by a network without loss, apart from nodes
// that are cut off.
type cell struct {
	mutex   sync.Mutex
	runners map[string]*Runner
	nodes   []cluster.Node
	cut     map[string]bool
	// mute is a node whose decisions are lost.
	mute   string
	engine *engine
}

// engine counts runs. Each takes a second and answers with its number, or fails.
type engine struct {
	mutex sync.Mutex
	runs  int
	fail  *verdict.Error
}

// Run implements Inner.
func (e *engine) Run(ctx context.Context, _ relay.Call, sink relay.Sink) relay.Result {
	e.mutex.Lock()
	e.runs++
	number, failure := e.runs, e.fail
	e.mutex.Unlock()
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return relay.Result{Failure: verdict.New(verdict.MayHaveRun, verdict.CodeCallerGone, "left")}
	}
	if failure != nil {
		return relay.Result{Failure: failure}
	}
	_ = sink.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}})
	if err := sink.Write([]byte(fmt.Sprint("answer ", number))); err != nil {
		return relay.Result{Started: true, Failure: verdict.Wrap(err, verdict.Ran, verdict.CodeCallerGone, "left")}
	}
	return relay.Result{Started: true, Status: http.StatusOK}
}

// member is one node's view of the cell.
type member struct {
	*cell
	self cluster.Node
}

func (m member) Self() cluster.Node { return m.self }

func (m member) Neighbours() (others []cluster.Node, known bool) {
	for _, other := range m.nodes {
		if other.ID != m.self.ID {
			others = append(others, other)
		}
	}
	return others, true
}

func (m member) Send(address string, message wire.Message) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, decision := message.(wire.KeyDecision); decision && m.mute == m.self.PeerAddress {
		return
	}
	if receiver := m.runners[address]; receiver != nil && !m.cut[address] && !m.cut[m.self.PeerAddress] {
		go receiver.Handle(message)
	}
}

// newCell returns a cell of joined nodes.
func newCell(count int) *cell {
	c := &cell{runners: map[string]*Runner{}, cut: map[string]bool{}, engine: &engine{}}
	for i := range count {
		name := fmt.Sprint("node-", i)
		c.nodes = append(c.nodes, cluster.Node{ID: cluster.NodeID(name), PeerAddress: name})
	}
	for _, node := range c.nodes {
		c.runners[node.PeerAddress] = NewRunner(c.engine, member{c, node}, idempotency.Config{}, 0)
	}
	for _, runner := range c.runners {
		// A cell that starts has no former members to ask.
		runner.table.SetMembers(time.Now().Add(-time.Hour), []idempotency.Member{memberOf(runner.peers.Self())})
		runner.SetMembers(time.Now().Add(-41 * time.Minute))
	}
	return c
}

// caller collects an answer.
type caller struct {
	body strings.Builder
	gone bool
}

func (c *caller) Start(int, http.Header) error { return nil }

func (c *caller) Write(data []byte) error {
	if c.gone {
		return errors.New("connection reset")
	}
	c.body.Write(data)
	return nil
}

// requests numbers the requests of a test.
var requests struct {
	sync.Mutex
	count int
}

// ask sends a request with a key through a node.
func (c *cell) ask(t *testing.T, node int, key, body string) (string, *verdict.Error) {
	return c.askAs(t.Context(), node, key, body, &caller{})
}

func (c *cell) askAs(ctx context.Context, node int, key, body string, sink *caller) (string, *verdict.Error) {
	requests.Lock()
	requests.count++
	id := cluster.RequestID(fmt.Sprint("r", requests.count))
	requests.Unlock()
	call := relay.Call{Request: routing.Request{ID: id, TokenPath: "/dental"}, Body: []byte(body), Key: key}
	result := c.runners[c.nodes[node].PeerAddress].Run(ctx, call, sink)
	return sink.body.String(), result.Failure
}

func TestRepetitionsOnAnyNodeRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(5)
		var together sync.WaitGroup
		answered := make(chan string, 20)
		for i := range 20 {
			together.Go(func() {
				body, failure := c.ask(t, i%5, "k", "confirm")
				if failure == nil {
					answered <- body
				} else if failure.Code != verdict.CodeDuplicateKey || failure.RetryAfter == 0 {
					t.Errorf("refused with %v", failure)
				}
			})
		}
		together.Wait()
		synctest.Wait() // The outcome is on its way to the owner.
		close(answered)
		if len(answered) != 1 || c.engine.runs != 1 {
			t.Fatalf("%d answers, %d runs", len(answered), c.engine.runs)
		}
		for node := range 5 {
			if body, failure := c.ask(t, node, "k", "confirm"); failure != nil || body != "answer 1" {
				t.Errorf("repetition on node %d: %q, %v", node, body, failure)
			}
		}
	})
}

func TestKeyWithAnotherRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		_, _ = c.ask(t, 0, "k", "confirm")
		_, failure := c.ask(t, 1, "k", "cancel")
		if failure == nil || failure.Code != verdict.CodeConflict || failure.Verdict != verdict.NotRun || c.engine.runs != 1 {
			t.Fatalf("%v after %d runs", failure, c.engine.runs)
		}
	})
}

func TestRequestThatDidNotRunFreesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		c.engine.fail = verdict.New(verdict.NotRun, verdict.CodeQueueFull, "full")
		_, _ = c.ask(t, 0, "k", "confirm")
		time.Sleep(time.Second)
		c.engine.fail = nil
		if body, failure := c.ask(t, 1, "k", "confirm"); failure != nil || body != "answer 2" {
			t.Fatalf("%q, %v", body, failure)
		}
	})
}

func TestRequestThatMayHaveRunKeepsItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		c.engine.fail = verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "lost")
		_, _ = c.ask(t, 0, "k", "confirm")
		time.Sleep(time.Second)
		c.engine.fail = nil
		_, failure := c.ask(t, 1, "k", "confirm")
		if failure == nil || failure.Code != verdict.CodeOutcomeUnknown || c.engine.runs != 1 {
			t.Fatalf("%v after %d runs", failure, c.engine.runs)
		}
	})
}

func TestAnswerIsKeptForACallerWhoLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		_, failure := c.askAs(ctx, 0, "k", "confirm", &caller{gone: true})
		if failure == nil || failure.Code != verdict.CodeCallerGone {
			t.Fatalf("first: %v", failure)
		}
		synctest.Wait()
		if body, failure := c.ask(t, 2, "k", "confirm"); failure != nil || body != "answer 1" {
			t.Fatalf("repetition: %q, %v", body, failure)
		}
	})
}

func TestCallerWhoLeavesAStreamEndsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		call := relay.Call{Request: routing.Request{ID: "stream", TokenPath: "/dental"}, Key: "k", Stream: true}
		result := c.runners["node-0"].Run(t.Context(), call, &caller{gone: true})
		if result.Failure == nil || result.Failure.Code != verdict.CodeCallerGone {
			t.Fatalf("stream: %v", result.Failure)
		}
		synctest.Wait()
		_, failure := c.ask(t, 1, "k", "")
		if failure == nil || failure.Code != verdict.CodeDuplicateKey || failure.Verdict != verdict.Ran || c.engine.runs != 1 {
			t.Fatalf("repetition: %v after %d runs", failure, c.engine.runs)
		}
	})
}

// kill ends a node at once, of which the others learn.
func (c *cell) kill(name string) {
	c.mutex.Lock()
	delete(c.runners, name)
	c.nodes = slices.DeleteFunc(c.nodes, func(n cluster.Node) bool { return n.PeerAddress == name })
	c.mutex.Unlock()
	for _, runner := range c.runners {
		runner.SetMembers(time.Now())
	}
}

// join starts a node, of which all learn.
func (c *cell) join(name string) {
	node := cluster.Node{ID: cluster.NodeID(name), PeerAddress: name}
	c.mutex.Lock()
	c.nodes = append(c.nodes, node)
	c.runners[name] = NewRunner(c.engine, member{c, node}, idempotency.Config{}, 0)
	c.mutex.Unlock()
	for _, runner := range c.runners {
		runner.SetMembers(time.Now())
	}
}

// askAll sends new keys through all nodes in turn. It returns how many ran and
// how many were refused as unknown.
func (c *cell) askAll(t *testing.T, prefix string) (ran, unknown int) {
	for i := range 40 {
		_, failure := c.ask(t, i%len(c.nodes), fmt.Sprint(prefix, i), "confirm")
		switch {
		case failure == nil:
			ran++
		case failure.Code == verdict.CodeOutcomeUnknown && failure.Verdict == verdict.MayHaveRun && failure.RetryAfter > 0:
			unknown++
		default:
			t.Errorf("refused with %v", failure)
		}
	}
	return ran, unknown
}

// TestLossOfNodes kills two of three nodes one after the other. After the first
// all new keys run and the old ones don't again; after the second, new keys are
// unknown until the first loss is forgotten, and then run.
func TestLossOfNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		if ran, _ := c.askAll(t, "old-"); ran != 40 {
			t.Fatalf("%d of 40 ran", ran)
		}
		time.Sleep(2 * time.Second) // The outcomes have arrived.
		c.kill("node-1")
		if ran, unknown := c.askAll(t, "new-"); ran != 40 || unknown != 0 {
			t.Fatalf("%d of 40 ran after one loss, %d unknown", ran, unknown)
		}
		for i := range 40 {
			if _, failure := c.ask(t, i%2, fmt.Sprint("old-", i), "confirm"); failure != nil && failure.Verdict != verdict.Ran {
				t.Errorf("old key %d: %v", i, failure)
			}
		}
		if c.engine.runs != 80 {
			t.Fatalf("%d runs of 80 keys", c.engine.runs)
		}
		c.kill("node-2")
		if ran, unknown := c.askAll(t, "lone-"); ran != 0 || unknown != 40 {
			t.Fatalf("%d of 40 ran after two losses, %d unknown", ran, unknown)
		}
		time.Sleep(41 * time.Minute)
		if ran, _ := c.askAll(t, "later-"); ran != 40 {
			t.Fatalf("%d of 40 ran when the losses were forgotten", ran)
		}
	})
}

// TestPlannedStopsLoseNoKeys stops nodes of three one after the other, each
// replaced. What ran before is known and new keys run, also when one more node
// dies.
func TestPlannedStopsLoseNoKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		c.askAll(t, "old-")
		time.Sleep(2 * time.Second)
		for _, stopped := range []string{"node-0", "node-1"} {
			if err := c.runners[stopped].Handover(t.Context()); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			c.kill(stopped)
			c.join("new-" + stopped)
			if ran, unknown := c.askAll(t, stopped); ran != 40 {
				t.Fatalf("%d of 40 ran after the stop of %s, %d unknown", ran, stopped, unknown)
			}
		}
		runs := c.engine.runs
		for i := range 40 {
			if _, failure := c.ask(t, i%3, fmt.Sprint("old-", i), "confirm"); failure != nil && failure.Verdict != verdict.Ran {
				t.Errorf("old key %d: %v", i, failure)
			}
		}
		if c.engine.runs != runs {
			t.Fatalf("%d old keys ran again", c.engine.runs-runs)
		}
		c.kill("new-node-1")
		if ran, unknown := c.askAll(t, "last-"); ran != 40 {
			t.Fatalf("%d of 40 ran after a loss besides, %d unknown", ran, unknown)
		}
	})
}

// TestHandoverThatNobodyTakes ends in time.
func TestHandoverThatNobodyTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		c.cut["node-0"] = true
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := c.runners["node-0"].Handover(ctx); err == nil {
			t.Fatal("handed over without a connection")
		}
		if _, failure := c.ask(t, 0, "k", "confirm"); failure == nil || failure.Verdict != verdict.NotRun {
			t.Fatalf("claim after the handover: %v", failure)
		}
	})
}

// keyOfAnother returns a key that node-0 must ask another node for, and that node.
func (c *cell) keyOfAnother() (key, owner string) {
	for i := 0; owner == "" || owner == "node-0"; i++ {
		key = fmt.Sprint("k", i)
		owner = string(c.runners["node-0"].table.Owners(idempotency.Key{TokenPath: "/dental", Key: key})[0])
	}
	return key, owner
}

// TestFirstOwnerDiesWithTheClaim kills the first owner after it recorded the
// claim and before its leave arrives: the repetition runs, since nothing did.
func TestFirstOwnerDiesWithTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		key, owner := c.keyOfAnother()
		c.mute = owner
		_, failure := c.ask(t, 0, key, "confirm")
		if failure == nil || failure.Verdict != verdict.NotRun || c.engine.runs != 0 {
			t.Fatalf("%v after %d runs", failure, c.engine.runs)
		}
		time.Sleep(2 * time.Second)
		c.kill(owner)
		if _, failure := c.ask(t, 0, key, "confirm"); failure != nil || c.engine.runs != 1 {
			t.Fatalf("%v after %d runs", failure, c.engine.runs)
		}
	})
}

func TestOwnerThatCannotBeAskedMeansNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		c.cut["node-1"] = true
		refused := 0
		for i := range 20 {
			_, failure := c.ask(t, 0, fmt.Sprint("key-", i), "confirm")
			if failure == nil {
				continue
			}
			refused++
			if failure.Verdict != verdict.NotRun || failure.RetryAfter == 0 {
				t.Errorf("refused with %v", failure)
			}
		}
		if refused == 0 || refused+c.engine.runs != 20 {
			t.Fatalf("%d refused, %d runs", refused, c.engine.runs)
		}
	})
}

// TestEndOfClaimsRefusesThoseUnderWay guards against a caller whose connection is cut by the end
// of its node while that waits for another node's word on the key.
func TestEndOfClaimsRefusesThoseUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		key, owner := c.keyOfAnother()
		c.cut[owner] = true
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, c.runners["node-0"].EndClaims)
		_, failure := c.ask(t, 0, key, "confirm")
		if waited := time.Since(began); waited != 100*time.Millisecond {
			t.Errorf("ended after %v", waited)
		}
		if failure == nil || failure.Verdict != verdict.NotRun || failure.Code != verdict.CodeNodeDraining || failure.RetryAfter == 0 {
			t.Errorf("ended by %v", failure)
		}
		if c.engine.runs != 0 {
			t.Errorf("%d runs", c.engine.runs)
		}
	})
}
