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

// faultLoad is the load that runs while something fails.
func faultLoad(d *Demo, duration time.Duration) load.Config {
	config := d.onceConfig(nil)
	config.Rate, config.Duration = 40, duration
	config.CancelShare = 0
	// A handful of models, so that loads are not all that the test sees.
	config.Models = append(append([]string(nil), d.models.Assistants[:4]...), d.models.Bookings[:2]...)
	return config
}

// runUnderFault starts a demo, runs the load and calls fail in the middle of it.
func runUnderFault(t *testing.T, duration time.Duration, fail func(d *Demo)) (*Demo, load.Report) {
	t.Helper()
	running, err := Start(t.Context(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(duration/3, func() { fail(running) })
	defer timer.Stop()
	watch := running.watchReplicas()
	report, err := load.Run(t.Context(), faultLoad(running, duration))
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

// TestNodeKilled: requests on the killed node end with a broken connection or
// are never accepted; those on other nodes know nothing of it.
func TestNodeKilled(t *testing.T) {
	t.Parallel()
	running, report := runUnderFault(t, 6*time.Second, func(d *Demo) { d.nodes[0].Kill() })
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

// TestEngineKilled kills one engine mid-stream and makes another die in the
// middle of its next load: no answer is crossed, none is lost.
func TestEngineKilled(t *testing.T) {
	t.Parallel()
	running, _ := runUnderFault(t, 6*time.Second, func(d *Demo) {
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

// TestKeyValueServiceDown lets models wake while the key-value service is down
// for longer than the leases live.
func TestKeyValueServiceDown(t *testing.T) {
	t.Parallel()
	running, err := Start(t.Context(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	running.awaitAllotted(t)
	running.platform.keyValue.Inject(fault.Order{Kind: fault.KindDown})
	report, err := load.Run(t.Context(), faultLoad(running, 14*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if broken := report.BrokenPromises(); len(broken) > 0 {
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

// allotmentPolls bounds awaitAllotted: a test that waits for what never comes
// must fail, not hang.
const allotmentPolls = 1500

// awaitAllotted waits until every zone's allotment is stored.
func (d *Demo) awaitAllotted(t *testing.T) {
	t.Helper()
	var err error
	for range allotmentPolls {
		var stored int
		if stored, err = d.allotted(t.Context()); stored == zoneCount {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("no allotment was written; the last question ended by %v", err)
}

// allotted asks the key-value service how many zones' allotments it has.
func (d *Demo) allotted(ctx context.Context) (int, error) {
	store := keyvalue.NewClient(d.platform.keyValueListener.URL())
	pairs, _, err := store.Range(ctx, authority.AllotmentKeyPrefix)
	return len(pairs), err
}
