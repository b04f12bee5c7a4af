package shell_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/node/shell"
	"github.com/valveslip/valveslip/wire"
)

// stepTimeCore records the time of each routing event.
type stepTimeCore struct{ steps chan time.Time }

// Step implements shell.Stepper.
func (c *stepTimeCore) Step(now time.Time, event node.Event) []node.Effect {
	if _, isRoutingInput := event.(node.RoutingInput); isRoutingInput {
		c.steps <- now
	}
	return nil
}

// TestCoreTimeAdvancesDuringSystemSuspension guards against leases held beyond their
// expiry after a suspension of the machine: the core's time must advance meanwhile
// although the monotonic clock stops.
func TestCoreTimeAdvancesDuringSystemSuspension(t *testing.T) {
	const suspension = time.Hour
	began := time.Now()
	var elapsed atomic.Int64
	core := &stepTimeCore{steps: make(chan time.Time, 1)}
	running, err := shell.Start(context.Background(), node.Config{
		Zone: zone, CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", DrainTime: time.Second,
	}, shell.Options{
		Now:          func() time.Time { return began.Add(time.Duration(elapsed.Load())) },
		NewCore:      func(cluster.Node) shell.Stepper { return core },
		NewTransport: func(string, func(wire.Message)) (shell.Transport, error) { return noTransport{}, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Kill)
	for _, want := range []time.Duration{0, suspension} {
		elapsed.Store(int64(want))
		running.Step(node.RoutingInput{})
		if got := (<-core.steps).Sub(began); got != want {
			t.Errorf("core time advanced by %s, clock by %s", got, want)
		}
	}
}
