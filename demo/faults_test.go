package demo

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/experiment/load"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/standin/fault"
)

// faultLoadConfig returns the load that runs while a fault is injected.
func faultLoadConfig(d *Demo, duration time.Duration) load.Config {
	config := d.onceConfig(nil)
	config.Rate, config.Duration = 40, duration
	config.CancelShare = 0
	// Few models, so that warm requests run as well as cold starts.
	config.Models = append(append([]string(nil), d.models.Assistants[:4]...), d.models.Bookings[:2]...)
	return config
}

// runLoadWithFault starts a demo, runs the load and calls injectFault after a
// third of its duration. It fails the test if a promise broke.
func runLoadWithFault(t *testing.T, duration time.Duration, injectFault func(d *Demo)) (*Demo, load.Report) {
	t.Helper()
	running, err := Start(t.Context(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(duration/3, func() { injectFault(running) })
	defer timer.Stop()
	watch := running.watchReplicas()
	report, err := load.Run(t.Context(), faultLoadConfig(running, duration))
	if err != nil {
		t.Fatal(err)
	}
	if most := watch(); most > maxReplicas {
		t.Errorf("%d replicas of one model at once, %d decided", most, maxReplicas)
	}
	if counted := running.platform.counters(); counted.Overcommitted > 0 {
		t.Errorf("%d loads overcommitted a machine", counted.Overcommitted)
	}
	if report.Lost+report.Wrong+report.Doubled+report.RanThoughRefused > 0 {
		t.Errorf("lost %d, wrong %d, doubled %d, ran though refused %d: %v",
			report.Lost, report.Wrong, report.Doubled, report.RanThoughRefused, report.Examples)
	}
	if report.Served == 0 {
		t.Error("nothing was served")
	}
	return running, report
}

// Guards against a killed node that affects requests on other nodes. Only
// requests sent to the killed node may lose their connection or be unreachable.
func TestKilledNodeFailsOnlyItsOwnRequests(t *testing.T) {
	t.Parallel()
	running, report := runLoadWithFault(t, 6*time.Second, func(d *Demo) { d.nodes[0].Kill() })
	if report.Broken+report.Unreachable == 0 {
		t.Error("the killed node broke no connection: the fault did not happen under load")
	}
	if report.Broken+report.Unreachable > report.Requests/2 {
		t.Errorf("%d of %d requests met the killed node, one of three", report.Broken+report.Unreachable, report.Requests)
	}
	if err := running.Stop(); err != nil {
		t.Fatal(err)
	}
}

// Two engines are killed while they stream, and a third dies during its next
// load. Guards against answers that are lost or that reach the wrong caller.
func TestKilledEngineLosesNoAnswer(t *testing.T) {
	t.Parallel()
	running, _ := runLoadWithFault(t, 6*time.Second, func(d *Demo) {
		d.platform.engines[0].Kill()
		d.platform.engines[1].Inject(fault.Order{Kind: fault.KindDieMidLoad, Count: 1})
		d.platform.engines[4].Kill()
		time.AfterFunc(time.Second, func() {
			_ = d.platform.engines[0].Restart()
			_ = d.platform.engines[4].Restart()
		})
	})
	if err := running.Stop(); err != nil {
		t.Fatal(err)
	}
}

// The key-value service is down for longer than the lease TTL. Guards against
// controllers that stop loading models when they can't renew their leases.
func TestModelsLoadDuringKeyValueOutage(t *testing.T) {
	t.Parallel()
	running, err := Start(t.Context(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	running.awaitAllotments(t)
	running.platform.keyValue.Inject(fault.Order{Kind: fault.KindDown})
	report, err := load.Run(t.Context(), faultLoadConfig(running, 14*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if broken := report.Violations(); len(broken) > 0 {
		t.Errorf("broken without the key-value service: %v, %v", broken, report.Examples)
	}
	if loads := running.platform.counters().Loads; loads < 6 {
		t.Errorf("%d loads, want one at least for each of 6 models", loads)
	}
	running.platform.keyValue.Inject(fault.Order{Kind: fault.KindClear})
	if err := running.Stop(); err != nil {
		t.Fatal(err)
	}
}

// maxAllotmentPolls bounds awaitAllotments, so that a missing allotment fails the
// test instead of blocking it forever.
const maxAllotmentPolls = 1500

// awaitAllotments waits until the key-value service stores an allotment for
// every zone.
func (d *Demo) awaitAllotments(t *testing.T) {
	t.Helper()
	var err error
	for range maxAllotmentPolls {
		var stored int
		if stored, err = d.countAllotments(t.Context()); stored == zoneCount {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("not every zone has a stored allotment; error of the last read: %v", err)
}

// countAllotments returns how many allotments the key-value service stores, one
// per zone.
func (d *Demo) countAllotments(ctx context.Context) (int, error) {
	store := keyvalue.NewClient(d.platform.keyValueListener.URL())
	pairs, _, err := store.Range(ctx, authority.AllotmentKeyPrefix)
	return len(pairs), err
}
