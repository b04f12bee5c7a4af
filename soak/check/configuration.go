package check

import (
	"fmt"
	"net/http"
	"time"
)

// MarkersKept is how many versions hold a route that one of them added: the version that
// adds it and the next ones. So what a node may answer follows also while versions come in
// quick succession: a route that all versions hold which may be in force must be served,
// and one that none of them holds must not.
const MarkersKept = 4

// Version is a configuration.
type Version struct {
	Number int64
	// From is when it began to be written: a node may have it in force from then on. At is
	// when the store had taken it.
	From, At time.Duration
	// Plain is the service of the plain routes.
	Plain string
}

// holds reports whether a version holds the route that another one added.
func (v *Version) holds(marker int64) bool {
	return marker <= v.Number && v.Number < marker+MarkersKept
}

// Probe asked one process for the route that a version added.
type Probe struct {
	Node, Life  int
	Version     int64
	Sent, Ended time.Duration
	// InForce is set when there was such a route.
	InForce bool
}

// allowed lists the versions that a node in touch may have in force at some time of an
// exchange: the newest that had been taken for the bound when it began, and all later ones.
// The bound needs no slack: a version is noted after the store took it, and a request
// reaches its node after it was sent, so that both give the node time.
func (h *History) allowed(sent, ended time.Duration) []Version {
	var allowed []Version
	for _, v := range h.Versions {
		if v.From <= ended {
			allowed = append(allowed, v)
		}
	}
	oldest := 0
	for i := range allowed {
		if allowed[i].At+h.Bounds.Configuration < sent {
			oldest = i
		}
	}
	return allowed[min(oldest, len(allowed)):]
}

// inTouch reports whether nothing that concerns a node was out of order during an exchange
// and for the time before it that the rules name. What strikes other nodes excuses nobody.
func (h *History) inTouch(node int, sent, ended time.Duration) bool {
	return !h.disturbed(node, sent, ended, ScopeProcess, ScopeStore, ScopePeer)
}

// configuredInTime: what a node in touch does follows from a version that may be in force.
func configuredInTime(h *History, f *Finding) {
	for i := range h.Probes {
		if probe := &h.Probes[i]; h.inTouch(probe.Node, probe.Sent, probe.Ended) {
			h.judgeProbe(probe, f)
		}
	}
	h.judgePlainRuns(f)
}

// judgeProbe judges an answer that all allowed versions agree on.
func (h *History) judgeProbe(probe *Probe, f *Finding) {
	allowed := h.allowed(probe.Sent, probe.Ended)
	holding := 0
	for i := range allowed {
		if allowed[i].holds(probe.Version) {
			holding++
		}
	}
	if len(allowed) == 0 || holding > 0 && holding < len(allowed) {
		return
	}
	detail := ""
	switch must := holding > 0; {
	case must && !probe.InForce:
		detail = fmt.Sprintf("the route of version %d is not served, version %d was taken at %s", probe.Version, allowed[0].Number, allowed[0].At)
	case !must && probe.InForce:
		detail = fmt.Sprintf("the route of version %d is served, version %d was taken at %s", probe.Version, allowed[0].Number, allowed[0].At)
	}
	f.judge(nodeName(probe.Node), probe.Sent, detail)
}

// judgePlainRuns judges at which service requests of plain routes ran.
func (h *History) judgePlainRuns(f *Finding) {
	requests := h.requestsByID()
	for i := range h.Runs {
		run := &h.Runs[i]
		request := requests[run.Request]
		if request == nil || request.Route != RouteWrite && request.Route != RouteRead || !h.inTouch(request.Node, request.Sent, run.At) {
			continue
		}
		allowed := h.allowed(request.Sent, run.At)
		detail, service := "", h.Services[run.Worker]
		if len(allowed) > 0 && service != "" && !anyRoutes(allowed, service) {
			detail = fmt.Sprintf("node %d had it run by %s, version %d was taken at %s", request.Node, run.Worker, allowed[0].Number, allowed[0].At)
		}
		f.judge(run.Request, request.Sent, detail)
	}
}

// anyRoutes reports whether one of the versions has the plain routes go to a service.
func anyRoutes(versions []Version, service string) bool {
	for i := range versions {
		if versions[i].Plain == service {
			return true
		}
	}
	return false
}

// process is one life of a node.
type process struct{ node, life int }

// neverBack: a process that was seen with a version is never seen with an older one.
func neverBack(h *History, f *Finding) {
	seen := map[process][]Probe{}
	for _, probe := range h.Probes {
		key := process{probe.Node, probe.Life}
		seen[key] = append(seen[key], probe)
	}
	for i := range h.Requests {
		if request := &h.Requests[i]; request.Status == http.StatusNotFound {
			f.judge(request.ID, request.Ended, "a route that every version has is not known")
		}
	}
	for key, probes := range seen {
		for i := range probes {
			f.judge(nodeName(key.node), probes[i].Sent, h.wentBack(probes, &probes[i]))
		}
	}
}

// wentBack says that a probe shows an older version than one that ended before it.
func (h *History) wentBack(probes []Probe, probe *Probe) string {
	for _, earlier := range probes {
		if earlier.InForce && earlier.Ended < probe.Sent && h.olderThan(probe, earlier.Version) {
			return fmt.Sprintf("an older version than %d is in force, which was at %s", earlier.Version, earlier.Ended)
		}
	}
	return ""
}

// olderThan reports whether a probe shows a version before a number.
func (h *History) olderThan(probe *Probe, number int64) bool {
	if probe.InForce {
		return probe.Version+MarkersKept-1 < number
	}
	if probe.Version > number {
		return false
	}
	for i := range h.Versions {
		if v := &h.Versions[i]; v.From <= probe.Ended && v.Number >= probe.Version+MarkersKept {
			// A newer version may have dropped the route.
			return false
		}
	}
	return true
}
