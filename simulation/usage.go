package simulation

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Usage integrates the accelerator time of all machines by use. A replica uses the
// same share of its machine's accelerators as of the machine's memory.
type Usage struct {
	kernel  *Kernel
	since   time.Time
	updated time.Time
	// idle, busy and loading are the numbers of accelerators in each use now.
	idle, busy, loading float64
	loaded              map[cluster.ModelID]int
	loadedTotal         int
	// IdleHours, BusyHours and LoadingHours are accelerator hours of replicas that
	// are loaded without requests, loaded with requests, and loading.
	IdleHours, BusyHours, LoadingHours float64
	// Loads and Unloads count the loads and unloads that began.
	Loads, Unloads int
}

// NewUsage returns a usage that starts at the current virtual time.
func NewUsage(kernel *Kernel) *Usage {
	return &Usage{kernel: kernel, since: kernel.Now(), updated: kernel.Now(), loaded: map[cluster.ModelID]int{}}
}

// Reset sets hours and counts to zero; the replicas stay counted as loaded.
func (u *Usage) Reset() {
	u.advance()
	u.IdleHours, u.BusyHours, u.LoadingHours, u.Loads, u.Unloads = 0, 0, 0, 0, 0
	u.since = u.kernel.Now()
}

// IntegrateToNow integrates up to the current virtual time.
func (u *Usage) IntegrateToNow() { u.advance() }

// Loaded returns how many replicas are loaded now.
func (u *Usage) Loaded() int { return u.loadedTotal }

// LoadedOf returns how many replicas of the model are loaded now.
func (u *Usage) LoadedOf(model cluster.ModelID) int { return u.loaded[model] }

// Idle returns the number of accelerators that idle replicas use now.
func (u *Usage) Idle() float64 { return u.idle }

// advance integrates up to the current virtual time.
func (u *Usage) advance() {
	hours := u.kernel.Now().Sub(u.updated).Hours()
	u.updated = u.kernel.Now()
	u.IdleHours += hours * u.idle
	u.BusyHours += hours * u.busy
	u.LoadingHours += hours * u.loading
}

// ReplicaChanged implements EngineObserver.
func (u *Usage) ReplicaChanged(machine *Engine, model cluster.ModelID, next cluster.ReplicaState) {
	held := machine.replicas[model]
	u.advance()
	share := machine.share(held)
	*u.acceleratorCount(held, held.State, held.running) -= share
	*u.acceleratorCount(held, next, held.running) += share
	if held.State == cluster.ReplicaLoaded {
		u.loaded[model]--
		u.loadedTotal--
	}
	switch next {
	case cluster.ReplicaLoaded:
		u.loaded[model]++
		u.loadedTotal++
	case cluster.ReplicaLoading:
		u.Loads++
	case cluster.ReplicaUnloading:
		u.Unloads++
	}
}

// RunningChanged implements EngineObserver.
func (u *Usage) RunningChanged(machine *Engine, model cluster.ModelID, running int) {
	held := machine.replicas[model]
	if (held.running == 0) == (running == 0) {
		return
	}
	u.advance()
	share := machine.share(held)
	*u.acceleratorCount(held, held.State, held.running) -= share
	*u.acceleratorCount(held, held.State, running) += share
}

// Executed implements EngineObserver.
func (u *Usage) Executed(*Engine, Run) {}

// acceleratorCount returns the accelerator count to which a replica in the state belongs.
func (u *Usage) acceleratorCount(_ *replica, state cluster.ReplicaState, running int) *float64 {
	var discarded float64
	switch {
	case state == cluster.ReplicaAbsent:
		return &discarded
	case state == cluster.ReplicaLoading:
		return &u.loading
	case running > 0:
		return &u.busy
	default:
		return &u.idle
	}
}

// share returns the number of accelerators that a replica uses.
func (e *Engine) share(held *replica) float64 {
	return float64(e.Config.Accelerators) * float64(held.Bytes) / float64(e.Config.MemoryBytes)
}
