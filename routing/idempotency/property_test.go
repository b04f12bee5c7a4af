package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
)

// cell runs several tables whose views of membership differ, over a network
// that loses, repeats and delays messages.
type cell struct {
	t      *rapid.T
	now    time.Time
	tables map[cluster.NodeID]*Table
	// reachable nodes answer; the others live on with their old views.
	reachable []cluster.NodeID
	// outdated is when a node's view must have been brought up to date, or an
	// unreachable node ends: the promise holds within Config.Lag.
	outdated map[cluster.NodeID]time.Time
	started  int
	requests int
	// waiting lists claims that wait for an answer, late the questions that may
	// arrive once more.
	waiting []waiting
	late    []waiting
	// running gives, by key, the requests that got leave and who gave it.
	running map[string][]leave
	// ran gives, by key, when its request was last known to run or to have run.
	ran map[string]time.Time
}

type leave struct {
	request cluster.RequestID
	owners  []cluster.NodeID
}

// waiting is a claim at a first owner, with the question that it must put.
type waiting struct {
	at  cluster.NodeID
	ask Decision
}

var keys = []string{"k1", "k2", "k3", "k4"}

func (c *cell) anyNode(t *rapid.T) cluster.NodeID {
	all := make([]cluster.NodeID, 0, len(c.tables))
	for node := range c.tables {
		all = append(all, node)
	}
	slices.Sort(all)
	return rapid.SampledFrom(all).Draw(t, "node")
}

func newTestCell(t *rapid.T) *cell {
	return &cell{
		t: t, now: start, tables: make(map[cluster.NodeID]*Table), outdated: make(map[cluster.NodeID]time.Time),
		running: make(map[string][]leave), ran: make(map[string]time.Time),
	}
}

// found starts nodes that have known each other for long.
func (c *cell) found(count int) {
	for range count {
		c.started++
		c.reachable = append(c.reachable, cluster.NodeID(fmt.Sprint("n", c.started)))
	}
	for _, node := range c.reachable {
		c.tables[node] = New(node, Config{})
		c.tables[node].SetMembers(c.now.Add(-time.Hour), named(c.reachable...))
		c.outdated[node] = c.now.Add(9 * time.Minute)
	}
}

// join starts a node that hears of one other node first.
func (c *cell) join(t *rapid.T) {
	if len(c.reachable) >= 5 || rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		t.Skip()
	}
	c.started++
	node := cluster.NodeID(fmt.Sprint("n", c.started))
	c.tables[node] = New(node, Config{})
	view := []cluster.NodeID{node}
	if len(c.reachable) > 0 {
		view = append(view, rapid.SampledFrom(c.reachable).Draw(t, "hears of"))
	}
	c.reachable = append(c.reachable, node)
	c.tables[node].SetMembers(c.now, named(view...))
	c.outdated[node] = c.now.Add(9 * time.Minute)
}

func (c *cell) learnAs(node cluster.NodeID) {
	c.tables[node].SetMembers(c.now, named(c.reachable...))
	c.outdated[node] = c.now.Add(9 * time.Minute)
}

// cut makes a node unreachable: dead, or alive with callers of its own.
func (c *cell) cut(t *rapid.T) {
	if len(c.reachable) < 2 || rapid.IntRange(0, 4).Draw(t, "rarely") > 0 {
		t.Skip()
	}
	node := rapid.SampledFrom(c.reachable).Draw(t, "cut")
	c.reachable = slices.DeleteFunc(slices.Clone(c.reachable), func(n cluster.NodeID) bool { return n == node })
	c.outdated[node] = c.now.Add(9 * time.Minute)
	if rapid.Bool().Draw(t, "dead") {
		delete(c.tables, node)
	}
}

// stop hands a node over to another one, whole or only in part, of which some
// learn. The node may live on for a while.
func (c *cell) stop(t *rapid.T) {
	if len(c.reachable) < 2 || rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip()
	}
	pair := rapid.Permutation(c.reachable).Draw(t, "stops")
	left, heir := pair[0], pair[1]
	handover := c.tables[left].Leave(c.now)
	whole := rapid.IntRange(0, 3).Draw(t, "whole") > 0
	if !whole {
		handover.Records = handover.Records[:len(handover.Records)/2]
	}
	if c.tables[heir].Inherit(c.now, handover) && whole {
		for _, node := range pair[1:] {
			if rapid.IntRange(0, 3).Draw(t, "learns") > 0 {
				c.tables[node].Succeed(c.now, left, heir)
			}
		}
	}
	c.outdated[left] = c.now
	if rapid.Bool().Draw(t, "ends") {
		c.reachable = slices.DeleteFunc(slices.Clone(c.reachable), func(n cluster.NodeID) bool { return n == left })
		delete(c.tables, left)
	}
}

// resume makes a node that was cut off reachable again, with its old view.
func (c *cell) resume(t *rapid.T) {
	node := c.anyNode(t)
	if !slices.Contains(c.reachable, node) {
		c.reachable = append(c.reachable, node)
	}
}

// learn updates one reachable node's view; the others' stay behind.
func (c *cell) learn(t *rapid.T) {
	c.learnAs(rapid.SampledFrom(c.reachable).Draw(t, "learns"))
}

// suspect gives one node a view that lacks one or more others, which may be
// alive.
func (c *cell) suspect(t *rapid.T) {
	if rapid.IntRange(0, 1).Draw(t, "rarely") > 0 {
		t.Skip()
	}
	node := rapid.SampledFrom(c.reachable).Draw(t, "suspects")
	lacks := rapid.IntRange(1, 2).Draw(t, "lacks")
	view := []cluster.NodeID{node}
	for i, other := range rapid.Permutation(c.reachable).Draw(t, "others") {
		if other != node && i >= lacks {
			view = append(view, other)
		}
	}
	c.tables[node].SetMembers(c.now, named(view...))
	c.outdated[node] = c.now.Add(9 * time.Minute)
}

func (c *cell) request(t *rapid.T) {
	c.requests++
	key := rapid.SampledFrom(keys).Draw(t, "key")
	accepting := c.anyNode(t)
	asked := claim(key, cluster.RequestID(fmt.Sprint("r", c.requests)), accepting)
	at := accepting
	for range 3 {
		decision := c.tables[at].Begin(c.now, asked)
		c.take(at, asked, decision)
		if decision.Kind != DecisionForward || !c.linked(at, decision.Owner) {
			return
		}
		at = decision.Owner
	}
}

// take follows a decision of a first owner.
func (c *cell) take(at cluster.NodeID, claimed Claim, decision Decision) {
	switch decision.Kind {
	case DecisionAsk:
		c.waiting = append(c.waiting, waiting{at, decision})
	case DecisionRun:
		c.run(claimed.Key.Key, leave{claimed.Request, []cluster.NodeID{at, decision.Owner}})
	}
}

// step moves one waiting claim on. Its question or the answer may be lost, and
// the question may arrive once more at any time.
func (c *cell) step(t *rapid.T) {
	if len(c.waiting) == 0 {
		t.Skip()
	}
	at := rapid.IntRange(0, len(c.waiting)-1).Draw(t, "waiting")
	one := c.waiting[at]
	c.waiting = slices.Delete(c.waiting, at, at+1)
	fate := rapid.SampledFrom([]string{"arrives", "arrives", "arrives", "again", "again", "lost", "answer lost"}).Draw(t, "fate")
	c.put(one, fate)
}

// drive brings one waiting claim to its end without loss.
func (c *cell) drive(t *rapid.T) {
	if len(c.waiting) == 0 {
		t.Skip()
	}
	for before := 0; len(c.waiting) > before; {
		one := c.waiting[len(c.waiting)-1]
		c.waiting = c.waiting[:len(c.waiting)-1]
		before = len(c.waiting)
		c.put(one, "arrives")
	}
}

// put puts a waiting claim's question.
func (c *cell) put(one waiting, fate string) {
	answer := Answer{Kind: AnswerNone, From: one.ask.Ask}
	if c.linked(one.at, one.ask.Ask) && fate != "lost" {
		told := c.tables[one.ask.Ask].Asked(c.now, one.ask.Question)
		told.To = one.ask.Question.Round
		if fate != "answer lost" {
			answer = told
		}
	}
	if fate != "arrives" {
		c.late = append(c.late, one)
	}
	claimed := one.ask.Question.Claim
	if table := c.tables[one.at]; table != nil {
		c.take(one.at, claimed, table.Answered(c.now, claimed.Key, claimed.Request, answer))
	}
}

// arriveLate delivers a question whose answer nobody waits for.
func (c *cell) arriveLate(t *rapid.T) {
	if len(c.late) == 0 {
		t.Skip()
	}
	one := rapid.SampledFrom(c.late).Draw(t, "late")
	if slices.Contains(c.reachable, one.ask.Ask) && c.tables[one.ask.Ask] != nil {
		c.tables[one.ask.Ask].Asked(c.now, one.ask.Question)
	}
}

func (c *cell) linked(from, to cluster.NodeID) bool {
	return slices.Contains(c.reachable, from) && slices.Contains(c.reachable, to)
}

func (c *cell) run(key string, granted leave) {
	if last, again := c.ran[key]; again && c.now.Sub(last) < 30*time.Minute {
		c.t.Fatalf("%s runs as %s, but already ran at most %v ago", key, granted.request, c.now.Sub(last))
	}
	c.running[key] = append(c.running[key], granted)
	c.ran[key] = c.now
}

// keys lists the keys with running requests.
func (c *cell) keys() (running []string) {
	for key, leaves := range c.running {
		if len(leaves) > 0 {
			running = append(running, key)
		}
	}
	slices.Sort(running)
	return running
}

// finish ends a request; its outcome may not reach its owners.
func (c *cell) finish(t *rapid.T) {
	running := c.keys()
	if len(running) == 0 {
		t.Skip()
	}
	key := rapid.SampledFrom(running).Draw(t, "key")
	done := c.running[key][0]
	c.running[key] = c.running[key][1:]
	kind := rapid.SampledFrom([]OutcomeKind{OutcomeNotRun, OutcomeAnswered, OutcomeUnknown}).Draw(t, "outcome")
	for _, owner := range done.owners {
		if table := c.tables[owner]; table != nil && rapid.Bool().Draw(t, "arrives") {
			table.Finish(c.now, Key{"/dental", key}, Outcome{Kind: kind, Request: done.request})
		}
	}
	if kind == OutcomeNotRun && len(c.running[key]) == 0 {
		delete(c.ran, key)
	}
}

func (c *cell) pass(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 240).Draw(t, "seconds")) * time.Second)
	c.update()
}

// rush passes a short time, within which claims still wait.
func (c *cell) rush(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
	c.update()
}

// update brings old views up to date.
func (c *cell) update() {
	for node, due := range c.outdated {
		switch {
		case c.now.Before(due) || c.tables[node] == nil:
		case c.tables[node].left && len(c.reachable) > 1:
			c.reachable = slices.DeleteFunc(slices.Clone(c.reachable), func(n cluster.NodeID) bool { return n == node })
			delete(c.tables, node)
		case slices.Contains(c.reachable, node):
			c.learnAs(node)
		default:
			delete(c.tables, node)
		}
	}
}

// TestNeverRunsTwice drives tables with lagging views, deaths, partitions and
// messages that are lost, late and repeated.
func TestNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCell(t)
		c.found(rapid.IntRange(1, 5).Draw(t, "nodes"))
		t.Repeat(map[string]func(*rapid.T){
			"join": c.join, "cut": c.cut, "stop": c.stop, "resume": c.resume, "learn": c.learn, "learn too": c.learn, "suspect": c.suspect,
			"request": c.request, "request too": c.request, "request three": c.request,
			"step": c.step, "step too": c.step, "step three": c.step, "step four": c.step, "step five": c.step,
			"drive": c.drive, "late": c.arriveLate, "finish": c.finish, "pass": c.pass, "rush": c.rush,
		})
	})
}

// TestFirstOwnersThatDiffer lets several nodes that take themselves for the
// first owner of one key ask at the same time, in every order of the messages.
func TestFirstOwnersThatDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCell(t)
		c.found(3)
		// The owners of before are asked by nodes that don't know each other.
		old := slices.Clone(c.reachable)
		joiners := []cluster.NodeID{"j1", "j2", "j3", "j4"}
		c.reachable = append(c.reachable, joiners...)
		learn := func(node cluster.NodeID) {
			view := append(slices.Clone(old), node)
			view = append(view, rapid.SliceOfNDistinct(rapid.SampledFrom(joiners), 0, 3, rapid.ID).Draw(t, "knows")...)
			c.tables[node].SetMembers(c.now, named(view...))
		}
		for _, node := range joiners {
			c.tables[node] = New(node, Config{})
			learn(node)
		}
		name := rapid.StringMatching("[a-z]{3}").Draw(t, "key")
		key := Key{"/dental", name}
		claims := func(t *rapid.T) {
			node := c.anyNode(t)
			if c.tables[node].Owners(key)[0] != node {
				t.Skip()
			}
			c.requests++
			asked := claim(name, cluster.RequestID(fmt.Sprint("r", c.requests)), node)
			c.take(node, asked, c.tables[node].Begin(c.now, asked))
		}
		t.Repeat(map[string]func(*rapid.T){
			"learn": func(t *rapid.T) { learn(c.anyNode(t)) }, "stop": c.stop,
			"claim": claims, "claim too": claims, "drive": c.drive, "late": c.arriveLate, "finish": c.finish,
			"step": c.step, "step too": c.step, "step three": c.step,
		})
	})
}

// TestNewKeysRunAfterOneLoss holds that a new key gets leave whenever at most
// one node was lost within the retention, whoever joined meanwhile.
func TestNewKeysRunAfterOneLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := func() cluster.ZoneID { return rapid.SampledFrom([]cluster.ZoneID{"x", "y", "z"}).Draw(t, "zone") }
		r := newRegion()
		for i := range rapid.IntRange(3, 8).Draw(t, "nodes") {
			node := Member{cluster.NodeID(fmt.Sprint("n", i)), zone()}
			r.nodes = append(r.nodes, node)
			r.tables[node.ID] = New(node.ID, Config{})
		}
		r.now = start.Add(-time.Hour)
		r.learn()
		r.now = start
		lost, count := start.Add(-time.Hour), 0
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				count++
				r.join(Member{cluster.NodeID(fmt.Sprint("j", count)), zone()})
			},
			"lose": func(t *rapid.T) {
				if len(r.nodes) <= 3 || r.now.Sub(lost) <= 40*time.Minute {
					t.Skip()
				}
				lost = r.now
				r.kill(rapid.SampledFrom(r.nodes).Draw(t, "dead").ID)
			},
			"claim": func(t *rapid.T) {
				count++
				asked := claim(fmt.Sprint("key-", count), cluster.RequestID(fmt.Sprint("r", count)), r.nodes[0].ID)
				if decision := r.claim(asked); decision.Kind != DecisionRun {
					t.Fatalf("new key got %+v", decision)
				}
			},
			"pass": func(t *rapid.T) { r.now = r.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "s")) * time.Second) },
		})
	})
}
