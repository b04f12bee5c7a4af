package demand

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// TestArrivalsAreCountedInOnePlan checks that a plan gets the sum over all routers' reports, a
// repeated one counted once, and that the next plan counts none of them again.
func TestArrivalsAreCountedInOnePlan(t *testing.T) {
	now := time.Unix(0, 0)
	aggregator := New()
	report := func(from cluster.NodeID, sequence uint64, arrivals, tokens int) {
		aggregator.Record(now, wire.Demand{
			From: from, Sequence: sequence,
			Models: []wire.ModelDemand{{Model: "chat", Arrivals: arrivals, PromptTokens: tokens}},
		})
	}
	report("a", 1, 1, 9000)
	report("b", 1, 2, 600)
	report("a", 2, 1, 1000)
	report("a", 2, 1, 1000) // The same report again.
	sum := aggregator.Sum(now)["chat"]
	if sum.Arrivals != 4 || sum.PromptTokens != 10600 {
		t.Errorf("%d arrivals of %d tokens, want 4 of 10600", sum.Arrivals, sum.PromptTokens)
	}
	if want := 9000.0*9000 + 2*300*300 + 1000*1000; sum.PromptSquareSum != want {
		t.Errorf("squares %.0f, want %.0f", sum.PromptSquareSum, want)
	}
	if again := aggregator.Sum(now)["chat"]; again.Arrivals != 0 || again.PromptTokens != 0 || again.PromptSquareSum != 0 {
		t.Errorf("the next plan counts %+v again", again)
	}
}
