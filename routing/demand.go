package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/routing/queue"
	"github.com/valveslip/valveslip/wire"
)

// Demand reports the demand since the last call, sorted by model: the models that changed or have
// waiting requests or, with full, all models with any demand. The caller fills From, Zone and
// Sequence.
func (r *Router) Demand(now time.Time, full bool) wire.Demand {
	nanos := max(now.UnixNano(), r.nanos)
	if r.limitDivisorUntil != 0 && nanos >= r.limitDivisorUntil {
		r.divideLimits()
	}
	report := wire.Demand{Full: full}
	reported := r.demandChanged
	r.demandChanged = nil
	if full {
		reported = r.sortedModels()
	} else {
		slices.SortFunc(reported, func(a, b *model) int { return strings.Compare(string(a.id), string(b.id)) })
	}
	for _, model := range reported {
		model.demandChanged = false
		if demand, changed := model.demand(nanos); changed || (full && demand.Waiting+demand.Running > 0) {
			report.Models = append(report.Models, demand)
		}
		if model.reportedWaiting > 0 {
			r.markDemandChanged(model)
		}
		r.forgetIfUnused(model)
	}
	report.Scopes = r.scopeDemand(nanos)
	return report
}

// scopeDemand reports the use of limited scopes since the last call.
func (r *Router) scopeDemand(nanos int64) []wire.ScopeDemand {
	var demands []wire.ScopeDemand
	for _, use := range r.limits.Report(nanos) {
		demands = append(demands, wire.ScopeDemand{
			Path: use.Path, Requests: use.Requests, Tokens: use.Tokens, Concurrency: use.Concurrency,
		})
	}
	return demands
}

// HasUnreportedDemand reports whether a model has waiting requests that the last report did not
// include, so that a cold start need not wait for the next report.
func (r *Router) HasUnreportedDemand() bool {
	for _, model := range r.demandChanged {
		if model.reportedWaiting == 0 && model.queue.Len()+model.expectedCallers(r.nanos) > 0 {
			return true
		}
	}
	return false
}

// demand returns the model's demand and whether it differs from the last report, and starts the
// next interval.
func (m *model) demand(nanos int64) (wire.ModelDemand, bool) {
	demand := wire.ModelDemand{
		Model: m.id, Waiting: m.queue.Len(), Running: m.running, Arrivals: m.arrivals, PromptTokens: max(m.arrivedTokens, 0),
		Objective: m.objective,
	}
	if deadline, waiting := m.queue.EarliestDeadline(); waiting {
		demand.EarliestDeadline = max(time.Duration(deadline-nanos), 0)
		demand.OldestWait = m.oldestWait(nanos)
	}
	if callers := m.expectedCallers(nanos); callers > 0 {
		retryIn := max(time.Duration(m.returning.from-nanos), 0)
		if demand.Waiting == 0 || retryIn < demand.EarliestDeadline {
			demand.EarliestDeadline = retryIn
		}
		demand.Waiting += callers
	}
	changed := demand.Waiting > 0 || demand.Arrivals > 0 ||
		demand.Waiting != m.reportedWaiting || demand.Running != m.reportedRunning
	m.reportedWaiting, m.reportedRunning, m.arrivals = demand.Waiting, demand.Running, 0
	// Tokens that were counted too much are deducted from those of the next interval.
	m.arrivedTokens = min(m.arrivedTokens, 0)
	return demand, changed
}

func (m *model) oldestWait(nanos int64) time.Duration {
	oldest := nanos
	m.queue.Each(func(item *queue.Item[*request]) bool {
		oldest = min(oldest, item.Value.arrived)
		return true
	})
	return time.Duration(nanos - oldest)
}
