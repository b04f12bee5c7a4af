package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/passthrough/retained"
	"github.com/valveslip/valveslip/reachability"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/upstream"
)

// PeerProxyConfig holds the dependencies of a PeerProxy.
type PeerProxyConfig struct {
	Dialect Dialect
	Pool    *upstream.Pool
	Path    Path
	Log     *eventlog.Log
	// FindMachine returns the address of a machine. The outcome is OutcomeUnknown for an unknown
	// machine, OutcomeBlocked for one that takes no requests from this node now, else empty.
	FindMachine func(id cluster.MachineID) (address string, outcome PeerOutcome)
	// EntriesInclude is as in Config.
	EntriesInclude func(listened time.Duration) bool
	// Refuses returns why this node sends no requests of other nodes now, else an empty outcome.
	Refuses func(active int64) PeerOutcome
	// Admits reports whether a request that ends within a time is sent. If nil, all are.
	Admits func(within time.Duration) bool
	// Draining reports whether this node is stopping. If nil, it never is.
	Draining func() bool
	// Report hands what a machine states about itself to the router.
	Report func(event routing.Event)
	// Retained bounds the bytes that are held for requests.
	Retained *retained.Account
	// MaxBodyBytes returns the bound on the body of a request.
	MaxBodyBytes func() int64
}

// PeerProxy sends the requests of other nodes, which have lost their path to machines, to machines.
// It decides nothing about them: choice, retries and limits are those of the other node. It sends a
// request only itself, never through a third node.
type PeerProxy struct {
	PeerProxyConfig
	active atomic.Int64
}

// NewPeerProxy returns a PeerProxy.
func NewPeerProxy(config PeerProxyConfig) *PeerProxy { return &PeerProxy{PeerProxyConfig: config} }

// Active returns the number of requests that have not ended.
func (p *PeerProxy) Active() int { return int(p.active.Load()) }

// ServeHTTP implements http.Handler.
func (p *PeerProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	defer p.active.Add(-1)
	began := time.Now()
	draining := p.Draining != nil && p.Draining()
	if draining {
		// The other node must not send on a connection that this one is about to close.
		w.Header().Set("Connection", "close")
	}
	if outcome := p.refusal(r.Context(), p.active.Add(1)); outcome != "" {
		refusePeer(w, outcome)
		return
	}
	if draining {
		w.Header().Set(headerPeerDraining, "1")
	}
	task, err := readPeerTask(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if p.Admits != nil && !p.Admits(task.timeout) {
		refusePeer(w, OutcomeDraining)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), task.timeout)
	defer cancel()
	e := &peerExchange{PeerProxy: p, task: task, writer: w, id: p.Dialect.ReadCaller(task.inner.Header).RequestID}
	outcome := e.run(ctx)
	p.Log.Write(eventlog.PeerRequestEnded{
		Request: e.id, From: task.from, Machine: task.machine, Outcome: string(outcome), Status: e.status, Took: time.Since(began),
		Named: e.origin.named, Carried: e.origin.carried, Resent: e.origin.resent,
	})
	switch {
	case !e.headSent:
		refusePeer(w, outcome)
	default:
		w.Header().Set(headerPeerOutcome, string(outcome))
	}
}

// refusal returns why no request of another node is sent now, else an empty outcome.
func (p *PeerProxy) refusal(ctx context.Context, active int64) PeerOutcome {
	if outcome := p.Refuses(active); outcome != "" {
		return outcome
	}
	if p.Path.Lost() || !p.Path.Vouch(ctx) {
		return OutcomeNoPath
	}
	return ""
}

// refusePeer answers a peer without an answer of the machine.
func refusePeer(w http.ResponseWriter, outcome PeerOutcome) {
	status := http.StatusBadGateway
	if outcome.notSent() {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set(headerPeerOutcome, string(outcome))
	w.WriteHeader(status)
}

// peerExchange is one request of another node.
type peerExchange struct {
	*PeerProxy
	task     *peerTask
	writer   http.ResponseWriter
	id       cluster.RequestID
	address  string
	conn     *upstream.Conn
	headSent bool
	// origin tells which answers of the machine belong to the request, status is that of its answer.
	origin answerOrigin
	status int
}

// run sends the request and passes the answer on.
func (e *peerExchange) run(ctx context.Context) PeerOutcome {
	var outcome PeerOutcome
	if e.address, outcome = e.FindMachine(e.task.machine); outcome != "" {
		return outcome
	}
	hold := retained.NewHold(e.Retained)
	defer hold.Release()
	body, complete, err := hold.ReadAll(io.LimitReader(e.task.inner.Body, e.MaxBodyBytes()+1), e.task.inner.ContentLength)
	if err != nil {
		return OutcomeFailed
	}
	if !complete || int64(len(body)) > e.MaxBodyBytes() {
		return OutcomeOverloaded
	}
	if outcome := e.connect(ctx); outcome != "" {
		return outcome
	}
	stop := context.AfterFunc(ctx, e.conn.Interrupt)
	outcome = e.exchange(machineRequest(e.task.inner, e.task.inner.Header, body), body)
	if stop() && outcome == OutcomeComplete {
		e.conn.Release()
	} else {
		e.conn.Close()
	}
	if outcome == OutcomeBroken && e.Pool.Refuses(ctx, e.address) {
		outcome = OutcomeEnded
	}
	return outcome
}

// connect opens a connection to the machine, to the start that must answer if the task names one. It returns an
// empty outcome if it did.
func (e *peerExchange) connect(ctx context.Context) PeerOutcome {
	conn, err := connFor(ctx, e.Pool, e.address, e.id)
	if err != nil {
		e.Path.Failed(e.address, reachability.NoConnection, err.Error())
		return e.outcomeOfDial(err)
	}
	if e.task.start == "" || e.Dialect.StartRequest(e.task.start) == nil {
		e.conn = conn
		return ""
	}
	query := &startQuery{dialect: e.Dialect, pool: e.Pool, machine: e.task.start, address: e.address, request: e.id}
	if conn, err = query.run(ctx, conn); err != nil {
		return e.outcomeOfDial(err)
	}
	unstated := query.outcome(nil) == startUnstated && e.EntriesInclude != nil && e.EntriesInclude(conn.Age())
	if query.found == e.task.start || query.misdirected || unstated {
		e.conn = conn
		return ""
	}
	conn.PutBack()
	e.writer.Header().Set(headerPeerStart, string(query.found))
	return OutcomeOtherStart
}

// outcomeOfDial returns the outcome for a connection that could not be opened. While this node suspects its
// own path, that says nothing about the machine.
func (e *peerExchange) outcomeOfDial(err error) PeerOutcome {
	switch {
	case e.Path.Suspected():
		return OutcomeNoPath
	case errors.Is(err, syscall.ECONNREFUSED):
		return OutcomeRefused
	}
	return OutcomeUnreachable
}

// exchange sends the request on the connection and passes the answer on.
func (e *peerExchange) exchange(request *http.Request, body []byte) PeerOutcome {
	e.origin = newAnswerOrigin(e.conn, e.id, e.id, e.task.machine, e.task.timeout)
	if err := e.conn.Send(request, body); err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			e.Path.Failed(e.address, reachability.NoConnection, err.Error())
			return OutcomeUnreachable
		}
		e.conn.MarkUnusable()
	}
	began := time.Now()
	answer, _, err := readOwnHead(func() (*http.Response, error) { return e.conn.Head(request) }, e.conn, e.ownAnswer)
	if err != nil {
		e.recordUnanswered(err, time.Since(began))
		return outcomeOfBreak(err)
	}
	e.status = answer.StatusCode
	boundAnswer(answer)
	return e.relay(answer)
}

// minSilence is the time without an answer after which the machine counts as silent although the
// other node gave the request up.
const minSilence = 500 * time.Millisecond

// recordUnanswered reports that the connection failed, or was silent for too long, before the head of
// the answer arrived.
func (e *peerExchange) recordUnanswered(err error, waited time.Duration) {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timedOut && waited < minSilence, invalidAnswer(err):
	case timedOut || e.conn.Reused():
		e.Path.Failed(e.address, reachability.Silence, err.Error())
	default:
		e.Path.Failed(e.address, reachability.NoConnection, err.Error())
	}
}

// ownAnswer reports whether an answer is that to this request, and passes on what its machine states
// about itself.
func (e *peerExchange) ownAnswer(answer *http.Response) (marks AnswerAttributes, own bool) {
	marks = e.Dialect.ReadAnswer(e.task.machine, answer.StatusCode, answer.Header)
	if (marks.Machine == "" || marks.Machine == e.task.machine) && marks.Notice != (routing.Notice{}) {
		e.Report(routing.MachineNoticeReceived{Machine: e.task.machine, Request: e.id, Notice: marks.Notice})
	}
	own = e.origin.owns(&marks)
	if !own {
		e.Log.Write(e.origin.discarded(answer.StatusCode, &marks))
	}
	return marks, own
}

// relay writes the answer to the other node as it arrives.
func (e *peerExchange) relay(answer *http.Response) PeerOutcome {
	header := e.writer.Header()
	header.Set("Content-Type", messageMediaType)
	header.Set("Trailer", headerPeerOutcome)
	e.writer.WriteHeader(http.StatusOK)
	e.headSent = true
	if err := writeAnswerHead(e.writer, answer); err != nil {
		return OutcomeFailed
	}
	flusher := http.NewResponseController(e.writer)
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for {
		n, err := answer.Body.Read(*buffer)
		if n > 0 {
			if _, writeErr := e.writer.Write((*buffer)[:n]); writeErr != nil {
				return OutcomeFailed
			}
		}
		if err == io.EOF {
			return OutcomeComplete
		}
		if err != nil {
			return outcomeOfBreak(err)
		}
		if flusher.Flush() != nil {
			return OutcomeFailed
		}
	}
}

// outcomeOfBreak returns the outcome for an error of the connection to the machine.
func outcomeOfBreak(err error) PeerOutcome {
	if endedByMachine(err) {
		return OutcomeBroken
	}
	return OutcomeFailed
}
