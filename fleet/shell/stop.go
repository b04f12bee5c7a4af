package shell

import (
	"context"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
)

// The phases of a planned stop. Times count from its beginning unless stated otherwise.
const (
	// readinessPropagation is how long callers may take to notice that the node is not ready;
	// until then the node serves as usual. After it every answer asks its caller to close the
	// connection. Idle connections are not closed by the node: the server could close one on
	// which a request has just arrived.
	readinessPropagation = 2300 * time.Millisecond
	// fullAdmissionTime is until when all requests are admitted: requests sent within 3 s of the
	// beginning may be cut off at the end of the grace time. After it only requests are admitted
	// whose deadline is before the end of the drain.
	fullAdmissionTime = 2850 * time.Millisecond
	// listenerOpenTime is until when the listener stays open, so that late callers get a
	// rejection instead of a broken connection.
	listenerOpenTime = 4500 * time.Millisecond
	// queueRejectLead is how long before the end of the drain queued requests are rejected,
	// so that their callers still get an answer.
	queueRejectLead = time.Second
	// stopMargin is the part of the grace time that remains after the drain, so that the node has
	// time to close.
	stopMargin = 350 * time.Millisecond
	// drainPollInterval is the time between two checks of the requests in flight. It is short
	// because it delays the end of the drain.
	drainPollInterval = 20 * time.Millisecond
	// lastAnswersTimeout limits the time for accepting and answering the callers that have opened a
	// connection and whose request has not been read. It is longer than the drain of the listener, so
	// that what came last is answered too.
	lastAnswersTimeout = time.Second
	// logFlushTimeout limits the wait for the last log lines, so that it fits into stopMargin.
	logFlushTimeout = 150 * time.Millisecond
)

// Stop stops the node as planned. The node reports that it is not ready and serves until callers
// have noticed, then asks callers to close their connections, then rejects new requests that may
// outlast the grace time as not run. Under the same rule it sends the requests of other nodes until its
// callers are answered. It ends once all requests are answered or the grace time is nearly over.
func (n *Node) Stop() {
	n.stopOnce.Do(n.stop)
	<-n.stopped
}

func (n *Node) stop() {
	began := n.Now()
	drainEnd := began.Add(n.options.StopTimeout - stopMargin)
	n.limitAdmission(began, drainEnd)
	n.stopping.Store(true)
	n.options.Log.Write(eventlog.NodeStopping{InFlight: n.inFlight()})
	n.step(fleet.ResignStarted{})
	n.sleepUntil(began.Add(readinessPropagation))
	n.closesConnections.Store(true)
	rejectedQueued := false
	for n.Now().Before(drainEnd) {
		idle := n.unansweredCallers() == 0 && n.Now().Sub(began) >= listenerOpenTime
		if !rejectedQueued && (idle || drainEnd.Sub(n.Now()) < queueRejectLead) {
			rejectedQueued = true
			n.step(fleet.DrainStarted{})
			// The requests of other nodes that came before are waited for.
			n.refusesPeerRequests.Store(true)
		}
		if rejectedQueued && n.unanswered() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	n.answerLastCallers(drainEnd)
	n.answerLastPeers(drainEnd)
	n.options.Log.Write(eventlog.NodeStopped{InFlight: n.inFlight(), Took: n.Now().Sub(began)})
	n.close()
}

// answerLastCallers accepts the connections that callers have opened, closes the listener and waits
// until the requests on them are answered, at the longest until the given time. Closing a listener
// resets the connections that it has not accepted, which may carry requests.
func (n *Node) answerLastCallers(until time.Time) {
	n.endAcceptHold()
	n.callerListener.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), min(until.Sub(n.Now()), lastAnswersTimeout))
	defer cancel()
	select {
	case <-n.callerListener.Drained():
		n.callerConnections.AwaitIdle(ctx)
		_ = n.callerServer.Shutdown(ctx)
	case <-ctx.Done():
	}
}

// answerLastPeers does for other nodes what answerLastCallers does for callers: they would take a request on a connection
// that is reset for one that may have run.
func (n *Node) answerLastPeers(until time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), min(until.Sub(n.Now()), lastAnswersTimeout))
	defer cancel()
	n.transport.Drain(ctx)
}

// sleepUntil sleeps until a time of the node's clock. It sleeps in short steps because that clock
// counts suspensions and a timer doesn't.
func (n *Node) sleepUntil(at time.Time) {
	for left := at.Sub(n.Now()); left > 0; left = at.Sub(n.Now()) {
		time.Sleep(min(left, drainPollInterval))
	}
}

// admissionLimit admits only requests whose deadline is not after until, from a time on.
type admissionLimit struct{ from, until time.Time }

// limitAdmission sets the limit of a stop as it begins: a goroutine that sets it when it is due may run late, and what is
// admitted meanwhile is cut off.
func (n *Node) limitAdmission(began, drainEnd time.Time) {
	n.admission.Store(&admissionLimit{from: began.Add(fullAdmissionTime), until: drainEnd})
}

// admits reports whether a request with this deadline is admitted now.
func (n *Node) admits(deadline time.Time) bool {
	limit := n.admission.Load()
	return limit == nil || n.Now().Before(limit.from) || !deadline.After(limit.until)
}

// Kill ends the node at once, like the crash of its process.
func (n *Node) Kill() {
	n.stopOnce.Do(n.close)
	<-n.stopped
}

// close closes all listeners, the transport and the log, and cancels all calls.
func (n *Node) close() {
	n.cancel()
	n.mutex.Lock()
	n.timer.Stop()
	n.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), drainPollInterval)
	_ = n.callerServer.Shutdown(ctx)
	_ = n.transport.Close(ctx)
	cancel()
	_ = n.callerServer.Close()
	_ = n.readinessServer.Close()
	if n.metricsServer != nil {
		_ = n.metricsServer.Close()
	}
	n.options.Log.Close(logFlushTimeout)
	close(n.stopped)
}

// inFlight returns the number of requests in flight, those of other nodes included.
func (n *Node) inFlight() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.tickets) + n.peerProxy.Active()
}

// unanswered returns the number of requests for which a stop waits, those of other nodes included.
func (n *Node) unanswered() int { return n.unansweredCallers() + n.peerProxy.Active() }

// unansweredCallers returns the number of the callers' requests in flight, and of those whose answers are still being
// written because their callers read slowly.
func (n *Node) unansweredCallers() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return max(len(n.tickets), n.callerHandler.Unanswered())
}
