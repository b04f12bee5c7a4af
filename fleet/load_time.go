package fleet

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// minLoadTime returns the shortest load time of a model, or of an adapter's base model: the time
// from the fastest tier at which any machine has a copy. It returns zero if the model is loaded
// somewhere or nothing is known about it. It scans the entries of all machines, which takes 10 us
// for 140 machines and happens only for requests for models that no machine holds.
func (v *machineView) minLoadTime(id cluster.ModelID) time.Duration {
	service, name, _ := catalog.Split(id)
	spec := v.core.compiled.Service(service).Model(name)
	if spec == nil || len(v.machines) == 0 {
		return 0
	}
	shortest := spec.LoadTime
	for _, known := range v.machines {
		worker := &known.worker
		if worker.Service != service || worker.Draining {
			continue
		}
		switch {
		case slices.ContainsFunc(worker.LoadedModels, func(held catalog.LoadedModel) bool { return held.Name == name }):
			return 0
		case slices.Contains(worker.InMemory, name):
			shortest = min(shortest, spec.MemoryTime)
		case slices.Contains(worker.OnDisk, name):
			shortest = min(shortest, spec.DiskTime)
		}
	}
	return shortest
}
