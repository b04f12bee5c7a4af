package fleet

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
)

// KeyLimits is the key of the record of the limits that machines have stated. Nodes tell each other of a change
// only, so that one that starts learns from the record which machines have a limit.
const KeyLimits = KeyRoot + "machine-limits"

const (
	// limitsWriteDelay is the time from a change to the write of the record, because machines of one service often
	// state their limits together.
	limitsWriteDelay = 100 * time.Millisecond
	// limitsWriteSpacing is the least time between two writes, longer than a write takes to come back from the
	// store.
	limitsWriteSpacing = 2 * time.Second
	// limitsFactor is the change of a limit from which the record is written again. A node that starts corrects
	// smaller differences with the first answer.
	limitsFactor = 2
	// maxStoredLimits bounds the record, since all nodes are told of each write: 20 KB. The lowest limits are kept.
	maxStoredLimits = 256
)

// StoredLimit is the stored limit of one machine. The fields are those of routing.Notice.
type StoredLimit struct {
	PerSecond       float64 `json:"per_second"`
	Brittle         int     `json:"brittle,omitempty"`
	Concurrency     int     `json:"concurrency,omitempty"`
	StatedPerSecond float64 `json:"stated_per_second,omitempty"`
}

// LimitRecord lists the machines that have a limit.
type LimitRecord struct {
	Machines map[cluster.MachineID]StoredLimit `json:"machines"`
}

// LimitsRead delivers the record of limits, empty without one.
type LimitsRead struct {
	Record LimitRecord
	// Revision is the store revision of the record, zero without one.
	Revision keyvalue.Revision
}

func (LimitsRead) fleetEvent() {}

// DecodeLimits decodes the value of KeyLimits.
func DecodeLimits(value []byte) (LimitRecord, error) {
	var record LimitRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return LimitRecord{}, eris.Wrap(err, "decode record of limits")
	}
	return record, nil
}

func encodeLimits(record *LimitRecord) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		return nil
	}
	return data
}

// notice returns the limit as the router takes it.
func (l *StoredLimit) notice() routing.Notice {
	return routing.Notice{Limited: true, PerSecond: l.PerSecond, Brittle: l.Brittle, Concurrency: l.Concurrency, StatedPerSecond: l.StatedPerSecond}
}

// near reports whether a node that starts may go by one limit in place of the other.
func (l StoredLimit) near(other StoredLimit) bool {
	within := func(a, b float64) bool { return a <= limitsFactor*b && b <= limitsFactor*a }
	return (l.Brittle > 0) == (other.Brittle > 0) && within(l.PerSecond, other.PerSecond) &&
		within(float64(l.Concurrency), float64(other.Concurrency)) && within(l.StatedPerSecond, other.StatedPerSecond)
}

// limitRecorder applies the stored limits to machines of which this node has heard no limit, and keeps the record up
// to date if this node holds the order lease.
type limitRecorder struct {
	core *Core
	// stored is the record in the store and revision its revision, zero without one.
	stored   LimitRecord
	revision keyvalue.Revision
	// heard are the machines whose limit, or its end, this node has heard of. The record may be older.
	heard map[cluster.MachineID]bool
	// holding is set while this node holds the order lease.
	holding bool
	// writeAt is when the record is compared with what it should be, zero for never.
	writeAt time.Time
	// nextWrite is the earliest time of the next write.
	nextWrite time.Time
}

func newLimitRecorder(core *Core) *limitRecorder {
	return &limitRecorder{core: core, heard: map[cluster.MachineID]bool{}}
}

// read handles the record in the store.
func (r *limitRecorder) read(read *LimitsRead) {
	r.stored, r.revision = read.Record, read.Revision
	for _, id := range slices.Sorted(maps.Keys(r.stored.Machines)) {
		if r.core.view.machines[id] != nil {
			r.adopt(id)
		}
	}
	r.changed()
}

// adopt applies the stored limit of a machine unless this node has heard of its limit.
func (r *limitRecorder) adopt(id cluster.MachineID) {
	limit, limited := r.stored.Machines[id]
	if !limited || r.heard[id] {
		return
	}
	r.heard[id] = true
	r.core.feedRouter(routing.MachineLimitRestored{Machine: id, Notice: limit.notice()})
}

// limitHeard notes that a machine's limit, or its end, has become known. What was heard of a machine without an entry
// does not count, since the router drops it.
func (r *limitRecorder) limitHeard(id cluster.MachineID) {
	if r.core.view.machines[id] != nil {
		r.heard[id] = true
	}
	r.changed()
}

// machineRemoved notes that a machine's entry is gone.
func (r *limitRecorder) machineRemoved(id cluster.MachineID) {
	delete(r.heard, id)
	if _, limited := r.stored.Machines[id]; limited {
		r.changed()
	}
}

// eraBegan takes the era that the record was last read in.
func (r *limitRecorder) eraBegan(era keyvalue.Era) {
	r.revision = inEra(r.revision, era)
	r.changed()
}

// changed schedules a comparison of the record with what it should be.
func (r *limitRecorder) changed() {
	if r.holding && r.writeAt.IsZero() {
		r.writeAt = maxTime(r.core.now.Add(limitsWriteDelay), r.nextWrite)
	}
}

// due returns the time of the next required tick, zero for none.
func (r *limitRecorder) due() time.Time { return r.writeAt }

// tick writes the record if it is due.
func (r *limitRecorder) tick() {
	if holding := r.core.controller.ledger.Holding(); holding != r.holding {
		r.holding, r.writeAt = holding, time.Time{}
		r.changed()
	}
	if r.writeAt.IsZero() || r.core.now.Before(r.writeAt) {
		return
	}
	r.writeAt = time.Time{}
	wanted := r.wanted()
	if maps.EqualFunc(wanted.Machines, r.stored.Machines, StoredLimit.near) {
		return
	}
	r.nextWrite = r.core.now.Add(limitsWriteSpacing)
	r.core.emit(StoreWrite{Key: KeyLimits, Value: encodeLimits(&wanted), Revision: r.revision})
	r.changed()
}

// wanted returns the record as it should be.
func (r *limitRecorder) wanted() LimitRecord {
	limits := r.core.router.MachineLimits()
	maps.DeleteFunc(limits, func(id cluster.MachineID, _ routing.Notice) bool { return r.core.view.machines[id] == nil })
	ids := slices.SortedFunc(maps.Keys(limits), func(a, b cluster.MachineID) int {
		return cmp.Or(cmp.Compare(limits[a].PerSecond, limits[b].PerSecond), cmp.Compare(a, b))
	})
	record := LimitRecord{Machines: map[cluster.MachineID]StoredLimit{}}
	for _, id := range ids[:min(len(ids), maxStoredLimits)] {
		limit := limits[id]
		record.Machines[id] = StoredLimit{
			PerSecond: limit.PerSecond, Brittle: limit.Brittle, Concurrency: limit.Concurrency, StatedPerSecond: limit.StatedPerSecond,
		}
	}
	return record
}
