package lending

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valveslip/valveslip/routing/limit"
	"github.com/valveslip/valveslip/settings"
)

// Load of the comparison: tenants with a small, a medium and a large limit, whose requests reach
// 87 nodes at random.
const (
	divisionNodes    = 87
	divisionTokens   = 1540
	divisionDuration = 120 * time.Second
)

// limitDivision divides one limit over the nodes.
type limitDivision interface {
	// admit requests the tokens of a request at a node.
	admit(now time.Time, node int) bool
}

// nodeShares gives each node an equal share of the limit. With byDemand, three quarters of the
// limit are divided each second by the requests at each node in the second before, as zone
// controllers do.
type nodeShares struct {
	sets     []*limit.Set
	byDemand bool
	rate     float64
	asked    []float64
	next     time.Time
}

func newNodeShares(rate float64, byDemand bool) *nodeShares {
	p := &nodeShares{byDemand: byDemand, rate: rate, asked: make([]float64, divisionNodes)}
	for rank := range divisionNodes {
		set := limit.NewSet()
		set.Divide(limit.Division{Routers: divisionNodes, Rank: rank})
		set.Configure(map[string]settings.Scope{"/t": {Path: "/t", TokensPerSecond: rate}})
		p.sets = append(p.sets, set)
	}
	return p
}

func (p *nodeShares) admit(now time.Time, node int) bool {
	if p.byDemand && !now.Before(p.next) {
		p.next = now.Add(time.Second)
		const even, idle = 0.25, 0.01
		sum := 0.0
		for _, asked := range p.asked {
			sum += asked + idle
		}
		for i, set := range p.sets {
			share := even/divisionNodes + (1-even)*(p.asked[i]+idle)/sum
			set.Grant("/t", limit.Share{Tokens: p.rate * share, Expires: now.Add(5 * time.Second).UnixNano()})
			p.asked[i] = 0
		}
	}
	p.asked[node]++
	claim, _, admitted := p.sets[node].Admit(now.UnixNano(), "/t", "/t", divisionTokens)
	if admitted {
		p.sets[node].Release(now.UnixNano(), claim, divisionTokens, false)
	}
	return admitted
}

// gossipedUsage has each node count all use; it learns the use at other nodes 400 ms late, as
// changes arrive through the feed.
type gossipedUsage struct {
	params bucketParams
	used   []tokenUse
	// nodes lists the node of each use.
	nodes []int
}

func (s *gossipedUsage) admit(now time.Time, node int) bool {
	b := &bucket{filledAt: now.Add(-divisionDuration), level: s.params.capacity}
	for i, use := range s.used {
		if s.nodes[i] == node || now.Sub(use.at) >= 400*time.Millisecond {
			b.fill(use.at, s.params)
			b.level -= use.amount
		}
	}
	b.fill(now, s.params)
	if min(divisionTokens, s.params.capacity) > b.level {
		return false
	}
	s.used, s.nodes = append(s.used, tokenUse{at: now, amount: divisionTokens}), append(s.nodes, node)
	return true
}

// singleBucket asks one bucket for all nodes.
type singleBucket struct {
	params bucketParams
	bucket bucket
}

func (l *singleBucket) admit(now time.Time, _ int) bool {
	return l.bucket.take(now, l.params, tokenRequest{amount: divisionTokens}).granted
}

// TestCompareWaysToDivideALimit compares the ways to divide a limit: the share of requests
// refused below the limit, and the fullest window of a tenant that sends eight times its limit,
// as a share of the window's grant.
func TestCompareWaysToDivideALimit(t *testing.T) {
	cfg := bucketConfig
	// beyond is the fullest window as a share of its refill and the bucket's capacity.
	type result struct{ refused, fullest, beyond float64 }
	results := map[string]result{}
	for name, begin := range map[string]func(l Limit) limitDivision{
		"equal shares":     func(l Limit) limitDivision { return newNodeShares(l.Rate, false) },
		"shares by demand": func(l Limit) limitDivision { return newNodeShares(l.Rate, true) },
		"gossiped usage":   func(l Limit) limitDivision { return &gossipedUsage{params: cfg.bucketParams(l)} },
		"single bucket": func(l Limit) limitDivision {
			return &singleBucket{params: cfg.bucketParams(l), bucket: bucket{level: cfg.bucketParams(l).capacity, filledAt: time.Unix(1000, 0)}}
		},
	} {
		var got result
		for _, rate := range []float64{23_761, 41_369} {
			l := Limit{Rate: rate, Burst: rate}
			refused, asked, _ := simulateDivision(begin(l), l, 1/1.8)
			got.refused = max(got.refused, float64(refused)/float64(asked))
			_, _, fullest := simulateDivision(begin(l), l, 8)
			f := cfg.bucketParams(l)
			got.fullest = max(got.fullest, fullest/cfg.windowGrant(l))
			got.beyond = max(got.beyond, fullest/(f.capacity+f.rate*cfg.Window.Seconds()))
		}
		results[name] = got
		t.Logf("%-17s %5.1f%% refused below the limit, fullest window %.2f of its grant", name, 100*got.refused, got.fullest)
	}
	if single := results["single bucket"]; single.refused > 0.005 || single.beyond > 1 {
		t.Errorf("single bucket: %+v", single)
	}
}

// simulateDivision sends a tenant's requests, and returns the refused and all requests and the use of
// the fullest window.
func simulateDivision(w limitDivision, l Limit, demand float64) (refused, asked int, fullest float64) {
	random := rand.New(rand.NewPCG(7, 7))
	now := time.Unix(1000, 0)
	end := now.Add(divisionDuration)
	if demand > 1 {
		end = now.Add(20 * time.Second)
	}
	var used []tokenUse
	for now.Before(end) {
		now = now.Add(time.Duration(divisionTokens / (l.Rate * demand) * random.ExpFloat64() * float64(time.Second)))
		asked++
		if w.admit(now, random.IntN(divisionNodes)) {
			used = append(used, tokenUse{at: now, amount: divisionTokens})
		} else {
			refused++
		}
	}
	sum, from := 0.0, 0
	for i := range used {
		sum += used[i].amount
		for used[i].at.Sub(used[from].at) > bucketConfig.Window {
			sum -= used[from].amount
			from++
		}
		fullest = max(fullest, sum)
	}
	return refused, asked, fullest
}
