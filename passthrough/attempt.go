package passthrough

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// maxHeld bounds an answer that is held until it is whole; a longer one is
	// sent as it comes.
	maxHeld = 1 << 20
	// maxForeign bounds an answer to another request that is read and dropped,
	// and foreignAnswers how many of them.
	maxForeign     = 256 << 10
	foreignAnswers = 3
)

// errCaller marks an error of the caller's side.
var errCaller = errors.New("the caller's side failed")

// attempt is one dispatch of a request to a machine.
type attempt struct {
	*exchange
	decision routing.Dispatch
	conn     *upstream.Conn
	watchdog *watchdog
	// event is how many bytes of a long event that isn't whole are counted.
	event  int64
	status int
	// successor is another worker that answers at the machine's address.
	successor cluster.MachineID

	unreached, answered, full, missing bool
	// withheld is set when the request must not be sent any more.
	withheld bool
	// broken is set when the machine's side ended the connection before the answer was whole.
	broken bool
	// ended is set when the machine's process is known to have ended.
	ended bool
	// whole is set when the machine's answer was read to its end, so that the
	// connection may carry another request though this one failed.
	whole bool
}

// execute runs the attempt to its end.
func (a *attempt) execute(ctx context.Context) routing.AttemptEnded {
	failure := a.try(ctx)
	ended := routing.AttemptEnded{
		Request: a.id, Attempt: a.decision.Attempt, Failure: failure,
		Unreached: a.unreached, Withheld: a.withheld, Answered: a.answered, EngineFull: a.full, ModelMissing: a.missing,
		Broken: a.broken, MachineEnded: a.ended,
	}
	if a.broken {
		ended.Content = a.fingerprint()
	}
	if failure != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && failure.Code != verdict.CodeDeadlineExceeded {
		ended.Failure = verdict.Wrap(failure, failure.Verdict, verdict.CodeDeadlineExceeded, "the deadline passed while a machine ran the request")
	}
	return ended
}

// try connects, sends and reads the answer; nil when it is whole.
func (a *attempt) try(ctx context.Context) *verdict.Error {
	connection, err := a.Pool.Get(ctx, a.decision.Address)
	if err != nil {
		a.unreached = true
		a.ended = errors.Is(err, syscall.ECONNREFUSED)
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeEngineFailed, "the machine can't be reached")
	}
	a.conn = connection
	stop := context.AfterFunc(ctx, connection.Interrupt)
	failure := a.exchangeOn()
	a.watchdog.stop()
	if stop() && (failure == nil || a.whole) {
		connection.Release()
	} else {
		connection.Close()
	}
	if a.broken {
		a.ended = a.Pool.Refuses(ctx, a.decision.Address)
	}
	return failure
}

// exchangeOn sends the request on the connection and reads its answer.
func (a *attempt) exchangeOn() *verdict.Error {
	if a.MaySend != nil {
		if failure := a.MaySend(a.id); failure != nil {
			a.unreached, a.withheld = true, true
			return failure
		}
	}
	forwarded := a.forwarded()
	if err := a.conn.Send(forwarded, a.body); err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			a.unreached = true
			return verdict.Wrap(err, verdict.NotRun, verdict.CodeEngineFailed, "the request could not be sent")
		}
		// A machine may answer and stop reading: the answer counts.
		a.conn.Spoil()
	}
	a.watch()
	response, marks, err := a.head(forwarded)
	if err != nil {
		a.noteBreak(err)
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeEngineFailed, "the machine did not answer")
	}
	a.status = response.StatusCode
	if marks.NotRun {
		return a.refused(response, &marks)
	}
	return a.take(response, &marks)
}

// forwarded builds the request for the machine: the caller's, with the fields
// that tell the machine what is expected of it.
func (a *attempt) forwarded() *http.Request {
	header := a.header.Clone()
	if _, stated := header["User-Agent"]; !stated {
		header["User-Agent"] = []string{""}
	}
	a.Dialect.PrepareForward(header, Forward{
		Machine: a.decision.Machine, Remaining: a.left(), Rank: a.rankThere(), LastEventID: a.lastEvent,
		Tenant: a.tenantName(), Keyed: a.keyed, FetchAddress: a.decision.Reason.Forecast.FetchAddress,
	})
	target := &url.URL{Scheme: "http", Host: a.request.Host, Opaque: a.request.RequestURI}
	if !strings.HasPrefix(a.request.RequestURI, "/") || strings.HasPrefix(a.request.RequestURI, "//") {
		target = a.request.URL
	}
	request := &http.Request{Method: a.request.Method, URL: target, Host: a.request.Host, Header: header, ProtoMajor: 1, ProtoMinor: 1}
	if len(a.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(a.body))
		request.ContentLength = int64(len(a.body))
	}
	return request
}

// rankThere is the request's rank at the machine.
func (a *attempt) rankThere() int {
	if a.decision.Reason.Forecast.Background {
		return lowestRank
	}
	return a.rank()
}

// head reads the head of this request's answer. Late answers to earlier requests
// are dropped, and the connection is not used again then.
func (a *attempt) head(forwarded *http.Request) (*http.Response, Marks, error) {
	for range foreignAnswers {
		response, err := a.conn.Head(forwarded)
		if err != nil {
			return nil, Marks{}, err
		}
		marks := a.Dialect.ReadAnswer(a.decision.Machine, response.StatusCode, response.Header)
		own := marks.RequestID == a.id || marks.RequestID == "" && marks.NotRun
		a.hear(&marks, own)
		if own {
			return response, marks, nil
		}
		a.conn.Spoil()
		if marks.RequestID == "" || !upstream.Drained(response, maxForeign) {
			break
		}
	}
	return nil, Marks{}, eris.New("the answer belongs to another request")
}

// hear tells the core what an answer says of its machine. What the answer to another request
// does not say means nothing.
func (a *attempt) hear(marks *Marks, own bool) {
	if marks.Machine != "" && marks.Machine != a.decision.Machine {
		return
	}
	a.notice = marks.Notice
	if marks.Notice != (routing.Notice{}) || own && a.decision.Limited {
		a.Decider.Report(routing.MachineHeard{
			Machine: a.decision.Machine, Request: a.id, Notice: marks.Notice, SentUnderLimit: own && a.decision.Limited,
		})
	}
}

// refused takes the machine's word that it did not run the request.
func (a *attempt) refused(response *http.Response, marks *Marks) *verdict.Error {
	switch {
	case marks.Misdirected && marks.Machine != "" && marks.Machine != a.decision.Machine:
		a.successor, a.missing = marks.Machine, true
	case marks.Misdirected:
		a.missing = true
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		a.full = true
	}
	a.whole = upstream.Drained(response, maxForeign)
	return verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "the machine answered %d without running the request", response.StatusCode)
}

// take reads the answer of a machine that ran the request.
func (a *attempt) take(response *http.Response, marks *Marks) *verdict.Error {
	succeeded := response.StatusCode < http.StatusMultipleChoices
	if succeeded && !marks.Signed {
		return verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "the answer bears no signature")
	}
	if succeeded && a.route.Kind == catalog.KindStream {
		return a.stream(response)
	}
	if a.started {
		return verdict.New(verdict.Ran, verdict.CodeStreamCut, "the machine answered %d to the continuation of a stream", response.StatusCode)
	}
	return a.hold(response, marks)
}

// hold reads an answer until it is whole. One that is too long to be held, or comes while
// the node keeps too many bytes, is sent as it comes.
func (a *attempt) hold(response *http.Response, marks *Marks) *verdict.Error {
	a.watchdog.stop()
	kept := a.keeps.Bytes()
	body, whole, err := a.keeps.ReadAll(io.LimitReader(response.Body, maxHeld+1), response.ContentLength)
	if err != nil {
		a.keeps.Shrink(a.keeps.Bytes() - kept)
		a.noteBreak(err)
		return verdict.Wrap(err, verdict.Ran, verdict.CodeEngineFailed, "the answer was cut")
	}
	if !whole || len(body) > maxHeld {
		return a.pass(response, body)
	}
	if marks.Signed || response.StatusCode < http.StatusInternalServerError {
		a.held = &answer{status: response.StatusCode, header: response.Header, body: body}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		a.answered, a.whole = true, true
		return verdict.New(verdict.Ran, verdict.CodeEngineFailed, "the machine answered %d", response.StatusCode)
	}
	return nil
}

// pass sends a long answer as it comes.
func (a *attempt) pass(response *http.Response, begin []byte) *verdict.Error {
	a.Decider.Report(routing.FirstByteSent{Request: a.id})
	a.writeHead(response.StatusCode, response.Header, response.ContentLength)
	if _, err := a.writer.Write(begin); err != nil {
		return a.callerFailed(err)
	}
	if _, err := io.Copy(a.writer, response.Body); err != nil {
		if stallOf(err) != nil {
			return a.callerFailed(err)
		}
		a.noteBreak(err)
		return verdict.Wrap(err, verdict.Ran, verdict.CodeStreamCut, "the answer was cut")
	}
	return nil
}

// callerFailed classifies a failed write to the caller.
func (a *attempt) callerFailed(err error) *verdict.Error {
	if a.stalled = stallOf(err); a.stalled != nil {
		return a.stalled
	}
	return verdict.Wrap(errors.Join(errCaller, err), verdict.Ran, verdict.CodeCallerGone, "the caller left while the answer was sent")
}
