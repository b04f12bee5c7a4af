package fleet

import (
	"maps"
	"slices"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// unconfirm keeps machines whose entries a restored store lacks for unconfirmedMachineTime.
func (v *machineView) unconfirm(missing []cluster.MachineID) {
	for _, id := range missing {
		if v.machines[id] != nil {
			v.unconfirmed[id] = v.core.now.Add(unconfirmedMachineTime)
		}
	}
}

// isUnconfirmed reports whether the store lost the entry of a machine that is still used.
func (v *machineView) isUnconfirmed(id cluster.MachineID) bool {
	_, unconfirmed := v.unconfirmed[id]
	return unconfirmed
}

// dropUnconfirmed removes the machines that have not written their lost entries again in time.
func (v *machineView) dropUnconfirmed() {
	if len(v.unconfirmed) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(v.unconfirmed)) {
		if !v.core.now.Before(v.unconfirmed[id]) {
			v.core.reportEnd(id)
			v.core.removeMachine(id)
		}
	}
}

// keepLeaving marks a machine as leaving that has said so, although the copy that the store came back
// from shows it as ready. A change of the entry since revokes that.
func (v *machineView) keepLeaving(worker *catalog.Worker, read *WorkersRead) {
	known := v.machines[worker.ID]
	if known == nil {
		return
	}
	switch {
	case read.Restored:
		known.leavesUnlisted = known.worker.Draining && !worker.Draining
	case !read.Full:
		known.leavesUnlisted = false
	}
	worker.Draining = worker.Draining || known.leavesUnlisted
}

// leaving returns the machines that have said that they leave.
func (v *machineView) leaving() []cluster.MachineID {
	var leaving []cluster.MachineID
	for id, known := range v.machines {
		if known.worker.Draining {
			leaving = append(leaving, id)
		}
	}
	slices.Sort(leaving)
	return leaving
}

// markLeaving marks machines as leaving that have said so to other nodes, although the store shows them as
// ready. A change of the entry since revokes that.
func (v *machineView) markLeaving(ids []cluster.MachineID) {
	for _, id := range ids {
		known := v.machines[id]
		if known == nil || known.worker.Draining {
			continue
		}
		worker := known.worker
		worker.Draining, known.leavesUnlisted = true, true
		v.core.putMachine(&worker, 0)
	}
}
