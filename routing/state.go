package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/limit"
	"github.com/valveslip/valveslip/routing/queue"
	"github.com/valveslip/valveslip/settings"
)

// request is an admitted request that has not finished.
type request struct {
	Request
	model *model
	item  queue.Item[*request]
	timer timer

	running bool
	arrived int64
	// deadline of the request; queueBudget is what is left of its queue time
	// and queuedSince when it last began to wait.
	deadline, queueBudget, queuedSince int64
	waited                             time.Duration

	// attempt is the last dispatch; machine is where it runs, nil while
	// waiting.
	attempt    cluster.Attempt
	machine    *machine
	dispatched int64
	// tries counts the attempts that RetryAttempts bounds: all but those an
	// engine refused without running.
	tries int
	// tried machines failed an attempt of this request.
	tried []*machine
	// claim on the limits, and tokens generated so far by all attempts.
	claim     limit.Claim
	generated int
	// firstByte went to the caller; mayHaveRun is set by an attempt that did
	// not end with verdict NotRun.
	firstByte, mayHaveRun bool
	// unsent is set until AttemptPlaced has come for the present attempt: nothing of it has
	// reached its machine.
	unsent bool
	// sendBy is until when the present attempt is sent where its machine has a limit, zero for
	// any time.
	sendBy int64
	// readingCounted is set once demand counts the prompt by its expected reading.
	readingCounted bool
	// successor is the replica that has room kept for the request while its attempt is
	// being cancelled, and is paid for.
	successor *replica
}

// model is what the core knows of one model name.
type model struct {
	id         cluster.ModelID
	configured *settings.Model
	queue      queue.Queue[*request]
	running    int
	// generated is the learned mean of tokens that a request generates.
	generated float64

	// tiers hold the loaded replicas by distance, loading those to come; all
	// sorted by machine.
	tiers   [distances][]*replica
	loading []*replica
	// loaded counts the replicas in tiers whose machines stay, matching those
	// of the policy's version among them; capacity sums their slots.
	loaded, matching, capacity int

	// objective of the request that arrived last.
	objective time.Duration
	// service and loadTime are learned means in nanoseconds, zero before the
	// first observation.
	service, loadTime float64
	// deviation is the learned mean deviation of the service time from its mean.
	deviation float64
	// quickestLoad is the shortest load seen in nanoseconds, zero before the first.
	quickestLoad float64
	starts       startPace
	// absentSince is since when requests wait for a model that nobody holds or loads,
	// zero for not.
	absentSince int64
	retries     retryBudget
	// arrivals since the last report, and the tokens of their prompts that are to be read, less
	// than none where earlier reports told too many.
	arrivals, arrivedTokens int

	expected expected
	touched  bool
	// reportedWaiting and reportedRunning are what the last report said.
	reportedWaiting, reportedRunning int
}

// distance ranks how far a replica is.
type distance int

const (
	sameZone distance = iota
	sameRegion
	elsewhere
	distances
)

// replica is one model on one machine as the cell's status names it.
type replica struct {
	model    *model
	machine  *machine
	version  string
	state    cluster.ReplicaState
	distance distance
	// Until missingUntil the replica is left out, because the engine said that
	// it does not hold the model.
	missingUntil int64
	// seen is the full status that named the replica last.
	seen uint64
	// since is when the replica was first seen loading; readyAt when it should
	// be loaded, zero when unknown.
	since, readyAt int64
}

// machine is a back end as its cell's status and its own answers describe it.
type machine struct {
	id      cluster.MachineID
	zone    cluster.ZoneID
	address string
	slots   int
	// announced is set by MachineLeaving, at announcedAt, and stays; listed
	// comes from the cell's status.
	announced, listed bool
	announcedAt       int64
	replicas          []*replica
	inFlight          int
	// restarted is the machine's later start, known since restartedAt.
	restarted   cluster.MachineID
	restartedAt int64
	// reserved is the room kept for requests that are on their way from another machine.
	reserved int

	// others is the work of other routers as reported at reportedAt; recent
	// holds the times of own dispatches since.
	others     float64
	reportedAt int64
	recent     []int64

	// Until ceilingUntil no more than ceiling requests are kept in flight; full is set
	// when that is because the engine said so, not because it failed.
	ceiling      int
	ceilingUntil int64
	full         bool
	// setbacks in a row lengthen the next back-off.
	setbacks int
	// failing is the learned share of attempts that failed.
	failing float64
	// turns at a machine that named a limit.
	turns turns
	// preference orders the machines of a distance, least first; zero for all
	// unless Config.Subset is set.
	preference uint64
	timer      timer
}

// cell is what is known of one zone's controller.
type cell struct {
	token    cluster.FencingToken
	sequence uint64
	// gap is set when a status was missed; lost when nothing is known of the
	// zone any more.
	gap, lost bool
	// heard is set by the first status.
	heard bool
}

// model returns the state of a model name and creates it if necessary.
func (r *Router) modelState(id cluster.ModelID) *model {
	state := r.models[id]
	if state == nil {
		state = &model{id: id, configured: r.snapshot.Model(id)}
		state.retries.saved = r.config.RetryReserve
		r.models[id] = state
	}
	return state
}

// forgetIfUnused drops a removed model's state once nothing refers to it.
func (r *Router) forgetIfUnused(m *model) {
	if m.configured != nil || m.touched || m.running > 0 || m.queue.Len() > 0 || m.listed() > 0 {
		return
	}
	delete(r.models, m.id)
}

// listed counts the replicas in any state.
func (m *model) listed() int {
	count := len(m.loading)
	for _, tier := range m.tiers {
		count += len(tier)
	}
	return count
}

// sortedModels lists all models by name, for the rare events that touch all.
func (r *Router) sortedModels() []*model {
	all := make([]*model, 0, len(r.models))
	for _, model := range r.models {
		all = append(all, model)
	}
	slices.SortFunc(all, func(a, b *model) int { return strings.Compare(string(a.id), string(b.id)) })
	return all
}

// waitingRequests lists the queue, for events that end all of it.
func (m *model) waitingRequests() []*request {
	waiting := make([]*request, 0, m.queue.Len())
	m.queue.Each(func(item *queue.Item[*request]) bool {
		waiting = append(waiting, item.Value)
		return true
	})
	return waiting
}

// countMatching counts the loaded replicas of the version the policy names.
func (m *model) countMatching() {
	m.loaded, m.matching, m.capacity = 0, 0, 0
	for _, tier := range m.tiers {
		for _, replica := range tier {
			if replica.machine.leaving() {
				continue
			}
			m.loaded++
			m.capacity += replica.machine.slots
			if m.hasVersion(replica) {
				m.matching++
			}
		}
	}
}

// hasVersion reports whether the replica has the policy's version; an unstated
// one fits all.
func (m *model) hasVersion(replica *replica) bool {
	if m.configured == nil || m.configured.Policy.Version == "" || replica.version == "" {
		return true
	}
	return m.configured.Policy.Version == replica.version
}

// leaving reports whether the machine takes no new work.
func (m *machine) leaving() bool { return m.announced || m.listed }

// touch marks the model for the next demand report.
func (r *Router) touch(m *model) {
	if !m.touched {
		m.touched = true
		r.touched = append(r.touched, m)
	}
}
