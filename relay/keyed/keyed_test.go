package keyed

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/verdict"
)

// TestRepeatedKeyOnAnyNodeRunsOnce guards against a request that runs twice because its
// repetitions reach several nodes at the same time or later.
func TestRepeatedKeyOnAnyNodeRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(5)
		var group sync.WaitGroup
		answered := make(chan string, 20)
		for i := range 20 {
			group.Go(func() {
				body, failure := c.ask(t, i%5, "k", "confirm")
				if failure == nil {
					answered <- body
				} else if failure.Code != verdict.CodeDuplicateKey || failure.RetryAfter == 0 {
					t.Errorf("refused with %v", failure)
				}
			})
		}
		group.Wait()
		synctest.Wait() // The outcome arrives at the owner.
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

// TestKeyReusedForDifferentRequestIsRefused guards against the answer of one request being
// replayed for another one that has the same key and a different body.
func TestKeyReusedForDifferentRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
		_, _ = c.ask(t, 0, "k", "confirm")
		_, failure := c.ask(t, 1, "k", "cancel")
		if failure == nil || failure.Code != verdict.CodeConflict || failure.Verdict != verdict.NotRun || c.engine.runs != 1 {
			t.Fatalf("%v after %d runs", failure, c.engine.runs)
		}
	})
}

// TestRequestThatDidNotRunReleasesItsKey guards against a key that stays blocked after its
// request was refused without running.
func TestRequestThatDidNotRunReleasesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
		c.engine.fail = verdict.New(verdict.NotRun, verdict.CodeQueueFull, "full")
		_, _ = c.ask(t, 0, "k", "confirm")
		time.Sleep(time.Second)
		c.engine.fail = nil
		if body, failure := c.ask(t, 1, "k", "confirm"); failure != nil || body != "answer 2" {
			t.Fatalf("%q, %v", body, failure)
		}
	})
}

// TestRequestThatMayHaveRunKeepsItsKey guards against a second run after a failure that leaves
// open whether the request ran.
func TestRequestThatMayHaveRunKeepsItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
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

// TestAnswerIsKeptAfterCallerDisconnects guards against an answer that is lost because its
// caller disconnected before it came: the repetition gets it.
func TestAnswerIsKeptAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		_, failure := c.askAs(ctx, 0, "k", "confirm", &fakeCaller{failWrites: true})
		if failure == nil || failure.Code != verdict.CodeCallerGone {
			t.Fatalf("first: %v", failure)
		}
		synctest.Wait()
		if body, failure := c.ask(t, 2, "k", "confirm"); failure != nil || body != "answer 1" {
			t.Fatalf("repetition: %q, %v", body, failure)
		}
	})
}

// TestCallerDisconnectEndsStream guards against a stream that an engine generates for nobody:
// clients don't repeat streams, so a disconnected caller ends it.
func TestCallerDisconnectEndsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
		call := relay.Call{Request: routing.Request{ID: "stream", TokenPath: "/dental"}, Key: "k", Stream: true}
		result := c.runners["node-0"].Run(t.Context(), call, &fakeCaller{failWrites: true})
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

// kill ends a node without a handover and updates the membership of the others.
func (c *testRegion) kill(name string) {
	c.mutex.Lock()
	delete(c.runners, name)
	c.nodes = slices.DeleteFunc(c.nodes, func(n cluster.Node) bool { return n.PeerAddress == name })
	c.mutex.Unlock()
	for _, runner := range c.runners {
		runner.SetMembers(time.Now())
	}
}

// join starts a node and updates the membership of all.
func (c *testRegion) join(name string) {
	node := cluster.Node{ID: cluster.NodeID(name), PeerAddress: name}
	c.mutex.Lock()
	c.nodes = append(c.nodes, node)
	c.runners[name] = NewRunner(c.engine, testPeers{c, node}, idempotency.Config{}, 0)
	c.mutex.Unlock()
	for _, runner := range c.runners {
		runner.SetMembers(time.Now())
	}
}

// askAll sends requests with 40 new keys, one after the other, to all nodes in turn. It
// returns how many ran and how many were refused because their outcome is unknown.
func (c *testRegion) askAll(t *testing.T, prefix string) (ran, unknown int) {
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

// TestNewKeysAfterNodeLosses guards against keys that run twice because the nodes that knew
// them died. Two of three nodes die one after the other. After the first loss new keys run
// and old ones do not run again; after the second, new keys are refused as unknown until the
// losses have expired.
func TestNewKeysAfterNodeLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
		if ran, _ := c.askAll(t, "old-"); ran != 40 {
			t.Fatalf("%d of 40 ran", ran)
		}
		time.Sleep(2 * time.Second) // The outcomes arrive.
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
			t.Fatalf("%d of 40 ran after the losses had expired", ran)
		}
	})
}

// TestPlannedStopHandsOverAllKeys guards against keys that run twice or are refused because a
// planned stop lost their records. Two of three nodes are stopped and replaced one after the
// other; old keys stay known and new keys run, also after the loss of another node.
func TestPlannedStopHandsOverAllKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
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
			t.Fatalf("%d of 40 ran after another loss, %d unknown", ran, unknown)
		}
	})
}

// TestHandoverWithoutConnectionEndsInTime guards against a stop that hangs because no node
// takes over the records: Handover ends with its context, and later claims are refused.
func TestHandoverWithoutConnectionEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
		c.disconnected["node-0"] = true
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

// keyOwnedByOther returns a key whose first owner is not node-0, and that owner.
func (c *testRegion) keyOwnedByOther() (key, owner string) {
	for i := 0; owner == "" || owner == "node-0"; i++ {
		key = fmt.Sprint("k", i)
		owner = string(c.runners["node-0"].table.Owners(idempotency.Key{TokenPath: "/dental", Key: key})[0])
	}
	return key, owner
}

// TestRepetitionRunsAfterFirstOwnerDiesWithClaim guards against a key that stays blocked by a
// request that never ran: the first owner records the claim and dies before its decision
// arrives.
func TestRepetitionRunsAfterFirstOwnerDiesWithClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
		key, owner := c.keyOwnedByOther()
		c.losesDecisions = owner
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

// TestUnreachableOwnerMeansNotRun guards against a request that runs, or is reported as possibly
// run, although the owner of its key cannot be asked.
func TestUnreachableOwnerMeansNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(2)
		c.disconnected["node-1"] = true
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

// TestEndClaimsRefusesPendingClaims guards against a caller whose connection breaks when its
// node stops: the node was waiting for another node's decision on the key and did not count
// the request as in flight.
func TestEndClaimsRefusesPendingClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestRegion(3)
		key, owner := c.keyOwnedByOther()
		c.disconnected[owner] = true
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, c.runners["node-0"].RefuseClaims)
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
