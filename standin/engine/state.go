package engine

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Key names one attempt of a request.
type Key struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
}

// Fetch asks the shell to fetch a checkpoint from the weight store and to call
// FetchDone with the order's ID.
type Fetch struct {
	Order string
	Model cluster.ModelID
	Bytes int64
}

// Effects are what the shell must do after a call.
type Effects struct {
	// Changed lists attempts whose status changed.
	Changed []Key
	// Fetches to start, and orders whose fetch is to be given up.
	Fetches []Fetch
	Aborted []string
}

// State is one engine. It is not safe for concurrent use.
//
// Invariants: running counts the attempts in a slot and never exceeds Slots;
// a replica's running counts those of its model; used is the sum of the bytes
// of all replicas.
type State struct {
	config Config
	now    time.Time

	epoch uint64
	// tokenEpoch is the epoch in which the token was accepted.
	tokenEpoch uint64
	token      cluster.FencingToken
	sequence   uint64
	pool       string
	leaving    time.Time

	// replicas is sorted by model.
	replicas []*replica
	used     int64
	cached   *checkpoints
	orders   *recent[string]

	attempts map[Key]*attempt
	kept     []*attempt
	queue    []*attempt
	slots    []*attempt
	arrivals uint64
	steps    stepClock
	// prefills are the attempts in prefill, the one under way first.
	prefills []*attempt

	prefixes *prefixCache
	samples  []cluster.LoadReport
	frozen   *cluster.LoadReport
	effects  Effects
	counters Counters
}

// Counters are what the engine counts over all its epochs.
type Counters struct {
	// Overcommitted counts loads that exceeded the machine's memory.
	Overcommitted int
	// Runs counts attempts that got a slot.
	Runs int
	// StaleOrders counts refused orders and seals.
	StaleOrders int
	// Loads counts finished loads.
	Loads int
	// LatestStartAfterLeaving is the largest time between the announcement that
	// the machine leaves and the arrival of new work.
	LatestStartAfterLeaving time.Duration
	// IdleAcceleratorSeconds is the accelerator time held by replicas that run
	// nothing, by their share of the machine's memory; BusyAcceleratorSeconds
	// that of replicas with work.
	IdleAcceleratorSeconds, BusyAcceleratorSeconds float64
}

// NewState returns an engine that holds nothing.
func NewState(config Config) *State {
	config = config.withDefaults()
	state := &State{config: config, pool: config.Pool, epoch: config.Epoch}
	state.cached = newCheckpoints(config)
	state.reset()
	return state
}

// reset begins a new epoch.
func (s *State) reset() {
	s.epoch++
	s.sequence = 1
	s.replicas = nil
	s.used = 0
	s.orders = newRecent[string](maxKeptOrders)
	s.attempts = map[Key]*attempt{}
	s.kept, s.queue, s.slots = nil, nil, nil
	s.steps = stepClock{}
	s.prefills = nil
	s.prefixes = newPrefixCache(s.config)
	s.samples = nil
}

// Crash ends the engine's process and starts a new one: replicas, requests and
// host memory are gone. Checkpoints on disk and the fencing token, which an
// engine keeps on its disk, stay.
func (s *State) Crash(now time.Time) {
	s.Advance(now)
	for _, entry := range s.replicas {
		if entry.fetching {
			s.effects.Aborted = append(s.effects.Aborted, entry.order)
		}
	}
	for key := range s.attempts {
		s.effects.Changed = append(s.effects.Changed, key)
	}
	sortKeys(s.effects.Changed)
	s.cached.dropMemory()
	s.reset()
}

// Take returns the effects since the last call.
func (s *State) Take() Effects {
	effects := s.effects
	s.effects = Effects{}
	return effects
}

// Counters returns what was counted so far.
func (s *State) Counters() Counters { return s.counters }

// SetLeaving announces that the machine leaves.
func (s *State) SetLeaving(now time.Time) {
	s.Advance(now)
	if s.leaving.IsZero() {
		s.leaving = now
		s.sequence++
	}
}

// Inventory is the engine's account of itself.
func (s *State) Inventory(now time.Time) cluster.Inventory {
	s.Advance(now)
	inventory := cluster.Inventory{
		Machine: s.config.Machine, Token: s.token, Sequence: s.sequence, Epoch: s.epoch, TokenEpoch: s.tokenEpoch,
		MemoryBytes: s.config.MemoryBytes, Accelerators: s.config.Accelerators,
		Slots: s.config.Slots, Pool: s.pool, Leaving: !s.leaving.IsZero(),
		Cached: s.cached.tiers(),
	}
	for _, entry := range s.replicas {
		inventory.Replicas = append(inventory.Replicas, entry.Replica)
	}
	return inventory
}

// find returns the replica of model, or nil.
func (s *State) find(model cluster.ModelID) *replica {
	for _, entry := range s.replicas {
		if entry.Model == model {
			return entry
		}
	}
	return nil
}

// Advance carries out everything due up to now, in the order of its time.
func (s *State) Advance(now time.Time) {
	if s.now.IsZero() {
		s.now = now
	}
	for {
		next := s.nextDue()
		if next.kind == dueNothing || next.when.After(now) {
			break
		}
		s.pass(next.when)
		s.act(next)
	}
	s.pass(now)
	s.forget()
	s.sample()
}

// Next returns when Advance has something to do next.
func (s *State) Next() (time.Time, bool) {
	next := s.nextDue()
	return next.when, next.kind != dueNothing
}

// pass moves the clock and accounts for the accelerator time.
func (s *State) pass(now time.Time) {
	elapsed := now.Sub(s.now)
	if elapsed <= 0 {
		return
	}
	s.now = now
	if s.config.MemoryBytes <= 0 {
		return
	}
	var idle, busy int64
	for _, entry := range s.replicas {
		if entry.running == 0 {
			idle += entry.Bytes
		} else {
			busy += entry.Bytes
		}
	}
	perByte := elapsed.Seconds() * float64(s.config.Accelerators) / float64(s.config.MemoryBytes)
	s.counters.IdleAcceleratorSeconds += float64(idle) * perByte
	s.counters.BusyAcceleratorSeconds += float64(busy) * perByte
}

// dueKind is what an attempt or a replica is due for.
type dueKind uint8

const (
	dueNothing dueKind = iota
	dueLoaded
	dueGone
	dueDrained
	dueDecode
	dueFinish
	dueDeadline
	dueAbandon
)

// due is something that happens at a time by itself.
type due struct {
	when    time.Time
	kind    dueKind
	replica *replica
	attempt *attempt
}

// earlier keeps the earlier of two; ties go to the one found first.
func (d *due) earlier(other due) {
	if d.kind == dueNothing || other.when.Before(d.when) {
		*d = other
	}
}

// nextDue returns the earliest thing to do. Ties go to replicas by model, then
// to running attempts, then to queued ones.
func (s *State) nextDue() due {
	var next due
	s.considerReplicas(&next)
	s.considerAttempts(&next)
	return next
}

// act does what is due.
func (s *State) act(next due) {
	switch next.kind {
	case dueLoaded:
		s.loaded(next.replica)
	case dueGone:
		s.dropReplica(next.replica)
	case dueDrained:
		s.cutRunning(next.replica)
	case dueDecode:
		s.decode(next.attempt)
	case dueFinish:
		s.end(next.attempt, StatusFinished, "")
	case dueDeadline:
		s.giveUp(next.attempt, RefusedDeadline)
	case dueAbandon:
		s.giveUp(next.attempt, RefusedCancelled)
	}
}

func sortKeys(keys []Key) {
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Request != keys[j].Request {
			return keys[i].Request < keys[j].Request
		}
		return keys[i].Attempt < keys[j].Attempt
	})
}
