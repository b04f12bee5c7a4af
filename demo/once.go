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

// Parameters of the bounded load: requests per second, duration, shares of all
// requests, and the limits of a request. The load mixes cold and warm models,
// streams, canceled requests and requests that are not repeatable.
const (
	onceRate               = 60
	onceDuration           = 10 * time.Second
	onceStreamShare        = 0.5
	onceCancelShare        = 0.05
	onceNotRepeatableShare = 0.25
	onceMaxTokens          = 24
	onceDeadline           = 15 * time.Second
	// watchInterval is the time between two counts of the engines' replicas.
	watchInterval = 20 * time.Millisecond
)

// maxReplicas is the max_replicas of every model in the demo's settings.
const maxReplicas = 3

// Outcome is the result of RunOnce.
type Outcome struct {
	Load load.Report
	// MostReplicas is the largest number of replicas that one model had at once.
	MostReplicas int
	// Overcommitted counts loads that exceeded a machine's memory.
	Overcommitted int
	// IdleSeconds and BusySeconds are accelerator seconds of loaded replicas.
	IdleSeconds, BusySeconds float64
	// Loads counts the model loads on all engines.
	Loads int
	// Broken describes the broken promises; it is empty when all held.
	Broken []string
}

// RunOnce sends the bounded load and checks the promises that callers and
// engines can observe.
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
		Broken: report.Violations(),
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
		StreamShare: onceStreamShare, CancelShare: onceCancelShare, NotRepeatableShare: onceNotRepeatableShare,
		Seed: 1, Runs: d.platform.countRuns, Progress: progress,
	}
}

// countRuns returns for each prompt seed how often the prompt ran on any engine.
func (p *platform) countRuns(_ context.Context, seeds []uint64) ([]int, error) {
	return p.ledger.Count(seeds), nil
}

// watchReplicas counts the replicas of every model on all engines at each
// watchInterval. The returned function ends the watch and returns the largest
// number of replicas that one model had at once.
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

// mostReplicas returns the largest number of replicas of one model, in any state.
// Engines are read one after the other, so one pass can count both a replica that
// is then unloaded and its successor that is loaded on a later engine. To exclude
// that, the engines are read in both orders and the smaller count is used.
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
