package routing

import (
	"slices"
	"strings"

	"github.com/valveslip/valveslip/cluster"
)

// Machines lists the machines that may get requests: those with a replica that are not known to
// leave, sorted by ID. Only ID, zone and address are filled.
func (r *Router) Machines() []cluster.Machine {
	list := make([]cluster.Machine, 0, len(r.machines))
	for _, known := range r.machines {
		if len(known.replicas) > 0 && !known.leaving() {
			list = append(list, cluster.Machine{ID: known.id, Zone: known.zone, Address: known.address})
		}
	}
	slices.SortFunc(list, func(a, b cluster.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
