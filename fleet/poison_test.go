package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// These tests guard against a failure in which a request under which three workers had ended was
// sent 11 to 14 times more in a minute, and ended 14 to 19 workers in all, with everything that
// ran there. The request ends each worker that begins to run it, and returns under a new ID at
// any node. Ends were counted by attempt, and a node dropped its count with the attempt and told
// no other node, so that each try counted as the first one.

// Bounds and timings of the simulations.
const (
	// blockDelay is how long after the third end nodes in touch may still send the request:
	// half of the time after which a node counts as in touch.
	blockDelay = minInTouchTime / 2
	// maxFurtherSends is the number of sends allowed in all after that.
	maxFurtherSends = 3
	// timeToCrash is how long the harmful request runs before its worker ends.
	timeToCrash = 92 * time.Millisecond
)

// harmfulContent is the content of the harmful request.
var harmfulContent = poison.Fingerprint{0xbad >> 4, 0xd}

// poisonSimulation is a simulation whose engines end under one harmful request.
type poisonSimulation struct {
	*simulation
	harmful map[cluster.RequestID]bool
	// popular are the requests for popularContent.
	popular map[cluster.RequestID]bool
	// runs are the requests at each engine, including waiting ones.
	runs       map[*simulatedEngine][]*simulatedRun
	engineEnds []time.Time
	// lateSends are the sends by nodes in touch later than blockDelay after the third end.
	lateSends []string
	// bystanders counts the other requests, and wronglyRefused those refused as harmful.
	bystanders, served, wronglyRefused int
	// restartDelay returns the time until an ended engine is replaced, content returns the
	// content of a request, and onAnswer is called with each answer.
	restartDelay func() time.Duration
	content      func(id cluster.RequestID) poison.Fingerprint
	onAnswer     func(e routing.Finish)
}

// simulatedRun is a request at an engine.
type simulatedRun struct {
	node     *simulatedNode
	dispatch routing.Dispatch
	ended    bool
}

func newPoisonSimulation(seed uint64, nodes, engines int) *poisonSimulation {
	p := &poisonSimulation{
		simulation: newSimulation(seed, nodes, engines), harmful: map[cluster.RequestID]bool{}, popular: map[cluster.RequestID]bool{}, runs: map[*simulatedEngine][]*simulatedRun{},
	}
	p.handleEffect = p.simulateEffect
	p.restartDelay = func() time.Duration { return p.randomDuration(800*time.Millisecond, 3*time.Second) }
	p.content = p.contentOf
	p.followStoreByFeeds(3)
	p.runFor(5 * time.Second)
	return p
}

// simulateEffect simulates attempts at engines.
func (s *poisonSimulation) simulateEffect(n *simulatedNode, effect routing.Effect) bool {
	switch e := effect.(type) {
	case routing.Dispatch:
		s.startRun(n, e)
	case routing.CancelAttempt:
		s.cancelRun(n, e)
	case routing.Finish:
		s.countAnswer(e)
		if s.onAnswer != nil {
			s.onAnswer(e)
		}
	}
	return true
}

func (s *poisonSimulation) startRun(n *simulatedNode, e routing.Dispatch) {
	engine := s.liveEngine(e.Machine)
	if engine == nil {
		s.after(3*time.Millisecond, func() {
			s.reportEnd(n, &e, routing.AttemptEnded{
				Unreached: true, MachineEnded: true, Failure: verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "refused"),
			})
		})
		return
	}
	if s.harmful[e.Request] {
		s.checkSend(n)
	}
	run := &simulatedRun{node: n, dispatch: e}
	s.runs[engine] = append(s.runs[engine], run)
	if s.harmful[e.Request] {
		waits := s.randomDuration(0, 800*time.Millisecond)
		s.after(waits+timeToCrash, func() {
			if !run.ended {
				s.crashEngine(engine)
			}
		})
		return
	}
	s.after(s.randomDuration(100*time.Millisecond, 600*time.Millisecond), func() {
		if !run.ended {
			run.ended = true
			s.reportEnd(n, &e, routing.AttemptEnded{})
		}
	})
}

// cancelRun makes an engine drop a request whose connection was closed.
func (s *poisonSimulation) cancelRun(n *simulatedNode, e routing.CancelAttempt) {
	for _, runs := range s.runs {
		for _, run := range runs {
			if run.node == n && run.dispatch.Request == e.Request && run.dispatch.Attempt == e.Attempt && !run.ended {
				run.ended = true
				s.after(time.Millisecond, func() {
					s.reportEnd(n, &run.dispatch, routing.AttemptEnded{
						Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "interrupted"),
					})
				})
			}
		}
	}
}

// crashEngine ends an engine with everything that runs there. Another engine replaces it.
func (s *poisonSimulation) crashEngine(engine *simulatedEngine) {
	if engine.dead {
		return
	}
	engine.dead = true
	s.engineEnds = append(s.engineEnds, s.now)
	for _, run := range s.runs[engine] {
		if run.ended {
			continue
		}
		run.ended = true
		s.after(s.randomDuration(time.Millisecond, 8*time.Millisecond), func() {
			s.reportEnd(run.node, &run.dispatch, routing.AttemptEnded{
				Broken: true, MachineEnded: true, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "the connection broke"),
			})
		})
	}
	delete(s.runs, engine)
	s.after(s.randomDuration(2500*time.Millisecond, 3500*time.Millisecond), func() {
		s.writeStore(keyvalue.Operation{Delete: true, Key: keyEngineEntries + string(engine.id)})
	})
	s.after(s.restartDelay(), s.startEngine)
}

// reportEnd reports the end of an attempt to its node.
func (s *poisonSimulation) reportEnd(n *simulatedNode, dispatch *routing.Dispatch, ended routing.AttemptEnded) {
	ended.Request, ended.Attempt = dispatch.Request, dispatch.Attempt
	ended.Content = s.content(dispatch.Request)
	s.step(n, RoutingInput{Event: ended})
}

func (s *poisonSimulation) contentOf(id cluster.RequestID) poison.Fingerprint {
	if s.harmful[id] {
		return harmfulContent
	}
	if s.popular[id] {
		return popularContent
	}
	content := poison.Content{Target: string(id)}
	return content.Fingerprint()
}

// checkSend records a send of the harmful request if it comes too late.
func (s *poisonSimulation) checkSend(n *simulatedNode) {
	inTouch := !n.dead && !n.cutOff && s.now.Sub(n.reachableSince) >= minInTouchTime
	if len(s.engineEnds) >= 3 && n.reachableSince.After(s.engineEnds[2]) {
		// A node that started after the third end learns of it from the store, so it counts as in
		// touch only once the store has been up for the same time.
		inTouch = inTouch && !s.storeDown && s.now.Sub(s.storeRecoveredAt) >= minInTouchTime
	}
	if len(s.engineEnds) >= 3 && s.now.Sub(s.engineEnds[2]) > blockDelay && inTouch {
		s.lateSends = append(s.lateSends, fmt.Sprintf("%s sends %.3f s after the third of %d ends", n.id, s.now.Sub(s.engineEnds[2]).Seconds(), len(s.engineEnds)))
	}
}

// countAnswer counts the answers to bystanders.
func (s *poisonSimulation) countAnswer(e routing.Finish) {
	switch {
	case s.harmful[e.Request], s.popular[e.Request]:
	case e.Failure == nil:
		s.served++
	case e.Failure.Code == verdict.CodePoisonRequest:
		s.wronglyRefused++
	}
}

// drawCaller returns the caller of a request: a single one for all harmful requests, else a
// random one.
func (s *poisonSimulation) drawCaller(harmful bool) uint64 {
	if harmful {
		return harmfulCaller
	}
	return uint64(2 + s.random.IntN(20))
}

// sendPeriodically sends a request to a random node and schedules the next one.
func (s *poisonSimulation) sendPeriodically(harmful bool, every time.Duration) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if !n.dead {
		s.requestCount++
		id := cluster.RequestID(fmt.Sprintf("r%d", s.requestCount))
		s.harmful[id] = harmful
		if !harmful {
			s.bystanders++
		}
		s.step(n, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: s.now.Add(8 * time.Second), Objective: time.Second,
			Repeatable: true, Attempts: 2, Content: s.contentOf(id), Caller: s.drawCaller(harmful),
		}}})
	}
	s.after(s.randomDuration(every/2, every*3/2), func() { s.sendPeriodically(harmful, every) })
}

// popularInterval is the mean time between the requests for popularContent. These requests are at
// machines that end more often than any others.
const popularInterval = 120 * time.Millisecond

var popularContent = poison.Fingerprint{0xb0}

// sendPopularPeriodically sends a request for popularContent to a random node and schedules the
// next one.
func (s *poisonSimulation) sendPopularPeriodically() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if !n.dead {
		s.requestCount++
		id := cluster.RequestID(fmt.Sprintf("r%d", s.requestCount))
		s.popular[id] = true
		s.step(n, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: s.now.Add(8 * time.Second), Objective: time.Second,
			Repeatable: true, Attempts: 2, Content: popularContent, Caller: s.drawCaller(false),
		}}})
	}
	s.after(s.randomDuration(popularInterval/2, popularInterval*3/2), s.sendPopularPeriodically)
}

// killAllNodes kills all nodes at the same moment.
func (s *poisonSimulation) killAllNodes() {
	for _, n := range s.nodes {
		s.killNode(n)
	}
}

// addNodesPeriodically adds nodes on new machines.
func (s *poisonSimulation) addNodesPeriodically() {
	s.startNode(fmt.Sprintf("joiner-%d", s.startCount), false)
	s.after(s.randomDuration(time.Second, 4*time.Second), s.addNodesPeriodically)
}

// Guards against sending a blocked request under restarts of all nodes, new nodes, and late or
// duplicated messages. Popular requests, which are often at machines that end, must not be
// blocked.
func TestPoisonRequestIsHeldBackUnderFaults(t *testing.T) {
	for name, disturb := range map[string]func(s *poisonSimulation){
		"all nodes restart":            func(s *poisonSimulation) { s.after(10*time.Second, s.killAllNodes) },
		"nodes join":                   func(s *poisonSimulation) { s.after(time.Second, s.addNodesPeriodically) },
		"late and duplicated messages": func(s *poisonSimulation) { s.duplicateShare, s.messageLossShare = 0.5, 0.1 },
		"all": func(s *poisonSimulation) {
			s.duplicateShare, s.messageLossShare = 0.3, 0.1
			s.injectFaults()
			s.after(time.Second, s.addNodesPeriodically)
			s.after(s.randomDuration(8*time.Second, 14*time.Second), s.killAllNodes)
		},
	} {
		for seed := range uint64(poisonSeeds) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				t.Parallel()
				s := newPoisonSimulation(1000+seed, 6, 8)
				disturb(s)
				s.sendPeriodically(false, 50*time.Millisecond)
				s.sendPopularPeriodically()
				s.sendPeriodically(true, 150*time.Millisecond)
				s.runFor(45 * time.Second)
				s.requireHeldBack(t)
			})
		}
	}
}

// poisonSeeds is the number of runs of each kind.
const poisonSeeds = 25

// Guards against sending a blocked request in large systems, where a few nodes count a
// request's ends on behalf of all, while a tenth of the messages is lost.
func TestPoisonRequestIsHeldBackByManyNodes(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newPoisonSimulation(seed, 3*maxBroadcastNodes, 16)
			s.messageLossShare = 0.1
			s.sendPeriodically(false, 30*time.Millisecond)
			s.sendPeriodically(true, 100*time.Millisecond)
			s.runFor(15 * time.Second)
			s.requireHeldBack(t)
		})
	}
}

// requireHeldBack checks the final state of a simulation.
func (s *poisonSimulation) requireHeldBack(t *testing.T) {
	t.Helper()
	if len(s.engineEnds) < 3 {
		t.Fatalf("%d engines ended", len(s.engineEnds))
	}
	if len(s.lateSends) > maxFurtherSends {
		t.Errorf("%d late sends, the first: %s; %d engines ended", len(s.lateSends), s.lateSends[0], len(s.engineEnds))
	}
	for _, n := range s.nodes {
		if n.dead {
			continue
		}
		if record, _ := n.core.router.PoisonRecord(popularContent); n.core.poison.blocks(&record) {
			t.Errorf("%s refuses the popular request: %+v", n.id, record)
		}
	}
	if 100*s.wronglyRefused > s.bystanders {
		t.Errorf("%d of %d other requests were refused as harmful", s.wronglyRefused, s.bystanders)
	}
}

// Guards against sending a request after it has ended three engines: from blockDelay on,
// nodes in touch send it at most maxFurtherSends times in all.
func TestPoisonRequestIsHeldBack(t *testing.T) {
	for name, disturb := range map[string]func(s *poisonSimulation){
		"no faults":     func(*poisonSimulation) {},
		"faults":        func(s *poisonSimulation) { s.injectFaults() },
		"lost messages": func(s *poisonSimulation) { s.messageLossShare = 0.1 },
	} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				t.Parallel()
				s := newPoisonSimulation(seed, 6, 8)
				disturb(s)
				s.sendPeriodically(false, 50*time.Millisecond)
				s.sendPeriodically(true, 150*time.Millisecond)
				s.runFor(20 * time.Second)
				if len(s.engineEnds) < 3 {
					t.Fatalf("%d engines ended", len(s.engineEnds))
				}
				if len(s.lateSends) > maxFurtherSends {
					t.Errorf("%d late sends, the first: %s; %d engines ended", len(s.lateSends), s.lateSends[0], len(s.engineEnds))
				}
				if s.wronglyRefused > 0 {
					t.Errorf("%d of %d other requests were refused as harmful", s.wronglyRefused, s.bystanders)
				}
			})
		}
	}
}
