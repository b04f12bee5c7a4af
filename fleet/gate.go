package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// unprovenBack is when a caller should come back to whom nothing can be said for want of
	// a proof: another node, or this one after a call to the store, may have one.
	unprovenBack = 300 * time.Millisecond
	// movedBack is the same where a key has gone to another tenant meanwhile.
	movedBack = 50 * time.Millisecond
)

// The inputs of a refusal, as explanations name them.
const (
	settingKey   = "key"
	settingProof = "proof of keys"
)

// gate holds back requests and their dispatches that must not go on: by the key that the
// caller gave. What is decided about a request while it waits is looked at again when it is
// to be sent.
type gate struct {
	core *Core
	// provenAt is the newest time at which the configuration in force is known to have been
	// the newest one.
	provenAt time.Time
	// doubted is what the log was told last: that the proof is too old, or missing.
	doubted  bool
	requests map[cluster.RequestID]*gated
}

// gated is what the gate knows of a request that has not ended.
type gated struct {
	credential, tenant string
	public             bool
}

func newGate(core *Core) *gate {
	return &gate{core: core, requests: map[cluster.RequestID]*gated{}}
}

// proven notes that the configuration in force was the newest at a time.
func (g *gate) proven(at time.Time) {
	if at.After(g.provenAt) {
		g.provenAt = at
	}
}

// age of what proves the keys; zero and false without any.
func (g *gate) age(now time.Time) (time.Duration, bool) {
	if g.provenAt.IsZero() {
		return 0, false
	}
	return now.Sub(g.provenAt), true
}

// unproven reports whether too little is known of the keys to send any request that needs
// one.
func (g *gate) unproven(now time.Time) bool {
	bound := g.core.config.KeyProof
	age, proven := g.age(now)
	return bound > 0 && g.core.compiled.Keyed() && (!proven || age >= bound)
}

// tick tells the log when the proof becomes too old, or new enough again.
func (g *gate) tick() {
	doubted := g.unproven(g.core.now)
	if doubted == g.doubted {
		return
	}
	g.doubted = doubted
	age, _ := g.age(g.core.now)
	g.core.log(eventlog.KeysJudged{Proven: !doubted, Age: age, Bound: g.core.config.KeyProof})
}

// permit says why a request must not be sent now, nil if it may: the one judgement for
// arrivals, dispatches and sends.
func (g *gate) permit(now time.Time, r *gated) *verdict.Error {
	compiled := g.core.compiled
	if r.public || !compiled.Keyed() {
		return nil
	}
	holder := compiled.Holder(r.credential)
	switch {
	case r.credential == "":
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a key is required")
	case holder == nil:
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key was taken away")
	case holder.Name != r.tenant:
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the key has gone to another tenant").After(movedBack)
	case g.unproven(now):
		age, _ := g.age(now)
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"this node can't tell whether the key holds: what it knows of keys is %s old", age.Round(time.Millisecond)).After(unprovenBack)
	}
	return nil
}

// arrive lets a request go on to the router, or refuses it.
func (g *gate) arrive(request routing.Request) {
	if request.Credential == "" && !g.core.compiled.Keyed() {
		g.core.routing(routing.RequestArrived{Request: request})
		return
	}
	held := &gated{credential: request.Credential, tenant: request.Tenant, public: request.Public}
	if failure := g.permit(g.core.now, held); failure != nil {
		g.refuse(request.ID, failure)
		return
	}
	g.requests[request.ID] = held
	g.core.routing(routing.RequestArrived{Request: request})
}

// refuse ends a request that the router does not know.
func (g *gate) refuse(id cluster.RequestID, failure *verdict.Error) {
	reason := routing.Explanation{Code: failure.Code, Setting: settingProof}
	if failure.Code == verdict.CodeUnauthorized {
		reason.Setting = settingKey
	}
	g.core.emit(RoutingOutput{Effect: routing.Finish{Request: id, Failure: failure, Reason: reason}})
}

// dispatch lets an attempt go on to the machine, or ends it unsent.
func (g *gate) dispatch(d routing.Dispatch) {
	held := g.requests[d.Request]
	if held == nil {
		g.core.emit(RoutingOutput{Effect: d})
		return
	}
	if failure := g.permit(g.core.now, held); failure != nil {
		g.withhold(d, failure)
		return
	}
	g.core.emit(RoutingOutput{Effect: d})
}

// configurationChanged ends what waits under keys that were taken away.
func (g *gate) configurationChanged() {
	ids := slices.Sorted(maps.Keys(g.requests))
	for _, id := range ids {
		failure := g.permit(g.core.now, g.requests[id])
		if failure != nil && failure.Code == verdict.CodeUnauthorized {
			g.core.routing(routing.RequestWithdrawn{Request: id, Failure: failure})
		}
	}
}

// withhold ends an attempt that must not be sent.
func (g *gate) withhold(d routing.Dispatch, failure *verdict.Error) {
	g.core.withheld = append(g.core.withheld, routing.AttemptEnded{
		Request: d.Request, Attempt: d.Attempt, Failure: failure, Unreached: true, Withheld: true,
	})
}

// finished forgets a request that has ended.
func (g *gate) finished(id cluster.RequestID) { delete(g.requests, id) }

// maySend is permit in the instant of a send.
func (g *gate) maySend(now time.Time, id cluster.RequestID) *verdict.Error {
	held := g.requests[id]
	if held == nil {
		return nil
	}
	return g.permit(now, held)
}
