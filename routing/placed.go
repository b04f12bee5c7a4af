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

// alternatives lists the machines that may take the request now, the chosen one first and
// then by distance.
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
			if candidate != chosen && r.usable(ready, candidate, false) == "" {
				listed = append(listed, r.alternative(candidate))
			}
		}
	}
	return listed
}

// alternative is a replica with what speaks against it besides its work.
func (r *Router) alternative(c *replica) Alternative {
	penalty := r.distancePenalty(c) + c.machine.failing*float64(r.config.FailurePenalty)
	return Alternative{Machine: c.machine.id, Penalty: time.Duration(penalty)}
}

// attemptPlaced dispatches an attempt again that was kept until somebody who knows more named
// its machine. A machine that no longer takes the request is passed over.
func (r *Router) attemptPlaced(event *AttemptPlaced) {
	placed := r.requests[event.Request]
	if placed == nil || !placed.unsent || placed.attempt != event.Attempt {
		return
	}
	if r.held() {
		// What is known of machines is too old to send anything.
		r.takeBack(placed)
		return
	}
	target := placed.machine.replica(placed.model)
	if event.Machine != "" && event.Machine != placed.machine.id {
		if other := r.otherPlace(placed, event.Machine); other != nil {
			r.moveUnsent(placed, other)
			target = other
		}
	}
	if target == nil || !target.here() || placed.machine.leaving() || !r.inTurn(placed) {
		r.takeBack(placed)
		return
	}
	r.correctReading(placed, event.Forecast.Read)
	r.sendPlaced(placed, target, event)
}

// inTurn reports whether an attempt that was kept may be sent as far as its machine's own word
// goes.
func (r *Router) inTurn(placed *request) bool {
	t := &placed.machine.turns
	return r.nanos >= t.restsUntil && (!t.limited || r.nanos <= placed.sendBy)
}

// sendPlaced dispatches an attempt that was kept to its machine.
func (r *Router) sendPlaced(placed *request, target *replica, event *AttemptPlaced) {
	placed.unsent = false
	placed.dispatched = r.nanos
	r.emit(Dispatch{
		Request: placed.ID, Attempt: placed.attempt,
		Machine: placed.machine.id, Address: placed.machine.address, Model: placed.Model, Version: target.version,
		Deadline: time.Unix(0, placed.deadline), Final: !placed.mayFollow(),
		Limited: placed.machine.turns.limited,
		Reason: Choice{
			Waited: placed.waited, SettingsRevision: r.settingsRevision(),
			Held: event.Held, Forecast: event.Forecast,
			Candidates: []Candidate{{
				Machine: placed.machine.id, Zone: placed.machine.zone, ExpectedWait: event.Forecast.Backlog, InFlight: placed.machine.inFlight,
			}},
		},
	})
}

// correctReading counts a prompt by how long an engine is expected to read it, in place of all
// its tokens: engines keep two thirds of prompts that begin alike, and small models read four
// times as fast. By tokens alone the models in demand got twice the replicas that they needed,
// and displaced the others.
func (r *Router) correctReading(placed *request, read time.Duration) {
	if read <= 0 || placed.readingCounted {
		return
	}
	placed.readingCounted = true
	placed.model.arrivedTokens += int(read.Seconds()*work.UsualTokensPerSecond) - placed.PromptTokens
}

// otherPlace returns the replica on a machine if it takes the request now, or nil.
func (r *Router) otherPlace(placed *request, id cluster.MachineID) *replica {
	machine := r.machines[id]
	if machine == nil {
		return nil
	}
	other := machine.replica(placed.model)
	if other == nil || !other.here() || r.usable(placed, other, true) != "" {
		return nil
	}
	return other
}

// moveUnsent counts an attempt that was not sent yet at another machine.
func (r *Router) moveUnsent(placed *request, to *replica) {
	from := placed.machine
	from.inFlight--
	from.forgetDispatch(placed.dispatched)
	r.freed = append(r.freed, from)
	from.turns.giveBack(placed.sendBy)
	placed.machine = to.machine
	to.machine.dispatched(r.nanos)
	placed.sendBy = to.machine.turns.take()
	if len(placed.Prefixes) > 0 {
		r.prefixes.Sent(r.nanos, to.machine.id, placed.Model, placed.Prefixes)
	}
}

// takeBack has a request look for a machine again, or wait for one: its attempt was not sent
// and is no try, and its machine isn't blamed for that.
func (r *Router) takeBack(placed *request) {
	dispatched := placed.dispatched
	from := r.stopRunning(placed)
	from.forgetDispatch(dispatched)
	from.turns.giveBack(placed.sendBy)
	r.freed = append(r.freed, from)
	placed.tries--
	r.startAgain(placed, Explanation{Machine: from.id})
}

// forgetDispatch takes back that an attempt was dispatched at a time, unless the machine's
// report is newer.
func (m *machine) forgetDispatch(at int64) {
	if i := slices.Index(m.recent, at); i >= 0 {
		m.recent = slices.Delete(m.recent, i, i+1)
	}
}

// refuseUnsent ends requests whose attempts wait for their time: the node ends within a second,
// and another one can serve them. Answers that have begun go on.
func (r *Router) refuseUnsent() {
	for _, held := range r.unsentRequests() {
		if !held.firstByte {
			r.abandon(held, r.drainingFailure(), Explanation{})
		}
	}
}

// unsentRequests lists the requests whose attempts wait for their time, by name.
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
