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

// decisionGrace bounds the wait for the router's decision after the deadline of the request.
const decisionGrace = 400 * time.Millisecond

// exchange is one request and its answer.
type exchange struct {
	*Handler
	writer     http.ResponseWriter
	request    *http.Request
	route      *catalog.Route
	attributes Attributes
	credential credential
	// keyed is true if the configuration requires keys of callers.
	keyed bool
	body  []byte
	id    cluster.RequestID
	// content is the fingerprint of the request, zero until it is computed.
	content poison.Fingerprint
	// header holds the caller's header fields that are forwarded.
	header   http.Header
	model    cluster.ModelID
	arrived  time.Time
	deadline time.Time
	ticket   *relay.Ticket

	attempts int
	machine  cluster.MachineID
	// notice is what the machine stated about itself in the last answer.
	notice routing.Notice
	// lastEventID identifies the last complete event that was sent to the caller.
	lastEventID string
	// buffered is the last complete answer of a machine that is not yet sent, nil without one.
	buffered *machineAnswer
	// headSent is true once the head of the answer was sent to the caller, delivered once the
	// whole answer was.
	headSent, delivered bool
	timeToFirstByte     time.Duration
	// eventsSentAt is when events were last sent. longestPause is the longest time between two
	// such sends, and longestPauseEnd is when it ended, counted from the arrival.
	eventsSentAt                  time.Time
	longestPause, longestPauseEnd time.Duration
	callerLeft                    bool
	// stallFailure is set if the caller was disconnected because it stopped reading the answer.
	stallFailure *verdict.Error
	// reserved counts the bytes that the node holds for the request.
	reserved *retained.Hold
	// callerWriteError is why a complete answer could not be written to the caller.
	callerWriteError error
}

// machineAnswer is a complete answer of a machine.
type machineAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run submits the request to the router and carries out its decisions until the request has ended.
func (e *exchange) run() {
	e.ticket = e.Decider.Submit(e.routingRequest())
	for {
		effect, err := e.nextDecision()
		if err != nil {
			e.endUndecided()
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

// remaining returns the time until the deadline of the request.
func (e *exchange) remaining() time.Duration { return e.deadline.Sub(e.now()) }

// nextDecision waits for the next decision. If the caller leaves, it reports that and waits for
// the decision that follows.
func (e *exchange) nextDecision() (routing.Effect, error) {
	if effect, decided := e.ticket.Take(); decided {
		return effect, nil
	}
	caller := e.request.Context()
	bounded, cancel := context.WithTimeout(caller, e.remaining()+decisionGrace)
	effect, err := e.ticket.Next(bounded)
	cancel()
	if err == nil || caller.Err() == nil || e.callerLeft {
		return effect, err
	}
	e.reportCallerGone()
	bounded, cancel = context.WithTimeout(context.Background(), decisionGrace)
	defer cancel()
	return e.ticket.Next(bounded)
}

// reportCallerGone reports to the router, once, that the caller left.
func (e *exchange) reportCallerGone() {
	if !e.callerLeft {
		e.callerLeft = true
		e.Decider.Report(routing.CallerGone{Request: e.id})
	}
}

// endUndecided ends a request for which the router made no decision in time.
func (e *exchange) endUndecided() {
	e.end(verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the request was not decided in time"), routing.Explanation{})
}

// dispatch runs one attempt to its end and reports the outcome.
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
	e.delivered = ended.Failure == nil && e.headSent
	if ended.Failure != nil {
		e.logAttempt(current, &ended, e.now().Sub(began))
		if e.request.Context().Err() != nil {
			e.reportCallerGone()
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
		Request: e.id, Attempt: decision.Attempt, Machine: decision.Machine, Release: decision.Release, Pinned: decision.Pinned, Waited: decision.Reason.Waited,
		Compared: len(decision.Reason.Candidates), After: e.lastEventID, Held: decision.Reason.Held,
		By: decision.Reason.Forecast.Dispatcher, Read: decision.Reason.Forecast.Read, Kept: decision.Reason.Forecast.Kept,
		Speed: decision.Reason.Forecast.Speed, Foreseen: decision.Reason.Forecast.Expected, Background: decision.Reason.Forecast.Background,
		Fetch: decision.Reason.Forecast.Fetch, Probe: decision.Probe,
	}
	if len(decision.Reason.Candidates) > 0 {
		sent.Expected, sent.InFlight = decision.Reason.Candidates[0].ExpectedWait, decision.Reason.Candidates[0].InFlight
	}
	e.Log.Write(sent)
}

func (e *exchange) logAttempt(a *attempt, ended *routing.AttemptEnded, took time.Duration) {
	record := eventlog.AttemptEnded{
		Request: e.id, Attempt: ended.Attempt, Machine: e.machine, Code: string(ended.Failure.Code),
		Verdict: ended.Failure.Verdict.String(), Status: a.status, Took: took, Cause: ended.Failure.Reason(),
		Rest: e.notice.Rest, Doubted: ended.PathDoubted, Named: a.origin.named, Carried: a.origin.carried, Resent: a.origin.resent,
	}
	if a.connectionBroken {
		record.Content = e.fingerprint().String()
	}
	e.Log.Write(record)
	e.Metrics.attemptFailed(ended.Failure)
}

// finish ends the request as the router decided.
func (e *exchange) finish(finish routing.Finish) { e.end(finish.Failure, finish.Reason) }

// end answers the caller: with the buffered answer, with a refusal, or by aborting an answer that
// has begun.
func (e *exchange) end(failure *verdict.Error, reason routing.Explanation) {
	if failure != nil && e.stallFailure != nil {
		// The router only knows that the caller left.
		failure = e.stallFailure
	}
	if e.delivered {
		// The deadline can pass in the router between the last byte of an answer and the report of
		// it. Aborting the connection then would take a complete answer from the caller.
		failure = nil
	}
	status := 0
	wasHeadSent := e.headSent
	switch {
	case failure == nil && e.headSent:
		status = http.StatusOK
	case failure == nil && e.buffered != nil:
		status = e.sendBuffered()
	case e.headSent || e.callerLeft:
	case failure != nil && failure.Verdict != verdict.NotRun && e.buffered != nil:
		status = e.sendBuffered()
	case failure != nil:
		status = e.refuse(e.writer, failure)
	}
	e.logEnd(failure, &reason, status)
	if failure != nil && wasHeadSent {
		// The abort keeps the caller from taking a partial answer for a complete one.
		panic(http.ErrAbortHandler)
	}
}

func (e *exchange) logEnd(failure *verdict.Error, reason *routing.Explanation, status int) {
	record := eventlog.RequestEnded{
		Request: e.id, Status: status, Code: "served", Machine: e.machine, Attempts: e.attempts,
		Took: e.now().Sub(e.arrived), Waited: reason.Waited, First: e.timeToFirstByte, Pause: e.longestPause, PauseEnd: e.longestPauseEnd,
		Verdict: verdict.Ran.String(), Limit: e.notice.PerSecond, Leaving: e.notice.Leaving,
	}
	if failure != nil {
		record.Code, record.Verdict, record.Back = string(failure.Code), failure.Verdict.String(), failure.RetryAfter
		record.Setting, record.Cause = reason.Setting, failure.Message
	}
	if e.callerWriteError != nil {
		record.Untaken = e.callerWriteError.Error()
	}
	e.Log.Write(record)
	e.Metrics.requestEnded(record.Code, record.Took, record.Waited, record.First)
}

// sendBuffered sends the buffered answer and returns its status.
func (e *exchange) sendBuffered() int {
	e.writeHead(e.buffered.status, e.buffered.header, int64(len(e.buffered.body)))
	_, e.callerWriteError = e.writer.Write(e.buffered.body)
	return e.buffered.status
}

// writeHead sends the head of a machine's answer, with the length of the body unless it is
// negative.
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
	e.timeToFirstByte = e.now().Sub(e.arrived)
	e.writer.WriteHeader(status)
	e.headSent = true
}
