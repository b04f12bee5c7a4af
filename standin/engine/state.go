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

	epoch    uint64
	token    cluster.FencingToken
	sequence uint64
	pool     string
	leaving  time.Time

	replicas map[cluster.ModelID]*replica
	used     int64
	cached   *checkpoints
	orders   *recent[string]

	attempts     map[Key]*attempt
	kept         []*attempt
	queue        []*attempt
	slots        []*attempt
	arrivals     uint64
	steps        stepClock
	prefillUntil time.Time

	prefixes *prefixCache
	samples  []cluster.LoadReport
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
	s.replicas = map[cluster.ModelID]*replica{}
	s.used = 0
	s.orders = newRecent[string](maxKeptOrders)
	s.attempts = map[Key]*attempt{}
	s.kept, s.queue, s.slots = nil, nil, nil
	s.steps = stepClock{}
	s.prefillUntil = time.Time{}
	s.prefixes = newPrefixCache(s.config)
	s.samples = nil
}

// Crash ends the engine's process and starts a new one: replicas, requests and
// host memory are gone. Checkpoints on disk and the fencing token, which an
// engine keeps on its disk, stay.
func (s *State) Crash(now time.Time) {
	s.Advance(now)
	for _, entry := range s.sortedReplicas() {
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
		Machine: s.config.Machine, Token: s.token, Sequence: s.sequence, Epoch: s.epoch,
		MemoryBytes: s.config.MemoryBytes, Accelerators: s.config.Accelerators,
		Slots: s.config.Slots, Pool: s.pool, Leaving: !s.leaving.IsZero(),
		Cached: s.cached.tiers(),
	}
	for _, entry := range s.sortedReplicas() {
		inventory.Replicas = append(inventory.Replicas, entry.Replica)
	}
	return inventory
}

// sortedReplicas returns the replicas by model.
func (s *State) sortedReplicas() []*replica {
	list := make([]*replica, 0, len(s.replicas))
	for _, entry := range s.replicas {
		list = append(list, entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Model < list[j].Model })
	return list
}

// Advance carries out everything due up to now, in the order of its time.
func (s *State) Advance(now time.Time) {
	if s.now.IsZero() {
		s.now = now
	}
	for {
		due, act := s.nextDue()
		if act == nil || due.After(now) {
			break
		}
		s.pass(due)
		act()
	}
	s.pass(now)
	s.forget()
	s.sample()
}

// Next returns when Advance has something to do next.
func (s *State) Next() (time.Time, bool) {
	due, act := s.nextDue()
	return due, act != nil
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

// nextDue returns the earliest thing to do and how; ties go to the first in the
// order below, and among replicas and attempts to the smaller model or the
// earlier arrival.
func (s *State) nextDue() (time.Time, func()) {
	var due time.Time
	var act func()
	consider := func(when time.Time, do func()) {
		if act == nil || when.Before(due) {
			due, act = when, do
		}
	}
	s.considerReplicas(consider)
	s.considerAttempts(consider)
	return due, act
}

func sortKeys(keys []Key) {
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Request != keys[j].Request {
			return keys[i].Request < keys[j].Request
		}
		return keys[i].Attempt < keys[j].Attempt
	})
}
