package lending

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// playKind is a kind of requests of a play with several.
type playKind struct {
	amount float64
	rank   int
	heeds  time.Duration
}

// plainKind is the only one of plays without a mix.
var plainKind = playKind{amount: simTokens}

// mixedKinds come alike often, 1,540 tokens in the mean.
var mixedKinds = []playKind{
	{amount: 200, rank: 2, heeds: time.Second},
	{amount: 800, rank: 0, heeds: 4 * time.Second},
	{amount: 1160, rank: 1, heeds: 2 * time.Second},
	{amount: 4000, rank: 2, heeds: 4 * time.Second},
}

// playAsk is a question under way; back is set for a caller that came back, told where it came
// for room that was kept.
type playAsk struct {
	tenant     string
	kind       playKind
	mark       int64
	back, told bool
}

// playCount is what became of the requests of a size and rank.
type playCount struct{ asked, refused int }

// playReturns count those that came back as told, and were refused again, of all refused.
type playReturns struct{ refused, came, again int }

// draw makes a tenant's next request.
func (p *simulation) draw(tenant string) playAsk {
	if len(p.mix) == 0 {
		return playAsk{tenant: tenant, kind: plainKind}
	}
	return playAsk{tenant: tenant, kind: p.mix[p.rand.IntN(len(p.mix))], mark: p.rand.Int64()}
}

// note counts an answer of a play with a mix, and has the caller come back if it heeds.
func (p *simulation) note(a playAsk, e Answered) {
	if len(p.mix) == 0 || !e.Decided {
		return
	}
	if below := p.demand[a.tenant] < 1; below && !a.back {
		name := fmt.Sprintf("rank %d, %.0f", a.kind.rank, a.kind.amount)
		if p.counts[name] == nil {
			p.counts[name] = &playCount{}
		}
		p.counts[name].asked++
		if !e.Granted {
			p.counts[name].refused++
		}
	}
	if a.told {
		p.returns.came++
		if !e.Granted {
			p.returns.again++
		}
	}
	if e.Granted || a.back {
		return
	}
	p.returns.refused++
	if e.Wait > a.kind.heeds {
		return
	}
	p.after(e.Wait+p.between(time.Millisecond, 20*time.Millisecond), func() { p.comeBack(a, e.Reserved) })
}

// comeBack asks again, through any node.
func (p *simulation) comeBack(a playAsk, told bool) {
	live := slices.DeleteFunc(p.live(), func(n *simNode) bool { return n.frozen || n.partition != 0 || !n.noNewsSince.IsZero() })
	if len(live) == 0 {
		return
	}
	p.number++
	a.back, a.told = true, told
	p.pending[p.number] = a
	p.step(live[p.rand.IntN(len(live))], Asked{
		Number: p.number, Tenant: a.tenant, Amount: a.kind.amount, Rank: a.kind.rank, Mark: a.mark, Heeds: a.kind.heeds,
	})
}

// mixed makes a play one of several kinds, whose largest fits into the slack.
func mixed(seed uint64, nodes, tenants int) *simulation {
	p := newPlay(seed, 0, tenants)
	p.mix, p.slack, p.counts = mixedKinds, 4000, map[string]*playCount{}
	for i := range nodes {
		p.start(fmt.Sprintf("machine-%d", i))
	}
	p.tellPeers()
	return p
}

// TestKindsUnderTrouble: of tenants that send several kinds of requests, two of them up to eight
// times what they may, and come back when they are told, no window holds more than the rule
// allows, whatever becomes of nodes and links.
func TestKindsUnderTrouble(t *testing.T) {
	t.Parallel()
	counts := map[string]*playCount{}
	var returns playReturns
	for seed := range uint64(*plays) {
		p := mixed(seed, 6+int(seed%4)*8, 6)
		p.lossRate = 0.02
		p.faultsHitLenders = seed%4 == 0
		p.strike()
		for _, problem := range p.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
		for name, c := range p.counts {
			if counts[name] == nil {
				counts[name] = &playCount{}
			}
			counts[name].asked += c.asked
			counts[name].refused += c.refused
		}
		returns.refused += p.returns.refused
		returns.came += p.returns.came
		returns.again += p.returns.again
	}
	t.Logf("refused below the limit: %s", countsText(counts))
	t.Logf("%d refused, %d of them came back to room that was kept, %d were refused again", returns.refused, returns.came, returns.again)
}

func countsText(counts map[string]*playCount) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d of %d", name, counts[name].refused, counts[name].asked))
	}
	return strings.Join(parts, "; ")
}

// TestReturnsAreServed: on a calm day with a quarter of the tenants at six times their usual,
// under 3 in 100 of those that were refused are refused again when they come back to room that
// was kept, through whatever node.
func TestReturnsAreServed(t *testing.T) {
	t.Parallel()
	p := mixed(1, 40, 8)
	p.demand[p.tenants[0]], p.demand[p.tenants[1]] = 6/1.8, 6/1.8
	p.runFor(40 * time.Second)
	p.check()
	for _, problem := range p.problems {
		t.Error(problem)
	}
	t.Logf("%d refused, %d of them came back to room that was kept, %d were refused again; below the limit: %s",
		p.returns.refused, p.returns.came, p.returns.again, countsText(p.counts))
	if p.returns.came == 0 || p.returns.again*100 >= 3*p.returns.refused {
		t.Errorf("%+v", p.returns)
	}
}
