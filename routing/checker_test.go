package routing

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// checker verifies a log of events and effects without access to the router's state. Its method
// observe returns the first violation.
type checker struct {
	config     Config
	snapshot   *settings.Snapshot
	started    time.Time
	draining   bool
	unfinished map[cluster.RequestID]*observedRequest
	ended      map[cluster.RequestID]bool
	leaving    map[cluster.MachineID]bool
	zones      map[cluster.ZoneID]*observedZone
	admitted   map[cluster.ModelID]int
	retried    map[cluster.ModelID]int
	// limits holds the turns at machines with a rate limit.
	limits map[cluster.MachineID]*observedLimit
	// restUntil is the end of the machines' rest periods.
	restUntil map[cluster.MachineID]time.Time
	// silent is the request whose machine the current event reports as silent.
	silent cluster.RequestID
}

// observedRequest is a request that has not finished.
type observedRequest struct {
	request         Request
	deadline        time.Time
	waitFrom        time.Time
	waited          time.Duration
	running         bool
	attempt         cluster.Attempt
	machine         cluster.MachineID
	countedAttempts int
	mayHaveRun      bool
	firstByteSent   bool
	cancelled       bool
	// moving is set once its attempt was cancelled in order to move to another machine.
	moving bool
}

// observedLimit is a machine with a rate limit. A granted and unused turn is valid from `from`
// until `until`.
type observedLimit struct{ from, until time.Time }

type observedZone struct {
	token        cluster.FencingToken
	sequence     uint64
	missedStatus bool
	replicas     map[[2]string]wire.ReplicaRecord
	leaving      map[cluster.MachineID]bool
}

func newChecker(config Config, started time.Time) *checker {
	return &checker{
		config: config.withDefaults(), started: started,
		unfinished: make(map[cluster.RequestID]*observedRequest), ended: make(map[cluster.RequestID]bool),
		leaving: make(map[cluster.MachineID]bool), zones: make(map[cluster.ZoneID]*observedZone),
		limits: make(map[cluster.MachineID]*observedLimit), restUntil: make(map[cluster.MachineID]time.Time),
		admitted: make(map[cluster.ModelID]int), retried: make(map[cluster.ModelID]int),
	}
}

// observe checks one step.
func (c *checker) observe(now time.Time, event Event, effects []Effect) error {
	succeeded := c.recordEvent(now, event)
	for _, effect := range effects {
		var err error
		switch effect := effect.(type) {
		case Dispatch:
			err = c.dispatch(now, effect)
		case CancelAttempt:
			err = c.cancel(effect)
		case Finish:
			err = c.finish(effect, succeeded)
		}
		if err != nil {
			return err
		}
	}
	return c.checkOpen(now)
}

// recordEvent applies an event to the checker's state and returns the request that it completes.
func (c *checker) recordEvent(now time.Time, event Event) cluster.RequestID {
	c.silent = ""
	switch event := event.(type) {
	case SettingsChanged:
		c.snapshot = event.Snapshot
	case DrainStarted:
		c.draining = true
	case MachineLeaving:
		c.leaving[event.Machine] = true
	case MachineNoticeReceived:
		if until := now.Add(event.Notice.Rest); until.After(c.restUntil[event.Machine]) {
			c.restUntil[event.Machine] = until
		}
		if event.Notice.Leaving {
			c.leaving[event.Machine] = true
		}
		if event.Notice.Limited || event.SentUnderLimit {
			c.recordLimit(event.Machine, event.Notice.Limited)
		}
	case MachineLimitReceived:
		c.recordLimit(event.Machine, event.Notice.Limited)
	case TurnDecided:
		if known := c.limits[event.Machine]; known != nil && event.Granted {
			known.from = now.Add(event.Wait)
			known.until = known.from.Add(turnValidity)
		}
	case CellStatusChanged:
		c.status(&event.Status)
	case RequestArrived:
		c.arrive(now, event.Request)
	case FirstByteSent:
		if request := c.unfinished[event.Request]; request != nil {
			request.firstByteSent = true
		}
	case AttemptSilent:
		c.silent = event.Request
	case AttemptEnded:
		return c.attemptEnded(now, event)
	}
	return ""
}

// recordLimit records that a machine states a rate limit, or none any more.
func (c *checker) recordLimit(machine cluster.MachineID, limited bool) {
	switch {
	case !limited:
		delete(c.limits, machine)
	case c.limits[machine] == nil:
		c.limits[machine] = &observedLimit{}
	}
}

// useTurn uses up a turn at a machine with a limit, and reports whether there was one.
func (c *checker) useTurn(now time.Time, machine cluster.MachineID) bool {
	known := c.limits[machine]
	if known == nil {
		return true
	}
	had := !now.Before(known.from) && now.Before(known.until)
	known.until = time.Time{}
	return had
}

func (c *checker) arrive(now time.Time, request Request) {
	if c.unfinished[request.ID] != nil {
		return
	}
	opened := &observedRequest{request: request, deadline: request.Deadline, waitFrom: now}
	if model := c.snapshot.Model(request.Model); request.Deadline.IsZero() && model != nil {
		opened.deadline = now.Add(model.Policy.Deadline)
	}
	c.unfinished[request.ID] = opened
	c.admitted[request.Model]++
}

func (c *checker) attemptEnded(now time.Time, event AttemptEnded) cluster.RequestID {
	request := c.unfinished[event.Request]
	if request == nil || !request.running || request.attempt != event.Attempt || !now.Before(request.deadline) {
		return ""
	}
	request.running, request.moving = false, false
	request.waitFrom = now
	if event.Failure == nil {
		return event.Request
	}
	if event.Failure.Verdict != verdict.NotRun {
		request.mayHaveRun = true
	} else if event.EngineFull || event.ModelMissing {
		request.countedAttempts--
	}
	return ""
}

func (c *checker) status(status *wire.CellStatus) {
	zone := c.zones[status.Zone]
	if zone == nil {
		zone = &observedZone{replicas: make(map[[2]string]wire.ReplicaRecord), leaving: make(map[cluster.MachineID]bool)}
		c.zones[status.Zone] = zone
	}
	newer := status.Token > zone.token || (status.Token == zone.token && status.Sequence > zone.sequence)
	answer := status.Full && zone.missedStatus && status.Token == zone.token && status.Sequence == zone.sequence
	if !newer && !answer {
		return
	}
	zone.missedStatus = !status.Full && (zone.missedStatus || status.Token != zone.token || status.Sequence != zone.sequence+1)
	zone.token, zone.sequence = status.Token, status.Sequence
	if status.Full {
		clear(zone.replicas)
	}
	for _, record := range status.Replicas {
		zone.replicas[[2]string{string(record.Machine), string(record.Model)}] = record
		if usable := record.State == cluster.ReplicaLoaded || record.State == cluster.ReplicaLoading; usable || record.Leaving {
			zone.leaving[record.Machine] = record.Leaving
		}
	}
}

func (c *checker) dispatch(now time.Time, effect Dispatch) error {
	request := c.unfinished[effect.Request]
	switch {
	case request == nil:
		return fmt.Errorf("%s dispatched, but it has not arrived or has finished", effect.Request)
	case request.running:
		return fmt.Errorf("%s dispatched while attempt %d runs", effect.Request, request.attempt)
	case effect.Attempt != request.attempt+1:
		return fmt.Errorf("%s attempt %d dispatched after attempt %d", effect.Request, effect.Attempt, request.attempt)
	case request.firstByteSent:
		return fmt.Errorf("%s dispatched again after its first byte", effect.Request)
	case request.mayHaveRun && !request.request.Repeatable:
		return fmt.Errorf("%s is not repeatable, may have run, and is dispatched again", effect.Request)
	case !now.Before(request.deadline):
		return fmt.Errorf("%s dispatched at its deadline", effect.Request)
	case c.leaving[effect.Machine]:
		return fmt.Errorf("%s dispatched to %s, which is leaving", effect.Request, effect.Machine)
	case !c.isLoaded(effect.Machine, effect.Model):
		return fmt.Errorf("%s dispatched to %s, which the newest status does not list", effect.Request, effect.Machine)
	case now.Before(c.restUntil[effect.Machine]):
		return fmt.Errorf("%s dispatched to %s, which is in its rest period", effect.Request, effect.Machine)
	case !c.useTurn(now, effect.Machine):
		return fmt.Errorf("%s dispatched to %s without a turn", effect.Request, effect.Machine)
	}
	request.countedAttempts++
	if allowed := c.snapshot.Model(effect.Model).Policy.RetryAttempts; request.countedAttempts > allowed {
		return fmt.Errorf("%s has %d counted attempts, allowed are %d", effect.Request, request.countedAttempts, allowed)
	}
	request.running, request.attempt, request.machine = true, effect.Attempt, effect.Machine
	request.waited += now.Sub(request.waitFrom)
	return c.checkRetryBudget(now, effect.Model, request.countedAttempts)
}

// checkRetryBudget compares the retries with the most that requests and time can have credited.
func (c *checker) checkRetryBudget(now time.Time, model cluster.ModelID, attempts int) error {
	if attempts < 2 {
		return nil
	}
	c.retried[model]++
	earned := c.config.RetryReserve + c.config.RetryRatio*float64(c.admitted[model]) +
		c.config.RetryFloor*now.Sub(c.started).Seconds()
	if float64(c.retried[model]) > earned {
		return fmt.Errorf("%d retries of %s, the budget allows at most %.1f", c.retried[model], model, earned)
	}
	return nil
}

func (c *checker) isLoaded(machine cluster.MachineID, model cluster.ModelID) bool {
	for _, zone := range c.zones {
		record, ok := zone.replicas[[2]string{string(machine), string(model)}]
		if ok && record.State == cluster.ReplicaLoaded && !zone.leaving[machine] {
			return true
		}
	}
	return false
}

func (c *checker) cancel(effect CancelAttempt) error {
	request := c.unfinished[effect.Request]
	if request == nil || !request.running || request.attempt != effect.Attempt || request.machine != effect.Machine {
		return fmt.Errorf("cancellation of %s/%d on %s, which does not run", effect.Request, effect.Attempt, effect.Machine)
	}
	if c.silent == effect.Request {
		return request.checkMove(effect)
	}
	request.running, request.mayHaveRun, request.cancelled = false, true, true
	return nil
}

// checkMove checks a cancellation that does not end the request: only a request that may run again
// is moved, once per attempt. The attempt runs until AttemptEnded.
func (o *observedRequest) checkMove(effect CancelAttempt) error {
	if !o.request.Repeatable || o.moving || o.firstByteSent && !o.request.Resumable {
		return fmt.Errorf("%s/%d is moved although it must not run again", effect.Request, effect.Attempt)
	}
	o.moving = true
	return nil
}

func (c *checker) finish(effect Finish, succeeded cluster.RequestID) error {
	request := c.unfinished[effect.Request]
	switch {
	case c.ended[effect.Request]:
		return fmt.Errorf("%s finished twice", effect.Request)
	case request == nil:
		return fmt.Errorf("%s finished, but it never arrived", effect.Request)
	case request.running:
		return fmt.Errorf("%s finished while attempt %d runs", effect.Request, request.attempt)
	case effect.Failure == nil && succeeded != effect.Request:
		return fmt.Errorf("%s finished successfully without an answer", effect.Request)
	case effect.Failure != nil && effect.Failure.Verdict == verdict.NotRun && (request.mayHaveRun || request.firstByteSent):
		return fmt.Errorf("%s is reported as not run, but may have run", effect.Request)
	case effect.Failure != nil && isRefusal(effect.Failure.Code) && effect.Failure.RetryAfter <= 0:
		return fmt.Errorf("%s refused with %s without a retry time", effect.Request, effect.Failure.Code)
	}
	delete(c.unfinished, effect.Request)
	c.ended[effect.Request] = true
	return nil
}

// isRefusal reports whether a code means that the router itself ended the request.
func isRefusal(code verdict.Code) bool {
	switch code {
	case verdict.CodeQueueFull, verdict.CodeQueueTimeout, verdict.CodeDeadlineUnmeetable, verdict.CodeNodeDraining,
		verdict.CodeConcurrencyLimit, verdict.CodeRequestRateLimit, verdict.CodeTokenRateLimit:
		return true
	}
	return false
}

// checkOpen checks that no request is kept longer than its deadline and queue time allow.
func (c *checker) checkOpen(now time.Time) error {
	for id, request := range c.unfinished {
		if !now.Before(request.deadline) {
			return fmt.Errorf("%s is still open at its deadline", id)
		}
		if request.cancelled {
			return fmt.Errorf("%s is cancelled but not finished", id)
		}
		if request.running {
			continue
		}
		if c.draining {
			return fmt.Errorf("%s waits while draining", id)
		}
		model := c.snapshot.Model(request.request.Model)
		if model == nil {
			return fmt.Errorf("%s waits for a model that does not exist", id)
		}
		if waited := request.waited + now.Sub(request.waitFrom); waited >= model.Policy.QueueTime {
			return fmt.Errorf("%s waits for %v, allowed %v", id, waited, model.Policy.QueueTime)
		}
	}
	return nil
}
