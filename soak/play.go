package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/proxy"
)

const (
	// undisturbedTime is the time after the last fault in which the checks that depend on time
	// can evaluate all nodes.
	undisturbedTime = 9 * time.Second
	// drainReplacementDelay is the time from a worker's announcement that it leaves to the
	// start of its replacement.
	drainReplacementDelay = time.Second
	// announcedLimit is the rate limit in requests per second that workers announce after the
	// faults.
	announcedLimit = 4
	// finalLimitTime is how long all plain workers announce the limit at the end. The check
	// applies from 3 s after the first announcement on.
	finalLimitTime = 5 * time.Second
	// finalCutTime is how long every second node is cut off from all workers at the end.
	finalCutTime = 8 * time.Second
	// judgementInterval is the time between two checks whether all promises can be judged.
	judgementInterval = 2 * time.Second
	// shedDelay is when, after the faults, plain workers reject all requests. They do so for
	// shedTime and ask for a back-off of the same length.
	shedDelay = 5 * time.Second
	shedTime  = 1500 * time.Millisecond
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
	active.Go(func() { r.sendRepeatedly(calling, poisonInterval, readsWith(check.PoisonPrefix)) })
	active.Go(func() { r.sendRepeatedly(calling, popularInterval, readsWith(check.PopularPrefix)) })
	if r.options.Schedule.HarmfulPart {
		active.Go(func() { r.sendRepeatedly(calling, harmfulPartInterval, streamsWith(check.HarmfulPartPrefix)) })
		active.Go(func() { r.sendRepeatedly(calling, besidePartInterval, streamsWith(check.BesidePartPrefix)) })
	}
	active.Go(func() { r.rotateKeys(calling) })
	if !r.options.Schedule.Keyless {
		active.Go(func() { r.sendKeyed(calling, "keyed-", keyedInterval, r.configuration.key) })
		active.Go(func() {
			r.sendKeyed(calling, check.FloodPrefix, floodInterval, func(*rand.Rand) string { return floodKey })
		})
	}
	r.injectAll()
	r.pendingUndos.Wait()
	undisturbedUntil := time.Now().Add(undisturbedTime)
	r.exerciseUndisturbed()
	r.recoverInTime()
	r.sleepUntil(undisturbedUntil)
	r.announceFinalLimits()
	r.goOnUntil(r.judged)
	stop()
	active.Wait()
	r.poisonOver.Store(true)
	r.restarts.Wait()
}

// recoverInTime waits for the recovery until Options.Duration has passed, so that the limits announced
// after it last long enough to be judged.
func (r *run) recoverInTime() {
	ctx, cancel := context.WithDeadline(r.ctx, r.recorder.began.Add(r.options.Duration))
	defer cancel()
	r.recover(ctx)
}

// judged reports whether each promise that the run tested can be judged, or one is broken: what follows must not make
// up for it.
func (r *run) judged() bool {
	findings := check.Judge(r.gather())
	return len(check.NotJudged(findings)) == 0 || len(check.Breaches(findings)) > 0
}

// goOnUntil goes on calling, with nothing disturbed, until enough is reported, for Options.AwaitJudgement at most.
func (r *run) goOnUntil(enough func() bool) {
	end := time.Now().Add(r.options.AwaitJudgement)
	for time.Now().Before(end) && !enough() {
		if !r.sleepUntil(time.Now().Add(judgementInterval)) {
			return
		}
	}
}

// exerciseUndisturbed changes the configuration while nothing is disturbed, makes one worker
// leave and another announce a limit, and lets plain workers shed load. This way the checks
// have observations that no fault excuses.
func (r *run) exerciseUndisturbed() {
	r.configuration.add()
	r.workers[0].drain(drainReplacementDelay)
	if len(r.workers) < 4 || r.options.Schedule.Earlier != nil || r.options.From != "" {
		return
	}
	r.cutOffEverySecond()
	r.workers[2].announceLimit(announcedLimit, undisturbedTime)
	r.undoAfter(shedDelay, func() {
		for _, plain := range []*workerSlot{r.workers[1], r.workers[3]} {
			plain.shedRequests(shedTime, shedTime)
		}
	})
}

// cutOffEverySecond cuts every second node off from all workers, in the way that the seed selects.
func (r *run) cutOffEverySecond() {
	kinds := []proxy.Partition{proxy.PartitionHang, proxy.PartitionSilence, proxy.PartitionReset, proxy.PartitionRefuse}
	kind := kinds[r.options.Schedule.Seed%uint64(len(kinds))]
	for node := 1; node < len(r.nodes); node += 2 {
		r.cutOff(node, kind, finalCutTime)
	}
}

// announceFinalLimits makes all plain workers announce a limit, after everything that limits
// would interfere with. If only one worker is limited, nodes may send its requests to others,
// and the limit is not tested.
func (r *run) announceFinalLimits() {
	if len(r.workers) < 4 || r.options.Schedule.Earlier != nil || r.options.From != "" {
		return
	}
	for i := 1; i < len(r.workers); i += 2 {
		r.workers[i].announceLimit(announcedLimit, finalLimitTime)
	}
	r.sleepUntil(time.Now().Add(finalLimitTime))
}

// injectAll injects the faults at their scheduled times.
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

// sleepUntil waits until the given time and returns false if the run ends first.
func (r *run) sleepUntil(at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// undoAfter undoes a fault after the given time, or at the end of the run.
func (r *run) undoAfter(after time.Duration, undo func()) {
	end := time.Now().Add(after)
	r.pendingUndos.Go(func() {
		r.sleepUntil(end)
		undo()
	})
}

// tick calls Options.Tick once a second until the context ends.
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
