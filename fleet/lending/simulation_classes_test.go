package lending

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// simClass is a class of requests in a simulation.
type simClass struct {
	amount  float64
	rank    int
	maxWait time.Duration
}

// defaultClass is the only class of simulations without classes.
var defaultClass = simClass{amount: simTokens}

// mixedClasses are equally frequent, with 1,540 tokens on average.
var mixedClasses = []simClass{
	{amount: 200, rank: 2, maxWait: time.Second},
	{amount: 800, rank: 0, maxWait: 4 * time.Second},
	{amount: 1160, rank: 1, maxWait: 2 * time.Second},
	{amount: 4000, rank: 2, maxWait: 4 * time.Second},
}

// simRequest is a pending request; returned is set for a caller that returned, hasReservation if it
// returned to a reservation.
type simRequest struct {
	tenant                   string
	class                    simClass
	fingerprint              int64
	returned, hasReservation bool
}

// simCount counts the requests of one size and rank.
type simCount struct{ asked, refused int }

// returnCounts counts refused requests, callers that returned to a reservation, and those of them
// that were refused again.
type returnCounts struct{ refused, returned, refusedAgain int }

// drawRequest draws a tenant's next request.
func (p *simulation) drawRequest(tenant string) simRequest {
	if len(p.classes) == 0 {
		return simRequest{tenant: tenant, class: defaultClass}
	}
	return simRequest{tenant: tenant, class: p.classes[p.rand.IntN(len(p.classes))], fingerprint: p.rand.Int64()}
}

// recordAnswer counts an answer in a simulation with classes, and schedules the caller's return if it
// accepts the delay.
func (p *simulation) recordAnswer(a simRequest, e TokensDecided) {
	if len(p.classes) == 0 || !e.Decided {
		return
	}
	if below := p.demand[a.tenant] < 1; below && !a.returned {
		name := fmt.Sprintf("rank %d, %.0f", a.class.rank, a.class.amount)
		if p.counts[name] == nil {
			p.counts[name] = &simCount{}
		}
		p.counts[name].asked++
		if !e.Granted {
			p.counts[name].refused++
		}
	}
	if a.hasReservation {
		p.returns.returned++
		if !e.Granted {
			p.returns.refusedAgain++
		}
	}
	if e.Granted || a.returned {
		return
	}
	p.returns.refused++
	if e.Wait > a.class.maxWait {
		return
	}
	p.after(e.Wait+p.between(time.Millisecond, 20*time.Millisecond), func() { p.returnCaller(a, e.Reserved) })
}

// returnCaller repeats a request through a random node.
func (p *simulation) returnCaller(a simRequest, hasReservation bool) {
	live := slices.DeleteFunc(p.liveNodes(), func(n *simNode) bool { return n.frozen || n.partition != 0 || !n.noNewsSince.IsZero() })
	if len(live) == 0 {
		return
	}
	p.number++
	a.returned, a.hasReservation = true, hasReservation
	p.pending[p.number] = a
	p.step(live[p.rand.IntN(len(live))], TokensRequested{
		Number: p.number, Tenant: a.tenant, Amount: a.class.amount, Rank: a.class.rank, Fingerprint: a.fingerprint, MaxRetryWait: a.class.maxWait,
	})
}

// newMixedSimulation returns a simulation with several classes, the largest of which fits into
// the slack.
func newMixedSimulation(seed uint64, nodes, tenants int) *simulation {
	p := newSimulation(seed, 0, tenants)
	p.classes, p.slack, p.counts = mixedClasses, 4000, map[string]*simCount{}
	for i := range nodes {
		p.startNode(fmt.Sprintf("machine-%d", i))
	}
	p.announcePeers()
	return p
}

// TestLimitsHoldForMixedClassesUnderFaults: with tenants that send several classes of requests, two
// of them at up to eight times their limits, and callers that return as told, no window may
// exceed its bound, whatever faults occur.
func TestLimitsHoldForMixedClassesUnderFaults(t *testing.T) {
	t.Parallel()
	counts := map[string]*simCount{}
	var returns returnCounts
	for seed := range uint64(*seedCount) {
		p := newMixedSimulation(seed, 6+int(seed%4)*8, 6)
		p.lossRate = 0.02
		p.faultsHitLenders = seed%4 == 0
		p.floodAndInjectFaults()
		for _, problem := range p.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
		for name, c := range p.counts {
			if counts[name] == nil {
				counts[name] = &simCount{}
			}
			counts[name].asked += c.asked
			counts[name].refused += c.refused
		}
		returns.refused += p.returns.refused
		returns.returned += p.returns.returned
		returns.refusedAgain += p.returns.refusedAgain
	}
	t.Logf("refused below the limit: %s", formatCounts(counts))
	t.Logf("%d refused, %d of them returned to a reservation, %d were refused again", returns.refused, returns.returned, returns.refusedAgain)
}

func formatCounts(counts map[string]*simCount) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d of %d", name, counts[name].refused, counts[name].asked))
	}
	return strings.Join(parts, "; ")
}

// TestReturningCallersWithReservationsAreServed: without faults, with a quarter of the tenants at six
// times their usual rate, callers that return to a reservation through any node and are refused
// again must be less than 3 in 100 of the refused.
func TestReturningCallersWithReservationsAreServed(t *testing.T) {
	t.Parallel()
	p := newMixedSimulation(1, 40, 8)
	p.demand[p.tenants[0]], p.demand[p.tenants[1]] = 6/1.8, 6/1.8
	p.runFor(40 * time.Second)
	p.checkLimits()
	for _, problem := range p.problems {
		t.Error(problem)
	}
	t.Logf("%d refused, %d of them returned to a reservation, %d were refused again; below the limit: %s",
		p.returns.refused, p.returns.returned, p.returns.refusedAgain, formatCounts(p.counts))
	if p.returns.returned == 0 || p.returns.refusedAgain*100 >= 3*p.returns.refused {
		t.Errorf("%+v", p.returns)
	}
}
