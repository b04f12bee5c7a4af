package simulation

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Usage integrates what the machines spend over time. A replica's part of its
// machine's accelerators is its part of the machine's memory.
type Usage struct {
	kernel  *Kernel
	since   time.Time
	updated time.Time
	// idle, busy and loading are the accelerators now in each use.
	idle, busy, loading float64
	loaded              map[cluster.ModelID]int
	total               int
	// IdleHours, BusyHours and LoadingHours are accelerator hours.
	IdleHours, BusyHours, LoadingHours float64
	// Loads counts loads begun; Evictions unloads begun.
	Loads, Unloads int
}

// NewUsage returns an empty account.
func NewUsage(kernel *Kernel) *Usage {
	return &Usage{kernel: kernel, since: kernel.Now(), updated: kernel.Now(), loaded: map[cluster.ModelID]int{}}
}

// Reset begins the account anew at the present time, keeping what is loaded.
func (u *Usage) Reset() {
	u.advance()
	u.IdleHours, u.BusyHours, u.LoadingHours, u.Loads, u.Unloads = 0, 0, 0, 0, 0
	u.since = u.kernel.Now()
}

// Settle integrates up to the present time.
func (u *Usage) Settle() { u.advance() }

// Loaded returns how many replicas are loaded now.
func (u *Usage) Loaded() int { return u.total }

// LoadedOf returns how many replicas of the model are loaded now.
func (u *Usage) LoadedOf(model cluster.ModelID) int { return u.loaded[model] }

// Idle returns the accelerators that hold idle replicas now.
func (u *Usage) Idle() float64 { return u.idle }

// advance integrates up to the present time.
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
	*u.account(held, held.State, held.running) -= share
	*u.account(held, next, held.running) += share
	if held.State == cluster.ReplicaLoaded {
		u.loaded[model]--
		u.total--
	}
	switch next {
	case cluster.ReplicaLoaded:
		u.loaded[model]++
		u.total++
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
	*u.account(held, held.State, held.running) -= share
	*u.account(held, held.State, running) += share
}

// Executed implements EngineObserver.
func (u *Usage) Executed(*Engine, Run) {}

// account returns the account that a replica in the state belongs to.
func (u *Usage) account(_ *replica, state cluster.ReplicaState, running int) *float64 {
	var nowhere float64
	switch {
	case state == cluster.ReplicaAbsent:
		return &nowhere
	case state == cluster.ReplicaLoading:
		return &u.loading
	case running > 0:
		return &u.busy
	default:
		return &u.idle
	}
}

// share is a replica's part of the machine's accelerators.
func (e *Engine) share(held *replica) float64 {
	return float64(e.Config.Accelerators) * float64(held.Bytes) / float64(e.Config.MemoryBytes)
}
