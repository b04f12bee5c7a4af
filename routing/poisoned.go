package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// noteEvidence learns from the end of an attempt whether its request ends machines. The end
// of a machine that was leaving is planned, and nobody is to blame for it.
func (r *Router) noteEvidence(ended *request, m *machine, event *AttemptEnded) {
	if ended.Content.IsZero() {
		ended.Content = event.Content
	}
	answered := event.Failure == nil || event.Answered || event.EngineFull
	if answered {
		r.poison.Answered(r.now, m.id, time.Unix(0, ended.dispatched))
	}
	if event.Failure == nil {
		r.poison.Whole(r.now, ended.Content)
		r.doubtful.Answered(ended.Caller)
	}
	if m.leaving() {
		return
	}
	if event.MachineEnded {
		r.poison.MachineEnded(r.now, m.id)
	}
	if event.Broken {
		r.poison.Broke(r.now, ended.Content, m.id)
	}
	if event.Broken && event.MachineEnded {
		r.doubtful.Ended(r.now, ended.Caller, time.Unix(0, ended.dispatched))
	}
}

// machineEnded takes the news that a machine ended unless it had announced that.
func (r *Router) machineEnded(id cluster.MachineID) {
	if m := r.machines[id]; m == nil || !m.leaving() {
		r.poison.MachineEnded(r.now, id)
	}
}

// testEnded gives the leave for a test back that did not run.
func (r *Router) testEnded(ended *request) {
	if ended.test && !ended.mayHaveRun {
		r.poison.GrantTest(ended.Content)
	}
}

// convicted reports whether the request must not be sent.
func (r *Router) convicted(content poison.Fingerprint) bool {
	_, convicted := r.poison.Convicted(r.now, content)
	return convicted
}

// poisonRefusal says why a request is not admitted because of machines that ended under it,
// or nil. A convicted one may come back when its conviction is over. A suspect runs once at
// a time, so that each end of a machine tells something.
func (r *Router) poisonRefusal(m *model, arrived *Request) (*verdict.Error, Explanation) {
	if r.poison.Empty() || r.config.Poison.Off() {
		return nil, Explanation{}
	}
	if failure, reason := r.callerRefusal(m, arrived); failure != nil {
		return failure, reason
	}
	if arrived.Content.IsZero() {
		return nil, Explanation{}
	}
	if left, convicted := r.poison.Convicted(r.now, arrived.Content); convicted {
		if r.takeTest(arrived) {
			return nil, Explanation{}
		}
		return r.poisonFailure(arrived.Content, left)
	}
	if r.poison.Suspected(arrived.Content) && r.inFlight(arrived.Content) {
		record, _ := r.poison.Record(arrived.Content)
		failure := verdict.New(verdict.NotRun, verdict.CodePoisonRequest,
			"the same request is on its way, and %d machines have ended under it", record.Standing())
		return failure.After(r.comeBack(m)), Explanation{Setting: settingPoisonEnds, Value: float64(record.Standing())}
	}
	return nil, Explanation{}
}

// takeTest makes the request a test of its content if this node has leave for one, and asks for
// leave when that is due. The end of a machine would count against all that are tested there, so
// that they run one by one.
func (r *Router) takeTest(arrived *Request) bool {
	if r.testing() {
		return false
	}
	if r.poison.TakeTest(arrived.Content) {
		arrived.Attempts, arrived.test = 1, true
		return true
	}
	if r.poison.TestDue(r.now, arrived.Content) {
		r.emit(PoisonTestWanted{Content: arrived.Content})
	}
	return false
}

// testing reports whether a test has not ended here.
func (r *Router) testing() bool {
	for _, other := range r.requests {
		if other.test {
			return true
		}
	}
	return false
}

// callerRefusal says why a request is not admitted because machines ended in a row under
// other requests of its caller, or nil. One at a time may show that the caller is harmless.
func (r *Router) callerRefusal(m *model, arrived *Request) (*verdict.Error, Explanation) {
	wait, doubtful := r.doubtful.Doubtful(r.now, arrived.Caller)
	if !doubtful {
		return nil, Explanation{}
	}
	if wait == 0 && !r.callerInFlight(arrived.Caller) {
		return nil, Explanation{}
	}
	failure := verdict.New(verdict.NotRun, verdict.CodePoisonRequest, "machines ended one after the other under requests of this caller")
	return failure.After(max(wait, r.comeBack(m))), Explanation{Setting: settingPoisonEnds}
}

// callerInFlight reports whether a request of the caller has not ended here.
func (r *Router) callerInFlight(caller uint64) bool {
	for _, other := range r.requests {
		if other.Caller == caller {
			return true
		}
	}
	return false
}

// poisonFailure refuses a convicted request, with the machines that ended under it.
func (r *Router) poisonFailure(content poison.Fingerprint, left time.Duration) (*verdict.Error, Explanation) {
	record, _ := r.poison.Record(content)
	ends := record.StandingEnds()
	names := make([]string, len(ends))
	for i, machine := range ends {
		names[i] = string(machine)
	}
	failure := verdict.New(verdict.NotRun, verdict.CodePoisonRequest, "machines ended while they ran this request: %s", strings.Join(names, ", "))
	return failure.After(left), Explanation{Setting: settingPoisonEnds, Value: float64(len(ends))}
}

// inFlight reports whether a request of the same content has not ended here.
func (r *Router) inFlight(content poison.Fingerprint) bool {
	for _, other := range r.requests {
		if other.Content == content {
			return true
		}
	}
	return false
}

// enforceVerdicts ends the requests that were newly convicted: one that waits at a machine
// would end it when its turn comes.
func (r *Router) enforceVerdicts() {
	for _, content := range r.poison.Verdicts() {
		left, _ := r.poison.Convicted(r.now, content)
		for _, convicted := range r.requestsOf(content) {
			failure, reason := r.poisonFailure(content, left)
			r.abandon(convicted, failure, reason)
		}
	}
}

// requestsOf lists the requests of one content that have not ended, by name.
func (r *Router) requestsOf(content poison.Fingerprint) []*request {
	var same []*request
	for _, other := range r.requests {
		if other.Content == content {
			same = append(same, other)
		}
	}
	slices.SortFunc(same, func(a, b *request) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return same
}

// PoisonCounts returns how many requests are suspected to end machines, and convicted.
func (r *Router) PoisonCounts() (suspected, convicted int) { return r.poison.Counts() }

// PoisonRecord returns what is known of a request.
func (r *Router) PoisonRecord(content poison.Fingerprint) (poison.Record, bool) {
	return r.poison.Record(content)
}

// KnowsPoison reports whether the fingerprint of a request with this head matters now.
func (r *Router) KnowsPoison(head poison.Head) bool { return r.poison.KnowsHead(head) }
