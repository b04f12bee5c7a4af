package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
)

const (
	// releaseMargin is added to the longest time for which a stream may be resumed: a release counts
	// for that long after its last machine is gone.
	releaseMargin = 5 * time.Second
	// defaultStreamTime is that time if a route does not bound it: as long as a request may take if
	// neither its caller nor its route states a bound.
	defaultStreamTime = time.Minute
)

// releaseTracker tracks the software releases of the machines of each service.
type releaseTracker struct {
	core     *Core
	services map[string]*serviceReleases
	recorder releaseRecorder
	// observedSince is when this node first knew all machines.
	observedSince time.Time
	// earlierLongest is the longest time for which a stream that began before the routes changed may be resumed,
	// and counts until earlierUntil.
	earlierLongest time.Duration
	earlierUntil   time.Time
	// complete is set once this node knows all releases at which streams may have begun that can still be
	// resumed. Before, what it does not see may have been there.
	complete bool
	// suspended is set while the process has stood still and the store has not been read since.
	suspended bool
	// expiresAt is when the next release ceases to count, zero if none is going to.
	expiresAt time.Time
	// unlisted are the starts of machines that answered before their entries were read.
	unlisted map[cluster.MachineID]*unlistedStart
}

// unlistedStart is a start of a machine that answered before its entry was read.
type unlistedStart struct {
	service string
	// release is that of the entry once it is read, empty before.
	release string
	// expires is when no stream that began there can be resumed any more.
	expires time.Time
}

// serviceReleases are the releases of one service.
type serviceReleases struct {
	// machines counts the machines of each release, goneAt is when the last one went.
	machines map[string]int
	goneAt   map[string]time.Time
	// reported are the releases that were last reported, sorted, and mixed whether streams are kept apart.
	reported []string
	mixed    bool
}

func newReleaseTracker(core *Core) *releaseTracker {
	tracker := &releaseTracker{core: core, services: map[string]*serviceReleases{}, unlisted: map[cluster.MachineID]*unlistedStart{}}
	tracker.recorder = releaseRecorder{tracker: tracker, unrecorded: map[cluster.MachineID]bool{}, retryAfter: releasesWriteRetry}
	return tracker
}

func (t *releaseTracker) service(name string) *serviceReleases {
	known := t.services[name]
	if known == nil {
		known = &serviceReleases{machines: map[string]int{}, goneAt: map[string]time.Time{}}
		t.services[name] = known
	}
	return known
}

// changed handles a change of a machine's entry; an entry with an empty ID stands for none.
func (t *releaseTracker) changed(before, now *catalog.Worker) {
	if before.ID == now.ID && before.Release == now.Release && before.Service == now.Service {
		return
	}
	t.recorder.machineChanged(before, now)
	if now.ID != "" {
		t.startListed(now)
		t.service(now.Service).machines[now.Release]++
		t.report(now.Service)
	}
	if before.ID == "" {
		return
	}
	known := t.service(before.Service)
	if known.machines[before.Release]--; known.machines[before.Release] <= 0 {
		delete(known.machines, before.Release)
		known.goneAt[before.Release] = t.core.now
		t.expiresAt = earliest(t.expiresAt, t.core.now.Add(t.retention()))
	}
	t.report(before.Service)
}

// maxUnlistedStarts bounds the remembered starts; of more, streams that began there can't be continued.
const maxUnlistedStarts = 4096

// startFound handles the start that answered at a machine's address. Until its entry is read, its release counts
// as one of its own.
func (t *releaseTracker) startFound(machine, start cluster.MachineID) {
	known := t.core.view.machines[machine]
	if start == "" || known == nil || t.core.view.machines[start] != nil || t.unlisted[start] != nil || len(t.unlisted) == maxUnlistedStarts {
		return
	}
	service := known.worker.Service
	t.unlisted[start] = &unlistedStart{service: service, expires: t.core.now.Add(t.retention())}
	t.core.log(eventlog.MachineStartUnlisted{Machine: machine, Found: start, Service: service, Release: known.worker.Release})
	t.service(service).goneAt[routing.UnlistedRelease(start)] = t.core.now
	t.expiresAt = earliest(t.expiresAt, t.core.now.Add(t.retention()))
	t.report(service)
}

// startListed handles the entry of a start: streams that began there count as of its release from now on.
func (t *releaseTracker) startListed(worker *catalog.Worker) {
	if found := t.unlisted[worker.ID]; found != nil {
		found.release = worker.Release
		delete(t.service(found.service).goneAt, routing.UnlistedRelease(worker.ID))
	}
}

// releaseOfGone returns the release of a start that has no entry now.
func (t *releaseTracker) releaseOfGone(start cluster.MachineID) string {
	if found := t.unlisted[start]; found != nil && found.release != "" {
		return found.release
	}
	return routing.UnlistedRelease(start)
}

// mayBeMixed reports whether machines of a service may have several releases, as far as this node can know.
func (t *releaseTracker) mayBeMixed(name string) bool {
	return t.mixed(name) || t.viewIsStale()
}

// viewIsStale reports whether machines may have come of which this node has not read.
func (t *releaseTracker) viewIsStale() bool {
	return t.suspended || t.core.config.ViewIsStale != nil && t.core.config.ViewIsStale()
}

// mayBegin reports whether resumable streams may begin at a machine: the record lists its release.
func (t *releaseTracker) mayBegin(id cluster.MachineID) bool {
	return len(t.recorder.unrecorded) == 0 || !t.recorder.unrecorded[id]
}

// retention returns how long a release counts after its last machine is gone.
func (t *releaseTracker) retention() time.Duration {
	longest := defaultStreamTime
	if t.core.compiled != nil {
		longest = longestStream(t.core.compiled.Routes)
	}
	if t.core.now.Before(t.earlierUntil) {
		longest = max(longest, t.earlierLongest)
	}
	return longest + releaseMargin
}

// longestStream returns the longest time for which a stream may be resumed on one of the routes.
func longestStream(routes []catalog.Route) time.Duration {
	longest := time.Duration(0)
	for i := range routes {
		if routes[i].Resumable {
			longest = max(longest, routes[i].Timeout)
		}
	}
	return cmp.Or(longest, defaultStreamTime)
}

// observed returns the releases of a service that this node knows by its own observation: those of present
// machines, and of machines that went a short time ago.
func (t *releaseTracker) observed(name string) map[string]bool {
	releases := map[string]bool{}
	known := t.services[name]
	if known == nil {
		return releases
	}
	for release := range known.machines {
		releases[release] = true
	}
	for release, at := range known.goneAt {
		if t.core.now.Sub(at) < t.retention() {
			releases[release] = true
		}
	}
	return releases
}

// releases returns the releases at which streams of a service may have begun that can still be resumed, sorted.
func (t *releaseTracker) releases(name string) []string {
	releases := t.observed(name)
	for _, release := range t.recorder.stored.Services[name] {
		releases[release] = true
	}
	return slices.Sorted(maps.Keys(releases))
}

// mixed reports whether streams of a service may have begun at several releases.
func (t *releaseTracker) mixed(name string) bool {
	known := t.services[name]
	return !t.complete || known != nil && known.mixed
}

// several reports whether this node knows of several releases of a service.
func (t *releaseTracker) several(name string) bool {
	known := t.services[name]
	return known != nil && len(known.reported) > 1
}

// anyMixed reports whether streams of any service may have begun at several releases.
func (t *releaseTracker) anyMixed() bool {
	for _, known := range t.services {
		if known.mixed {
			return true
		}
	}
	return !t.complete
}

// report tells the other parts of the core if the releases of a service have changed.
func (t *releaseTracker) report(name string) {
	known := t.service(name)
	releases := t.releases(name)
	mixed := !t.complete || len(releases) > 1
	if slices.Equal(releases, known.reported) && mixed == known.mixed {
		return
	}
	known.reported, known.mixed = releases, mixed
	t.core.log(eventlog.ReleasesChanged{Service: name, Releases: strings.Join(releases, ","), Mixed: mixed, Complete: t.complete})
	t.core.resumptions.releasesChanged(name, mixed)
}

// reportAll reports all services whose releases have changed.
func (t *releaseTracker) reportAll() {
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		t.report(name)
	}
}

// recordRead handles the record in the store.
func (t *releaseTracker) recordRead(read ReleasesRead) {
	before := t.recorder.stored.Services
	if read.Restored {
		// The lease holder writes what the copy lacks again.
		t.keep(before, read.Record.Services)
	}
	// The machines of a release that the record did not name may have come and gone while the store could not be read.
	t.keep(read.Record.Services, before)
	t.recorder.read(&read)
	for name := range read.Record.Services {
		t.service(name)
	}
	t.reportAll()
}

// keep counts releases that others lack as if their last machine had just gone.
func (t *releaseTracker) keep(releases, others map[string][]string) {
	for name := range releases {
		for _, release := range releases[name] {
			if !slices.Contains(others[name], release) && t.service(name).machines[release] == 0 {
				t.service(name).goneAt[release] = t.core.now
				t.expiresAt = earliest(t.expiresAt, t.core.now.Add(t.retention()))
			}
		}
	}
}

// synced records that all machines are known.
func (t *releaseTracker) synced() {
	t.suspended = false
	if !t.observedSince.IsZero() {
		return
	}
	t.observedSince = t.core.now
	t.expiresAt = earliest(t.expiresAt, t.core.now.Add(t.retention()))
	if t.recorder.revision == 0 && t.core.controller.isFirstStart() {
		t.becomeComplete()
	}
}

// becomeComplete records that this node knows all releases at which streams may have begun.
func (t *releaseTracker) becomeComplete() {
	t.complete = true
	t.recorder.markStale()
	t.reportAll()
}

// checkComplete finds out whether this node knows all releases by now: from the record, or since it has known the
// machines for as long as a stream may be resumed.
func (t *releaseTracker) checkComplete() {
	if t.complete || t.observedSince.IsZero() {
		return
	}
	if t.recorder.complete() || t.observedFor() >= t.retention() {
		t.becomeComplete()
	}
}

// eraBegan takes the era that the records were last read in.
func (t *releaseTracker) eraBegan(era keyvalue.Era) {
	t.recorder.revision = inEra(t.recorder.revision, era)
	t.recorder.markStale()
}

// observedFor returns for how long this node has known all machines.
func (t *releaseTracker) observedFor() time.Duration {
	if t.observedSince.IsZero() {
		return 0
	}
	return t.core.now.Sub(t.observedSince)
}

// tick drops releases that no longer count, and writes the record if that is this node's turn.
func (t *releaseTracker) tick() {
	if !t.expiresAt.IsZero() && !t.core.now.Before(t.expiresAt) {
		t.expire()
	}
	t.checkComplete()
	t.recorder.tick()
}

// due returns the time of the next required tick, zero for none.
func (t *releaseTracker) due() time.Time {
	if at := t.recorder.due(); !at.IsZero() {
		return earliest(t.expiresAt, at)
	}
	return t.expiresAt
}

// expire drops the releases whose last machine went too long ago.
func (t *releaseTracker) expire() {
	t.expiresAt = time.Time{}
	t.recorder.markStale()
	if end := t.observedSince.Add(t.retention()); !t.observedSince.IsZero() && t.core.now.Before(end) {
		t.expiresAt = end
	}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		known := t.services[name]
		for release, at := range known.goneAt {
			if end := at.Add(t.retention()); t.core.now.Before(end) {
				t.expiresAt = earliest(t.expiresAt, end)
			} else {
				delete(known.goneAt, release)
			}
		}
		t.report(name)
	}
	maps.DeleteFunc(t.unlisted, func(_ cluster.MachineID, found *unlistedStart) bool { return !t.core.now.Before(found.expires) })
	for _, found := range t.unlisted {
		t.expiresAt = earliest(t.expiresAt, found.expires)
	}
}

// only returns the release at which all streams of a service began that can still be resumed, if there is exactly one.
func (t *releaseTracker) only(name string) (string, bool) {
	known := t.services[name]
	if !t.complete || known == nil || len(known.reported) != 1 {
		return "", false
	}
	return known.reported[0], true
}

// provenOnly reports whether streams of a service can only have begun at the release that this node knows, given an
// answer of the store that is later than their begin: a release is recorded before a stream begins at it. While the store
// takes no changes no release is recorded, so that without an answer a recent view counts.
func (t *releaseTracker) provenOnly(name string, answer *ReleasesAnswered) bool {
	only, single := t.only(name)
	switch {
	case !single:
		return false
	case answer.Err != nil:
		return !t.viewIsStale()
	case answer.Era != t.core.era:
		return false
	}
	return !slices.ContainsFunc(answer.Record.Services[name], func(release string) bool { return release != only })
}

// unstatedRelease is the release of a machine whose entry states none, beside others that do: it may be any.
func unstatedRelease(id cluster.MachineID) string { return "unstated by " + string(id) }
