package lending

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var bucketConfig = Config{Window: 8 * time.Second, Overrun: 0.1, Slack: 11000}.WithDefaults()

// TestBucketNeverExceedsRefillPlusCapacityInAWindow draws requests and refunds at random times: no
// window may contain more than the refill of a window and the capacity, except for one request that
// is larger than the capacity.
func TestBucketNeverExceedsRefillPlusCapacityInAWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Float64Range(100, 200_000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 400_000).Draw(t, "burst")}
		f := bucketConfig.bucketParams(l)
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
		maximum := f.rate*bucketConfig.Window.Seconds() + f.capacity + max(largest-f.capacity, 0) + 1
		for first := range uses {
			sum := 0.0
			for _, u := range uses[first:] {
				if u.at.Sub(uses[first].at) > bucketConfig.Window {
					break
				}
				sum += u.amount
			}
			if sum > maximum {
				t.Fatalf("a window holds %.0f, at most %.0f are allowed", sum, maximum)
			}
		}
	})
}

// TestBucketParamsAndSuccessorCreditsStayWithinAllowance draws limits and configurations:
// capacity, the refill of a window and a token lifetime, and the credits of all successors that
// may get one within a window must not exceed the grant and its allowance.
func TestBucketParamsAndSuccessorCreditsStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Float64Range(1, 1e6).Draw(t, "rate"), Burst: rapid.Float64Range(0, 4e6).Draw(t, "burst")}
		cfg := Config{
			Window: time.Duration(rapid.IntRange(1, 60).Draw(t, "window")) * time.Second, Overrun: rapid.Float64Range(0, 0.3).Draw(t, "overrun"),
			Slack: rapid.Float64Range(0, 1e5).Draw(t, "slack"),
		}.WithDefaults()
		f := cfg.bucketParams(l)
		// Three successors, at the beginning, in the middle and at the end of a window, and one
		// ticket.
		credits := 3*cfg.successorCredit(l, initialCreditShare) + cfg.successorCredit(l, ticketCreditShare)
		maximum := f.capacity + f.rate*(cfg.Window+cfg.Lifetime).Seconds() + credits
		if bound := (l.Rate*cfg.Window.Seconds()+l.Burst)*(1+cfg.Overrun) + cfg.Slack; maximum > bound*(1+1e-9) {
			t.Fatalf("a window may hold %.0f, the bound is %.0f", maximum, bound)
		}
		if f.rate <= 0 {
			t.Fatalf("no refill: %+v", f)
		}
	})
}

// TestFloodedLimitGrantsAlmostAllUrgentRequests: a tenant that sends four times its limit, a tenth of
// it urgent, must get its urgent requests granted and use nine tenths of its windows.
func TestFloodedLimitGrantsAlmostAllUrgentRequests(t *testing.T) {
	l := Limit{Rate: 25_000, Burst: 25_000}
	f := bucketConfig.bucketParams(l)
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
	windows := (4000 * pause).Seconds() / bucketConfig.Window.Seconds()
	if granted < 0.99*urgent || used < 0.9*windows*bucketConfig.windowGrant(l) {
		t.Errorf("%.0f of %.0f urgent requests were granted, and %.0f of %.0f units used", granted, urgent, used, windows*bucketConfig.windowGrant(l))
	}
}

// TestRegrantIgnoresReservationsOfOthers: a request whose granted tokens expired while it waited
// gets available tokens even if they are reserved; a new request does not.
func TestRegrantIgnoresReservationsOfOthers(t *testing.T) {
	f := bucketParams{rate: 1000, capacity: 1000}
	now := time.Unix(1000, 0)
	b := &bucket{filledAt: now, level: 100}
	if got := b.take(now, f, tokenRequest{amount: 300, fingerprint: 1, maxWait: time.Second}); !got.reserved {
		t.Fatalf("request got no reservation: %+v", got)
	}
	if got := b.take(now, f, tokenRequest{amount: 100, fingerprint: 2}); got.granted {
		t.Errorf("reserved tokens were granted to another request: %+v", got)
	}
	if got := b.take(now, f, tokenRequest{amount: 100, fingerprint: 3, regrant: true}); !got.granted {
		t.Errorf("a request whose tokens expired was refused: %+v", got)
	}
}

// TestRefusedCallersAreToldSpacedReturnTimes: callers that are refused at the same moment must
// be told different times, one request apart, or they would all return at once.
func TestRefusedCallersAreToldSpacedReturnTimes(t *testing.T) {
	f := bucketParams{rate: 1000, capacity: 1000}
	now := time.Unix(1000, 0)
	b := &bucket{filledAt: now}
	var previous time.Duration
	for n := range 20 {
		got := b.take(now, f, tokenRequest{amount: 100})
		wait, granted := got.wait, got.granted
		if granted || wait <= previous {
			t.Fatalf("caller %d was told to wait %v, the previous caller %v", n, wait, previous)
		}
		if n > 0 && wait-previous != 100*time.Millisecond {
			t.Errorf("caller %d was told to return %v after the previous caller", n, wait-previous)
		}
		previous = wait
	}
}
