package work

import (
	"cmp"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// EngineSpeed is the estimated speed of an engine.
type EngineSpeed struct {
	Engine cluster.MachineID
	// Speed is relative to the reference engine of the service.
	Speed float64
	// Observations is the number of observations of the engine.
	Observations int64
	// Age is the time from its last observation to the last one of any engine.
	Age time.Duration
}

// Speeds lists the observed engines, sorted by ID.
func (e *Estimator) Speeds() []EngineSpeed {
	list := make([]EngineSpeed, 0, len(e.engines))
	for id, known := range e.engines {
		if known.observations == 0 {
			continue
		}
		list = append(list, EngineSpeed{
			Engine: id, Speed: known.speedAt(e.now), Observations: known.observations, Age: time.Duration(e.now - known.lastObserved),
		})
	}
	slices.SortFunc(list, func(a, b EngineSpeed) int { return cmp.Compare(a.Engine, b.Engine) })
	return list
}
