package relay

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// Default values of the fields of Options.
const (
	DefaultMaxAnswerBytes = 32 << 20
	// DefaultMaxResumeAttempts and DefaultResumeWait together allow 1.3 s of back-off.
	DefaultMaxResumeAttempts = 7
	DefaultResumeWait        = 20 * time.Millisecond
	DefaultCancelTimeout     = 2 * time.Second
	DefaultEngineMargin      = 50 * time.Millisecond
	// DefaultFinishGrace is how long after the request's deadline the core's Finish
	// is still awaited.
	DefaultFinishGrace = 5 * time.Second
)

// Options configures a Runner. A zero field means its default.
type Options struct {
	// MaxAnswerBytes bounds the size of an answer that is buffered until it is complete.
	MaxAnswerBytes int
	// MaxResumeAttempts bounds the consecutive resume attempts that yield no byte.
	// ResumeWait is the back-off before the second attempt; it doubles with each
	// further one.
	MaxResumeAttempts int
	ResumeWait        time.Duration
	// CancelTimeout bounds one cancellation call to an engine.
	CancelTimeout time.Duration
	// EngineMargin is how long before the attempt's deadline the engine gives up a
	// request that it has not started, so that its report that nothing ran arrives
	// before the deadline.
	EngineMargin time.Duration
	// FinishGrace bounds the wait for a decision after the request's deadline.
	FinishGrace time.Duration
	// Now is the clock that the Decider's deadlines refer to; time.Now by default.
	Now    func() time.Time
	Logger *slog.Logger
}

// withDefaults returns the options with each zero field set to its default.
func (o Options) withDefaults() Options {
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.MaxResumeAttempts = cmp.Or(o.MaxResumeAttempts, DefaultMaxResumeAttempts)
	o.ResumeWait = cmp.Or(o.ResumeWait, DefaultResumeWait)
	o.CancelTimeout = cmp.Or(o.CancelTimeout, DefaultCancelTimeout)
	o.EngineMargin = cmp.Or(o.EngineMargin, DefaultEngineMargin)
	o.FinishGrace = cmp.Or(o.FinishGrace, DefaultFinishGrace)
	if o.Now == nil {
		o.Now = time.Now
	}
	o.Logger = cmp.Or(o.Logger, slog.New(slog.DiscardHandler))
	return o
}

// Call is a caller's request with what the engine needs to run it.
type Call struct {
	Request routing.Request
	// Path is the path of the engine's API.
	Path string
	// Body is sent to the engine unchanged.
	Body []byte
	// Header holds the header fields to pass on to the engine.
	Header http.Header
	// Stream is true when the answer is relayed as it arrives; otherwise it is
	// buffered until it is complete.
	Stream bool
	// Key is the caller's Idempotency-Key, empty for none. Package keyed evaluates
	// it; a Runner ignores it.
	Key string
}

// Sink receives the answer for the caller. An error of its methods means that the
// caller has disconnected.
type Sink interface {
	// Start sends status and header. It is called at most once, before the first Write.
	Start(status int, header http.Header) error
	// Write sends bytes of the body without delay.
	Write(data []byte) error
}

// Result describes how a request ended.
type Result struct {
	// Failure is nil when the complete answer was relayed.
	Failure *verdict.Error
	Reason  routing.Explanation
	// Started is true when the answer's header was sent to the sink. If there is also
	// a Failure, the caller has received part of an answer.
	Started bool
	// Status is the HTTP status of the answer, zero when not Started.
	Status int
	// Attempts is the number of dispatched attempts, Machine that of the last one.
	Attempts int
	Machine  cluster.MachineID
	// Tokens is the number of generated tokens received, over all attempts.
	Tokens int
	// DecisionWait is the time spent waiting for a decision while no attempt ran. EngineTime
	// is the time that attempts waited for their engines. FirstByte is the time from
	// submission to the first byte of the answer.
	DecisionWait, EngineTime, FirstByte time.Duration
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	decider Decider
	engines engine.Inference
	options Options
}

// NewRunner returns a Runner that carries out the decisions of decider by calls to
// engines.
func NewRunner(decider Decider, engines engine.Inference, options Options) *Runner {
	return &Runner{decider: decider, engines: engines, options: options.withDefaults()}
}

// Run submits the request and carries out the decisions on it until the request has
// ended. The end of ctx means that the caller has disconnected.
func (r *Runner) Run(ctx context.Context, call Call, sink Sink) Result {
	run := &run{Runner: r, call: &call, sink: sink, started: time.Now()}
	run.ticket = r.decider.Submit(call.Request)
	for {
		effect, err := run.next(ctx)
		if err != nil {
			return run.abandon(ctx)
		}
		switch effect := effect.(type) {
		case routing.Dispatch:
			run.dispatch(ctx, effect)
		case routing.CancelAttempt:
			run.cancelAttempt(effect)
		case routing.Finish:
			return run.finish(effect)
		}
	}
}

// run is the state of one request.
type run struct {
	*Runner
	call    *Call
	sink    Sink
	ticket  *Ticket
	started time.Time
	result  Result
	// completeAnswer is the buffered answer of the attempt that succeeded, nil
	// before and for streams.
	completeAnswer *bufferedAnswer
	// lastCancelled is the last attempt that was cancelled at its engine.
	lastCancelled cluster.Attempt
	// callerGoneReported is true once routing.CallerGone was reported.
	callerGoneReported bool
}

// next returns the next effect. It waits until FinishGrace after the request's
// deadline at most. If an effect is pending, no timer is created.
func (r *run) next(ctx context.Context) (routing.Effect, error) {
	if effect, ready := r.ticket.Take(); ready {
		return effect, nil
	}
	bounded, cancel := context.WithTimeout(ctx, r.timeUntil(r.call.Request.Deadline)+r.options.FinishGrace)
	defer cancel()
	began := time.Now()
	effect, err := r.ticket.Next(bounded)
	r.result.DecisionWait += time.Since(began)
	return effect, err
}

// timeUntil returns the time until a deadline of the Decider, by the Decider's clock.
func (r *Runner) timeUntil(deadline time.Time) time.Duration { return deadline.Sub(r.options.Now()) }

// abandon ends a request whose caller disconnected or that the core did not finish in
// time. It waits for the core's Finish, but not longer than FinishGrace.
func (r *run) abandon(caller context.Context) Result {
	r.reportCallerGone()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(caller), r.options.FinishGrace)
	defer cancel()
	for {
		effect, err := r.ticket.Next(bounded)
		if err != nil {
			r.result.Failure = verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the request was not decided in time")
			return r.result
		}
		switch effect := effect.(type) {
		case routing.CancelAttempt:
			r.cancelAttempt(effect)
		case routing.Finish:
			r.result.Failure = effect.Failure
			r.result.Reason = effect.Reason
			if r.result.Failure == nil && !r.result.Started {
				r.result.Failure = verdict.New(verdict.Ran, verdict.CodeCallerGone, "the caller left before the answer was sent")
			}
			return r.result
		}
	}
}

// reportCallerGone reports to the core, once, that the caller has disconnected.
func (r *run) reportCallerGone() {
	if !r.callerGoneReported {
		r.callerGoneReported = true
		r.decider.Report(routing.CallerGone{Request: r.call.Request.ID})
	}
}

// dispatch runs one attempt to its end and reports its outcome to the core.
func (r *run) dispatch(ctx context.Context, decision routing.Dispatch) {
	r.result.Attempts++
	r.result.Machine = decision.Machine
	attemptContext, cancel := context.WithTimeout(ctx, r.timeUntil(decision.Deadline))
	r.ticket.OnInterrupt(cancel)
	current := newAttempt(r, decision)
	began := time.Now()
	report := current.execute(attemptContext)
	r.result.EngineTime += time.Since(began) - current.callerWriteTime
	r.ticket.OnInterrupt(nil)
	cancel()
	r.result.Tokens += report.Tokens
	if report.Failure != nil && report.Failure.Verdict != verdict.NotRun && !current.engineDone {
		r.cancelAtEngine(current.call)
	}
	if report.Failure != nil && ctx.Err() != nil {
		r.reportCallerGone()
	}
	r.decider.Report(report)
}

// cancelAttempt carries out the core's decision to cancel an attempt.
func (r *run) cancelAttempt(order routing.CancelAttempt) {
	r.cancelAtEngine(engine.Call{Request: order.Request, Attempt: order.Attempt, Address: order.Address, Path: r.call.Path})
}

// cancelAtEngine stops an attempt at its engine, in the background. It does nothing if
// this or a later attempt has been cancelled already.
func (r *run) cancelAtEngine(call engine.Call) {
	if call.Attempt <= r.lastCancelled {
		return
	}
	r.lastCancelled = call.Attempt
	go r.Runner.cancelWithRetry(call)
}

// cancelWithRetry asks the engine to stop an attempt, at most twice.
func (r *Runner) cancelWithRetry(call engine.Call) {
	var err error
	for range 2 {
		ctx, stop := context.WithTimeout(context.Background(), r.options.CancelTimeout)
		err = r.engines.Cancel(ctx, call)
		stop()
		if err == nil {
			return
		}
	}
	r.options.Logger.Warn("cancelling the attempt at its engine failed", "request", call.Request, "attempt", call.Attempt, "engine", call.Address, "error", err)
}

// finish carries out the core's Finish. A buffered answer is sent to the caller only
// now.
func (r *run) finish(end routing.Finish) Result {
	r.result.Failure = end.Failure
	r.result.Reason = end.Reason
	if end.Failure != nil || r.completeAnswer == nil {
		return r.result
	}
	r.result.FirstByte = time.Since(r.started)
	r.result.Started = true
	r.result.Status = r.completeAnswer.status
	err := r.sink.Start(r.completeAnswer.status, r.completeAnswer.header)
	if err == nil {
		err = r.sink.Write(r.completeAnswer.body)
	}
	if err != nil {
		r.result.Failure = verdict.Wrap(err, verdict.Ran, verdict.CodeCallerGone, "the caller left while the answer was sent")
	}
	return r.result
}
