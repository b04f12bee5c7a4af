package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/wire"
)

// fleetZones is the number of zones that the fleets of these benchmarks span.
const fleetZones = 5

// newSizedFollower returns the follower of a node that knows only a configuration with the given
// number of models.
func newSizedFollower(t testing.TB, models int) *follower {
	t.Helper()
	n := &Node{epoch: time.Unix(1_000_000, 0)}
	n.options = Options{
		Core: fleet.Config{
			Self: fleet.NodeEntry{ID: "node-0000", Machine: "machine-0000", Address: "127.0.0.1:1", Zone: "zone-0", Capacity: 0.2},
			Zone: "zone-0", Dispatching: true,
		},
		Codec: platform.Codec{}, Log: eventlog.New(io.Discard, eventlog.Options{}),
	}
	n.options.Feed.MaxChangeDelay = 5 * time.Second
	n.options = n.options.withDefaults()
	n.startTime = n.options.Now()
	n.becameReady = make(chan struct{})
	// The store is never called; the test supplies its content.
	n.context, n.cancel = context.WithCancel(t.Context())
	n.cancel()
	n.options.Store = platform.NewStoreClient("127.0.0.1:1", time.Second)
	n.metrics = newMetrics(prometheus.NewRegistry(), n)
	transport, err := wire.NewTransport("127.0.0.1:0", slog.New(slog.DiscardHandler), func(wire.Message) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = transport.Close(t.Context()) })
	n.transport = transport
	n.core = fleet.New(n.options.Core, 1)
	n.timer = time.AfterFunc(time.Hour, func() {})
	t.Cleanup(func() { n.timer.Stop() })
	f := newFollower(n)
	f.applyConfiguration(&wire.StoreChange{Key: platform.KeyConfiguration, Value: sizedConfiguration(t, models), Revision: 1})
	return f
}

// sizedConfiguration returns a configuration with the given number of models.
func sizedConfiguration(t testing.TB, models int) []byte {
	t.Helper()
	engine := &platform.EngineDocument{Slots: 12, CacheTokens: 58_000, WeightsMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 2800}
	for i := range models {
		engine.Models = append(engine.Models, platform.ModelDocument{Name: fmt.Sprintf("m%d", i), WeightsMB: 72_700, LoadS: 6.9, DiskS: 1.7, WarmS: 1.3})
	}
	data, err := json.Marshal(platform.ConfigurationDocument{
		Version: 1,
		Routes: []platform.RouteDocument{{
			Name: "stream", Host: "h", Prefix: "/stream/", Kind: "streaming", TimeoutMS: 8000, ObjectiveMS: 800, Priority: 1, Service: "engine", Attempts: 2, Resumable: true,
		}},
		Services: []platform.ServiceDocument{{Name: "engine", HealthPath: "/healthz", MaxConnections: 100, Engine: engine}},
		Limits:   platform.LimitsDocument{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderMS: 3000, IdleMS: 15000},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// nodeChange returns the change that adds a node's record.
func nodeChange(number int, revision keyvalue.Revision) wire.StoreChange {
	entry := fleet.NodeEntry{
		ID: cluster.NodeID(fmt.Sprintf("node-%04d", number)), Machine: fmt.Sprintf("machine-%04d", number),
		Zone: cluster.ZoneID(fmt.Sprintf("zone-%d", number%fleetZones)), Capacity: 0.2,
	}
	if number%20 == 0 {
		entry.Capacity = 0.8
	}
	return wire.StoreChange{Key: fleet.KeyNodes + string(entry.ID), Value: entry.Encode(), Revision: revision}
}

// workerChange returns the entry of an engine that holds one of the models.
func workerChange(t testing.TB, number, models int, revision keyvalue.Revision) wire.StoreChange {
	t.Helper()
	document := platform.WorkerDocument{
		Service: "engine", Address: fmt.Sprintf("10.%d.%d.1:80", number/250, number%250), Zone: fmt.Sprintf("zone-%d", number%fleetZones),
		Version: "1.0", Slots: 12, State: "ready", Models: []platform.HeldModelDocument{{Name: fmt.Sprintf("m%d", number%models)}}, Sequence: 1,
	}
	value, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return wire.StoreChange{Key: fmt.Sprintf("%sworker-%05d", platform.PrefixWorkers, number), Value: value, Revision: revision}
}

// fleetContent returns the store's content for a fleet.
func fleetContent(t testing.TB, nodes, workers, models int) []wire.StoreChange {
	var pairs []wire.StoreChange
	for i := range nodes {
		pairs = append(pairs, nodeChange(i, keyvalue.Revision(2+i)))
	}
	for i := range workers {
		pairs = append(pairs, workerChange(t, i, models, keyvalue.Revision(2+nodes+i)))
	}
	return pairs
}

// BenchmarkFirstReading measures how a node processes the full content of the store.
func BenchmarkFirstReading(b *testing.B) {
	for _, size := range []int{100, 985, 1970} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			const models = 574
			pairs := fleetContent(b, size, 10*size, models)
			for b.Loop() {
				b.StopTimer()
				f := newSizedFollower(b, models)
				b.StartTimer()
				for i := range pairs {
					f.filter.IsNews(&pairs[i])
				}
				f.replace(keyvalue.Revision(11*size+2), pairs)
			}
		})
	}
}

// BenchmarkNodeCame measures how a node processes the record of one added node.
func BenchmarkNodeCame(b *testing.B) {
	for _, size := range []int{100, 985, 1970} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			const models = 574
			f := newSizedFollower(b, models)
			f.replace(keyvalue.Revision(11*size+2), fleetContent(b, size, 10*size, models))
			number, revision := size, int64(11*size+3)
			for b.Loop() {
				change := nodeChange(number, keyvalue.Revision(revision))
				f.applyChanges(&feed.Apply{Revision: keyvalue.Revision(revision), Changes: []wire.StoreChange{change}})
				number, revision = number+1, revision+1
			}
		})
	}
}
