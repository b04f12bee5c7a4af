package check

import (
	"fmt"
	"net/http"
	"time"
)

// MarkersKept is the number of versions that contain a marker route: the version that adds it
// and those that follow. This makes answers checkable even when versions follow each other
// quickly. A route that is in all versions which may be in force must be served, and a route
// that is in none of them must not.
const MarkersKept = 4

// Version is one version of the configuration.
type Version struct {
	Number int64
	// WriteStarted is when the write of the version began; nodes may have it in force from then on.
	// AcceptedAt is when the store had accepted it.
	WriteStarted, AcceptedAt time.Duration
	// PlainService is the service that the ordinary routes lead to.
	PlainService string
}

// holds reports whether a version contains the marker route that version marker added.
func (v *Version) holds(marker int64) bool {
	return marker <= v.Number && v.Number < marker+MarkersKept
}

// Probe is one request to a process for the marker route that a version added.
type Probe struct {
	Node, Life  int
	Version     int64
	Sent, Ended time.Duration
	// InForce is set if the process served the route.
	InForce bool
}

// allowedVersions returns the versions that a connected node may have in force at some time between
// sent and ended: the newest one that the store had accepted longer than Bounds.Configuration
// before, and all later ones. The bound needs no tolerance: a version is recorded after the
// store accepted it and a request reaches its node after it was sent, and both give the node
// extra time.
func (h *History) allowedVersions(sent, ended time.Duration) []Version {
	var allowed []Version
	for _, v := range h.Versions {
		if v.WriteStarted <= ended {
			allowed = append(allowed, v)
		}
	}
	oldest := 0
	for i := range allowed {
		if allowed[i].AcceptedAt+h.Bounds.Configuration < sent {
			oldest = i
		}
	}
	return allowed[min(oldest, len(allowed)):]
}

// isConnected reports whether the process, store link and peer links of a node were undisturbed
// between sent and ended, and for recoveryGrace before. Disturbances of other nodes don't count.
func (h *History) isConnected(node int, sent, ended time.Duration) bool {
	return !h.disturbed(node, sent, ended, ScopeProcess, ScopeStore, ScopePeer)
}

// checkConfigurationDelay checks that the behaviour of a connected node matches a version that
// may be in force.
func checkConfigurationDelay(h *History, f *Finding) {
	for i := range h.Probes {
		if probe := &h.Probes[i]; h.isConnected(probe.Node, probe.Sent, probe.Ended) {
			h.judgeProbe(probe, f)
		}
	}
	h.judgePlainRuns(f)
}

// judgeProbe evaluates a probe if all allowed versions agree on its answer.
func (h *History) judgeProbe(probe *Probe, f *Finding) {
	allowed := h.allowedVersions(probe.Sent, probe.Ended)
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
		detail = fmt.Sprintf("the route of version %d is not served, version %d was taken at %s", probe.Version, allowed[0].Number, allowed[0].AcceptedAt)
	case !must && probe.InForce:
		detail = fmt.Sprintf("the route of version %d is served, version %d was taken at %s", probe.Version, allowed[0].Number, allowed[0].AcceptedAt)
	}
	f.record(nodeName(probe.Node), probe.Sent, detail)
}

// judgePlainRuns checks that requests of ordinary routes ran at a service that an allowed
// version names.
func (h *History) judgePlainRuns(f *Finding) {
	requests := h.requestsByID()
	for i := range h.Runs {
		run := &h.Runs[i]
		request := requests[run.Request]
		if request == nil || request.Route != RouteWrite && request.Route != RouteRead || !h.isConnected(request.Node, request.Sent, run.At) {
			continue
		}
		allowed := h.allowedVersions(request.Sent, run.At)
		detail, service := "", h.Services[run.Worker]
		if len(allowed) > 0 && service != "" && !anyRoutesTo(allowed, service) {
			detail = fmt.Sprintf("node %d had it run by %s, version %d was taken at %s", request.Node, run.Worker, allowed[0].Number, allowed[0].AcceptedAt)
		}
		f.record(run.Request, request.Sent, detail)
	}
}

// anyRoutesTo reports whether the ordinary routes lead to a service in one of the versions.
func anyRoutesTo(versions []Version, service string) bool {
	for i := range versions {
		if versions[i].PlainService == service {
			return true
		}
	}
	return false
}

// nodeLife identifies one process of a node, from its start to its end.
type nodeLife struct{ node, life int }

// checkConfigurationOrder checks that a process which had a version in force never returns to an
// older one.
func checkConfigurationOrder(h *History, f *Finding) {
	probesByProcess := map[nodeLife][]Probe{}
	for _, probe := range h.Probes {
		key := nodeLife{probe.Node, probe.Life}
		probesByProcess[key] = append(probesByProcess[key], probe)
	}
	for i := range h.Requests {
		if request := &h.Requests[i]; request.Status == http.StatusNotFound {
			f.record(request.ID, request.Ended, "a route that every version has is not known")
		}
	}
	for key, probes := range probesByProcess {
		for i := range probes {
			f.record(nodeName(key.node), probes[i].Sent, h.describeRegression(probes, &probes[i]))
		}
	}
}

// describeRegression describes that a probe shows an older version than a probe that ended before
// it; empty if none does.
func (h *History) describeRegression(probes []Probe, probe *Probe) string {
	for _, earlier := range probes {
		if earlier.InForce && earlier.Ended < probe.Sent && h.showsOlderThan(probe, earlier.Version) {
			return fmt.Sprintf("an older version than %d is in force, which was at %s", earlier.Version, earlier.Ended)
		}
	}
	return ""
}

// showsOlderThan reports whether a probe proves that a version older than number is in force.
func (h *History) showsOlderThan(probe *Probe, number int64) bool {
	if probe.InForce {
		return probe.Version+MarkersKept-1 < number
	}
	if probe.Version > number {
		return false
	}
	for i := range h.Versions {
		if v := &h.Versions[i]; v.WriteStarted <= probe.Ended && v.Number >= probe.Version+MarkersKept {
			// A newer version may have removed the route.
			return false
		}
	}
	return true
}
