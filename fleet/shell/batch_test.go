package shell

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/wire"
)

// TestBatchKeepsLastDecodableEntry guards against losing a worker's valid entry to a later
// invalid entry of the same batch, and against losing the draining state that the invalid entry
// still gives. A deletion in between resets both.
func TestBatchKeepsLastDecodableEntry(t *testing.T) {
	const (
		ready    = `{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`
		draining = `{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"draining"}`
		bad      = `{"state":"ready"}`
		leaving  = `{"state":"draining"}`
		gone     = ""
	)
	for _, test := range []struct {
		values                 []string
		workers, unread, ended int
		draining, leaving      bool
	}{
		{[]string{ready, draining, bad}, 1, 1, 0, true, false},
		{[]string{ready, leaving}, 1, 1, 0, false, true},
		{[]string{leaving, ready}, 1, 0, 0, false, false},
		{[]string{ready, gone, bad}, 0, 1, 1, false, false},
		{[]string{bad, gone}, 0, 0, 1, false, false},
		{[]string{bad, leaving, bad}, 0, 1, 0, false, true},
	} {
		n := &Node{}
		n.options.Codec = platform.Codec{}
		n.metrics = newMetrics(prometheus.NewRegistry(), n)
		f := &follower{Node: n, starts: machineStarts{}, gone: goneWorkers{}, filter: newChangeFilter(platform.Codec{})}
		var b batch
		for i, value := range test.values {
			f.addChange(&b, &wire.StoreChange{Key: platform.PrefixWorkers + "w", Value: []byte(value), Revision: keyvalue.Revision(i + 1), Deleted: value == gone})
		}
		read := b.workersRead()
		if len(read.Workers) != test.workers || len(read.Undecodable) != test.unread || len(read.Gone) != test.ended {
			t.Errorf("%q: %d decoded, %d unreadable, %d removed", test.values, len(read.Workers), len(read.Undecodable), len(read.Gone))
			continue
		}
		if test.workers > 0 && read.Workers[0].Draining != test.draining || test.unread > 0 && read.Undecodable[0].Leaving != test.leaving {
			t.Errorf("%q: %+v, %+v", test.values, read.Workers, read.Undecodable)
		}
	}
}
