package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/experiment/load"
	"github.com/valveslip/valveslip/internal/sleep"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/node/shell"
	"github.com/valveslip/valveslip/settings"
)

const (
	// rollingRate is the load in requests per second.
	rollingRate     = 40
	rollingDuration = 15 * time.Second
	// rollingPause is the time before each node's restart.
	rollingPause = 2 * time.Second
	// sampleInterval is the time between two reads of the nodes' revisions.
	sampleInterval = 5 * time.Millisecond
)

// RestartOutcome is the result of RollingRestart.
type RestartOutcome struct {
	Load load.Report
	// Drains holds the time that each node took to stop; Starts the time from
	// its new start until it had settings in force.
	Drains, Starts []time.Duration
	// SteppedBack counts the samples in which a node had an older revision than
	// in the sample before, including samples across its restart.
	SteppedBack int
	// Revisions counts the edits that were committed during the restarts.
	Revisions int
	// Broken describes the broken promises; it is empty when all held.
	Broken []string
}

// RollingRestart restarts the nodes one after the other under load and commits
// an edit before each restart. Callers that a draining node refuses retry on
// another node. Restarted nodes keep their addresses.
func (d *Demo) RollingRestart(ctx context.Context, logger *slog.Logger, progress io.Writer) (RestartOutcome, error) {
	config := d.onceConfig(progress)
	config.Rate, config.Duration, config.CancelShare, config.RetryOnOtherTarget = rollingRate, rollingDuration, 0, true
	var outcome RestartOutcome
	watch := newRevisionWatch(d.nodes)
	type ended struct {
		report load.Report
		err    error
	}
	loadResults := make(chan ended, 1)
	go func() {
		report, err := load.Run(ctx, config)
		loadResults <- ended{report, err}
	}()
	restartErr := d.restartAll(ctx, logger, watch, &outcome)
	result := <-loadResults
	outcome.Load, outcome.SteppedBack = result.report, watch.stop()
	if restartErr != nil {
		return outcome, restartErr
	}
	outcome.listBroken()
	return outcome, eris.Wrap(result.err, "run the load")
}

// listBroken sets Broken to the promises that the restart broke.
func (o *RestartOutcome) listBroken() {
	o.Broken = o.Load.Violations()
	unserved := o.Load.Requests - o.Load.Served
	if unserved > 0 {
		o.Broken = append(o.Broken, fmt.Sprintf("%d of %d requests were not served: refused %v, failed %v, unreachable %d",
			unserved, o.Load.Requests, o.Load.Refused, o.Load.Failed, o.Load.Unreachable))
	}
	if o.SteppedBack > 0 {
		o.Broken = append(o.Broken, fmt.Sprintf("a configuration stepped back %d times", o.SteppedBack))
	}
}

// restartAll commits an edit and restarts a node, for each node in turn.
func (d *Demo) restartAll(ctx context.Context, logger *slog.Logger, watch *revisionWatch, outcome *RestartOutcome) error {
	for i := range d.nodes {
		if !sleep.For(ctx, rollingPause) {
			return ctx.Err()
		}
		if err := d.commitEdit(ctx, i); err != nil {
			return err
		}
		outcome.Revisions++
		began := time.Now()
		if err := d.nodes[i].Stop(); err != nil {
			return eris.Wrapf(err, "stop node %d", i)
		}
		outcome.Drains = append(outcome.Drains, time.Since(began))
		began = time.Now()
		if err := d.restart(ctx, logger, i); err != nil {
			return err
		}
		watch.nodes[i].Store(d.nodes[i])
		outcome.Starts = append(outcome.Starts, time.Since(began))
	}
	return nil
}

// restart starts a stopped node at its previous addresses.
func (d *Demo) restart(ctx context.Context, logger *slog.Logger, index int) error {
	previous := d.nodes[index].Self()
	var seeds []string
	for i, other := range d.nodes {
		if i != index {
			seeds = append(seeds, other.Self().PeerAddress)
		}
	}
	started, err := d.startNodeAt(logger, index, seeds, previous)
	if err != nil {
		return eris.Wrapf(err, "restart node %d", index)
	}
	d.nodes[index] = started
	return d.awaitReady(ctx)
}

// commitEdit commits a new keep_alive in the name of an operator.
func (d *Demo) commitEdit(ctx context.Context, number int) error {
	store := settings.NewStore(keyvalue.NewClient(d.platform.keyValueListener.URL()))
	_, stamp, err := store.Load(ctx)
	if err != nil {
		return eris.Wrap(err, "read the settings tree")
	}
	_, err = store.Commit(ctx, settings.Edit{
		ID: fmt.Sprintf("rolling-%d", number), Author: "operator", BaseRevision: stamp.Revision, At: time.Now(),
		Changes: []settings.Change{{Path: "/dental", Set: map[string]settings.Value{
			"keep_alive": settings.Value(fmt.Sprintf(`"%ds"`, 20+number)),
		}}},
	})
	return eris.Wrap(err, "commit the edit of keep_alive")
}

// revisionWatch samples the revisions of the nodes' settings and counts those
// that are older than the one before.
type revisionWatch struct {
	nodes       []atomic.Pointer[shell.Node]
	regressions int
	done        chan struct{}
	sampler     sync.WaitGroup
}

func newRevisionWatch(nodes []*shell.Node) *revisionWatch {
	watch := &revisionWatch{nodes: make([]atomic.Pointer[shell.Node], len(nodes)), done: make(chan struct{})}
	for i, started := range nodes {
		watch.nodes[i].Store(started)
	}
	watch.sampler.Go(watch.sample)
	return watch
}

func (w *revisionWatch) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	seen := make([]int64, len(w.nodes))
	for {
		select {
		case <-ticker.C:
		case <-w.done:
			return
		}
		for i := range w.nodes {
			snapshot := w.nodes[i].Load().Settings()
			if snapshot == nil {
				continue
			}
			if snapshot.Stamp.Revision < seen[i] {
				w.regressions++
			}
			seen[i] = snapshot.Stamp.Revision
		}
	}
}

// stop ends the sampling and returns how often a node had an older revision than
// in the sample before.
func (w *revisionWatch) stop() int {
	close(w.done)
	w.sampler.Wait()
	return w.regressions
}
