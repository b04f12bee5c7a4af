package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/work"
)

// maxAlternatives bounds the machines that a dispatch lists.
const maxAlternatives = 16

// alternatives lists the machines that may take the request now, the chosen one first and then by
// distance.
func (r *Router) alternatives(ready *request, chosen *replica) []Alternative {
	listed := []Alternative{r.alternative(chosen)}
	for _, tier := range ready.model.tiers {
		first := 0
		if len(tier) > maxAlternatives {
			first = r.random.IntN(len(tier))
		}
		for step := range tier {
			candidate := tier[(first+step)%len(tier)]
			if len(listed) == maxAlternatives {
				return listed
			}
			if candidate != chosen && r.unusableCause(ready, candidate, false) == "" {
				listed = append(listed, r.alternative(candidate))
			}
		}
	}
	return listed
}

// alternative returns a replica's machine with its penalty for distance and failures.
func (r *Router) alternative(c *replica) Alternative {
	penalty := r.distancePenalty(c) + r.failurePenalty(c.machine)
	return Alternative{Machine: c.machine.id, Penalty: time.Duration(penalty)}
}

// attemptPlaced dispatches an attempt that was held until a dispatcher named its machine. A named
// machine that doesn't take the request is ignored.
func (r *Router) attemptPlaced(event *AttemptPlaced) {
	placed := r.requests[event.Request]
	if placed == nil || !placed.unsent || placed.attempt != event.Attempt {
		return
	}
	if r.dispatchesPaused() {
		// The knowledge of machines is too old to send anything.
		r.takeBackUnsent(placed)
		return
	}
	target := placed.machine.replica(placed.model)
	if event.Machine != "" && event.Machine != placed.machine.id {
		if other := r.usableReplicaOn(placed, event.Machine); other != nil {
			r.moveUnsent(placed, other)
			target = other
		}
	}
	if target == nil || !target.isPresent() || placed.machine.leaving() || !r.maySend(placed) || !r.fitsRelease(placed, placed.machine) || !r.mayBegin(placed, placed.machine) {
		r.takeBackUnsent(placed)
		return
	}
	r.correctPrefillDemand(placed, event.Forecast.Read)
	r.sendPlaced(placed, target, event)
}

// maySend reports whether the rest period and the rate limit of the machine allow the held attempt
// to be sent.
func (r *Router) maySend(placed *request) bool {
	t := &placed.machine.turns
	return r.nanos >= t.restUntil && (!t.limited || r.nanos <= placed.sendBy)
}

// sendPlaced dispatches a held attempt to its machine.
func (r *Router) sendPlaced(placed *request, target *replica, event *AttemptPlaced) {
	placed.unsent = false
	placed.dispatched = r.nanos
	placed.attemptRelease, placed.attemptStart = r.releaseOf(placed.machine), r.requiredStart(placed, placed.machine)
	r.emit(Dispatch{
		Request: placed.ID, Attempt: placed.attempt,
		Machine: placed.machine.id, Address: placed.machine.address, Model: placed.Model, Version: target.version, Release: placed.attemptRelease, Pinned: placed.Pinned, Start: placed.attemptStart,
		Deadline: time.Unix(0, placed.deadline), Final: !placed.retryAllowed(),
		Limited: placed.machine.turns.limited, Probe: placed.probe,
		Reason: Choice{
			Waited: placed.waited, SettingsRevision: r.settingsRevision(),
			Held: event.Held, Forecast: event.Forecast,
			Candidates: []Candidate{{
				Machine: placed.machine.id, Zone: placed.machine.zone, ExpectedWait: event.Forecast.Backlog, InFlight: placed.machine.inFlight,
			}},
		},
	})
}

// correctPrefillDemand replaces the prompt's tokens in the demand by those equivalent to its
// expected prefill time. Engines have two thirds of prompts with common prefixes cached, and small
// models read four times as fast; counted by tokens alone, popular models got twice the replicas
// that they needed and displaced others.
func (r *Router) correctPrefillDemand(placed *request, read time.Duration) {
	if read <= 0 || placed.prefillCounted {
		return
	}
	placed.prefillCounted = true
	placed.model.arrivedTokens += int(read.Seconds()*work.ReferenceTokensPerSecond) - placed.PromptTokens
}

// usableReplicaOn returns the replica on a machine if it takes the request now, or nil.
func (r *Router) usableReplicaOn(placed *request, id cluster.MachineID) *replica {
	machine := r.machines[id]
	if machine == nil {
		return nil
	}
	other := machine.replica(placed.model)
	if other == nil || !other.isPresent() || r.unusableCause(placed, other, true) != "" {
		return nil
	}
	return other
}

// moveUnsent moves an attempt that was not sent yet to another machine.
func (r *Router) moveUnsent(placed *request, to *replica) {
	from := placed.machine
	from.inFlight--
	from.forgetDispatch(placed.dispatched)
	r.freedMachines = append(r.freedMachines, from)
	r.restoreTurn(from, placed)
	placed.machine = to.machine
	to.machine.addDispatch(r.nanos)
	r.useTurn(to.machine, placed)
	if len(placed.Prefixes) > 0 {
		r.prefixes.AddSent(r.nanos, to.machine.id, placed.Model, placed.Prefixes)
	}
}

// takeBackUnsent dispatches or queues the request of an unsent attempt again. The attempt does not count,
// and its machine gets no back-off.
func (r *Router) takeBackUnsent(placed *request) {
	dispatched := placed.dispatched
	from := r.stopRunning(placed)
	from.forgetDispatch(dispatched)
	r.restoreTurn(from, placed)
	r.freedMachines = append(r.freedMachines, from)
	placed.countedAttempts--
	r.redispatch(placed, Explanation{Machine: from.id})
}

// forgetDispatch removes a dispatch time, unless a newer load report already removed it.
func (m *machine) forgetDispatch(at int64) {
	if i := slices.Index(m.recentDispatches, at); i >= 0 {
		m.recentDispatches = slices.Delete(m.recentDispatches, i, i+1)
	}
}

// refuseUnsent refuses the requests whose attempts are held: the draining node ends within a
// second, and another one can serve them. A request whose answer has begun goes on.
func (r *Router) refuseUnsent() {
	for _, held := range r.unsentRequests() {
		if !held.firstByteSent {
			r.abandon(held, r.drainingFailure(), Explanation{})
		}
	}
}

// unsentRequests lists the requests whose attempts are held, by ID.
func (r *Router) unsentRequests() []*request {
	var unsent []*request
	for _, held := range r.requests {
		if held.unsent {
			unsent = append(unsent, held)
		}
	}
	slices.SortFunc(unsent, func(a, b *request) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return unsent
}
