package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/reachability"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/verdict"
)

// A machine may start again at its address and under its name, so that a request would be taken by a process
// other than the one that its entry describes. A connection belongs to one process: what the process answers
// on it about its own start holds for all that is sent on it later.

const (
	// startQueryTimeout bounds all questions for one attempt. An answer takes no slot of the machine, so that
	// one that takes longer comes from a machine that hangs.
	startQueryTimeout = 500 * time.Millisecond
	// maxStartQueries bounds the connections on which one attempt asks.
	maxStartQueries = 3
	// maxStartAnswerBytes bounds the answer to a question.
	maxStartAnswerBytes = 1 << 20
	// unstatedProcess is the name of the process of a connection on which it did not state its start.
	unstatedProcess = "unstated"
)

// The outcomes of a query, as logged and counted.
const (
	startConfirmed  = "confirmed"
	startOther      = "other"
	startUnstated   = "unstated"
	startUnanswered = "unanswered"
)

var (
	errStartQueryCut   = eris.New("no answer about the start of the machine in time")
	errStartAnswerLong = eris.Errorf("an answer about the start of the machine is larger than %d bytes", maxStartAnswerBytes)
)

// startQuery finds a connection to a machine and the start of the machine that it leads to.
type startQuery struct {
	dialect Dialect
	pool    *upstream.Pool
	// machine names the start that is meant, address where it listens.
	machine cluster.MachineID
	address string
	// request is the ID of the request that the connection is for, as it states it.
	request cluster.RequestID
	// found is the start that the connection leads to, empty if the machine states none.
	found cluster.MachineID
	// misdirected is set if a machine of another name answered, which rejects the request too.
	misdirected bool
	// questions is the number of questions that were asked.
	questions int
	// fresh is set if the connection was opened for this query.
	fresh bool
}

// run returns an open connection that leads to the start found: the given one, or a new one if the machine
// closed that one.
func (q *startQuery) run(ctx context.Context, conn *upstream.Conn) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, startQueryTimeout)
	defer cancel()
	for {
		if conn.Process() != "" {
			q.readProcess(conn)
			return conn, nil
		}
		reused := conn.Reused()
		err := q.ask(ctx, conn)
		if err == nil && conn.Reusable() {
			return conn, nil
		}
		if err == nil {
			conn.Close()
			return q.runBeside(ctx)
		}
		conn.Close()
		if !reused || q.questions == maxStartQueries {
			return nil, err
		}
		if conn, err = connFor(ctx, q.pool, q.address, q.request); err != nil {
			return nil, err
		}
	}
}

// runBeside asks on one connection and returns another one, for machines that close a connection after an
// answer. The one that is returned is opened after the first one and before the answer on it, so that
// both lead to one process.
func (q *startQuery) runBeside(ctx context.Context) (*upstream.Conn, error) {
	asked, err := q.pool.Dial(ctx, q.address)
	if err != nil {
		return nil, err
	}
	defer asked.Close()
	beside, err := q.pool.Dial(ctx, q.address)
	if err != nil {
		return nil, err
	}
	if err := q.ask(ctx, asked); err != nil {
		beside.Close()
		return nil, err
	}
	beside.SetProcess(asked.Process())
	return beside, nil
}

// readProcess takes the start from a connection on which it is known.
func (q *startQuery) readProcess(conn *upstream.Conn) {
	q.found = ""
	if process := conn.Process(); process != unstatedProcess {
		q.found = cluster.MachineID(process)
	}
}

// ask asks on a connection for the start of the machine and records the process of the connection.
func (q *startQuery) ask(ctx context.Context, conn *upstream.Conn) error {
	q.questions++
	q.fresh = !conn.Reused()
	interrupted := context.AfterFunc(ctx, conn.Interrupt)
	status, body, err := q.exchange(conn)
	if !interrupted() {
		return errors.Join(errStartQueryCut, err)
	}
	if err != nil {
		return err
	}
	process := string(q.dialect.ReadStart(q.machine, status, body))
	if process == "" {
		process = unstatedProcess
	}
	conn.SetProcess(process)
	q.readProcess(conn)
	return nil
}

// exchange sends the question and reads the answer.
func (q *startQuery) exchange(conn *upstream.Conn) (status int, body []byte, err error) {
	question := q.dialect.StartRequest(q.machine)
	question.Host = q.address
	if err := conn.Send(question, nil); err != nil {
		return 0, nil, err
	}
	next := func() (*http.Response, error) { return conn.Head(question) }
	answer, _, err := readOwnHead(next, conn, func(head *http.Response) (AnswerAttributes, bool) {
		marks := q.dialect.ReadAnswer(q.machine, head.StatusCode, head.Header)
		return marks, marks.RequestID == ""
	})
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(answer.Body, maxStartAnswerBytes+1))
	q.misdirected = q.dialect.ReadAnswer(q.machine, answer.StatusCode, answer.Header).Misdirected
	if err == nil && len(body) > maxStartAnswerBytes {
		err = errStartAnswerLong
	}
	return answer.StatusCode, body, err
}

// outcome returns the outcome of a query that ended with err.
func (q *startQuery) outcome(err error) string {
	switch {
	case err != nil:
		return startUnanswered
	case q.found == "":
		return startUnstated
	case q.found != q.machine:
		return startOther
	}
	return startConfirmed
}

// confirmStart returns a connection that leads to the start of the machine which the router means. Without one
// it returns why the request was not sent.
func (a *attempt) confirmStart(ctx context.Context, conn *upstream.Conn) (*upstream.Conn, *verdict.Error) {
	meant := a.decision.Start
	if meant == "" || a.peer != nil || a.Dialect.StartRequest(meant) == nil {
		return conn, nil
	}
	query := &startQuery{dialect: a.Dialect, pool: a.Pool, machine: meant, address: a.decision.Address, request: a.attributes.RequestID}
	began := a.now()
	conn, err := query.run(ctx, conn)
	outcome := query.outcome(err)
	a.recordStart(query, outcome, a.now().Sub(began), err)
	switch {
	case outcome == startUnanswered:
		a.unreached = true
		a.recordPathFailure(reachability.NoConnection, err)
		a.processEnded = errors.Is(err, syscall.ECONNREFUSED)
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeEngineFailed, "the machine did not answer which of its starts it is")
	case outcome == startConfirmed, query.misdirected, outcome == startUnstated && !a.decision.Pinned:
		return conn, nil
	case outcome == startUnstated && a.EntriesInclude != nil && a.EntriesInclude(conn.Age()):
		return conn, nil
	}
	conn.PutBack()
	a.unreached, a.otherStart = true, true
	return nil, verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "the machine that answers may not be %s", meant)
}

// recordStart logs the answers about the start of a machine and reports them to the router.
func (a *attempt) recordStart(query *startQuery, outcome string, took time.Duration, err error) {
	if query.questions > 0 || outcome != startConfirmed {
		a.Log.Write(eventlog.MachineStartChecked{
			Request: a.id, Attempt: a.decision.Attempt, Machine: query.machine, Found: query.found, Outcome: outcome,
			Questions: query.questions, Fresh: query.fresh, Took: took, Cause: eventlog.CauseOf(err),
		})
		a.Metrics.startChecked(outcome, query.questions)
	}
	if outcome != startUnanswered {
		a.Decider.Report(routing.MachineStartFound{Machine: a.decision.Machine, Start: query.found})
	}
}
