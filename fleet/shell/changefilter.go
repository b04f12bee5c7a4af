package shell

import (
	"errors"
	"strings"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// changeFilter drops store changes that carry nothing new. Machines rewrite their entries as
// heartbeats because the store expires entries that are not renewed; such a rewrite is dropped.
// An entry that can't be decoded passes once for each cause. Keys that only matter to
// transactions of the store, such as tickets and starters, never pass.
type changeFilter struct {
	codec      Codec
	workers    map[cluster.MachineID]decodedWorker
	starts     machineStarts
	unreadable map[cluster.MachineID]unreadableEntry
}

// decodedWorker is the last entry of a machine that could be decoded, with its revision.
type decodedWorker struct {
	catalog.Worker
	revision keyvalue.Revision
}

// unreadableEntry describes an entry that can't be decoded.
type unreadableEntry struct {
	cause   string
	leaving bool
}

func newChangeFilter(codec Codec) *changeFilter {
	return &changeFilter{codec: codec, workers: map[cluster.MachineID]decodedWorker{}, starts: machineStarts{}, unreadable: map[cluster.MachineID]unreadableEntry{}}
}

// IsNews implements feed.Filter.
func (f *changeFilter) IsNews(c *wire.StoreChange) bool {
	if !strings.HasPrefix(c.Key, f.codec.WorkersPrefix()) {
		return !strings.HasPrefix(c.Key, fleet.KeyTickets) && !strings.HasPrefix(c.Key, fleet.KeyStarters)
	}
	id := f.codec.WorkerID(c.Key)
	if c.Deleted {
		delete(f.workers, id)
		delete(f.unreadable, id)
		f.starts.forget(id)
		return true
	}
	w, err := f.codec.DecodeWorker(c.Key, c.Value)
	if err == nil {
		err = f.starts.validate(id, &w)
	}
	if errors.Is(err, errEarlierStart) {
		return false
	}
	if err != nil {
		return f.noteUnreadable(id, unreadableEntry{cause: err.Error(), leaving: w.Draining})
	}
	f.starts.record(id, &w)
	delete(f.unreadable, id)
	before, known := f.workers[id]
	f.workers[id] = decodedWorker{Worker: w, revision: c.Revision}
	return !known || !before.Equal(&w)
}

// forget makes the next entry of a machine pass the filter.
func (f *changeFilter) forget(id cluster.MachineID) { delete(f.workers, id) }

// decode decodes a machine's entry. It reuses the result of IsNews if that saw the same revision
// last.
func (f *changeFilter) decode(name cluster.MachineID, c *wire.StoreChange) (catalog.Worker, error) {
	if known, read := f.workers[name]; read && known.revision == c.Revision {
		return known.Worker, nil
	}
	return f.codec.DecodeWorker(c.Key, c.Value)
}

// noteUnreadable records an entry that can't be decoded and reports whether it is new. The next
// entry that can be decoded passes the filter even if it equals the last one.
func (f *changeFilter) noteUnreadable(id cluster.MachineID, entry unreadableEntry) bool {
	delete(f.workers, id)
	before, known := f.unreadable[id]
	f.unreadable[id] = entry
	return !known || before != entry
}
