package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/reachability"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// maxBufferedAnswerBytes bounds an answer that is buffered until it is complete. A longer
	// answer is relayed as it arrives.
	maxBufferedAnswerBytes = 1 << 20
	// maxStaleAnswerBytes bounds an answer to an earlier request that is read and discarded;
	// maxStaleAnswers bounds their number.
	maxStaleAnswerBytes = 256 << 10
	maxStaleAnswers     = 3
	// staleAnswerTimeout bounds the wait for the end of such an answer, after which the own one is read, and
	// refusalTimeout that for the end of a refusal, for which the caller waits only to keep the connection.
	staleAnswerTimeout = 200 * time.Millisecond
	refusalTimeout     = 20 * time.Millisecond
)

// errForeignAnswer is the error of an attempt whose connection brought only answers to other requests.
var errForeignAnswer = eris.New("the answer belongs to another request")

// errCallerSide marks an error on the connection to the caller.
var errCallerSide = errors.New("the caller's side failed")

// attempt is one dispatch of a request to a machine.
type attempt struct {
	*exchange
	decision routing.Dispatch
	conn     *upstream.Conn
	watchdog *watchdog
	// peer is the node through which the attempt runs, nil for a direct one. peerRequest is the
	// request to it and peerOutcome its result, OutcomeComplete unless the peer or its connection
	// ended the attempt.
	peer        *Peer
	peerRequest *http.Request
	peerOutcome PeerOutcome
	// countedEventBytes is how many bytes of an incomplete long event are reserved.
	countedEventBytes int64
	status            int
	// origin tells which answers belong to the last send.
	origin answerOrigin
	// successor is another worker that answers at the address of the machine.
	successor cluster.MachineID

	unreached, answered, engineFull, modelMissing bool
	// otherStart is true if the request was not sent because the machine that answers may be another start
	// than the one that was meant.
	otherStart bool
	// withheld is true if the request must no longer be sent.
	withheld bool
	// connectionBroken is true if the machine's side ended the connection before the answer was
	// complete.
	connectionBroken bool
	// processEnded is true if the process of the machine is known to have ended.
	processEnded bool
	// answerComplete is true if the answer was read to its end, so that the connection can be
	// reused although the attempt failed.
	answerComplete bool
}

// execute runs the attempt to its end and returns the outcome for the router.
func (a *attempt) execute(ctx context.Context) routing.AttemptEnded {
	relayedBefore := a.eventsSentAt
	failure := a.connectAndExchange(ctx)
	a.withdrawEvidence(ctx)
	ended := routing.AttemptEnded{
		Request: a.id, Attempt: a.decision.Attempt, Failure: failure,
		Unreached: a.unreached, OtherStart: a.otherStart, PathDoubted: failure != nil && a.pathDoubted(), Withheld: a.withheld, Relayed: !a.eventsSentAt.Equal(relayedBefore), Answered: a.answered, EngineFull: a.engineFull, ModelMissing: a.modelMissing,
		Broken: a.connectionBroken, MachineEnded: a.processEnded,
	}
	if a.connectionBroken {
		ended.Content = a.fingerprint()
	}
	if failure != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && failure.Code != verdict.CodeDeadlineExceeded {
		ended.Failure = verdict.Wrap(failure, failure.Verdict, verdict.CodeDeadlineExceeded, "the deadline passed while a machine ran the request")
	}
	return ended
}

// connectAndExchange connects, sends the request and reads the answer. It returns nil if the
// answer is complete.
func (a *attempt) connectAndExchange(ctx context.Context) *verdict.Error {
	if a.pathSuspected() {
		if failure, tried := a.exchangeDoubted(ctx); tried {
			return failure
		}
	}
	connection, err := connFor(ctx, a.Pool, a.decision.Address, a.attributes.RequestID)
	if err == nil {
		return a.exchangeOn(ctx, connection)
	}
	a.recordPathFailure(reachability.NoConnection, err)
	if a.pathSuspected() {
		if failure, tried := a.exchangeThroughPeers(ctx); tried {
			return failure
		}
	}
	a.unreached = true
	a.processEnded = errors.Is(err, syscall.ECONNREFUSED)
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeEngineFailed, "the machine can't be reached")
}

// exchangeOn sends the request on a connection, to the machine or to a peer, and reads the answer.
func (a *attempt) exchangeOn(ctx context.Context, connection *upstream.Conn) *verdict.Error {
	connection, failure := a.confirmStart(ctx, connection)
	if failure != nil {
		return failure
	}
	a.conn = connection
	stop := context.AfterFunc(ctx, connection.Interrupt)
	failure = a.sendAndReceive()
	a.watchdog.stop()
	if stop() && (failure == nil || a.answerComplete) {
		connection.Release()
	} else {
		connection.Close()
	}
	if a.connectionBroken && a.peer == nil {
		a.processEnded = a.Pool.Refuses(ctx, a.decision.Address)
	}
	return failure
}

// sendAndReceive sends the request on the connection and reads its answer.
func (a *attempt) sendAndReceive() *verdict.Error {
	if a.MaySend != nil {
		if failure := a.MaySend(a.id); failure != nil {
			a.unreached, a.withheld = true, true
			return failure
		}
	}
	forwarded := a.forwardRequest()
	a.origin = a.newOrigin()
	if err := a.send(forwarded); err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			// A connection that came up and was reset before the first byte went out.
			a.recordUnanswered(err)
			a.unreached = true
			return verdict.Wrap(err, verdict.NotRun, verdict.CodeEngineFailed, "the request could not be sent")
		}
		// A machine may answer without reading the whole request. The answer counts, but the
		// connection can't be reused.
		a.conn.MarkUnusable()
	}
	a.startWatchdog()
	response, marks, err := a.readHead(forwarded)
	switch {
	case err != nil && a.peer != nil && a.peerOutcome != OutcomeComplete:
		return a.peerFailure(err)
	case err != nil:
		a.recordUnanswered(err)
		a.recordConnectionBreak(err)
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeEngineFailed, "the machine did not answer")
	}
	a.status = response.StatusCode
	boundAnswer(response)
	if marks.NotRun {
		return a.handleRefusal(response, &marks)
	}
	return a.handleAnswer(response, &marks)
}

// forwardRequest builds the request for the machine: the caller's request with the fields that
// state the time left, the rank and the like.
func (a *attempt) forwardRequest() *http.Request {
	header := a.header.Clone()
	a.Dialect.PrepareForward(header, Forward{
		Machine: a.decision.Machine, Remaining: a.remaining(), Rank: a.machineRank(), LastEventID: a.lastEventID,
		Tenant: a.tenantName(), Keyed: a.keyed, FetchAddress: a.decision.Reason.Forecast.FetchAddress,
	})
	return machineRequest(a.request, header, a.body)
}

// machineRank returns the rank that the machine is told, lowestRank for a background request.
func (a *attempt) machineRank() int {
	if a.decision.Reason.Forecast.Background {
		return lowestRank
	}
	return a.rank()
}

// newOrigin returns the origin of the answers to the send that begins.
func (a *attempt) newOrigin() answerOrigin {
	if a.peer != nil {
		return answerOriginThroughPeer(a.conn, a.id, a.decision.Machine)
	}
	return newAnswerOrigin(a.conn, a.id, a.attributes.RequestID, a.decision.Machine, a.remaining())
}

// readHead reads the head of the answer to this request.
func (a *attempt) readHead(forwarded *http.Request) (*http.Response, AnswerAttributes, error) {
	next := func() (*http.Response, error) { return a.nextHead(forwarded) }
	return readOwnHead(next, a.conn, func(response *http.Response) (AnswerAttributes, bool) {
		marks := a.Dialect.ReadAnswer(a.decision.Machine, response.StatusCode, response.Header)
		own := a.origin.owns(&marks)
		if !own {
			a.Log.Write(a.origin.discarded(response.StatusCode, &marks))
		}
		a.reportNotice(&marks, own)
		return marks, own
	})
}

// readOwnHead reads the heads of answers until one belongs to the request. It discards late answers
// to earlier requests, among them rejections that name no request; the connection is not reused after one.
func readOwnHead(next func() (*http.Response, error), conn *upstream.Conn, judge func(*http.Response) (AnswerAttributes, bool)) (*http.Response, AnswerAttributes, error) {
	for range maxStaleAnswers {
		response, err := next()
		if err != nil {
			return nil, AnswerAttributes{}, err
		}
		marks, own := judge(response)
		if own {
			return response, marks, nil
		}
		conn.MarkUnusable()
		if marks.RequestID == "" && !marks.NotRun || !conn.Drain(response, maxStaleAnswerBytes, staleAnswerTimeout) {
			break
		}
	}
	return nil, AnswerAttributes{}, errForeignAnswer
}

// reportNotice reports to the router what the machine states about itself in an answer. An answer
// that states nothing is reported only if it is this request's and the request was sent under a
// limit.
func (a *attempt) reportNotice(marks *AnswerAttributes, own bool) {
	if marks.Machine != "" && marks.Machine != a.decision.Machine {
		return
	}
	a.notice = marks.Notice
	if marks.Notice != (routing.Notice{}) || own && a.decision.Limited {
		a.Decider.Report(routing.MachineNoticeReceived{
			Machine: a.decision.Machine, Request: a.id, Notice: marks.Notice, SentUnderLimit: own && a.decision.Limited,
		})
	}
}

// handleRefusal handles an answer which states that the machine did not run the request.
func (a *attempt) handleRefusal(response *http.Response, marks *AnswerAttributes) *verdict.Error {
	switch {
	case marks.Misdirected && marks.Machine != "" && marks.Machine != a.decision.Machine:
		a.successor, a.modelMissing = marks.Machine, true
	case marks.Misdirected:
		a.modelMissing = true
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		a.engineFull = true
	}
	a.answerComplete = a.conn.Drain(response, maxStaleAnswerBytes, refusalTimeout)
	return verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "the machine answered %d without running the request", response.StatusCode)
}

// handleAnswer reads the answer of a machine that ran the request.
func (a *attempt) handleAnswer(response *http.Response, marks *AnswerAttributes) *verdict.Error {
	succeeded := response.StatusCode < http.StatusMultipleChoices
	if succeeded && !marks.Signed {
		return verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "the answer bears no signature")
	}
	if succeeded && a.route.Kind == catalog.KindStream {
		return a.relayStream(response)
	}
	if a.headSent {
		return verdict.New(verdict.Ran, verdict.CodeStreamCut, "the machine answered %d to the continuation of a stream", response.StatusCode)
	}
	return a.bufferAnswer(response, marks)
}

// bufferAnswer reads an answer until it is complete. An answer that is too long to be buffered, or
// for which the node has no memory left, is relayed as it arrives, unless its status is not passed on.
func (a *attempt) bufferAnswer(response *http.Response, marks *AnswerAttributes) *verdict.Error {
	watched := a.watchdog.watchBody(response.Body)
	reservedBefore := a.reserved.Bytes()
	body, complete, err := a.reserved.ReadAll(io.LimitReader(watched, maxBufferedAnswerBytes+1), response.ContentLength)
	a.watchdog.stop()
	if err != nil {
		a.reserved.Shrink(a.reserved.Bytes() - reservedBefore)
		a.recordConnectionBreak(err)
		return verdict.Wrap(err, verdict.Ran, verdict.CodeEngineFailed, "the answer was cut")
	}
	whole := complete && len(body) <= maxBufferedAnswerBytes
	switch {
	case promisesNoRun(response.StatusCode):
		a.answered, a.answerComplete = true, whole
		return verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "the machine answered %d and did not say that nothing ran", response.StatusCode)
	case !whole:
		return a.relayUnbuffered(response, body)
	}
	if marks.Signed || response.StatusCode < http.StatusInternalServerError {
		a.buffered = &machineAnswer{status: response.StatusCode, header: response.Header, body: body}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		a.answered, a.answerComplete = true, true
		return verdict.New(verdict.Ran, verdict.CodeEngineFailed, "the machine answered %d", response.StatusCode)
	}
	return nil
}

// promisesNoRun reports whether callers take a status for the promise that the request did not run and never will. A
// machine may answer so to a request that it ran; only its explicit statement is proof.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayUnbuffered relays an answer as it arrives, after the part of it that was already read.
func (a *attempt) relayUnbuffered(response *http.Response, begin []byte) *verdict.Error {
	a.Decider.Report(routing.FirstByteSent{Request: a.id})
	a.writeHead(response.StatusCode, response.Header, response.ContentLength)
	if _, err := a.writer.Write(begin); err != nil {
		return a.classifyWriteError(err)
	}
	if _, err := io.Copy(a.writer, response.Body); err != nil {
		if stallError(err) != nil {
			return a.classifyWriteError(err)
		}
		a.recordConnectionBreak(err)
		return verdict.Wrap(err, verdict.Ran, verdict.CodeStreamCut, "the answer was cut")
	}
	return nil
}

// classifyWriteError returns the failure for a write to the caller that failed.
func (a *attempt) classifyWriteError(err error) *verdict.Error {
	if a.stallFailure = stallError(err); a.stallFailure != nil {
		return a.stallFailure
	}
	return verdict.Wrap(errors.Join(errCallerSide, err), verdict.Ran, verdict.CodeCallerGone, "the caller left while the answer was sent")
}
