package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/internal/sleep"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// errCallerWrite marks an error that arose while writing to the caller.
var errCallerWrite = errors.New("write to the caller failed")

// bufferedAnswer is an answer that is kept in memory until it is complete.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt is one dispatch of a request to an engine.
type attempt struct {
	*run
	decision routing.Dispatch
	call     engine.Call
	// offset is the number of body bytes read so far, over all resumptions.
	offset int64
	// buffer holds the answer if it is not streamed.
	buffer  bufferedAnswer
	tracker streamTracker
	// callerWriteTime is the time spent writing to the caller.
	callerWriteTime time.Duration
	// engineDone is true when the answer was read to its end, so that there is
	// nothing to cancel at the engine.
	engineDone bool
	// tooLarge is true when the answer exceeds MaxAnswerBytes, so that its rest is
	// not worth fetching.
	tooLarge bool
}

// newAttempt returns the attempt that carries out a dispatch decision.
func newAttempt(r *run, decision routing.Dispatch) *attempt {
	return &attempt{run: r, decision: decision, call: engine.Call{
		Request: decision.Request, Attempt: decision.Attempt, Address: decision.Address,
		Path: r.call.Path, Body: r.call.Body, Priority: r.call.Request.Priority, Header: r.call.Header,
		Deadline: engineDeadline(time.Now(), r.timeUntil(decision.Deadline), r.options.EngineMargin),
	}}
}

// engineDeadline returns the deadline to send to the engine, as wall-clock time. It lies
// margin before the attempt's deadline, which is remaining from now, unless the engine
// would then have no more than margin left.
func engineDeadline(now time.Time, remaining, margin time.Duration) time.Time {
	if remaining > 2*margin {
		remaining -= margin
	}
	return now.Add(remaining)
}

// execute runs the attempt to its end. An answer that was cut off is resumed at the same
// engine by byte offset, which does not run the request again.
func (a *attempt) execute(ctx context.Context) routing.AttemptEnded {
	answer, err := a.engines.Run(ctx, a.call)
	if err == nil {
		err = a.readAnswer(answer)
	}
	if err != nil {
		err = a.resume(ctx, err)
	}
	return a.endReport(ctx, err)
}

// resume fetches the rest of an answer that was cut off. It gives up when the engine
// does not know the attempt, or after MaxResumeAttempts consecutive resumptions without
// a byte. It returns nil when the answer is complete, otherwise the cause of the last cut.
func (a *attempt) resume(ctx context.Context, err error) error {
	for attempts := 0; attempts < a.options.MaxResumeAttempts && a.resumable(ctx, err); attempts++ {
		if attempts > 0 && !sleep.For(ctx, a.options.ResumeWait<<(attempts-1)) {
			break
		}
		previousOffset := a.offset
		answer, resumeErr := a.engines.Resume(ctx, a.call, a.offset)
		if errors.Is(resumeErr, engine.ErrAttemptUnknown) {
			break
		}
		if resumeErr != nil {
			a.options.Logger.Warn("resuming the answer at its engine failed", "request", a.call.Request, "attempt", a.call.Attempt, "engine", a.call.Address, "error", resumeErr)
			continue
		}
		err = a.readAnswer(answer)
		if a.offset > previousOffset {
			attempts = -1
		}
	}
	return err
}

// resumable reports whether the rest of the answer may be available at the engine and
// is still wanted.
func (a *attempt) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || a.engineDone || a.tooLarge || errors.Is(err, errCallerWrite) {
		return false
	}
	return verdict.Of(err) != verdict.NotRun
}

// readAnswer reads an answer, or the resumed rest of one, to its end. It returns nil when
// the answer is complete.
func (a *attempt) readAnswer(answer *engine.Answer) error {
	defer answer.Body.Close()
	if !a.belongsToAttempt(answer.Header) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine's answer belongs to another request or attempt")
	}
	if a.run.call.Stream && answer.Status == http.StatusOK || a.result.Started {
		return a.streamAnswer(answer)
	}
	return a.bufferAnswer(answer)
}

// belongsToAttempt reports whether an answer's header names this request and attempt.
func (a *attempt) belongsToAttempt(header http.Header) bool {
	return header.Get(engine.HeaderRequestID) == string(a.call.Request) &&
		header.Get(engine.HeaderAttempt) == strconv.FormatUint(uint64(a.call.Attempt), 10)
}

// streamAnswer relays the body to the caller as it arrives.
func (a *attempt) streamAnswer(answer *engine.Answer) error {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		n, err := answer.Body.Read(*buffer)
		if n > 0 {
			a.offset += int64(n)
			a.tracker.count((*buffer)[:n])
			began := time.Now()
			sendErr := a.sendToCaller(answer, (*buffer)[:n])
			a.callerWriteTime += time.Since(began)
			if sendErr != nil {
				return errors.Join(errCallerWrite, sendErr)
			}
		}
		if err == io.EOF && a.tracker.completed() {
			a.engineDone = true
			return nil
		}
		if err != nil {
			return verdict.Wrap(err, verdict.Ran, verdict.CodeStreamCut, "the engine's stream was cut")
		}
	}
}

// sendToCaller writes data to the caller, preceded by status and header if it is the
// first data of the request.
func (a *attempt) sendToCaller(answer *engine.Answer, data []byte) error {
	if !a.result.Started {
		a.decider.Report(routing.FirstByteSent{Request: a.call.Request})
		a.result.Started = true
		a.result.Status = answer.Status
		a.result.FirstByte = time.Since(a.started)
		if err := a.sink.Start(answer.Status, answer.Header); err != nil {
			return err
		}
	}
	return a.sink.Write(data)
}

// bufferAnswer reads the body into memory until it is complete.
func (a *attempt) bufferAnswer(answer *engine.Answer) error {
	if a.offset == 0 {
		a.buffer.status = answer.Status
		a.buffer.header = answer.Header
	}
	limit := int64(a.options.MaxAnswerBytes) + 1 - a.offset
	body, err := appendAll(a.buffer.body, io.LimitReader(answer.Body, limit))
	a.buffer.body = body
	a.offset = int64(len(body))
	if len(body) > a.options.MaxAnswerBytes {
		a.tooLarge = true
		return verdict.New(verdict.Ran, verdict.CodeEngineFailed, "the engine's answer is larger than %d bytes", a.options.MaxAnswerBytes)
	}
	if err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CodeEngineFailed, "the engine's answer was cut")
	}
	a.engineDone = true
	tokens, valid := completionTokens(body)
	if !valid {
		return verdict.New(verdict.Ran, verdict.CodeEngineFailed, "the engine's answer is not JSON")
	}
	a.tracker.tokens = tokens
	a.completeAnswer = &a.buffer
	return nil
}

// endReport returns the report on the attempt for the core.
func (a *attempt) endReport(ctx context.Context, err error) routing.AttemptEnded {
	return routing.AttemptEnded{
		Request: a.call.Request, Attempt: a.call.Attempt,
		Failure:      a.classify(ctx, err),
		EngineFull:   errors.Is(err, engine.ErrEngineFull),
		ModelMissing: errors.Is(err, engine.ErrModelMissing),
		Tokens:       a.tracker.tokens,
	}
}

// classify returns the attempt's failure with its verdict, nil if err is nil.
func (a *attempt) classify(ctx context.Context, err error) *verdict.Error {
	if err == nil {
		return nil
	}
	if errors.Is(err, errCallerWrite) {
		return verdict.Wrap(err, verdict.Ran, verdict.CodeCallerGone, "the caller left while the answer was sent")
	}
	var classified *verdict.Error
	if !errors.As(err, &classified) {
		classified = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine call failed")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(err, classified.Verdict, verdict.CodeDeadlineExceeded, "the deadline passed while the engine ran the request")
	}
	return classified
}
