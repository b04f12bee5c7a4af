package routing

import (
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// What machines of two software releases write does not fit together. A stream that has begun is
// therefore pinned to the release of the machine that wrote its first event: only machines of that
// release may continue it. It waits, held in its queue, while none of them takes it.

// settingRelease names the release of machines in explanations.
const settingRelease = "release of machines"

// StreamBegan reports the release at which a stream that may be continued began.
type StreamBegan struct {
	Request cluster.RequestID
	Model   cluster.ModelID
	Release string
	// Deadline is the time by which the request must have ended.
	Deadline time.Time
}

func (StreamBegan) routingEffect() {}

// releaseOf returns the release of a machine's software.
func (r *Router) releaseOf(m *machine) string {
	if r.config.ReleaseOf == nil {
		return ""
	}
	return r.config.ReleaseOf(m.answeringStart())
}

// resolveRelease returns the release of a start that was not listed, if it is by now.
func (r *Router) resolveRelease(release string) string {
	start, unlisted := strings.CutPrefix(release, unlistedPrefix)
	if !unlisted || r.config.ReleaseOf == nil {
		return release
	}
	return r.config.ReleaseOf(cluster.MachineID(start))
}

// pinRelease pins a stream to the release of the machine that began it.
func (r *Router) pinRelease(began *request) {
	if !began.Resumable || began.firstByteSent || !began.running {
		return
	}
	if !began.Pinned {
		began.Pinned, began.Release = true, began.attemptRelease
	}
	r.emitBegan(began)
}

// emitBegan reports the release at which a stream began.
func (r *Router) emitBegan(began *request) {
	r.emit(StreamBegan{Request: began.ID, Model: began.Model, Release: began.Release, Deadline: time.Unix(0, began.deadline)})
}

// fitsRelease reports whether the request may run on a machine of this release.
func (r *Router) fitsRelease(ready *request, m *machine) bool {
	return !ready.Pinned || r.releaseOf(m) == r.resolveRelease(ready.Release)
}

// mayBegin reports whether a request may go to a machine as far as its stream would begin there. Who starts after
// all routers have ended knows only of releases that were recorded before.
func (r *Router) mayBegin(ready *request, m *machine) bool {
	return !ready.Resumable || ready.Pinned || r.config.MayBegin == nil || r.config.MayBegin(m.id)
}

// ReleasesRecorded reports machines at which resumable streams may begin from now on.
type ReleasesRecorded struct{ Machines []cluster.MachineID }

func (ReleasesRecorded) routingEvent() {}

// releasesRecorded dispatches waiting requests to the machines.
func (r *Router) releasesRecorded(event *ReleasesRecorded) {
	for _, id := range event.Machines {
		if m := r.machines[id]; m != nil {
			r.freedMachines = append(r.freedMachines, m)
		}
	}
}

// mayFitRelease reports whether the request may run on the machine, or may turn out to once the entry of the start
// that answers there, or of the one that began the stream, is read.
func (r *Router) mayFitRelease(pinned *request, m *machine) bool {
	return r.fitsRelease(pinned, m) || IsUnlistedRelease(r.releaseOf(m))
}

// awaitsRelease reports whether a request waits for a machine of its release, or for one whose release is recorded,
// while those behind it may go to machines of other releases.
func (r *Router) awaitsRelease(ready *request) bool {
	if !ready.Pinned && (!ready.Resumable || r.config.MayBegin == nil || r.config.Unrecorded != nil && !r.config.Unrecorded()) {
		return false
	}
	others := false
	for _, tier := range ready.model.tiers {
		for _, candidate := range tier {
			if r.unusableCause(ready, candidate, true) == "" {
				return false
			}
			others = others || !r.fitsRelease(ready, candidate.machine) || r.startUnknown(ready, candidate.machine) || !r.mayBegin(ready, candidate.machine)
		}
	}
	return others
}

// releaseRefusal returns why a pinned request can't be sent, because no machine of its release has the
// model or loads it, or nil.
func (r *Router) releaseRefusal(pinned *request) (*verdict.Error, Explanation) {
	if !pinned.Pinned {
		return nil, Explanation{}
	}
	model := pinned.model
	for _, tier := range append(model.tiers[:], model.loading) {
		for _, candidate := range tier {
			if !candidate.machine.leaving() && r.mayFitRelease(pinned, candidate.machine) {
				return nil, Explanation{}
			}
		}
	}
	failure := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the stream began at release %q, which no machine with the model has", pinned.Release)
	if pinned.firstByteSent {
		failure = verdict.New(verdict.Ran, verdict.CodeStreamCut, "%s", failure.Message)
	}
	return failure.After(r.retryAfter(model)), Explanation{Setting: settingRelease}
}
