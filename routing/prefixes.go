package routing

import (
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/wire"
)

// maxUntold bounds the prompts that a router has yet to tell others of.
const maxUntold = 128

// PrefixesTold brings what other routers of the zone sent where, some seconds
// late and with gaps.
type PrefixesTold struct{ Groups []wire.PrefixGroup }

// CacheMoved says that the prefix cache of a model on one machine was copied to
// another.
type CacheMoved struct {
	Model    cluster.ModelID
	From, To cluster.MachineID
}

func (PrefixesTold) routingEvent() {}
func (CacheMoved) routingEvent()   {}

// SentPrefixes returns which prompts this router's engines have begun to answer
// since the last call, at most maxUntold, for the other routers of the zone.
func (r *Router) SentPrefixes() []wire.PrefixGroup { return r.untold.Take() }

// notePrefix notes a prompt for the other routers. It has been read by the
// engine: what an engine refused is told to nobody.
func (r *Router) notePrefix(read *request) {
	if prefix, ok := affinity.Longest(read.Prefixes); ok {
		r.untold.Note(read.machine.id, read.Model, prefix)
	}
}

// prefixesTold takes what others sent. Machines without a replica of the model
// are passed over: they are gone, or their status has yet to come.
func (r *Router) prefixesTold(groups []wire.PrefixGroup) {
	for i := range groups {
		group := &groups[i]
		machine, model := r.machines[group.Machine], r.models[group.Model]
		if machine == nil || model == nil || machine.replica(model) == nil {
			continue
		}
		for _, prefix := range group.Hashes {
			r.prefixes.Told(r.nanos, group.Machine, group.Model, prefix)
		}
	}
}

// cacheMoved takes the move of a cache to a machine that serves the model.
func (r *Router) cacheMoved(moved CacheMoved) {
	machine, model := r.machines[moved.To], r.models[moved.Model]
	if machine != nil && model != nil && machine.replica(model) != nil {
		r.prefixes.Moved(r.nanos, moved.Model, moved.From, moved.To)
	}
}
