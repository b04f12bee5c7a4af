package shell

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/wire"
)

// newBatchFollower returns a follower that only builds batches.
func newBatchFollower() *follower {
	n := &Node{}
	n.options.Codec, n.options.Log = startTimeCodec{}, eventlog.New(io.Discard, eventlog.Options{})
	n.metrics = newMetrics(prometheus.NewRegistry(), n)
	n.pool = upstream.NewPool(upstream.Options{Now: time.Now})
	return &follower{Node: n, starts: machineStarts{}, gone: goneWorkers{}, filter: newChangeFilter(startTimeCodec{})}
}

// startTimeCodec decodes entries that hold only a machine's start time; zero for none.
type startTimeCodec struct{}

// startTimePrefix is the key prefix of such entries.
const startTimePrefix = "machines/"

func (startTimeCodec) ConfigurationKey() string { return "configuration" }
func (startTimeCodec) WorkersPrefix() string    { return startTimePrefix }

func (startTimeCodec) DecodeConfiguration([]byte) (catalog.Configuration, error) {
	return catalog.Configuration{}, errors.New("this codec decodes no configuration")
}

func (c startTimeCodec) DecodeWorker(key string, value []byte) (catalog.Worker, error) {
	born, err := strconv.ParseInt(string(value), 10, 64)
	worker := catalog.Worker{ID: c.WorkerID(key), StartMillis: born, Address: "a:1"}
	if born != 0 {
		worker.ID += cluster.MachineID("@" + string(value))
	}
	return worker, err
}

func (startTimeCodec) WorkerID(key string) cluster.MachineID {
	return cluster.MachineID(strings.TrimPrefix(key, startTimePrefix))
}

// entryOfStart returns a machine's entry with a start time; zero for none.
func entryOfStart(born int64, revision keyvalue.Revision) wire.StoreChange {
	return wire.StoreChange{Key: startTimePrefix + "w", Value: strconv.AppendInt(nil, born, 10), Revision: revision}
}

// TestLatestStartReplacesEarlierOnes guards against mixing the starts of one machine. The latest
// start must be used whatever order the entries come in; the earlier starts must be removed.
func TestLatestStartReplacesEarlierOnes(t *testing.T) {
	for _, test := range []struct {
		name       string
		startTimes []int64
		machine    cluster.MachineID
		gone       []cluster.MachineID
		unread     int
	}{
		{"one start", []int64{5, 5}, "w@5", nil, 0},
		{"a later start", []int64{5, 7}, "w@7", []cluster.MachineID{"w@5"}, 0},
		{"a late entry of an earlier start", []int64{7, 5}, "w@7", nil, 0},
		{"back and forth", []int64{5, 7, 5, 7}, "w@7", []cluster.MachineID{"w@5"}, 0},
		{"two later starts", []int64{5, 7, 9}, "w@9", []cluster.MachineID{"w@5", "w@7"}, 0},
		{"another writer", []int64{5, 0}, "w@5", nil, 1},
		{"it gives the time from now on", []int64{0, 5}, "w@5", []cluster.MachineID{"w"}, 0},
		{"it never gives the time", []int64{0, 0}, "w", nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, together := range []bool{true, false} {
				f := newBatchFollower()
				var b batch
				var gone []cluster.MachineID
				for i, born := range test.startTimes {
					if !together {
						gone = append(gone, b.removedWorkers...)
						b = batch{}
					}
					change := entryOfStart(born, keyvalue.Revision(i+1))
					f.addChange(&b, &change)
				}
				read := b.workersRead()
				gone = append(gone, read.Gone...)
				if f.starts.currentID("w") != test.machine || !slices.Equal(gone, test.gone) || together && len(read.Undecodable) != test.unread {
					t.Errorf("together %t: current %q, removed %q, %d unreadable", together, f.starts.currentID("w"), gone, len(read.Undecodable))
				}
				if together && (len(read.Workers) != 1 || read.Workers[0].ID != test.machine) {
					t.Errorf("workers %+v", read.Workers)
				}
			}
		})
	}
}

// TestDeletedEntryRemovesCurrentStart guards against a deletion that does not remove the machine:
// the store names the machine, while the core knows it by the identifier of its start.
func TestDeletedEntryRemovesCurrentStart(t *testing.T) {
	f := newBatchFollower()
	var first batch
	change := entryOfStart(5, 1)
	f.addChange(&first, &change)
	var second batch
	f.addChange(&second, &wire.StoreChange{Key: change.Key, Revision: 2, Deleted: true})
	if gone := second.removedWorkers; !slices.Equal(gone, []cluster.MachineID{"w@5"}) {
		t.Fatalf("removed: %q", gone)
	}
	// A deleted machine is forgotten, so an entry that is written again after it expired is used.
	var third batch
	change = entryOfStart(4, 3)
	f.addChange(&third, &change)
	if workers := third.workers.values(); len(workers) != 1 || workers[0].ID != "w@4" {
		t.Fatalf("workers %+v", workers)
	}
}

// TestFilterDropsEntryOfEarlierStart guards against relaying entries that carry nothing new: an
// entry of an earlier start must be dropped, and one without a start time must pass once as
// unreadable.
func TestFilterDropsEntryOfEarlierStart(t *testing.T) {
	filter := newChangeFilter(startTimeCodec{})
	for i, step := range []struct {
		born int64
		news bool
	}{{5, true}, {5, false}, {7, true}, {5, false}, {7, false}, {0, true}, {0, false}, {7, true}, {7, false}} {
		change := entryOfStart(step.born, keyvalue.Revision(i+1))
		if got := filter.IsNews(&change); got != step.news {
			t.Errorf("step %d, born at %d: news %t", i, step.born, got)
		}
	}
}
