package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valveslip/valveslip/soak/check"
)

const (
	// quietTime follows the faults, so that what takes time is judged at all nodes.
	quietTime = 9 * time.Second
	// quietDrain is after how long another worker follows the one that leaves then.
	quietDrain = time.Second
	// quietLimit is what another worker says then that it takes, in requests a second.
	quietLimit = 4
	// lastLimit is for how long all plain workers say so at the end: what nodes send is judged after
	// the first 3 s of that.
	lastLimit = 5 * time.Second
	// quietShedAt is when the plain workers turn all requests away then, for quietShed, and want as
	// much rest.
	quietShedAt = 5 * time.Second
	quietShed   = 1500 * time.Millisecond
)

// play sends requests, injects the faults and waits for the recovery.
func (r *run) play() {
	calling, stop := context.WithCancel(r.ctx)
	var active sync.WaitGroup
	for _, node := range r.nodes {
		active.Go(func() { newCallers(node).run(calling) })
		active.Go(func() { node.probe(calling) })
	}
	active.Go(func() { r.tick(calling) })
	active.Go(func() { r.sendAlike(calling, check.PoisonPrefix, poisonEvery) })
	active.Go(func() { r.sendAlike(calling, check.PopularPrefix, popularEvery) })
	active.Go(func() { r.rotateKeys(calling) })
	if !r.options.Schedule.Keyless {
		active.Go(func() { r.sendKeyed(calling, "keyed-", keyedEvery, r.configuration.key) })
		active.Go(func() {
			r.sendKeyed(calling, check.FloodPrefix, floodEvery, func(*rand.Rand) string { return floodKey })
		})
	}
	r.injectAll()
	r.undone.Wait()
	quiet := time.Now().Add(quietTime)
	r.changeInQuiet()
	r.recover(r.ctx)
	r.sleepUntil(quiet)
	r.limitAtLast()
	stop()
	active.Wait()
	r.poisonOver.Store(true)
	r.restarts.Wait()
}

// changeInQuiet changes the configuration, has one worker leave, another engine name a limit and
// plain workers want rest, with nothing else in the way.
func (r *run) changeInQuiet() {
	r.configuration.add()
	r.workers[0].drain(quietDrain)
	if len(r.workers) < 4 || r.options.Schedule.Earlier != nil || r.options.From != "" {
		return
	}
	r.workers[2].limit(quietLimit, quietTime)
	r.later(quietShedAt, func() {
		for _, plain := range []*workerSlot{r.workers[1], r.workers[3]} {
			plain.shed(quietShed, quietShed)
		}
	})
}

// limitAtLast has the plain workers name a limit, once nothing else is judged that it would be in the
// way of. Nodes may find others for what one limited worker serves, so that it gets nothing; not here.
func (r *run) limitAtLast() {
	if len(r.workers) < 4 || r.options.Schedule.Earlier != nil || r.options.From != "" {
		return
	}
	for i := 1; i < len(r.workers); i += 2 {
		r.workers[i].limit(quietLimit, lastLimit)
	}
	r.sleepUntil(time.Now().Add(lastLimit))
}

// injectAll injects the faults at their times.
func (r *run) injectAll() {
	began := time.Now()
	schedule := &r.options.Schedule
	for i := range schedule.Faults {
		if !r.sleepUntil(began.Add(schedule.Faults[i].At)) {
			return
		}
		r.inject(&schedule.Faults[i])
	}
	r.sleepUntil(began.Add(schedule.Span))
}

// sleepUntil reports whether the time came before the run's end.
func (r *run) sleepUntil(at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// later ends a fault after a time.
func (r *run) later(after time.Duration, undo func()) {
	end := time.Now().Add(after)
	r.undone.Go(func() {
		r.sleepUntil(end)
		undo()
	})
}

// tick tells of the time that passes.
func (r *run) tick(ctx context.Context) {
	if r.options.Tick == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.options.Tick()
		case <-ctx.Done():
			return
		}
	}
}
