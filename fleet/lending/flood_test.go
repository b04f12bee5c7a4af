package lending

import (
	"strings"
	"testing"
	"time"
)

// TestCompareLendingPoliciesUnderFlood logs how several policies divide a limit that does not
// suffice, on the same arrivals: the share served of each class, and how many returning callers
// are refused again.
func TestCompareLendingPoliciesUnderFlood(t *testing.T) {
	t.Parallel()
	f := floodConfig.bucketParams(floodLimit())
	noExtraRoom := func(time.Time, tokenRequest) float64 { return 0 }
	policies := []struct {
		name      string
		newPolicy func() lendingPolicy
	}{
		{"no priorities", func() lendingPolicy { return &plainBucket{params: f, level: f.capacity, requiredRoom: noExtraRoom} }},
		{"strict ranks", func() lendingPolicy { return strictRanks(f) }},
		{"room for the largest", func() lendingPolicy { return roomForLargest(f) }},
		{"queue of 300 ms", func() lendingPolicy {
			return &queuedPolicy{plainBucket: plainBucket{params: f, level: f.capacity, requiredRoom: noExtraRoom}}
		}},
		{"shares by class", newClassPolicy},
	}
	for _, flood := range floods {
		t.Log(flood.name)
		for _, policy := range policies {
			t.Logf("%-20s %s", policy.name, summarizeFloods(policy.newPolicy, flood.multipliers))
		}
	}
}

// minServedShares are the minimum served shares of the classes under each flood. Under the first,
// texts and bookings request less than an equal share, and the two classes of large requests
// divide the rest about equally; a rank may be served less often than a less urgent one by at
// most 5 in 100. Under the second, classes that request no more than usual keep it, except for
// random bursts.
var minServedShares = [][]float64{{0.95, 0.26, 0.26, 0.95}, {0.18, 0.75, 0.75, 0.95}}

// TestFloodedTenantGetsItsGrantAndFairShares checks the bucket as it is used in production.
func TestFloodedTenantGetsItsGrantAndFairShares(t *testing.T) {
	t.Parallel()
	for i, flood := range floods {
		s := summarizeFloods(newClassPolicy, flood.multipliers)
		for _, problem := range s.problems(minServedShares[i]) {
			t.Errorf("%s: %s", flood.name, problem)
		}
		if i == 0 && s.servedShares[1] < s.servedShares[2]-0.05 {
			t.Errorf("drafts are more urgent than premium requests, but shares of %.2f and %.2f were served", s.servedShares[1], s.servedShares[2])
		}
	}
}

// BenchmarkTakeUnderAFlood measures a request of a flooding tenant with the maximum of 256
// reservations.
func BenchmarkTakeUnderAFlood(b *testing.B) {
	f := floodConfig.bucketParams(floodLimit())
	now := time.Unix(1_000_000, 0)
	flooded := &bucket{filledAt: now}
	for mark := range int64(maxReservations) {
		flooded.take(now, f, tokenRequest{amount: 9250, fingerprint: mark + 1, maxWait: time.Hour})
	}
	b.ResetTimer()
	for i := range b.N {
		k := &floodClasses[i%len(floodClasses)]
		flooded.take(now, f, tokenRequest{amount: k.amount, rank: k.rank, fingerprint: -1})
	}
}

// TestReservationsOfAbsentCallersAreReused: a tenant whose callers never return after a refusal must
// still get its window, since reservations expire.
func TestReservationsOfAbsentCallersAreReused(t *testing.T) {
	s := summarizeFloods(func() lendingPolicy { return &nonReturningCallers{newClassPolicy()} }, floods[0].multipliers)
	for _, problem := range s.problems([]float64{0.9, 0.25, 0.25, 0.9}) {
		t.Error(problem)
	}
}

// TestFloodChecksDetectPlantedDefects: the checks above must report each planted defect.
func TestFloodChecksDetectPlantedDefects(t *testing.T) {
	t.Parallel()
	newPolicy := func() classPolicy { return *newClassPolicy().(*classPolicy) }
	for name, planted := range map[string]func() lendingPolicy{
		"forgets virtual times and reservations": func() lendingPolicy { return &forgettingPolicy{newPolicy()} },
		"reservations never expire":              func() lendingPolicy { return &nonReturningCallers{&neverExpiringPolicy{newPolicy()}} },
	} {
		caught := 0
		for i, flood := range floods {
			problems := summarizeFloods(planted, flood.multipliers).problems(minServedShares[i])
			t.Logf("%s: %s", name, strings.Join(problems, "; "))
			caught += len(problems)
		}
		if caught == 0 {
			t.Errorf("%s: no violation was detected", name)
		}
	}
}
