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
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/wire"
)

// sortingFollower returns a follower that only sorts.
func sortingFollower() *follower {
	n := &Node{}
	n.options.Codec, n.options.Log = bornCodec{}, eventlog.New(io.Discard, eventlog.Options{})
	n.metrics = newMetrics(prometheus.NewRegistry(), n)
	n.pool = upstream.NewPool(upstream.Options{Now: time.Now})
	return &follower{Node: n, starts: machineStarts{}, filter: newChangeFilter(bornCodec{})}
}

// bornCodec reads entries that say of a machine only when it was born, zero for not.
type bornCodec struct{}

// bornPrefix is before the keys of such entries.
const bornPrefix = "machines/"

func (bornCodec) ConfigurationKey() string { return "configuration" }
func (bornCodec) WorkersPrefix() string    { return bornPrefix }

func (bornCodec) DecodeConfiguration([]byte) (catalog.Configuration, error) {
	return catalog.Configuration{}, errors.New("no configuration is read here")
}

func (c bornCodec) DecodeWorker(key string, value []byte) (catalog.Worker, error) {
	born, err := strconv.ParseInt(string(value), 10, 64)
	worker := catalog.Worker{ID: c.WorkerID(key), Born: born, Address: "a:1"}
	if born != 0 {
		worker.ID += cluster.MachineID("@" + string(value))
	}
	return worker, err
}

func (bornCodec) WorkerID(key string) cluster.MachineID {
	return cluster.MachineID(strings.TrimPrefix(key, bornPrefix))
}

// bornAt is a machine's entry of a start, zero for one that does not say when it was.
func bornAt(born int64, revision int64) wire.StoreChange {
	return wire.StoreChange{Key: bornPrefix + "w", Value: strconv.AppendInt(nil, born, 10), Revision: revision}
}

// TestLaterStartEndsTheOneBefore: of the starts of one machine the latest counts, in whatever
// order their entries come: those before it are gone, and all that is known of them ends.
func TestLaterStartEndsTheOneBefore(t *testing.T) {
	for _, test := range []struct {
		name    string
		births  []int64
		machine cluster.MachineID
		gone    []cluster.MachineID
		unread  int
	}{
		{"one start", []int64{5, 5}, "w@5", nil, 0},
		{"a later start", []int64{5, 7}, "w@7", []cluster.MachineID{"w@5"}, 0},
		{"an earlier start comes late", []int64{7, 5}, "w@7", nil, 0},
		{"back and forth", []int64{5, 7, 5, 7}, "w@7", []cluster.MachineID{"w@5"}, 0},
		{"two later starts", []int64{5, 7, 9}, "w@9", []cluster.MachineID{"w@5", "w@7"}, 0},
		{"another writer", []int64{5, 0}, "w@5", nil, 1},
		{"it says it from now on", []int64{0, 5}, "w@5", []cluster.MachineID{"w"}, 0},
		{"it never says it", []int64{0, 0}, "w", nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, together := range []bool{true, false} {
				f := sortingFollower()
				var b batch
				var gone []cluster.MachineID
				for i, born := range test.births {
					if !together {
						gone = append(gone, b.removedWorkers...)
						b = batch{}
					}
					change := bornAt(born, int64(i+1))
					f.addChange(&b, &change)
				}
				read := b.workersRead()
				gone = append(gone, read.Gone...)
				if f.starts.currentID("w") != test.machine || !slices.Equal(gone, test.gone) || together && len(read.Unread) != test.unread {
					t.Errorf("together %t: present %q, gone %q, %d unread", together, f.starts.currentID("w"), gone, len(read.Unread))
				}
				if together && (len(read.Workers) != 1 || read.Workers[0].ID != test.machine) {
					t.Errorf("told of %+v", read.Workers)
				}
			}
		})
	}
}

// TestEndOfAStartIsToldByItsName: the store names a machine, and the core knows its start.
func TestEndOfAStartIsToldByItsName(t *testing.T) {
	f := sortingFollower()
	var first batch
	change := bornAt(5, 1)
	f.addChange(&first, &change)
	var second batch
	f.addChange(&second, &wire.StoreChange{Key: change.Key, Revision: 2, Deleted: true})
	if gone := second.removedWorkers; !slices.Equal(gone, []cluster.MachineID{"w@5"}) {
		t.Fatalf("gone: %q", gone)
	}
	// What ended is forgotten: an entry that is written again after it lapsed counts.
	var third batch
	change = bornAt(4, 3)
	f.addChange(&third, &change)
	if workers := third.workers.values(); len(workers) != 1 || workers[0].ID != "w@4" {
		t.Fatalf("told of %+v", workers)
	}
}

// TestEarlierStartIsNoNews: relays pass on what says something new; an entry of an earlier
// start says nothing, and one without the birth only that it can't be read.
func TestEarlierStartIsNoNews(t *testing.T) {
	filter := newChangeFilter(bornCodec{})
	for i, step := range []struct {
		born int64
		news bool
	}{{5, true}, {5, false}, {7, true}, {5, false}, {7, false}, {0, true}, {0, false}, {7, true}, {7, false}} {
		change := bornAt(step.born, int64(i+1))
		if got := filter.News(&change); got != step.news {
			t.Errorf("step %d, born at %d: news %t", i, step.born, got)
		}
	}
}
