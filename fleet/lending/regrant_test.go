package lending

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// TestWaitingRequestsNeverExceedCapacityPlusRefill guards against a double use of the capacity:
// 56 to 58 requests of a tenant ran in 8 s where 55 may, with one lender throughout. For 1.2 s no
// machine was ready, so requests waited with their tokens. Expired tokens were returned and lent
// to the next requests while the bucket also refilled. When a machine became ready, 13 requests
// went within 10 ms from a bucket of six: those that held tokens, and those that asked again.
func TestWaitingRequestsNeverExceedCapacityPlusRefill(t *testing.T) {
	limit := Limit{Rate: 5, Burst: 5}
	cfg := Config{Window: 8 * time.Second, Overrun: 0.1, Slack: 6}.WithDefaults()
	f := cfg.bucketParams(limit)
	now := time.Unix(1000, 0)
	c := New(cfg)
	c.limits = map[string]Limit{"t": limit}
	s := c.shards[shardOf("t")]
	s.isLender, s.leaseUntil = true, now.Add(time.Hour)
	s.buckets = map[string]*bucket{"t": {filledAt: now, level: f.capacity}}
	type heldTokens struct {
		id    loanID
		since time.Time
	}
	var held []heldTokens
	id := func(n int) loanID { return loanID{node: cluster.NodeID("n"), number: int64(n)} }
	numbers := 0
	lend := func(regrant bool) bool {
		numbers++
		lent, _ := s.lend(id(numbers), "t", tokenRequest{amount: 1, regrant: regrant})
		return lent.granted
	}
	for range 100 {
		now = now.Add(40 * time.Millisecond)
		c.now = now
		if lend(false) {
			held = append(held, heldTokens{id(numbers), now})
		}
		for len(held) > 0 && now.Sub(held[0].since) >= 300*time.Millisecond {
			s.acceptReturn(held[0].id)
			held = held[1:]
		}
	}
	granted := len(held)
	for lend(true) {
		granted++
	}
	if most := int(f.capacity + f.rate*cfg.Lifetime.Seconds()); granted > most {
		t.Errorf("%d requests were granted at once, the capacity and the refill of a token lifetime are %d", granted, most)
	}
}
