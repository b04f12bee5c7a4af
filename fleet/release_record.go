package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
)

// KeyReleases is the key of the record of the releases at which streams may have begun. A resumable stream begins
// only at a release that the record lists, so that a node that starts learns from it of the releases whose
// machines are gone.
const KeyReleases = KeyRoot + "stream-releases"

// ReleaseRecord lists the releases of each service at which streams may have begun that can still be resumed.
type ReleaseRecord struct {
	// Services holds the releases by service, sorted.
	Services map[string][]string `json:"services"`
	// Complete is set if the writer knew that no stream can be resumed which began at another release. That
	// holds in Era alone, since a store that comes back from a copy may have lost releases.
	Complete bool         `json:"complete"`
	Era      keyvalue.Era `json:"era"`
}

// lists reports whether streams of a service may begin at a release.
func (r *ReleaseRecord) lists(service, release string) bool {
	return slices.Contains(r.Services[service], release)
}

// equal reports whether two records say the same.
func (r *ReleaseRecord) equal(other *ReleaseRecord) bool {
	return r.Complete == other.Complete && r.Era == other.Era && maps.EqualFunc(r.Services, other.Services, slices.Equal)
}

// ReleasesRead delivers the record of releases, empty without one.
type ReleasesRead struct {
	Record ReleaseRecord
	// Revision is the store revision of the record, zero without one.
	Revision keyvalue.Revision
	Restored bool
}

func (ReleasesRead) fleetEvent() {}

func encodeReleases(record *ReleaseRecord) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		return nil
	}
	return data
}

// DecodeReleases decodes the value of KeyReleases.
func DecodeReleases(value []byte) (ReleaseRecord, error) {
	var record ReleaseRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return ReleaseRecord{}, eris.Wrap(err, "decode record of releases")
	}
	for name := range record.Services {
		slices.Sort(record.Services[name])
	}
	return record, nil
}

const (
	// releasesWriteRetry is the time between two attempts to write the record: longer than a change takes to
	// come back from the store. It doubles up to maxReleasesWriteRetry at nodes that don't hold the order lease, so
	// that hundreds of nodes don't press a store that takes no writes.
	releasesWriteRetry    = 2 * time.Second
	maxReleasesWriteRetry = 32 * time.Second
	// holderWriteTime is how long the other nodes leave the record to the holder of the order lease: twice the
	// time that a change takes to come back from the store.
	holderWriteTime = 800 * time.Millisecond
)

// releaseRecorder keeps the record of releases in the store up to date on behalf of one node.
type releaseRecorder struct {
	tracker *releaseTracker
	// stored is the record in the store and revision its revision, zero without one.
	stored   ReleaseRecord
	revision keyvalue.Revision
	// written is the record that this node last wrote, whether or not the store took it.
	written ReleaseRecord
	// unrecorded are the machines whose releases the record does not list.
	unrecorded map[cluster.MachineID]bool
	// stale is set if the record may have to be written, since staleFrom.
	stale     bool
	staleFrom time.Time
	nextWrite time.Time
	// retryAfter is the time until the next write if this one does not come back from the store.
	retryAfter time.Duration
}

// read handles the record in the store.
func (r *releaseRecorder) read(read *ReleasesRead) {
	r.stored, r.revision = read.Record, read.Revision
	r.retryAfter = releasesWriteRetry
	if r.stored.equal(&r.written) {
		r.nextWrite = time.Time{}
	}
	r.markStale()
	var recorded []cluster.MachineID
	for _, known := range r.tracker.core.view.sorted() {
		before := r.unrecorded[known.worker.ID]
		r.machineChanged(&catalog.Worker{}, &known.worker)
		if before && !r.unrecorded[known.worker.ID] {
			recorded = append(recorded, known.worker.ID)
		}
	}
	if len(recorded) > 0 {
		r.tracker.core.feedRouter(routing.ReleasesRecorded{Machines: recorded})
	}
}

// machineChanged handles a change of a machine's entry; an entry with an empty ID stands for none.
func (r *releaseRecorder) machineChanged(before, now *catalog.Worker) {
	r.markStale()
	delete(r.unrecorded, before.ID)
	if now.ID == "" {
		return
	}
	delete(r.unrecorded, now.ID)
	if !r.stored.lists(now.Service, now.Release) {
		r.unrecorded[now.ID] = true
	}
}

// complete reports whether the record lists all releases at which streams may have begun.
func (r *releaseRecorder) complete() bool {
	return r.stored.Complete && r.stored.Era == r.tracker.core.era
}

// markStale has the next tick compare the record with what it should be.
func (r *releaseRecorder) markStale() {
	if !r.stale {
		r.stale, r.staleFrom = true, r.tracker.core.now
	}
}

// mayDrop reports whether this node may take releases out of the record: it holds the order lease and would have seen
// their streams end.
func (r *releaseRecorder) mayDrop() bool {
	return r.tracker.core.controller.ledger.Holding() && r.streamsEnded()
}

// streamsEnded reports whether streams have ended that began before this node knew the machines.
func (r *releaseRecorder) streamsEnded() bool {
	return r.tracker.observedFor() >= r.tracker.retention() && !r.tracker.viewIsStale()
}

// wanted returns the record as it should be. Unless drop is set, it keeps all that the record has.
func (r *releaseRecorder) wanted(drop bool) ReleaseRecord {
	wanted := ReleaseRecord{Services: map[string][]string{}, Complete: r.stored.Complete, Era: r.stored.Era}
	if r.tracker.complete {
		wanted.Complete, wanted.Era = true, r.tracker.core.era
	}
	names := map[string]bool{}
	for name := range r.tracker.services {
		names[name] = true
	}
	for name := range r.stored.Services {
		names[name] = true
	}
	for name := range names {
		releases := r.tracker.observed(name)
		maps.DeleteFunc(releases, func(release string, _ bool) bool { return routing.IsUnlistedRelease(release) })
		if !drop {
			for _, release := range r.stored.Services[name] {
				releases[release] = true
			}
		}
		if len(releases) > 0 {
			wanted.Services[name] = slices.Sorted(maps.Keys(releases))
		}
	}
	return wanted
}

// due returns when the record may be written by this node, zero for never.
func (r *releaseRecorder) due() time.Time {
	if !r.stale || r.tracker.observedSince.IsZero() {
		return time.Time{}
	}
	controller := r.tracker.core.controller
	at := r.staleFrom
	if !controller.ledger.Holding() {
		at = at.Add(time.Duration(candidacyTurn(controller.rank())) * candidacyStep)
		if controller.holder.ID != "" {
			at = at.Add(holderWriteTime)
		}
	}
	return maxTime(at, r.nextWrite)
}

// tick writes the record if it is due.
func (r *releaseRecorder) tick() {
	due := r.due()
	if due.IsZero() || r.tracker.core.now.Before(due) {
		return
	}
	r.nextWrite = r.tracker.core.now.Add(r.retryAfter)
	wanted := r.wanted(r.mayDrop())
	if wanted.equal(&r.stored) {
		r.stale, r.nextWrite = false, time.Time{}
		return
	}
	r.written = wanted
	if !r.tracker.core.controller.ledger.Holding() {
		r.retryAfter = min(2*r.retryAfter, maxReleasesWriteRetry)
	}
	r.tracker.core.log(eventlog.ReleasesRecorded{Complete: wanted.Complete, Era: wanted.Era})
	r.tracker.core.emit(StoreWrite{Key: KeyReleases, Value: encodeReleases(&wanted), Revision: r.revision})
}
