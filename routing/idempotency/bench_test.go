package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// BenchmarkClaim measures claiming and finishing a new key in a region of 20 nodes with a full
// table.
func BenchmarkClaim(b *testing.B) {
	var nodes []Member
	for i := range 20 {
		nodes = append(nodes, Member{ID: cluster.NodeID(fmt.Sprint("node-", i))})
	}
	table := New("node-0", Config{MaxKeys: 1 << 20, Window: time.Second})
	table.SetMembers(start.Add(-time.Hour), nodes)
	var owned []Key
	for i := 0; len(owned) < 1<<15; i++ {
		if key := (Key{"/dental", fmt.Sprint("booking-", i)}); table.Owners(key)[0] == "node-0" {
			owned = append(owned, key)
		}
	}
	now := start
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(100 * time.Microsecond)
		claimed := Claim{Key: owned[i%len(owned)], Fingerprint: 1, Request: "r", From: "node-0"}
		decision := table.Begin(now, claimed)
		if decision.Kind == DecisionAsk {
			recorded := Answer{Kind: AnswerRecorded, From: decision.Ask, To: decision.Question.Round}
			decision = table.ProcessAnswer(now, claimed.Key, claimed.Request, recorded)
		}
		if decision.Kind != DecisionRun {
			b.Fatalf("got %+v", decision)
		}
		table.Finish(now, claimed.Key, Outcome{Kind: OutcomeAnswered, Request: "r"})
	}
}

// Frequency of restarts and number of nodes in the deployment that BenchmarkRestarts simulates.
const (
	restartsPerDay  = 490
	deploymentNodes = 340
)

// BenchmarkRestarts claims a new key every minute for 20 days of virtual time in a region of three
// zones, while nodes crash or shut down as planned and are replaced 10 s later. It reports the
// share of new keys refused as unknown, and the number of questions to other owners for one key.
func BenchmarkRestarts(b *testing.B) {
	for _, size := range []int{3, 20, 68} {
		for _, planned := range []float64{0, 0.5, 1} {
			b.Run(fmt.Sprintf("nodes=%d/planned=%g", size, planned), func(b *testing.B) {
				for range b.N {
					simulation := newRestarts(size)
					simulation.planned = planned
					for minute := range 20 * 24 * 60 {
						simulation.runMinute(b, minute)
					}
					b.ReportMetric(100*float64(simulation.unknown)/float64(simulation.claims), "%unknown")
					b.ReportMetric(float64(simulation.region.questions)/float64(simulation.claims), "questions/key")
				}
			})
		}
	}
}

// restarts simulates a region with node restarts at a given rate per minute, of which the planned
// share are shutdowns with a handover.
type restarts struct {
	region          *region
	random          *rand.Rand
	rate, planned   float64
	started         int
	claims, unknown int
}

func newRestarts(size int) *restarts {
	r := &restarts{region: newRegion(), random: rand.New(rand.NewPCG(1, uint64(size)))}
	r.rate = restartsPerDay * float64(size) / deploymentNodes / (24 * 60)
	r.region.now = start.Add(-time.Hour)
	for range size {
		node := r.newNode()
		r.region.nodes = append(r.region.nodes, node)
		r.region.tables[node.ID] = New(node.ID, Config{})
	}
	r.region.updateViews()
	return r
}

func (r *restarts) newNode() Member {
	r.started++
	return Member{cluster.NodeID(fmt.Sprint("n", r.started)), cluster.ZoneID(fmt.Sprint(r.started % 3))}
}

func (r *restarts) runMinute(b *testing.B, minute int) {
	r.region.now = start.Add(time.Duration(minute) * time.Minute)
	if r.random.Float64() < r.rate {
		node := r.region.nodes[r.random.IntN(len(r.region.nodes))].ID
		if r.random.Float64() < r.planned {
			r.region.stop(node)
		} else {
			r.region.kill(node)
		}
		r.region.now = r.region.now.Add(10 * time.Second)
		r.region.join(r.newNode())
	}
	r.region.now = start.Add(time.Duration(minute)*time.Minute + 30*time.Second)
	r.claims++
	name := fmt.Sprint(minute)
	decision := r.region.claim(claim(name, cluster.RequestID(name), r.region.nodes[0].ID))
	switch decision.Kind {
	case DecisionRun:
	case DecisionUnknown:
		r.unknown++
	default:
		b.Fatalf("new key got %+v", decision)
	}
}
