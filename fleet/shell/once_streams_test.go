package shell_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

// startDispatchingNodes starts nodes of which one places the attempts of all at engines.
func (d *deployment) startDispatchingNodes(count int, changes ...func(*shell.Options)) []*shell.Node {
	d.t.Helper()
	var nodes []*shell.Node
	for i := range count {
		id := cluster.NodeID(fmt.Sprint("n", i))
		nodes = append(nodes, d.startNode(string(id), append([]func(*shell.Options){func(o *shell.Options) {
			o.Core.Dispatching = true
			o.Core.Self.Machine, o.Core.Self.Capacity = "machine-"+string(id), float64(1+i)
			o.Core.Routing.RetryExtra = 3000
		}}, changes...)...))
	}
	return nodes
}

// oncePlay sends streams that may run once to nodes.
type oncePlay struct {
	d     *deployment
	nodes []*shell.Node
	// callers send at the same time, each one stream after the other until count streams were sent.
	callers, count int
	body           string
	// deadline returns the deadline of the next stream; leaves is the longest time until its caller leaves, zero if callers stay.
	deadline func() time.Duration
	leaves   time.Duration
}

// run returns the answers by request ID.
func (p *oncePlay) run() map[string]reply {
	var mutex sync.Mutex
	var group sync.WaitGroup
	answers, next := map[string]reply{}, 0
	for range p.callers {
		group.Go(func() {
			for {
				mutex.Lock()
				n := next
				next++
				mutex.Unlock()
				if n >= p.count {
					return
				}
				id := fmt.Sprintf("once-%d", n)
				got := p.send(p.nodes[n%len(p.nodes)], id)
				mutex.Lock()
				answers[id] = got
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return answers
}

func (p *oncePlay) send(node *shell.Node, id string) reply {
	deadline := 3 * time.Second
	if p.deadline != nil {
		deadline = p.deadline()
	}
	patience := deadline + 5*time.Second
	if p.leaves > 0 {
		patience = rand.N(p.leaves)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Address()+"/once/x", strings.NewReader(p.body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = testHost
	withModel("big")(request.Header)
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	return replyOf(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, request)
}

// check fails the test for each stream that ran twice, or ran although it was refused, and returns how many of
// them were served and refused.
func (p *oncePlay) check(counter *runCounter, answers map[string]reply) (served, refused int) {
	p.d.t.Helper()
	// A send that is under way may still begin.
	time.Sleep(500 * time.Millisecond)
	twice, ran := 0, 0
	statuses := map[int]int{}
	for id, got := range answers {
		statuses[got.status]++
		runs := counter.of(id)
		promised := slices.Contains(promisedStatuses, got.status)
		switch {
		case runs > 1:
			twice++
		case runs > 0 && promised:
			ran++
		}
		if got.status == http.StatusOK && got.err == nil {
			served++
		}
		if promised {
			refused++
		}
	}
	p.d.t.Logf("%d streams, statuses %v (0: none)", len(answers), statuses)
	if twice+ran > 0 {
		p.d.t.Errorf("of %d streams %d ran more than once and %d ran although refused", len(answers), twice, ran)
	}
	return served, refused
}

// TestStreamRejectedTwiceRunsOnce guards against a stream that may run once and runs twice, or runs although it was
// refused: an engine rejects it, a node of which another one places the attempts sends it there again, and the rejection comes
// a second time.
func TestStreamRejectedTwiceRunsOnce(t *testing.T) {
	for _, how := range rejections {
		for _, inPlace := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, copy in place of next answer=%t", how.name, inPlace), func(t *testing.T) {
				t.Parallel()
				d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
				play := &oncePlay{d: d, callers: 6, count: 60, body: "b"}
				if how.early {
					play.body = strings.Repeat("b", 100<<10)
				}
				rejects := func(string) *rejection { return &how }
				if how.status == http.StatusMisdirectedRequest {
					// A node sends nothing for a model to an engine that lacks it until a report lists the model again.
					rejects = func(id string) *rejection {
						if strings.HasSuffix(id, "0") {
							return &how
						}
						return nil
					}
					play.count, play.deadline = 30, func() time.Duration { return 600 * time.Millisecond }
				}
				for i := range 4 {
					d.addRejectingEngine(fmt.Sprintf("e%d", i), &rejectingEngine{counter: counter, inPlace: inPlace, how: rejects})
				}
				play.nodes = d.startDispatchingNodes(3)
				if served, _ := play.check(counter, play.run()); served == 0 {
					t.Error("no stream was served")
				}
			})
		}
	}
}

// TestRefusedStreamRejectedTwiceDoesNotRun guards against a stream that runs although it was refused: its second send runs, the
// copy of the first rejection is taken for its answer, and the retry budget or the time left allows no third one.
func TestRefusedStreamRejectedTwiceDoesNotRun(t *testing.T) {
	for _, test := range []struct {
		name     string
		budget   float64
		deadline time.Duration
		refuses  bool
	}{
		{"small retry budget", 60, 3 * time.Second, true},
		{"deadline soon", 3000, 150 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
			for i := range 2 {
				d.addRejectingEngine(fmt.Sprintf("e%d", i), &rejectingEngine{
					counter: counter, inPlace: true, how: func(string) *rejection { return &rejections[0] },
				})
			}
			play := &oncePlay{d: d, callers: 6, count: 240, body: "b"}
			play.deadline = func() time.Duration { return test.deadline }
			play.nodes = d.startDispatchingNodes(3, func(o *shell.Options) { o.Core.Routing.RetryExtra = test.budget })
			if served, refused := play.check(counter, play.run()); served == 0 || refused == 0 && test.refuses {
				t.Errorf("%d streams were served and %d refused: the play lacks what it is about", served, refused)
			}
		})
	}
}

// freezeSteps keeps one node after the other from taking steps for 10 to 260 ms, the next one after every, until the returned
// function is called.
func freezeSteps(nodes []*shell.Node, every time.Duration) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			node := nodes[n%len(nodes)]
			group.Go(func() {
				release := node.BlockSteps()
				time.Sleep(10*time.Millisecond + rand.N(250*time.Millisecond))
				release()
			})
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

// TestStreamRunsOnceBesideFaults guards against a stream that may run once and runs twice, or runs although it was refused,
// while engines reject first sends twice and something else goes wrong: nodes stand still, deadlines pass
// around the send, callers leave, engines read late what was written, or the node that places attempts is killed or
// stopped.
func TestStreamRunsOnceBesideFaults(t *testing.T) {
	const often, seldom = 30 * time.Millisecond, 200 * time.Millisecond
	for _, test := range []struct {
		name             string
		freeze           time.Duration
		deadline, leaves time.Duration
		firstEvent, read time.Duration
		ends             func(*shell.Node)
	}{
		{name: "nodes frozen mostly", freeze: often, deadline: time.Second},
		{name: "nodes frozen now and then", freeze: seldom, deadline: 2 * time.Second},
		{name: "frozen nodes, short deadlines", freeze: seldom, deadline: 600 * time.Millisecond, firstEvent: 300 * time.Millisecond},
		{name: "callers leave", leaves: 300 * time.Millisecond, firstEvent: 200 * time.Millisecond},
		{name: "short deadlines, engines read late", deadline: 250 * time.Millisecond, firstEvent: 100 * time.Millisecond, read: 200 * time.Millisecond},
		{name: "frozen nodes, callers leave, engines read late", freeze: seldom, leaves: time.Second, deadline: 700 * time.Millisecond, firstEvent: 100 * time.Millisecond, read: 200 * time.Millisecond},
		{name: "dispatcher is killed", ends: (*shell.Node).Kill},
		{name: "dispatcher is killed, frozen nodes", ends: (*shell.Node).Kill, freeze: seldom, deadline: time.Second},
		{name: "dispatcher stops", ends: (*shell.Node).Stop, firstEvent: 200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
			for i := range 2 {
				d.addRejectingEngine(fmt.Sprintf("e%d", i), &rejectingEngine{
					counter: counter, inPlace: i == 0, firstEvent: test.firstEvent, readDelay: test.read,
					how: func(id string) *rejection { return &rejections[len(id)%4] },
				})
			}
			nodes := d.startDispatchingNodes(3)
			play := &oncePlay{d: d, nodes: nodes, callers: 12, count: 180, body: "b", leaves: test.leaves}
			if test.deadline > 0 {
				play.deadline = func() time.Duration { return 20*time.Millisecond + rand.N(test.deadline) }
			}
			stop := func() {}
			if test.freeze > 0 {
				stop = freezeSteps(nodes, test.freeze)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if test.ends != nil {
					time.Sleep(300 * time.Millisecond)
					test.ends(nodes[2])
				}
			}()
			answers := play.run()
			stop()
			<-ended
			play.check(counter, answers)
		})
	}
}
