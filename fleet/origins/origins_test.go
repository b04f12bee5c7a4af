package origins

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/agenda"
	"github.com/valveslip/valveslip/wire"
)

const testService = "engine"

// simulation runs the cores of several nodes on a virtual clock, with messages between them.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	scheduled agenda.EventQueue
	nodes     map[cluster.NodeID]*simulatedNode
	// lossShare is the share of messages that are lost, maxDelay the longest time that one takes.
	lossShare float64
	maxDelay  time.Duration
	// lifetime is how long requests may take.
	lifetime time.Duration
	// sent counts the messages by type.
	sent  map[string]int
	found map[cluster.RequestID]Found
}

type simulatedNode struct {
	core *Core
	// earlier nodes run a build that does not know the messages.
	earlier bool
	ticks   time.Time
}

func newSimulation(seed uint64, nodes int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1_000_000, 0), nodes: map[cluster.NodeID]*simulatedNode{},
		maxDelay: 5 * time.Millisecond, lifetime: 10 * time.Minute, sent: map[string]int{}, found: map[cluster.RequestID]Found{},
	}
	for n := range nodes {
		s.start(cluster.NodeID(fmt.Sprintf("n%d", n)))
	}
	s.tellPeers()
	return s
}

func (s *simulation) start(id cluster.NodeID) {
	s.nodes[id] = &simulatedNode{core: New(Peer{ID: id, Address: string(id)})}
}

// tellPeers tells all nodes which nodes live.
func (s *simulation) tellPeers() {
	var peers []Peer
	for id := range s.nodes {
		peers = append(peers, Peer{ID: id, Address: string(id)})
	}
	for id := range s.nodes {
		s.step(id, PeersChanged{Peers: peers})
	}
}

func (s *simulation) mix() {
	for id := range s.nodes {
		s.step(id, ServiceChanged{Service: testService, Mixed: true})
	}
}

// kill ends a node. The others go on listing it until tellPeers.
func (s *simulation) kill(id cluster.NodeID) { delete(s.nodes, id) }

func (s *simulation) step(id cluster.NodeID, event Event) {
	node := s.nodes[id]
	if node == nil {
		return
	}
	for _, effect := range node.core.Step(s.now, event) {
		switch e := effect.(type) {
		case Send:
			s.deliver(cluster.NodeID(e.Address), e.Message)
		case Found:
			s.found[e.Request] = e
		}
	}
	if due := node.core.NextDue(); !due.IsZero() && due != node.ticks {
		node.ticks = due
		s.scheduled.Schedule(due, func() { s.step(id, Tick{}) })
	}
}

func (s *simulation) deliver(to cluster.NodeID, message wire.Message) {
	s.sent[fmt.Sprintf("%T", message)]++
	if s.random.Float64() < s.lossShare {
		return
	}
	delay := time.Duration(s.random.Int64N(int64(s.maxDelay)) + 1)
	s.scheduled.Schedule(s.now.Add(delay), func() {
		if node := s.nodes[to]; node != nil && !node.earlier {
			s.step(to, MessageReceived{Message: message})
		}
	})
}

// run advances the time.
func (s *simulation) run(length time.Duration) {
	end := s.now.Add(length)
	for {
		at, run, due := s.scheduled.Next(end)
		if !due {
			break
		}
		s.now = at
		run()
	}
	s.now = end
}

// begin makes a node relay the first event of a stream.
func (s *simulation) begin(id cluster.NodeID, stream cluster.RequestID, release string) {
	s.step(id, Began{Request: stream, Service: testService, Release: release, Deadline: s.now.Add(s.lifetime)})
}

// ask makes a node look up a stream and returns the result.
func (s *simulation) ask(id cluster.NodeID, stream cluster.RequestID) Found {
	delete(s.found, stream)
	s.step(id, LookupRequested{Request: stream, Mixed: true})
	s.run(time.Second)
	return s.found[stream]
}

func streamID(n int) cluster.RequestID { return cluster.RequestID(fmt.Sprintf("stream-%d", n)) }

func releaseOf(n int) string { return fmt.Sprintf("v%d", n%3) }

// TestOriginIsFoundAtAnyNode guards against a node that does not learn at which release a stream began: with
// lost and slow messages, after the node that relayed it was killed, while killed nodes are still listed, and
// beside nodes of an earlier build. A wrong release is never named.
func TestOriginIsFoundAtAnyNode(t *testing.T) {
	for _, test := range []struct {
		name    string
		nodes   int
		prepare func(*simulation)
		// least is the share of streams that must be found.
		least float64
	}{
		{"calm", 9, func(*simulation) {}, 1},
		{"two nodes", 2, func(*simulation) {}, 1},
		{"many nodes", 87, func(*simulation) {}, 1},
		{"slow messages", 9, func(s *simulation) { s.maxDelay = 25 * time.Millisecond }, 1},
		{"a tenth of the messages is lost", 9, func(s *simulation) { s.lossShare = 0.1 }, 1},
		{"a third of the messages is lost", 9, func(s *simulation) { s.lossShare = 0.33 }, 0.95},
		{"two of nine run an earlier build", 9, func(s *simulation) { s.nodes["n3"].earlier, s.nodes["n4"].earlier = true, true }, 1},
		{"five of nine run an earlier build", 9, func(s *simulation) {
			for n := 3; n < 8; n++ {
				s.nodes[cluster.NodeID(fmt.Sprintf("n%d", n))].earlier = true
			}
		}, 0.95},
	} {
		for _, killed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, killed=%v", test.name, killed), func(t *testing.T) {
				s := newSimulation(7, test.nodes)
				s.mix()
				test.prepare(s)
				const streams = 100
				for n := range streams {
					s.begin("n0", streamID(n), releaseOf(n))
					s.run(10 * time.Millisecond)
				}
				s.run(700 * time.Millisecond)
				if killed {
					s.kill("n0")
				}
				found := 0
				for n := range streams {
					result := s.ask("n1", streamID(n))
					if result.Known && result.Release != releaseOf(n) {
						t.Fatalf("%s began at %s, and is said to have begun at %s", streamID(n), releaseOf(n), result.Release)
					}
					if result.Known {
						found++
					}
				}
				if float64(found) < test.least*streams {
					t.Errorf("found %d of %d streams", found, streams)
				}
			})
		}
	}
}

// TestOriginOutlivesAllItsFirstHolders guards against origins that are lost one owner after the other: nodes are
// killed and replaced, four of nine within four seconds, and the rest goes on knowing.
func TestOriginOutlivesAllItsFirstHolders(t *testing.T) {
	s := newSimulation(3, 9)
	s.mix()
	const streams = 60
	for n := range streams {
		s.begin("n0", streamID(n), releaseOf(n))
	}
	for n := range 8 {
		s.run(500 * time.Millisecond)
		s.kill(cluster.NodeID(fmt.Sprintf("n%d", n)))
		added := cluster.NodeID(fmt.Sprintf("new%d", n))
		s.start(added)
		s.step(added, ServiceChanged{Service: testService, Mixed: true})
		s.tellPeers()
	}
	s.run(500 * time.Millisecond)
	for n := range streams {
		if result := s.ask("n8", streamID(n)); !result.Known || result.Release != releaseOf(n) {
			t.Errorf("%s: %+v", streamID(n), result)
		}
	}
}

// TestStreamsOfOneReleaseAreKeptLocally guards against messages while machines have a single release. Once
// another one serves, the streams that run by then must be found elsewhere too.
func TestStreamsOfOneReleaseAreKeptLocally(t *testing.T) {
	s := newSimulation(1, 9)
	for n := range 20 {
		s.begin("n0", streamID(n), "v1")
	}
	s.run(time.Second)
	if len(s.sent) > 0 {
		t.Errorf("messages of one release: %v", s.sent)
	}
	s.mix()
	s.run(100 * time.Millisecond)
	s.kill("n0")
	for n := range 20 {
		if result := s.ask("n5", streamID(n)); result.Release != "v1" {
			t.Errorf("%s: %+v", streamID(n), result)
		}
	}
}

// TestUnknownStreamIsGivenUpSoon guards against a caller that waits for nodes that do not know its stream, or do
// not answer at all.
func TestUnknownStreamIsGivenUpSoon(t *testing.T) {
	for _, loss := range []float64{0, 1} {
		s := newSimulation(1, 9)
		s.mix()
		s.lossShare = loss
		result := s.ask("n1", "never began")
		if result.Request == "" || result.Known || result.Took > 3*answerTimeout {
			t.Errorf("loss %v: %+v", loss, result)
		}
	}
}

// TestOriginsAreBounded guards against a table that grows with the callers' streams.
func TestOriginsAreBounded(t *testing.T) {
	s := newSimulation(1, 1)
	s.lifetime = 15 * time.Second
	for n := range maxOrigins + 500 {
		s.begin("n0", streamID(n), "v1")
	}
	core := s.nodes["n0"].core
	if core.Known() != maxOrigins || core.origins[streamID(0)] != nil || core.origins[streamID(maxOrigins+499)] == nil {
		t.Errorf("%d origins are kept", core.Known())
	}
	s.run(20 * time.Second)
	s.step("n0", Tick{})
	if core.Known() != 0 || len(core.order) != 0 {
		t.Errorf("%d origins are kept after all have expired", core.Known())
	}
}

// TestMessagesStayFewAtSize counts the messages of 340 nodes: those of one stream must not grow with the nodes.
func TestMessagesStayFewAtSize(t *testing.T) {
	s := newSimulation(1, 340)
	s.mix()
	const streams = 500
	for n := range streams {
		s.begin(cluster.NodeID(fmt.Sprintf("n%d", n%340)), streamID(n), releaseOf(n))
	}
	s.run(time.Second)
	total := 0
	for _, count := range s.sent {
		total += count
	}
	if most := 2 * ownerCount * streams; total > most {
		t.Errorf("%d messages for %d streams, %d may be: %v", total, streams, most, s.sent)
	}
	before := total
	if result := s.ask("n9", streamID(17)); !result.Known {
		t.Errorf("%+v", result)
	}
	total = 0
	for _, count := range s.sent {
		total += count
	}
	if total-before > 2*askedFirst {
		t.Errorf("%d messages for a lookup", total-before)
	}
}
