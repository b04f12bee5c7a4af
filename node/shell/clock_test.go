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

// steppedCore notes the time of each caller's event.
type steppedCore struct{ steps chan time.Time }

// Step implements shell.Stepper.
func (c *steppedCore) Step(now time.Time, event node.Event) []node.Effect {
	if _, asked := event.(node.RoutingInput); asked {
		c.steps <- now
	}
	return nil
}

// TestSuspensionCountsForTheCore: the core's time goes on while the machine is suspended,
// although the steady clock stands still, so that no lease is held beyond its end.
func TestSuspensionCountsForTheCore(t *testing.T) {
	const suspension = time.Hour
	began := time.Now()
	var elapsed atomic.Int64
	core := &steppedCore{steps: make(chan time.Time, 1)}
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
			t.Errorf("%s passed for the core, %s by the clock", got, want)
		}
	}
}
