package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// BenchmarkClaim measures a new key, claimed and finished, among 20 nodes with
// a full table.
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
			recorded := Answer{Kind: AnswerRecorded, From: decision.Ask}
			decision = table.Answered(now, claimed.Key, claimed.Request, recorded)
		}
		if decision.Kind != DecisionRun {
			b.Fatalf("got %+v", decision)
		}
		table.Finish(now, claimed.Key, Outcome{Kind: OutcomeAnswered, Request: "r"})
	}
}
