package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
)

// faultyRegion runs several tables with different views of the membership over a network that
// loses, duplicates and delays messages.
type faultyRegion struct {
	t      *rapid.T
	now    time.Time
	tables map[cluster.NodeID]*Table
	// reachable nodes answer; the others continue to run with their old views.
	reachable []cluster.NodeID
	// viewDeadlines holds the time by which a node's view must be up to date or an unreachable
	// node has ended, as Config.Lag requires.
	viewDeadlines map[cluster.NodeID]time.Time
	started       int
	requests      int
	// waiting lists the questions of claims that wait for an answer, and late those that may
	// arrive once more.
	waiting []pendingQuestion
	late    []pendingQuestion
	// running holds, by key, the granted requests with their owners.
	running map[string][]grant
	// lastRan holds, by key, the time at which a request was last known to run or to have run.
	lastRan map[string]time.Time
}

// grant is a granted request with the owners that recorded it.
type grant struct {
	request cluster.RequestID
	owners  []cluster.NodeID
}

// pendingQuestion is a question that a first owner must ask for a claim.
type pendingQuestion struct {
	at  cluster.NodeID
	ask Decision
}

var keys = []string{"k1", "k2", "k3", "k4"}

// anyNode draws one of all running nodes.
func (c *faultyRegion) anyNode(t *rapid.T) cluster.NodeID {
	all := make([]cluster.NodeID, 0, len(c.tables))
	for node := range c.tables {
		all = append(all, node)
	}
	slices.Sort(all)
	return rapid.SampledFrom(all).Draw(t, "node")
}

func newFaultyRegion(t *rapid.T) *faultyRegion {
	return &faultyRegion{
		t: t, now: start, tables: make(map[cluster.NodeID]*Table), viewDeadlines: make(map[cluster.NodeID]time.Time),
		running: make(map[string][]grant), lastRan: make(map[string]time.Time),
	}
}

// startNodes starts nodes that have known each other for an hour.
func (c *faultyRegion) startNodes(count int) {
	for range count {
		c.started++
		c.reachable = append(c.reachable, cluster.NodeID(fmt.Sprint("n", c.started)))
	}
	for _, node := range c.reachable {
		c.tables[node] = New(node, Config{})
		c.tables[node].SetMembers(c.now.Add(-time.Hour), named(c.reachable...))
		c.viewDeadlines[node] = c.now.Add(9 * time.Minute)
	}
}

// join starts a node that knows at most one other node.
func (c *faultyRegion) join(t *rapid.T) {
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
	c.viewDeadlines[node] = c.now.Add(9 * time.Minute)
}

// updateView gives a node the current view.
func (c *faultyRegion) updateView(node cluster.NodeID) {
	c.tables[node].SetMembers(c.now, named(c.reachable...))
	c.viewDeadlines[node] = c.now.Add(9 * time.Minute)
}

// disconnect makes a node unreachable: it either crashed, or runs on and accepts requests.
func (c *faultyRegion) disconnect(t *rapid.T) {
	if len(c.reachable) < 2 || rapid.IntRange(0, 4).Draw(t, "rarely") > 0 {
		t.Skip()
	}
	node := rapid.SampledFrom(c.reachable).Draw(t, "cut")
	c.reachable = slices.DeleteFunc(slices.Clone(c.reachable), func(n cluster.NodeID) bool { return n == node })
	c.viewDeadlines[node] = c.now.Add(9 * time.Minute)
	if rapid.Bool().Draw(t, "dead") {
		delete(c.tables, node)
	}
}

// stop hands a node over to another one, completely or in part, and informs some of the other
// nodes. The node may run on for a while.
func (c *faultyRegion) stop(t *rapid.T) {
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
				c.tables[node].RecordHeir(c.now, left, heir)
			}
		}
	}
	c.viewDeadlines[left] = c.now
	if rapid.Bool().Draw(t, "ends") {
		c.reachable = slices.DeleteFunc(slices.Clone(c.reachable), func(n cluster.NodeID) bool { return n == left })
		delete(c.tables, left)
	}
}

// resume makes a disconnected node reachable again, with its old view.
func (c *faultyRegion) resume(t *rapid.T) {
	node := c.anyNode(t)
	if !slices.Contains(c.reachable, node) {
		c.reachable = append(c.reachable, node)
	}
}

// learn updates the view of one reachable node; the others keep theirs.
func (c *faultyRegion) learn(t *rapid.T) {
	c.updateView(rapid.SampledFrom(c.reachable).Draw(t, "learns"))
}

// suspect gives one node a view that lacks one or two others, which may be running.
func (c *faultyRegion) suspect(t *rapid.T) {
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
	c.viewDeadlines[node] = c.now.Add(9 * time.Minute)
}

// request sends a request with a random key to any node and follows it to the first owner.
func (c *faultyRegion) request(t *rapid.T) {
	c.requests++
	key := rapid.SampledFrom(keys).Draw(t, "key")
	accepting := c.anyNode(t)
	asked := claim(key, cluster.RequestID(fmt.Sprint("r", c.requests)), accepting)
	at := accepting
	for range 3 {
		decision := c.tables[at].Begin(c.now, asked)
		c.follow(at, asked, decision)
		if decision.Kind != DecisionForward || !c.connected(at, decision.Owner) {
			return
		}
		at = decision.Owner
	}
}

// follow acts on a first owner's decision.
func (c *faultyRegion) follow(at cluster.NodeID, claimed Claim, decision Decision) {
	switch decision.Kind {
	case DecisionAsk:
		c.waiting = append(c.waiting, pendingQuestion{at, decision})
	case DecisionRun:
		c.recordRun(claimed.Key.Key, grant{claimed.Request, []cluster.NodeID{at, decision.Owner}})
	}
}

// step processes one waiting question. The question or its answer may be lost, and the question may
// arrive once more at any later time.
func (c *faultyRegion) step(t *rapid.T) {
	if len(c.waiting) == 0 {
		t.Skip()
	}
	at := rapid.IntRange(0, len(c.waiting)-1).Draw(t, "waiting")
	question := c.waiting[at]
	c.waiting = slices.Delete(c.waiting, at, at+1)
	fate := rapid.SampledFrom([]string{"arrives", "arrives", "arrives", "again", "again", "lost", "answer lost"}).Draw(t, "fate")
	c.deliver(question, fate)
}

// driveToEnd processes one waiting claim to its end without loss.
func (c *faultyRegion) driveToEnd(t *rapid.T) {
	if len(c.waiting) == 0 {
		t.Skip()
	}
	for before := 0; len(c.waiting) > before; {
		question := c.waiting[len(c.waiting)-1]
		c.waiting = c.waiting[:len(c.waiting)-1]
		before = len(c.waiting)
		c.deliver(question, "arrives")
	}
}

// deliver delivers a question and its answer according to the given fate.
func (c *faultyRegion) deliver(question pendingQuestion, fate string) {
	answer := Answer{Kind: AnswerNone, From: question.ask.Ask}
	if c.connected(question.at, question.ask.Ask) && fate != "lost" {
		sent := c.tables[question.ask.Ask].Answer(c.now, question.ask.Question)
		sent.To = question.ask.Question.Round
		if fate != "answer lost" {
			answer = sent
		}
	}
	if fate != "arrives" {
		c.late = append(c.late, question)
	}
	claimed := question.ask.Question.Claim
	if table := c.tables[question.at]; table != nil {
		c.follow(question.at, claimed, table.ProcessAnswer(c.now, claimed.Key, claimed.Request, answer))
	}
}

// deliverLate delivers a question once more; nobody waits for the answer.
func (c *faultyRegion) deliverLate(t *rapid.T) {
	if len(c.late) == 0 {
		t.Skip()
	}
	question := rapid.SampledFrom(c.late).Draw(t, "late")
	if slices.Contains(c.reachable, question.ask.Ask) && c.tables[question.ask.Ask] != nil {
		c.tables[question.ask.Ask].Answer(c.now, question.ask.Question)
	}
}

// connected reports whether messages between two nodes arrive.
func (c *faultyRegion) connected(from, to cluster.NodeID) bool {
	return slices.Contains(c.reachable, from) && slices.Contains(c.reachable, to)
}

// recordRun fails the test if the key's request ran within the window.
func (c *faultyRegion) recordRun(key string, granted grant) {
	if last, again := c.lastRan[key]; again && c.now.Sub(last) < 30*time.Minute {
		c.t.Fatalf("key %s is granted to request %s, but a request with it ran at most %v ago", key, granted.request, c.now.Sub(last))
	}
	c.running[key] = append(c.running[key], granted)
	c.lastRan[key] = c.now
}

// runningKeys lists the keys with running requests.
func (c *faultyRegion) runningKeys() (running []string) {
	for key, leaves := range c.running {
		if len(leaves) > 0 {
			running = append(running, key)
		}
	}
	slices.Sort(running)
	return running
}

// finish ends a request; its outcome may not reach its owners.
func (c *faultyRegion) finish(t *rapid.T) {
	running := c.runningKeys()
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
		delete(c.lastRan, key)
	}
}

// advanceTime advances the time by up to four minutes.
func (c *faultyRegion) advanceTime(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 240).Draw(t, "seconds")) * time.Second)
	c.updateViews()
}

// advanceTimeBriefly advances the time by up to two seconds, within which claims still wait.
func (c *faultyRegion) advanceTimeBriefly(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
	c.updateViews()
}

// updateViews updates or ends the nodes whose views are due.
func (c *faultyRegion) updateViews() {
	for node, due := range c.viewDeadlines {
		switch {
		case c.now.Before(due) || c.tables[node] == nil:
		case c.tables[node].handedOver && len(c.reachable) > 1:
			c.reachable = slices.DeleteFunc(slices.Clone(c.reachable), func(n cluster.NodeID) bool { return n == node })
			delete(c.tables, node)
		case slices.Contains(c.reachable, node):
			c.updateView(node)
		default:
			delete(c.tables, node)
		}
	}
}

// TestKeyNeverRunsTwiceDespiteFaults checks that no key runs twice within the window while views
// lag, nodes crash, the network is partitioned, and messages are lost, delayed and duplicated.
func TestKeyNeverRunsTwiceDespiteFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultyRegion(t)
		c.startNodes(rapid.IntRange(1, 5).Draw(t, "nodes"))
		t.Repeat(map[string]func(*rapid.T){
			"join": c.join, "cut": c.disconnect, "stop": c.stop, "resume": c.resume, "learn": c.learn, "learn too": c.learn, "suspect": c.suspect,
			"request": c.request, "request too": c.request, "request three": c.request,
			"step": c.step, "step too": c.step, "step three": c.step, "step four": c.step, "step five": c.step,
			"drive": c.driveToEnd, "late": c.deliverLate, "finish": c.finish, "pass": c.advanceTime, "rush": c.advanceTimeBriefly,
		})
	})
}

// TestConcurrentFirstOwnersNeverRunTwice checks that no key runs twice if several nodes consider
// themselves its first owner and ask at the same time, in every order of the messages.
func TestConcurrentFirstOwnersNeverRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultyRegion(t)
		c.startNodes(3)
		// The old owners are asked by new nodes that don't know each other.
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
			c.follow(node, asked, c.tables[node].Begin(c.now, asked))
		}
		t.Repeat(map[string]func(*rapid.T){
			"learn": func(t *rapid.T) { learn(c.anyNode(t)) }, "stop": c.stop,
			"claim": claims, "claim too": claims, "drive": c.driveToEnd, "late": c.deliverLate, "finish": c.finish,
			"step": c.step, "step too": c.step, "step three": c.step,
		})
	})
}

// TestNewKeysAreGrantedAfterOneLoss checks that a new key is granted as long as at most one node
// was lost within the retention, whichever nodes joined meanwhile.
func TestNewKeysAreGrantedAfterOneLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := func() cluster.ZoneID { return rapid.SampledFrom([]cluster.ZoneID{"x", "y", "z"}).Draw(t, "zone") }
		r := newRegion()
		for i := range rapid.IntRange(3, 8).Draw(t, "nodes") {
			node := Member{cluster.NodeID(fmt.Sprint("n", i)), zone()}
			r.nodes = append(r.nodes, node)
			r.tables[node.ID] = New(node.ID, Config{})
		}
		r.now = start.Add(-time.Hour)
		r.updateViews()
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
