package routing

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// checker follows a log of events and effects and knows nothing of the core's
// inside. Its observe returns the first broken promise.
type checker struct {
	config   Config
	snapshot *settings.Snapshot
	started  time.Time
	draining bool
	open     map[cluster.RequestID]*observed
	ended    map[cluster.RequestID]bool
	leaving  map[cluster.MachineID]bool
	zones    map[cluster.ZoneID]*observedZone
	admitted map[cluster.ModelID]int
	retried  map[cluster.ModelID]int
	// limits are what is known of machines that named a limit, and of turns there.
	limits map[cluster.MachineID]*observedLimit
	// rests is until when machines want nothing.
	rests map[cluster.MachineID]time.Time
	// silent is the request whose machine the present event calls silent.
	silent cluster.RequestID
}

// observed is a request that has not finished.
type observed struct {
	request   Request
	deadline  time.Time
	waitFrom  time.Time
	waited    time.Duration
	running   bool
	attempt   cluster.Attempt
	machine   cluster.MachineID
	tries     int
	mayRun    bool
	firstByte bool
	cancelled bool
	// moving is set once its attempt was cancelled for another to follow.
	moving bool
}

// observedLimit is a machine with a limit. A turn that was granted and not used holds from a time
// until another.
type observedLimit struct{ from, until time.Time }

type observedZone struct {
	token    cluster.FencingToken
	sequence uint64
	gap      bool
	replicas map[[2]string]wire.ReplicaRecord
	leaving  map[cluster.MachineID]bool
}

func newChecker(config Config, started time.Time) *checker {
	return &checker{
		config: config.withDefaults(), started: started,
		open: make(map[cluster.RequestID]*observed), ended: make(map[cluster.RequestID]bool),
		leaving: make(map[cluster.MachineID]bool), zones: make(map[cluster.ZoneID]*observedZone),
		limits: make(map[cluster.MachineID]*observedLimit), rests: make(map[cluster.MachineID]time.Time),
		admitted: make(map[cluster.ModelID]int), retried: make(map[cluster.ModelID]int),
	}
}

// observe checks one step.
func (c *checker) observe(now time.Time, event Event, effects []Effect) error {
	succeeded := c.before(now, event)
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
	return c.after(now)
}

// before notes what the event says and returns the request that it completes.
func (c *checker) before(now time.Time, event Event) cluster.RequestID {
	c.silent = ""
	switch event := event.(type) {
	case SettingsChanged:
		c.snapshot = event.Snapshot
	case DrainStarted:
		c.draining = true
	case MachineLeaving:
		c.leaving[event.Machine] = true
	case MachineHeard:
		if until := now.Add(event.Notice.Rest); until.After(c.rests[event.Machine]) {
			c.rests[event.Machine] = until
		}
		if event.Notice.Leaving {
			c.leaving[event.Machine] = true
		}
		if event.Notice.Limited || event.SentUnderLimit {
			c.limit(event.Machine, event.Notice.Limited)
		}
	case MachineLimitTold:
		c.limit(event.Machine, event.Notice.Limited)
	case TurnDecided:
		if known := c.limits[event.Machine]; known != nil && event.Granted {
			known.from = now.Add(event.Wait)
			known.until = known.from.Add(turnLasts)
		}
	case CellStatusChanged:
		c.status(&event.Status)
	case RequestArrived:
		c.arrive(now, event.Request)
	case FirstByteSent:
		if request := c.open[event.Request]; request != nil {
			request.firstByte = true
		}
	case AttemptSilent:
		c.silent = event.Request
	case AttemptEnded:
		return c.attemptEnded(now, event)
	}
	return ""
}

// limit notes that a machine names a limit, or no longer does. One that was named before any
// status did is not known to the core.
func (c *checker) limit(machine cluster.MachineID, limited bool) {
	switch {
	case !limited:
		delete(c.limits, machine)
	case c.limits[machine] == nil:
		c.limits[machine] = &observedLimit{}
	}
}

// turn uses a turn at a machine with a limit, and reports whether there was one.
func (c *checker) turn(now time.Time, machine cluster.MachineID) bool {
	known := c.limits[machine]
	if known == nil {
		return true
	}
	had := !now.Before(known.from) && now.Before(known.until)
	known.until = time.Time{}
	return had
}

func (c *checker) arrive(now time.Time, request Request) {
	if c.open[request.ID] != nil {
		return
	}
	opened := &observed{request: request, deadline: request.Deadline, waitFrom: now}
	if model := c.snapshot.Model(request.Model); request.Deadline.IsZero() && model != nil {
		opened.deadline = now.Add(model.Policy.Deadline)
	}
	c.open[request.ID] = opened
	c.admitted[request.Model]++
}

func (c *checker) attemptEnded(now time.Time, event AttemptEnded) cluster.RequestID {
	request := c.open[event.Request]
	if request == nil || !request.running || request.attempt != event.Attempt || !now.Before(request.deadline) {
		return ""
	}
	request.running, request.moving = false, false
	request.waitFrom = now
	if event.Failure == nil {
		return event.Request
	}
	if event.Failure.Verdict != verdict.NotRun {
		request.mayRun = true
	} else if event.EngineFull || event.ModelMissing {
		request.tries--
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
	answer := status.Full && zone.gap && status.Token == zone.token && status.Sequence == zone.sequence
	if !newer && !answer {
		return
	}
	zone.gap = !status.Full && (zone.gap || status.Token != zone.token || status.Sequence != zone.sequence+1)
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
	request := c.open[effect.Request]
	switch {
	case request == nil:
		return fmt.Errorf("%s dispatched, but it is not open", effect.Request)
	case request.running:
		return fmt.Errorf("%s dispatched while attempt %d runs", effect.Request, request.attempt)
	case effect.Attempt != request.attempt+1:
		return fmt.Errorf("%s attempt %d follows %d", effect.Request, effect.Attempt, request.attempt)
	case request.firstByte:
		return fmt.Errorf("%s started anew after its first byte", effect.Request)
	case request.mayRun && !request.request.Repeatable:
		return fmt.Errorf("%s is not repeatable, may have run, and runs again", effect.Request)
	case !now.Before(request.deadline):
		return fmt.Errorf("%s dispatched at its deadline", effect.Request)
	case c.leaving[effect.Machine]:
		return fmt.Errorf("%s dispatched to %s, which leaves", effect.Request, effect.Machine)
	case !c.listed(effect.Machine, effect.Model):
		return fmt.Errorf("%s dispatched to %s, which no newest status lists", effect.Request, effect.Machine)
	case now.Before(c.rests[effect.Machine]):
		return fmt.Errorf("%s dispatched to %s, which wants rest", effect.Request, effect.Machine)
	case !c.turn(now, effect.Machine):
		return fmt.Errorf("%s dispatched to %s without a turn", effect.Request, effect.Machine)
	}
	request.tries++
	if allowed := c.snapshot.Model(effect.Model).Policy.RetryAttempts; request.tries > allowed {
		return fmt.Errorf("%s tried %d times, allowed %d", effect.Request, request.tries, allowed)
	}
	request.running, request.attempt, request.machine = true, effect.Attempt, effect.Machine
	request.waited += now.Sub(request.waitFrom)
	return c.budget(now, effect.Model, request.tries)
}

// budget checks retries against what requests and time can have earned.
func (c *checker) budget(now time.Time, model cluster.ModelID, tries int) error {
	if tries < 2 {
		return nil
	}
	c.retried[model]++
	earned := c.config.RetryReserve + c.config.RetryRatio*float64(c.admitted[model]) +
		c.config.RetryFloor*now.Sub(c.started).Seconds()
	if float64(c.retried[model]) > earned {
		return fmt.Errorf("%d retries of %s, at most %.1f earned", c.retried[model], model, earned)
	}
	return nil
}

func (c *checker) listed(machine cluster.MachineID, model cluster.ModelID) bool {
	for _, zone := range c.zones {
		record, ok := zone.replicas[[2]string{string(machine), string(model)}]
		if ok && record.State == cluster.ReplicaLoaded && !zone.leaving[machine] {
			return true
		}
	}
	return false
}

func (c *checker) cancel(effect CancelAttempt) error {
	request := c.open[effect.Request]
	if request == nil || !request.running || request.attempt != effect.Attempt || request.machine != effect.Machine {
		return fmt.Errorf("cancel of %s/%d at %s, which does not run", effect.Request, effect.Attempt, effect.Machine)
	}
	if c.silent == effect.Request {
		return request.move(effect)
	}
	request.running, request.mayRun, request.cancelled = false, true, true
	return nil
}

// move checks a cancel that is no end: only a request that may run again is moved, once an
// attempt. It runs until its shell says that it doesn't.
func (o *observed) move(effect CancelAttempt) error {
	if !o.request.Repeatable || o.moving || o.firstByte && !o.request.Resumable {
		return fmt.Errorf("%s/%d is moved though it must not run again", effect.Request, effect.Attempt)
	}
	o.moving = true
	return nil
}

func (c *checker) finish(effect Finish, succeeded cluster.RequestID) error {
	request := c.open[effect.Request]
	switch {
	case c.ended[effect.Request]:
		return fmt.Errorf("%s finished twice", effect.Request)
	case request == nil:
		return fmt.Errorf("%s finished, but it never arrived", effect.Request)
	case request.running:
		return fmt.Errorf("%s finished while attempt %d runs", effect.Request, request.attempt)
	case effect.Failure == nil && succeeded != effect.Request:
		return fmt.Errorf("%s finished well without an answer", effect.Request)
	case effect.Failure != nil && effect.Failure.Verdict == verdict.NotRun && (request.mayRun || request.firstByte):
		return fmt.Errorf("%s is said not to have run, but may have", effect.Request)
	case effect.Failure != nil && givenUp(effect.Failure.Code) && effect.Failure.RetryAfter <= 0:
		return fmt.Errorf("%s given up with %s without a time to come back", effect.Request, effect.Failure.Code)
	}
	delete(c.open, effect.Request)
	c.ended[effect.Request] = true
	return nil
}

// givenUp reports whether the core itself decided to end the request.
func givenUp(code verdict.Code) bool {
	switch code {
	case verdict.CodeQueueFull, verdict.CodeQueueTimeout, verdict.CodeDeadlineUnmeetable, verdict.CodeNodeDraining,
		verdict.CodeConcurrencyLimit, verdict.CodeRequestRateLimit, verdict.CodeTokenRateLimit:
		return true
	}
	return false
}

// after checks that nothing is held longer than it may be.
func (c *checker) after(now time.Time) error {
	for id, request := range c.open {
		if !now.Before(request.deadline) {
			return fmt.Errorf("%s is held at its deadline", id)
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
