package lending

import (
	"strings"
	"testing"
	"time"
)

// TestWaysToLendUnderAFlood compares ways to lend a limit that does not suffice, on the same
// arrivals: the share served of each kind, and of those who came back when they were told to,
// the share refused again.
func TestWaysToLendUnderAFlood(t *testing.T) {
	t.Parallel()
	f := floodTerms.bucketParams(floodLimit())
	always := func(time.Time, tokenRequest) float64 { return 0 }
	ways := []struct {
		name  string
		begin func() lendingWay
	}{
		{"whoever fits", func() lendingWay { return &plain{flow: f, level: f.capacity, room: always} }},
		{"strict ranks", func() lendingWay { return strictRanks(f) }},
		{"room for the largest", func() lendingWay { return sameRoom(f) }},
		{"queue of 300 ms", func() lendingWay { return &queued{plain: plain{flow: f, level: f.capacity, room: always}} }},
		{"shares by kind", byKinds},
	}
	for _, flood := range floods {
		t.Log(flood.name)
		for _, way := range ways {
			t.Logf("%-20s %s", way.name, sumUp(way.begin, flood.times))
		}
	}
}

// leastOdds are due to the kinds under each flood. Under the first, texts and bookings ask for
// less than an even share, and large requests have what is left, each kind about as much; a
// rank is served less often than a less urgent one by at most 5 in 100. Under the second, the
// kinds that ask for no more than usual keep it but for what comes by chance all at once.
var leastOdds = [][]float64{{0.95, 0.26, 0.26, 0.95}, {0.18, 0.75, 0.75, 0.95}}

// TestAFloodedTenantGetsWhatItIsPromised: by the bucket as it lends.
func TestAFloodedTenantGetsWhatItIsPromised(t *testing.T) {
	t.Parallel()
	for i, flood := range floods {
		s := sumUp(byKinds, flood.times)
		for _, problem := range s.problems(leastOdds[i]) {
			t.Errorf("%s: %s", flood.name, problem)
		}
		if i == 0 && s.odds[1] < s.odds[2]-0.05 {
			t.Errorf("drafts are more urgent, and %.2f of them are served beside %.2f", s.odds[1], s.odds[2])
		}
	}
}

// BenchmarkTakeUnderAFlood is what a lender spends on a request of a flooded tenant of whom 256
// callers were told when to come back.
func BenchmarkTakeUnderAFlood(b *testing.B) {
	f := floodTerms.bucketParams(floodLimit())
	now := time.Unix(1_000_000, 0)
	lender := &bucket{filledAt: now}
	for mark := range int64(maxReservations) {
		lender.take(now, f, tokenRequest{amount: 9250, fingerprint: mark + 1, maxWait: time.Hour})
	}
	b.ResetTimer()
	for i := range b.N {
		k := &floodKinds[i%len(floodKinds)]
		lender.take(now, f, tokenRequest{amount: k.amount, rank: k.rank, fingerprint: -1})
	}
}

// TestRoomOfCallersWhoDontComeIsUsed: a tenant whose callers all leave when they are sent back
// gets its window all the same.
func TestRoomOfCallersWhoDontComeIsUsed(t *testing.T) {
	s := sumUp(func() lendingWay { return &leaving{byKinds()} }, floods[0].times)
	for _, problem := range s.problems([]float64{0.9, 0.25, 0.25, 0.9}) {
		t.Error(problem)
	}
}

// TestDefectsUnderAFloodAreCaught: the checks above notice them.
func TestDefectsUnderAFloodAreCaught(t *testing.T) {
	t.Parallel()
	kinds := func() byKind { return *byKinds().(*byKind) }
	for name, planted := range map[string]func() lendingWay{
		"forgets what it saved": func() lendingWay { return &forgetsSaved{kinds()} },
		"queue without an end":  func() lendingWay { return &leaving{&endlessQueue{kinds()}} },
	} {
		caught := 0
		for i, flood := range floods {
			problems := sumUp(planted, flood.times).problems(leastOdds[i])
			t.Logf("%s: %s", name, strings.Join(problems, "; "))
			caught += len(problems)
		}
		if caught == 0 {
			t.Errorf("%s: not noticed", name)
		}
	}
}
