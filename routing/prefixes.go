package routing

import (
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/wire"
)

// maxUnpublished bounds the prompts that are not yet sent to the other routers.
const maxUnpublished = 128

// PrefixesReceived carries which prompts other routers of the zone sent to which machines. It
// arrives some seconds late and may be incomplete.
type PrefixesReceived struct{ Groups []wire.PrefixGroup }

// CacheMoved reports that a model's prefix cache was copied from one machine to another.
type CacheMoved struct {
	Model    cluster.ModelID
	From, To cluster.MachineID
}

func (PrefixesReceived) routingEvent() {}
func (CacheMoved) routingEvent()       {}

// SentPrefixes returns the prompts of this router that engines have begun to answer since the last
// call, at most maxUnpublished, for the other routers of the zone.
func (r *Router) SentPrefixes() []wire.PrefixGroup { return r.unpublishedPrefixes.Take() }

// recordReadPrompt records a prompt for the other routers once the engine has read it. A prompt
// that an engine refused is not in its cache and not published.
func (r *Router) recordReadPrompt(read *request) {
	if prefix, ok := affinity.ReportedPrefix(read.Prefixes); ok {
		r.unpublishedPrefixes.Note(read.machine.id, read.Model, prefix)
	}
}

// applyReportedPrefixes applies the prompts of other routers. Machines without a replica of the
// model are skipped: they are gone, or their status has not arrived yet.
func (r *Router) applyReportedPrefixes(groups []wire.PrefixGroup) {
	for i := range groups {
		group := &groups[i]
		machine, model := r.machines[group.Machine], r.models[group.Model]
		if machine == nil || model == nil || machine.replica(model) == nil {
			continue
		}
		for _, prefix := range group.Hashes {
			r.prefixes.AddReported(r.nanos, group.Machine, group.Model, prefix)
		}
	}
}

// cacheMoved applies the copy of a cache to a machine that holds the model.
func (r *Router) cacheMoved(moved CacheMoved) {
	machine, model := r.machines[moved.To], r.models[moved.Model]
	if machine != nil && model != nil && machine.replica(model) != nil {
		r.prefixes.CopyCache(r.nanos, moved.Model, moved.From, moved.To)
	}
}
