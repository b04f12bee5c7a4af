package passthrough

import (
	"context"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/passthrough/retained"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// finishGrace bounds the wait for the core's decision after the deadline.
const finishGrace = 400 * time.Millisecond

// exchange is one request with its answer.
type exchange struct {
	*Handler
	writer     http.ResponseWriter
	request    *http.Request
	route      *catalog.Route
	attributes Attributes
	credential credential
	// keyed is set where callers have keys.
	keyed bool
	body  []byte
	id    cluster.RequestID
	// content is the fingerprint, zero until it is asked for.
	content poison.Fingerprint
	// header holds the caller's fields that are passed on.
	header   http.Header
	work     cluster.ModelID
	arrived  time.Time
	deadline time.Time
	ticket   *relay.Ticket

	attempts int
	machine  cluster.MachineID
	// notice is what the last answer said of its machine.
	notice routing.Notice
	// lastEvent is the last whole event that went to the caller.
	lastEvent string
	// held is the last answer that a machine signed, not yet sent.
	held *answer
	// started is set once the answer's head went to the caller, delivered once all of it has.
	started, delivered bool
	first              time.Duration
	// passed is when events were last sent, pause the longest time between two
	// such moments, and pauseEnd when it ended, since the arrival.
	passed          time.Time
	pause, pauseEnd time.Duration
	gone            bool
	// stalled is set when the caller was left because it took nothing of the answer.
	stalled *verdict.Error
	// keeps counts what the node keeps for the request.
	keeps *retained.Hold
	// untaken is why a whole answer did not reach the caller.
	untaken error
}

// answer is a machine's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// run submits the request and carries out what is decided until it has ended.
func (e *exchange) run() {
	e.ticket = e.Decider.Submit(e.routingRequest())
	for {
		effect, err := e.next()
		if err != nil {
			e.lost()
			return
		}
		switch effect := effect.(type) {
		case routing.Dispatch:
			e.dispatch(effect)
		case routing.Finish:
			e.finish(effect)
			return
		}
	}
}

// left is the time until the request must have ended.
func (e *exchange) left() time.Duration { return e.deadline.Sub(e.now()) }

// next waits for the next decision. A caller who leaves is reported, and the
// decision that follows from it is waited for.
func (e *exchange) next() (routing.Effect, error) {
	if effect, decided := e.ticket.Take(); decided {
		return effect, nil
	}
	caller := e.request.Context()
	bounded, cancel := context.WithTimeout(caller, e.left()+finishGrace)
	effect, err := e.ticket.Next(bounded)
	cancel()
	if err == nil || caller.Err() == nil || e.gone {
		return effect, err
	}
	e.callerGone()
	bounded, cancel = context.WithTimeout(context.Background(), finishGrace)
	defer cancel()
	return e.ticket.Next(bounded)
}

// callerGone tells the core once that the caller left.
func (e *exchange) callerGone() {
	if !e.gone {
		e.gone = true
		e.Decider.Report(routing.CallerGone{Request: e.id})
	}
}

// lost ends a request that the core did not decide in time.
func (e *exchange) lost() {
	e.end(verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the request was not decided in time"), routing.Explanation{})
}

// dispatch runs one attempt to its end and reports it.
func (e *exchange) dispatch(decision routing.Dispatch) {
	e.attempts++
	e.machine, e.notice = decision.Machine, routing.Notice{}
	e.logSent(&decision)
	began := e.now()
	ctx, cancel := context.WithTimeout(e.request.Context(), e.deadline.Sub(began))
	e.ticket.OnInterrupt(cancel)
	current := &attempt{exchange: e, decision: decision}
	ended := current.execute(ctx)
	e.ticket.OnInterrupt(nil)
	cancel()
	e.delivered = ended.Failure == nil && e.started
	if ended.Failure != nil {
		e.logAttempt(current, &ended, e.now().Sub(began))
		if e.request.Context().Err() != nil {
			e.callerGone()
		}
	}
	if current.successor != "" {
		e.Decider.Report(routing.MachineEnded{Machine: decision.Machine})
		e.Decider.Report(routing.MachineLeaving{Machine: decision.Machine})
		e.Log.Write(eventlog.WorkerGone{Machine: decision.Machine, Cause: "worker " + string(current.successor) + " answers at its address"})
	}
	e.Decider.Report(ended)
}

func (e *exchange) logSent(decision *routing.Dispatch) {
	sent := eventlog.RequestSent{
		Request: e.id, Attempt: decision.Attempt, Machine: decision.Machine, Waited: decision.Reason.Waited,
		Compared: len(decision.Reason.Candidates), After: e.lastEvent, Held: decision.Reason.Held,
		By: decision.Reason.Forecast.Dispatcher, Read: decision.Reason.Forecast.Read, Kept: decision.Reason.Forecast.Kept,
		Speed: decision.Reason.Forecast.Speed, Foreseen: decision.Reason.Forecast.Expected, Background: decision.Reason.Forecast.Background,
		Fetch: decision.Reason.Forecast.Fetch,
	}
	if len(decision.Reason.Candidates) > 0 {
		sent.Expected, sent.InFlight = decision.Reason.Candidates[0].ExpectedWait, decision.Reason.Candidates[0].InFlight
	}
	e.Log.Write(sent)
}

func (e *exchange) logAttempt(a *attempt, ended *routing.AttemptEnded, took time.Duration) {
	line := eventlog.AttemptEnded{
		Request: e.id, Attempt: ended.Attempt, Machine: e.machine, Code: string(ended.Failure.Code),
		Verdict: ended.Failure.Verdict.String(), Status: a.status, Took: took, Cause: ended.Failure.Reason(),
		Rest: e.notice.Rest,
	}
	if a.broken {
		line.Content = e.fingerprint().String()
	}
	e.Log.Write(line)
	e.Metrics.attemptFailed(ended.Failure)
}

// finish carries out the only end of the request.
func (e *exchange) finish(finish routing.Finish) { e.end(finish.Failure, finish.Reason) }

// end answers the caller: with the held answer, with a refusal, or by breaking
// off an answer that has begun.
func (e *exchange) end(failure *verdict.Error, reason routing.Explanation) {
	if failure != nil && e.stalled != nil {
		// To the core, the caller left.
		failure = e.stalled
	}
	if e.delivered {
		// The deadline may pass in the core between an answer's last byte and the word of that:
		// to break the connection then would take from the caller what it has as a whole.
		failure = nil
	}
	status := 0
	begun := e.started
	switch {
	case failure == nil && e.started:
		status = http.StatusOK
	case failure == nil && e.held != nil:
		status = e.sendHeld()
	case e.started || e.gone:
	case failure != nil && failure.Verdict != verdict.NotRun && e.held != nil:
		status = e.sendHeld()
	case failure != nil:
		status = e.refuse(e.writer, failure)
	}
	e.logEnd(failure, &reason, status)
	if failure != nil && begun {
		// The caller must not take a part of an answer for the whole.
		panic(http.ErrAbortHandler)
	}
}

func (e *exchange) logEnd(failure *verdict.Error, reason *routing.Explanation, status int) {
	line := eventlog.RequestEnded{
		Request: e.id, Status: status, Code: "served", Machine: e.machine, Attempts: e.attempts,
		Took: e.now().Sub(e.arrived), Waited: reason.Waited, First: e.first, Pause: e.pause, PauseEnd: e.pauseEnd,
		Verdict: verdict.Ran.String(), Limit: e.notice.PerSecond, Leaving: e.notice.Leaving,
	}
	if failure != nil {
		line.Code, line.Verdict, line.Back = string(failure.Code), failure.Verdict.String(), failure.RetryAfter
		line.Setting, line.Cause = reason.Setting, failure.Message
	}
	if e.untaken != nil {
		line.Untaken = e.untaken.Error()
	}
	e.Log.Write(line)
	e.Metrics.ended(line.Code, line.Took, line.Waited, line.First)
}

// sendHeld sends a machine's whole answer.
func (e *exchange) sendHeld() int {
	e.writeHead(e.held.status, e.held.header, int64(len(e.held.body)))
	_, e.untaken = e.writer.Write(e.held.body)
	return e.held.status
}

// writeHead sends a machine's head, with the body's length unless it is negative.
func (e *exchange) writeHead(status int, header http.Header, length int64) {
	out := e.writer.Header()
	copyEndToEnd(out, header)
	out.Del("Content-Length")
	if length >= 0 && e.request.Method != http.MethodHead {
		out.Set("Content-Length", formatInt(length))
	}
	if _, stated := out["Content-Type"]; !stated {
		out["Content-Type"] = nil
	}
	e.first = e.now().Sub(e.arrived)
	e.writer.WriteHeader(status)
	e.started = true
}
