package lending

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valveslip/valveslip/routing/limit"
	"github.com/valveslip/valveslip/settings"
)

// The load of the comparison: a tenant of the least limit, of a middle one and of the
// greatest, whose requests come to 87 nodes at random.
const (
	waysNodes  = 87
	waysTokens = 1540
	waysTime   = 120 * time.Second
)

// way divides one limit over the nodes.
type way interface {
	// ask asks on a node for the tokens of a request.
	ask(now time.Time, node int) bool
}

// parts keeps an even part on each node, or with shares one by what the node was asked for
// in the second before, three quarters of the limit, as the zones' controllers divide it.
type parts struct {
	sets   []*limit.Set
	shares bool
	rate   float64
	asked  []float64
	next   time.Time
}

func newParts(rate float64, shares bool) *parts {
	p := &parts{shares: shares, rate: rate, asked: make([]float64, waysNodes)}
	for rank := range waysNodes {
		set := limit.NewSet()
		set.Divide(limit.Division{Routers: waysNodes, Rank: rank})
		set.Configure(map[string]settings.Scope{"/t": {Path: "/t", TokensPerSecond: rate}})
		p.sets = append(p.sets, set)
	}
	return p
}

func (p *parts) ask(now time.Time, node int) bool {
	if p.shares && !now.Before(p.next) {
		p.next = now.Add(time.Second)
		const even, idle = 0.25, 0.01
		sum := 0.0
		for _, asked := range p.asked {
			sum += asked + idle
		}
		for i, set := range p.sets {
			share := even/waysNodes + (1-even)*(p.asked[i]+idle)/sum
			set.Grant("/t", limit.Share{Tokens: p.rate * share, Expires: now.Add(5 * time.Second).UnixNano()})
			p.asked[i] = 0
		}
	}
	p.asked[node]++
	claim, _, admitted := p.sets[node].Admit(now.UnixNano(), "/t", "/t", waysTokens)
	if admitted {
		p.sets[node].Release(now.UnixNano(), claim, waysTokens, false)
	}
	return admitted
}

// spread has each node count all that was used, others' by 400 ms late, as the feed passes
// changes on.
type spread struct {
	flow bucketParams
	used []tokenUse
	// own lists what each node used and the others don't know yet.
	nodes []int
}

func (s *spread) ask(now time.Time, node int) bool {
	b := &bucket{filledAt: now.Add(-waysTime), level: s.flow.capacity}
	for i, use := range s.used {
		if s.nodes[i] == node || now.Sub(use.at) >= 400*time.Millisecond {
			b.fill(use.at, s.flow)
			b.level -= use.amount
		}
	}
	b.fill(now, s.flow)
	if min(waysTokens, s.flow.capacity) > b.level {
		return false
	}
	s.used, s.nodes = append(s.used, tokenUse{at: now, amount: waysTokens}), append(s.nodes, node)
	return true
}

// lent asks one bucket.
type lent struct {
	flow   bucketParams
	bucket bucket
}

func (l *lent) ask(now time.Time, _ int) bool {
	return l.bucket.take(now, l.flow, tokenRequest{amount: waysTokens}).granted
}

// TestWaysToDivideALimit compares the ways: how many requests below the limit are refused,
// and the fullest window of a tenant that sends eight times as much as it may, in parts of
// what the window grants.
func TestWaysToDivideALimit(t *testing.T) {
	terms := bucketTerms
	// beyond is the fullest window of any limit in parts of what flows in and what is held.
	type result struct{ refused, fullest, beyond float64 }
	results := map[string]result{}
	for name, begin := range map[string]func(l Limit) way{
		"even parts":       func(l Limit) way { return newParts(l.Rate, false) },
		"shares by demand": func(l Limit) way { return newParts(l.Rate, true) },
		"spent, spread":    func(l Limit) way { return &spread{flow: terms.bucketParams(l)} },
		"lent": func(l Limit) way {
			return &lent{flow: terms.bucketParams(l), bucket: bucket{level: terms.bucketParams(l).capacity, filledAt: time.Unix(1000, 0)}}
		},
	} {
		var got result
		for _, rate := range []float64{23_761, 41_369} {
			l := Limit{Rate: rate, Burst: rate}
			refused, asked, _ := waysPlay(begin(l), l, 1/1.8)
			got.refused = max(got.refused, float64(refused)/float64(asked))
			_, _, fullest := waysPlay(begin(l), l, 8)
			f := terms.bucketParams(l)
			got.fullest = max(got.fullest, fullest/terms.windowGrant(l))
			got.beyond = max(got.beyond, fullest/(f.capacity+f.rate*terms.Window.Seconds()))
		}
		results[name] = got
		t.Logf("%-17s %5.1f%% refused below the limit, fullest window %.2f of what it grants", name, 100*got.refused, got.fullest)
	}
	if lent := results["lent"]; lent.refused > 0.005 || lent.beyond > 1 {
		t.Errorf("lent tokens: %+v", lent)
	}
}

// waysPlay sends a tenant's requests, and returns how many were refused, of how many, and
// what was used in the fullest window.
func waysPlay(w way, l Limit, demand float64) (refused, asked int, fullest float64) {
	random := rand.New(rand.NewPCG(7, 7))
	now := time.Unix(1000, 0)
	end := now.Add(waysTime)
	if demand > 1 {
		end = now.Add(20 * time.Second)
	}
	var used []tokenUse
	for now.Before(end) {
		now = now.Add(time.Duration(waysTokens / (l.Rate * demand) * random.ExpFloat64() * float64(time.Second)))
		asked++
		if w.ask(now, random.IntN(waysNodes)) {
			used = append(used, tokenUse{at: now, amount: waysTokens})
		} else {
			refused++
		}
	}
	sum, from := 0.0, 0
	for i := range used {
		sum += used[i].amount
		for used[i].at.Sub(used[from].at) > bucketTerms.Window {
			sum -= used[from].amount
			from++
		}
		fullest = max(fullest, sum)
	}
	return refused, asked, fullest
}
