package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/experiment/load"
)

// The bounded load of one run: cold and warm models, streams, callers that
// leave and requests that must not be repeated.
const (
	onceRate          = 60
	onceDuration      = 10 * time.Second
	onceStreams       = 0.5
	onceCancels       = 0.05
	onceNotRepeatable = 0.25
	onceMaxTokens     = 24
	onceDeadline      = 15 * time.Second
	// watchInterval is how often the engines' replicas are counted meanwhile.
	watchInterval = 20 * time.Millisecond
)

// maxReplicas of every model in the demo's tree.
const maxReplicas = 3

// Outcome is what one run showed.
type Outcome struct {
	Load load.Report
	// MostReplicas of one model seen at once.
	MostReplicas int
	// Overcommitted loads, and the idle and busy accelerator time.
	Overcommitted            int
	IdleSeconds, BusySeconds float64
	Loads                    int
	// Broken promises, none when all held.
	Broken []string
}

// RunOnce sends the bounded load and checks what can be seen from outside.
func (d *Demo) RunOnce(ctx context.Context, progress io.Writer) (Outcome, error) {
	watch := d.watchReplicas()
	report, err := load.Run(ctx, d.onceConfig(progress))
	most := watch()
	if err != nil {
		return Outcome{}, eris.Wrap(err, "run the load")
	}
	counted := d.platform.counters()
	outcome := Outcome{
		Load: report, MostReplicas: most, Overcommitted: counted.Overcommitted, Loads: counted.Loads,
		IdleSeconds: counted.IdleAcceleratorSeconds, BusySeconds: counted.BusyAcceleratorSeconds,
		Broken: report.BrokenPromises(),
	}
	if most > maxReplicas {
		outcome.Broken = append(outcome.Broken, fmt.Sprintf("%d replicas of one model, %d decided", most, maxReplicas))
	}
	if counted.Overcommitted > 0 {
		outcome.Broken = append(outcome.Broken, fmt.Sprintf("%d loads overcommitted a machine's memory", counted.Overcommitted))
	}
	if report.Served == 0 {
		outcome.Broken = append(outcome.Broken, "no request was served")
	}
	return outcome, nil
}

func (d *Demo) onceConfig(progress io.Writer) load.Config {
	models := append([]string(nil), d.models.Assistants[:10]...)
	models = append(models, d.models.Bookings[:3]...)
	models = append(models, d.models.Adapters[:5]...)
	addresses := d.Addresses()
	return load.Config{
		Targets: addresses.Callers, Token: addresses.CallerToken, Models: models,
		Rate: onceRate, Duration: onceDuration, MaxTokens: onceMaxTokens, Deadline: onceDeadline,
		StreamShare: onceStreams, CancelShare: onceCancels, NotRepeatableShare: onceNotRepeatable,
		Seed: 1, Runs: d.platform.runs, Progress: progress,
	}
}

// runs tells how many times each prompt ran on any engine.
func (p *platform) runs(_ context.Context, seeds []uint64) ([]int, error) {
	return p.ledger.Count(seeds), nil
}

// watchReplicas counts the replicas of every model over all engines until the
// function it returns is called, which returns the most seen of one model.
func (d *Demo) watchReplicas() (stop func() int) {
	most := 0
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				most = max(most, d.platform.mostReplicas())
			case <-done:
				return
			}
		}
	})
	return func() int {
		close(done)
		watching.Wait()
		return most
	}
}

// mostReplicas is the largest number of replicas of one model, in any state.
// Engines are read one after the other, so an unload that is confirmed before a
// load elsewhere is never counted with it: machines are read in both orders and
// the smaller count holds.
func (p *platform) mostReplicas() int {
	forward := map[cluster.ModelID]int{}
	for i := range p.engines {
		p.countReplicas(i, forward)
	}
	backward := map[cluster.ModelID]int{}
	for i := range p.engines {
		p.countReplicas(len(p.engines)-1-i, backward)
	}
	most := 0
	for model, count := range forward {
		most = max(most, min(count, backward[model]))
	}
	return most
}

func (p *platform) countReplicas(engine int, counts map[cluster.ModelID]int) {
	inventory := p.engines[engine].Inventory()
	for _, replica := range inventory.Replicas {
		counts[replica.Model]++
	}
}
