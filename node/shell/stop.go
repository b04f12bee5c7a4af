package shell

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/api"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// stopOnDone stops the node when ctx ends.
func (n *Node) stopOnDone(ctx context.Context) {
	select {
	case <-ctx.Done():
		_ = n.Stop()
	case <-n.stopped:
	}
}

// Stop drains the node and stops it: admission closes, waiting requests are rejected
// as not run, requests in flight complete, and the node releases its leases and leaves
// the membership. It returns an error if requests or connections were cut off by a
// timeout or a listener failed.
func (n *Node) Stop() error {
	n.stopOnce.Do(func() {
		n.stopError = n.drain()
		if broken := n.listenerError.Load(); broken != nil {
			n.stopError = errors.Join(eris.Wrap(*broken, "listener failed"), n.stopError)
		}
		n.close()
		close(n.stopped)
	})
	<-n.stopped
	return n.stopError
}

// Kill stops the node at once without draining, like a crash of its process.
func (n *Node) Kill() {
	n.stopOnce.Do(func() {
		n.cancelCallContext()
		n.close()
		close(n.stopped)
	})
	<-n.stopped
}

// Done returns a channel that is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// drain waits for the requests in flight, at most for the drain time, and closes the
// callers' connections.
func (n *Node) drain() error {
	start := n.Now()
	n.lastDrainRequest.Store(start.UnixNano())
	n.draining.Store(true)
	n.endAdmission()
	n.keys.RefuseClaims()
	n.logger.Info("drain started", "in_flight", n.inFlight(), "drain_time", n.config.DrainTime)
	drainContext, cancel := context.WithTimeout(context.Background(), n.config.DrainTime)
	defer cancel()
	n.step(node.DrainStarted{})
	var failure error
	select {
	case <-n.drained:
	case <-drainContext.Done():
		failure = eris.Errorf("%d requests did not finish within the drain time of %s", n.inFlight(), n.config.DrainTime)
	}
	n.lingerUntilIdle(drainContext)
	shutdownContext, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	n.closeCallerConnections(shutdownContext)
	if err := n.callers.Shutdown(shutdownContext); err != nil && failure == nil {
		failure = eris.Wrapf(err, "closing caller connections after the drain timed out: %s", n.connections.describeOpen())
	}
	n.handOverKeys()
	n.logger.Info("drain ended", "duration", n.Now().Sub(start), "whole", failure == nil)
	return failure
}

// After a drain, the listener and the callers' keep-alive connections stay open until
// there is no connection and no request has come for lingerIdleTime, at most for
// maxLingerTime. This is longer than the Retry-After sent to rejected callers, so that
// a caller which retries on its connection still gets an answer that the node has
// stopped.
const (
	lingerIdleTime = 300 * time.Millisecond
	maxLingerTime  = 3 * routing.DefaultDrainRetryAfter / 2
	// lingerPollInterval is the time between two counts of the open connections.
	lingerPollInterval = 20 * time.Millisecond
)

// lingerUntilIdle keeps rejecting requests until callers stop sending them.
func (n *Node) lingerUntilIdle(drainContext context.Context) {
	ctx, cancel := context.WithTimeout(drainContext, maxLingerTime)
	defer cancel()
	ticker := time.NewTicker(lingerPollInterval)
	defer ticker.Stop()
	for n.connections.count() > 0 || n.Now().Sub(time.Unix(0, n.lastDrainRequest.Load())) < lingerIdleTime {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// closeCallerConnections closes the callers' listener, once it has accepted what
// callers have opened, and ends their keep-alive connections with a final answer. A caller whose request crosses that answer takes it
// for the response, which says that the request was not run. Without it the caller
// would see a broken connection and could not know whether the request had run.
func (n *Node) closeCallerConnections(ctx context.Context) {
	n.listener.Drain()
	failure := verdict.New(verdict.NotRun, verdict.CodeNodeDraining,
		"this node has stopped; another one takes the request").After(routing.DefaultDrainRetryAfter)
	n.connections.closeIdle(ctx, api.UnsolicitedTimeoutResponse(failure))
}

// closeConnectionsOnDrain makes connections close after the current answer while the
// node drains, so that callers connect to other nodes.
func (n *Node) closeConnectionsOnDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			n.lastDrainRequest.Store(n.Now().UnixNano())
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// handOverKeys transfers the node's idempotency key records to another node, so that
// its stop does not count as the loss of a key owner.
func (n *Node) handOverKeys() {
	handoverContext, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := n.keys.Handover(handoverContext); err != nil {
		n.logger.Warn("idempotency keys were not handed over", "error", err)
	}
}

// close closes the listeners and the transport and waits for background tasks.
func (n *Node) close() {
	err := n.callers.Close()
	n.cancel()
	shutdownContext, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	err = errors.Join(err, n.transport.Close(shutdownContext), n.admin.Close())
	if err != nil {
		n.logger.Warn("closing listeners and transport failed", "error", err)
	}
	n.tasks.Wait()
	n.keyValuePool.running.Wait()
	n.cancelCallContext()
	n.enginePool.running.Wait()
	n.platformPool.running.Wait()
}
