package fleet

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/origins"
	"github.com/valveslip/valveslip/keyvalue"
)

// KeyOrigins is the prefix of the stored origins of streams, by which they go on at their release after all nodes have
// ended at once. The records form a ring: the newest takes the place of the oldest.
const KeyOrigins = KeyRoot + "stream-origins/"

const (
	// archiveInterval is the time between two writes of origins, and so the age up to which a stream can't be
	// resumed after all nodes have ended: shorter than most streams last, because each write is a change that all
	// nodes are told of.
	archiveInterval = 500 * time.Millisecond
	// archiveSlots is the number of records. At the interval they cover 32 s, longer than most streams may last.
	archiveSlots = 64
	// maxArchived bounds the origins in one record, since each node is told of each record: 5 KB/s.
	maxArchived = 128
	// maxDeleted bounds the keys that one transaction deletes.
	maxDeleted = 32
)

// OriginsRecord is a stored set of origins.
type OriginsRecord struct {
	// Sequence rises with each record that is written.
	Sequence int64 `json:"sequence"`
	// Streams holds the requests that began streams, by release.
	Streams map[string][]cluster.RequestID `json:"streams"`
	// Revision is the store revision of the record.
	Revision keyvalue.Revision `json:"-"`
}

// OriginsRead delivers stored origins by slot, and the slots whose records were deleted.
type OriginsRead struct {
	Records map[int]OriginsRecord
	Gone    []int
	// Full is set if the store holds no other records.
	Full bool
}

func (OriginsRead) fleetEvent() {}

// StoreDelete deletes keys, whatever their revisions.
type StoreDelete struct{ Keys []string }

func (StoreDelete) fleetEffect() {}

// Encode returns the stored form of the record.
func (r *OriginsRecord) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return data
}

// DecodeOrigins decodes the value of a key below KeyOrigins.
func DecodeOrigins(value []byte) (OriginsRecord, error) {
	var record OriginsRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return OriginsRecord{}, eris.Wrap(err, "decode origins of streams")
	}
	return record, nil
}

// OriginsSlot returns the slot of a key below KeyOrigins, and false for another key.
func OriginsSlot(key string) (int, bool) {
	name, found := strings.CutPrefix(key, KeyOrigins)
	slot, err := strconv.Atoi(name)
	return slot, found && err == nil && slot >= 0 && slot < archiveSlots
}

// originArchive stores the origins of streams if this node is the archivist.
type originArchive struct {
	core *Core
	// revisions are those of the records in the store, by slot.
	revisions map[int]keyvalue.Revision
	// sequence is that of the newest record.
	sequence int64
	nextAt   time.Time
	// writing are the origins of the writes that have no answer yet, by key.
	writing map[string][]origins.Archived
	// archivist is the node that was last named to the origins core.
	archivist cluster.NodeID
}

func newOriginArchive(core *Core) *originArchive {
	return &originArchive{core: core, revisions: map[int]keyvalue.Revision{}, writing: map[string][]origins.Archived{}}
}

// read handles stored origins.
func (a *originArchive) read(read *OriginsRead) {
	if read.Full {
		clear(a.revisions)
	}
	for _, slot := range read.Gone {
		delete(a.revisions, slot)
	}
	records := slices.SortedFunc(maps.Values(read.Records), func(x, y OriginsRecord) int { return cmp.Compare(x.Sequence, y.Sequence) })
	for slot := range read.Records {
		a.revisions[slot] = read.Records[slot].Revision
	}
	var learned []origins.Archived
	for i := range records {
		a.sequence = max(a.sequence, records[i].Sequence)
		for _, release := range slices.Sorted(maps.Keys(records[i].Streams)) {
			for _, request := range records[i].Streams[release] {
				learned = append(learned, origins.Archived{Request: request, Release: release})
			}
		}
	}
	a.core.resumptions.step(origins.Learned{Origins: learned})
}

// eraBegan takes the era that the records were last read in.
func (a *originArchive) eraBegan(era keyvalue.Era) {
	for slot, revision := range a.revisions {
		a.revisions[slot] = inEra(revision, era)
	}
}

// tick names the archivist, and stores origins if that is this node.
func (a *originArchive) tick() {
	a.nameArchivist()
	if a.core.releases.observedSince.IsZero() || a.core.now.Before(a.nextAt) {
		return
	}
	switch {
	case a.core.resumptions.origins.Unarchived() > 0:
		a.nextAt = a.core.now.Add(archiveInterval)
		a.write()
	case a.core.controller.ledger.Holding() && len(a.revisions) > 0 && !a.core.releases.anyMixed():
		a.nextAt = a.core.now.Add(releasesWriteRetry)
		a.clear()
	}
}

// due returns the time of the next required tick, zero for none.
func (a *originArchive) due() time.Time {
	if a.core.resumptions.origins.Unarchived() == 0 || a.core.releases.observedSince.IsZero() {
		return time.Time{}
	}
	return a.nextAt
}

// nameArchivist tells the origins core which node stores origins.
func (a *originArchive) nameArchivist() {
	archivist := a.chooseArchivist()
	if archivist.ID == a.archivist {
		return
	}
	a.archivist = archivist.ID
	a.core.resumptions.step(origins.ArchivistChanged{Archivist: origins.Peer{ID: archivist.ID, Address: archivist.Address}})
}

// chooseArchivist returns the node that stores origins: the holder of the order lease, also while it gives no orders,
// since it stops or its term has not begun. While nobody holds the lease, it is the live node with the first ID. Nodes
// that differ about that may write at the same time: the store takes one record for each place in the ring.
func (a *originArchive) chooseArchivist() NodeEntry {
	self, live := a.core.config.Self, a.core.nodes.live
	holder := a.core.controller.holder
	if _, lives := live[holder.ID]; lives || holder.ID == self.ID {
		return holder
	}
	first := self
	for id, entry := range live {
		if id < first.ID {
			first = entry
		}
	}
	return first
}

// write stores the oldest origins that are not stored yet in the next slot.
func (a *originArchive) write() {
	record := OriginsRecord{Sequence: a.sequence + 1, Streams: map[string][]cluster.RequestID{}}
	taken := a.core.resumptions.origins.TakeUnarchived(maxArchived)
	for _, origin := range taken {
		record.Streams[origin.Release] = append(record.Streams[origin.Release], origin.Request)
	}
	if len(record.Streams) == 0 {
		return
	}
	a.sequence = record.Sequence
	slot := int(record.Sequence % archiveSlots)
	a.writing[originsKey(slot)] = taken
	a.core.emit(StoreWrite{Key: originsKey(slot), Value: record.Encode(), Revision: a.revisions[slot]})
}

// writeAnswered handles the answer to a write. Origins that may not be stored are written again in the next slot.
func (a *originArchive) writeAnswered(answered StoreWritten) {
	taken := a.writing[answered.Key]
	delete(a.writing, answered.Key)
	if answered.Err != nil || answered.Conflict {
		a.core.resumptions.origins.Return(taken)
	}
}

// clear deletes the stored origins once no service has several releases.
func (a *originArchive) clear() {
	slots := slices.Sorted(maps.Keys(a.revisions))
	keys := make([]string, 0, maxDeleted)
	for _, slot := range slots[:min(len(slots), maxDeleted)] {
		keys = append(keys, originsKey(slot))
	}
	a.core.emit(StoreDelete{Keys: keys})
}

func originsKey(slot int) string { return KeyOrigins + strconv.Itoa(slot) }
