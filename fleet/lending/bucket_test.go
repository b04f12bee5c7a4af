package lending

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var bucketTerms = Config{Window: 8 * time.Second, Overrun: 0.1, Slack: 11000}.WithDefaults()

// TestBucketsKeepTheirWindow: whatever is asked for and given back, and when, no window holds
// more than what flows in and what the bucket holds, but for one request that is larger than a
// bucket.
func TestBucketsKeepTheirWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Float64Range(100, 200_000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 400_000).Draw(t, "burst")}
		f := bucketTerms.bucketParams(l)
		now := time.Unix(1000, 0)
		b := &bucket{filledAt: now, level: f.capacity}
		type use struct {
			at     time.Time
			amount float64
		}
		var uses []use
		largest := 0.0
		for range rapid.IntRange(1, 300).Draw(t, "uses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			amount := rapid.Float64Range(1, 3000).Draw(t, "amount")
			asked := tokenRequest{amount: amount, rank: rapid.IntRange(-1, 11).Draw(t, "rank")}
			if b.take(now, f, asked).granted {
				if rapid.IntRange(0, 9).Draw(t, "given back") == 0 {
					b.refund(now, f, amount, 0, 0)
					continue
				}
				uses = append(uses, use{now, amount})
				largest = max(largest, amount)
			}
		}
		most := f.rate*bucketTerms.Window.Seconds() + f.capacity + max(largest-f.capacity, 0) + 1
		for first := range uses {
			sum := 0.0
			for _, u := range uses[first:] {
				if u.at.Sub(uses[first].at) > bucketTerms.Window {
					break
				}
				sum += u.amount
			}
			if sum > most {
				t.Fatalf("%.0f in a window, at most %.0f", sum, most)
			}
		}
	})
}

// TestFlowsKeepTheRule: what a bucket holds, what flows in within a window and within the time
// that tokens last, and the credits of as many successors as may get one within a window are
// no more than the rule allows.
func TestFlowsKeepTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Float64Range(1, 1e6).Draw(t, "rate"), Burst: rapid.Float64Range(0, 4e6).Draw(t, "burst")}
		terms := Config{
			Window: time.Duration(rapid.IntRange(1, 60).Draw(t, "window")) * time.Second, Overrun: rapid.Float64Range(0, 0.3).Draw(t, "overrun"),
			Slack: rapid.Float64Range(0, 1e5).Draw(t, "slack"),
		}.WithDefaults()
		f := terms.bucketParams(l)
		// Successors at the beginning, in the middle and at the end of a window, and one ticket.
		credits := 3*terms.successorCredit(l, initialCreditShare) + terms.successorCredit(l, ticketCreditShare)
		most := f.capacity + f.rate*(terms.Window+terms.Lifetime).Seconds() + credits
		if rule := (l.Rate*terms.Window.Seconds()+l.Burst)*(1+terms.Overrun) + terms.Slack; most > rule*(1+1e-9) {
			t.Fatalf("%.0f in a window, the rule allows %.0f", most, rule)
		}
		if f.rate <= 0 {
			t.Fatalf("nothing flows in: %+v", f)
		}
	})
}

// TestUrgentRanksComeFirst: a tenant that sends four times what it may, a tenth of it urgent,
// has its urgent requests granted, and together it gets nine tenths of its window.
func TestUrgentRanksComeFirst(t *testing.T) {
	l := Limit{Rate: 25_000, Burst: 25_000}
	f := bucketTerms.bucketParams(l)
	start := time.Unix(1000, 0)
	b := &bucket{filledAt: start, level: f.capacity}
	var used, urgent, granted float64
	const amount = 1540
	pause := time.Duration(amount / (4 * l.Rate) * float64(time.Second))
	for n := 0; n < 4000; n++ {
		rank := 2
		if n%10 == 0 {
			rank = 1
			urgent++
		}
		if b.take(start.Add(time.Duration(n)*pause), f, tokenRequest{amount: amount, rank: rank}).granted {
			used += amount
			if rank == 1 {
				granted++
			}
		}
	}
	windows := (4000 * pause).Seconds() / bucketTerms.Window.Seconds()
	if granted < 0.99*urgent || used < 0.9*windows*bucketTerms.windowGrant(l) {
		t.Errorf("%.0f of %.0f urgent ones are granted, and %.0f used of %.0f", granted, urgent, used, windows*bucketTerms.windowGrant(l))
	}
}

// TestRequestsThatWaitedLeaveNoRoom: a request whose tokens lapsed while it waited is lent what
// there is, also where it is kept for others; one that comes for the first time is not.
func TestRequestsThatWaitedLeaveNoRoom(t *testing.T) {
	f := bucketParams{rate: 1000, capacity: 1000}
	now := time.Unix(1000, 0)
	b := &bucket{filledAt: now, level: 100}
	if got := b.take(now, f, tokenRequest{amount: 300, fingerprint: 1, maxWait: time.Second}); !got.reserved {
		t.Fatalf("got %+v", got)
	}
	if got := b.take(now, f, tokenRequest{amount: 100, fingerprint: 2}); got.granted {
		t.Errorf("what is kept for another is lent: %+v", got)
	}
	if got := b.take(now, f, tokenRequest{amount: 100, fingerprint: 3, regrant: true}); !got.granted {
		t.Errorf("a request that waited is sent back: %+v", got)
	}
}

// TestReturningCallersComeInTurn: those sent back at one moment are told different times, one
// request apart.
func TestReturningCallersComeInTurn(t *testing.T) {
	f := bucketParams{rate: 1000, capacity: 1000}
	now := time.Unix(1000, 0)
	b := &bucket{filledAt: now}
	var before time.Duration
	for n := range 20 {
		got := b.take(now, f, tokenRequest{amount: 100})
		wait, granted := got.wait, got.granted
		if granted || wait <= before {
			t.Fatalf("caller %d is told %v after %v", n, wait, before)
		}
		if n > 0 && wait-before != 100*time.Millisecond {
			t.Errorf("caller %d is told to come %v after the one before", n, wait-before)
		}
		before = wait
	}
}
