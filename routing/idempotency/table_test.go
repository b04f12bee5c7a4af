package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

var start = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

func claim(key string, request cluster.RequestID, from cluster.NodeID) Claim {
	return Claim{Key: Key{"/dental", key}, Fingerprint: 1, Request: request, From: from}
}

func expectKind(t *testing.T, decision Decision, want DecisionKind) {
	t.Helper()
	if decision.Kind != want {
		t.Fatalf("got %+v, want kind %d", decision, want)
	}
	failure := decision.Failure()
	refusal := want >= DecisionInProgress
	if refusal != (failure != nil) || (refusal && failure.RetryAfter <= 0) {
		t.Fatalf("kind %d: failure %v", want, failure)
	}
}

func TestOneNode(t *testing.T) {
	key := Key{"/dental", "k"}
	table := New("a", Config{MaxKeys: 2})
	expectKind(t, table.Begin(start, claim("k", "r1", "a")), DecisionUnknown)
	table.SetMembers(start, []cluster.NodeID{"a"})
	expectKind(t, table.Begin(start, claim("k", "r1", "a")), DecisionRun)
	expectKind(t, table.Begin(start, claim("k", "r2", "a")), DecisionInProgress)
	other := claim("k", "r2", "a")
	other.Fingerprint = 2
	expectKind(t, table.Begin(start, other), DecisionMismatch)
	table.Finish(start, key, Outcome{Kind: OutcomeNotRun, Request: "r2"})
	expectKind(t, table.Begin(start, claim("k", "r2", "a")), DecisionInProgress)
	table.Finish(start, key, Outcome{Kind: OutcomeNotRun, Request: "r1"})
	expectKind(t, table.Begin(start, claim("k", "r3", "a")), DecisionRun)
	table.Finish(start, key, Outcome{Kind: OutcomeAnswered, Request: "r3", Holder: "a"})
	if replay := table.Begin(start, claim("k", "r4", "a")); replay.Kind != DecisionReplay || replay.Outcome.Request != "r3" {
		t.Fatalf("got %+v", replay)
	}
	expectKind(t, table.Begin(start, claim("l", "r5", "a")), DecisionRun)
	expectKind(t, table.Begin(start, claim("m", "r6", "a")), DecisionFull)
	later := start.Add(30 * time.Minute)
	expectKind(t, table.Begin(later, claim("k", "r7", "a")), DecisionRun)
	expectKind(t, table.Begin(later, claim("l", "r8", "a")), DecisionUnknown)
	table.Finish(later, Key{"/dental", "l"}, Outcome{Kind: OutcomeRan, Request: "r5"})
	expectKind(t, table.Begin(later, claim("l", "r8", "a")), DecisionRan)
}

// keyOwnedBy returns a key that the node owns among the members.
func keyOwnedBy(node cluster.NodeID, members ...cluster.NodeID) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		if newMembers(members).owner(Key{"/dental", key}.hash()) == node {
			return key
		}
	}
}

func TestOwnerDied(t *testing.T) {
	key := keyOwnedBy("b", "a", "b")
	table := New("a", Config{})
	table.SetMembers(start.Add(-time.Hour), []cluster.NodeID{"a", "b"})
	if forwarded := table.Begin(start, claim(key, "r1", "a")); forwarded.Kind != DecisionForward || forwarded.Owner != "b" {
		t.Fatalf("got %+v", forwarded)
	}
	table.SetMembers(start, []cluster.NodeID{"a"})
	unknown := table.Begin(start.Add(10*time.Minute), claim(key, "r1", "a"))
	expectKind(t, unknown, DecisionUnknown)
	if unknown.RetryAfter != 20*time.Minute || unknown.Failure().Code != verdict.CodeOutcomeUnknown {
		t.Fatalf("got %+v", unknown)
	}
	expectKind(t, table.Begin(start.Add(31*time.Minute), claim(key, "r1", "a")), DecisionRun)
}

func TestNewNodeThatDoesNotKnowTheOwner(t *testing.T) {
	key := ""
	for i := 0; newMembers([]cluster.NodeID{"a", "y"}).owner(Key{"/dental", key}.hash()) != "y" || key == ""; i++ {
		key = fmt.Sprint(i, keyOwnedBy("b", "a", "b", "y"))
		if newMembers([]cluster.NodeID{"a", "b", "y"}).owner(Key{"/dental", key}.hash()) != "b" {
			key = ""
		}
	}
	former, joiner := New("a", Config{}), New("y", Config{})
	former.SetMembers(start.Add(-time.Hour), []cluster.NodeID{"a", "b"})
	joiner.SetMembers(start, []cluster.NodeID{"a", "y"})
	asked := claim(key, "r1", "y")
	expectKind(t, joiner.Begin(start, asked), DecisionAsk)
	answer := former.Asked(start, Question{Key: asked.Key, From: "y"})
	expectKind(t, joiner.Answered(start, asked.Key, "r1", answer), DecisionUnknown)
}

func TestRunnerDied(t *testing.T) {
	table := New("a", Config{})
	table.SetMembers(start.Add(-time.Hour), []cluster.NodeID{"a", "b"})
	key := keyOwnedBy("a", "a", "b")
	expectKind(t, table.Begin(start, claim(key, "r1", "b")), DecisionRun)
	table.SetMembers(start, []cluster.NodeID{"a"})
	expectKind(t, table.Begin(start, claim(key, "r2", "a")), DecisionUnknown)
}

func TestRendezvousMovesFewKeys(t *testing.T) {
	nodes := []cluster.NodeID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	all, fewer := newMembers(nodes), newMembers(nodes[1:])
	counts := make(map[cluster.NodeID]int)
	for i := range 10000 {
		hash := Key{"/dental", fmt.Sprint(i)}.hash()
		before, after := all.owner(hash), fewer.owner(hash)
		counts[before]++
		if before != "a" && before != after {
			t.Fatalf("key %d moved from %s to %s, though a left", i, before, after)
		}
	}
	for _, node := range nodes {
		if counts[node] < 850 || counts[node] > 1150 {
			t.Fatalf("%s owns %d of 10,000 keys", node, counts[node])
		}
	}
}

// cell runs several tables whose views of membership differ.
type cell struct {
	t      *rapid.T
	now    time.Time
	tables map[cluster.NodeID]*Table
	// reachable nodes answer; the others live on with their old views.
	reachable []cluster.NodeID
	// outdated is when a node's view must have been brought up to date, or an
	// unreachable node ends: the promise holds for less than a window.
	outdated map[cluster.NodeID]time.Time
	started  int
	requests int
	// running gives, by key, the requests that got leave and who gave it.
	running map[string][]leave
	// ran gives, by key, when its request was last known to run or to have run.
	ran map[string]time.Time
}

type leave struct {
	request cluster.RequestID
	owner   cluster.NodeID
}

func (c *cell) anyNode(t *rapid.T) cluster.NodeID {
	all := make([]cluster.NodeID, 0, len(c.tables))
	for node := range c.tables {
		all = append(all, node)
	}
	slices.Sort(all)
	return rapid.SampledFrom(all).Draw(t, "node")
}

// join starts a node that hears of one other node first.
func (c *cell) join(t *rapid.T) {
	if len(c.reachable) >= 5 {
		return
	}
	c.started++
	node := cluster.NodeID(fmt.Sprint("n", c.started))
	c.tables[node] = New(node, Config{})
	view := []cluster.NodeID{node}
	if len(c.reachable) > 0 {
		view = append(view, rapid.SampledFrom(c.reachable).Draw(t, "hears of"))
	}
	c.reachable = append(c.reachable, node)
	c.tables[node].SetMembers(c.now, view)
	c.outdated[node] = c.now.Add(10 * time.Minute)
}

func (c *cell) learnAs(node cluster.NodeID) {
	c.tables[node].SetMembers(c.now, c.reachable)
	c.outdated[node] = c.now.Add(10 * time.Minute)
}

// cut makes a node unreachable: dead, or alive with callers of its own.
func (c *cell) cut(t *rapid.T) {
	if len(c.reachable) < 2 {
		t.Skip()
	}
	node := rapid.SampledFrom(c.reachable).Draw(t, "cut")
	c.reachable = slices.DeleteFunc(slices.Clone(c.reachable), func(n cluster.NodeID) bool { return n == node })
	c.outdated[node] = c.now.Add(10 * time.Minute)
	if rapid.Bool().Draw(t, "dead") {
		delete(c.tables, node)
	}
}

// learn updates one reachable node's view; the others' stay behind.
func (c *cell) learn(t *rapid.T) {
	c.learnAs(rapid.SampledFrom(c.reachable).Draw(t, "learns"))
}

func (c *cell) request(t *rapid.T) {
	c.requests++
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	accepting := c.anyNode(t)
	asked := claim(key, cluster.RequestID(fmt.Sprint("r", c.requests)), accepting)
	at := accepting
	for range 3 {
		decision := c.tables[at].Begin(c.now, asked)
		for decision.Kind == DecisionAsk {
			decision = c.tables[at].Answered(c.now, asked.Key, asked.Request, c.ask(at, decision.Ask[0], asked.Key))
		}
		if decision.Kind == DecisionRun {
			c.run(key, leave{asked.Request, at})
		}
		if decision.Kind != DecisionForward || !c.linked(at, decision.Owner) {
			return
		}
		at = decision.Owner
	}
}

func (c *cell) linked(from, to cluster.NodeID) bool {
	return slices.Contains(c.reachable, from) && slices.Contains(c.reachable, to)
}

func (c *cell) ask(from, to cluster.NodeID, key Key) Answer {
	if !c.linked(from, to) {
		return Answer{Kind: AnswerNone, From: to}
	}
	return c.tables[to].Asked(c.now, Question{Key: key, From: from})
}

func (c *cell) run(key string, granted leave) {
	if last, again := c.ran[key]; again && c.now.Sub(last) < 30*time.Minute {
		c.t.Fatalf("%s runs as %s, but already ran at most %v ago", key, granted.request, c.now.Sub(last))
	}
	c.running[key] = append(c.running[key], granted)
	c.ran[key] = c.now
}

// finish ends a request; its outcome may not reach the owner.
func (c *cell) finish(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	if len(c.running[key]) == 0 {
		t.Skip()
	}
	done := c.running[key][0]
	c.running[key] = c.running[key][1:]
	kind := rapid.SampledFrom([]OutcomeKind{OutcomeNotRun, OutcomeAnswered, OutcomeUnknown}).Draw(t, "outcome")
	if table := c.tables[done.owner]; table != nil && rapid.Bool().Draw(t, "arrives") {
		table.Finish(c.now, Key{"/dental", key}, Outcome{Kind: kind, Request: done.request})
	}
	if kind == OutcomeNotRun && len(c.running[key]) == 0 {
		delete(c.ran, key)
	}
}

func (c *cell) pass(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 240).Draw(t, "seconds")) * time.Second)
	for node, due := range c.outdated {
		switch {
		case c.now.Before(due) || c.tables[node] == nil:
		case slices.Contains(c.reachable, node):
			c.learnAs(node)
		default:
			delete(c.tables, node)
		}
	}
}

// TestNeverRunsTwice drives tables with lagging views, deaths and partitions.
func TestNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cell{
			t: t, now: start, tables: make(map[cluster.NodeID]*Table),
			running: make(map[string][]leave), ran: make(map[string]time.Time),
			outdated: make(map[cluster.NodeID]time.Time),
		}
		c.join(t)
		t.Repeat(map[string]func(*rapid.T){
			"join": c.join, "cut": c.cut, "learn": c.learn, "learn too": c.learn, "request": c.request,
			"request too": c.request, "request three": c.request, "finish": c.finish, "pass": c.pass,
		})
	})
}
