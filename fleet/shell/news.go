package shell

import (
	"errors"
	"strings"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/wire"
)

// newsFilter passes over machines' entries that were written only to show that the
// machine lives: the store drops those that are not written in time. An entry that can't be
// read is news only once for each cause. What only the store judges by, as whether a key is
// absent, is no news either.
type newsFilter struct {
	codec   Codec
	workers map[cluster.MachineID]decodedWorker
	starts  starts
	unread  map[cluster.MachineID]unreadEntry
}

// decodedWorker is a machine's last entry that could be read, with its revision.
type decodedWorker struct {
	catalog.Worker
	revision int64
}

// unreadEntry is what is known of an entry that can't be read.
type unreadEntry struct {
	cause   string
	leaving bool
}

func newNewsFilter(codec Codec) *newsFilter {
	return &newsFilter{codec: codec, workers: map[cluster.MachineID]decodedWorker{}, starts: starts{}, unread: map[cluster.MachineID]unreadEntry{}}
}

// News implements feed.Filter.
func (f *newsFilter) News(c *wire.StoreChange) bool {
	if !strings.HasPrefix(c.Key, f.codec.WorkersPrefix()) {
		return !strings.HasPrefix(c.Key, fleet.KeyTickets) && !strings.HasPrefix(c.Key, fleet.KeyStarters)
	}
	id := f.codec.WorkerID(c.Key)
	if c.Deleted {
		delete(f.workers, id)
		delete(f.unread, id)
		f.starts.forget(id)
		return true
	}
	w, err := f.codec.DecodeWorker(c.Key, c.Value)
	if err == nil {
		err = f.starts.check(id, &w)
	}
	if errors.Is(err, errEarlierStart) {
		return false
	}
	if err != nil {
		return f.unreadNews(id, unreadEntry{cause: err.Error(), leaving: w.Draining})
	}
	f.starts.note(id, &w)
	delete(f.unread, id)
	before, known := f.workers[id]
	f.workers[id] = decodedWorker{Worker: w, revision: c.Revision}
	return !known || !before.Equal(&w)
}

// decode reads a machine's entry, which the filter has read already if it was told of it last.
func (f *newsFilter) decode(name cluster.MachineID, c *wire.StoreChange) (catalog.Worker, error) {
	if known, read := f.workers[name]; read && known.revision == c.Revision {
		return known.Worker, nil
	}
	return f.codec.DecodeWorker(c.Key, c.Value)
}

// unreadNews notes an entry that can't be read. The next one that can be is news, also if it
// says what the last one did.
func (f *newsFilter) unreadNews(id cluster.MachineID, entry unreadEntry) bool {
	delete(f.workers, id)
	before, known := f.unread[id]
	f.unread[id] = entry
	return !known || before != entry
}
