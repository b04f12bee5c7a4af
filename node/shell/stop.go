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

// stopWith drains the node when ctx ends.
func (n *Node) stopWith(ctx context.Context) {
	select {
	case <-ctx.Done():
		_ = n.Stop()
	case <-n.stopped:
	}
}

// Stop drains the node and stops it: admission closes, waiting requests are
// refused as not run, those in flight end, the node leaves its cell and the
// membership. An error says what was cut off when the drain time had passed.
func (n *Node) Stop() error {
	n.stopOnce.Do(func() {
		n.failure = n.drain()
		if broken := n.broken.Load(); broken != nil {
			n.failure = errors.Join(eris.Wrap(*broken, "a listener failed"), n.failure)
		}
		n.close()
		close(n.stopped)
	})
	<-n.stopped
	return n.failure
}

// Kill stops the node at once, like the death of its process.
func (n *Node) Kill() {
	n.stopOnce.Do(func() {
		n.cancelCalls()
		n.close()
		close(n.stopped)
	})
	<-n.stopped
}

// Done is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// drain ends everything in flight within the drain time.
func (n *Node) drain() error {
	began := n.Now()
	n.lastRefused.Store(began.UnixNano())
	n.draining.Store(true)
	n.endAdmission()
	n.keys.EndClaims()
	n.logger.Info("drain started", "in_flight", n.inFlight(), "drain_time", n.config.DrainTime)
	bounded, cancel := context.WithTimeout(context.Background(), n.config.DrainTime)
	defer cancel()
	n.step(node.DrainStarted{})
	var failure error
	select {
	case <-n.drained:
	case <-bounded.Done():
		failure = eris.Errorf("%d requests were cut off after the drain time of %s", n.inFlight(), n.config.DrainTime)
	}
	n.linger(bounded)
	closing, stop := context.WithTimeout(context.Background(), shutdownGrace)
	defer stop()
	n.dismissCallers(closing)
	if err := n.callers.Shutdown(closing); err != nil && failure == nil {
		failure = eris.Wrapf(err, "connections were cut off at the end of the drain, %s", n.connections.describe())
	}
	n.handOverKeys()
	n.logger.Info("drain ended", "duration", n.Now().Sub(began), "whole", failure == nil)
	return failure
}

// The listener of a drained node and the connections that callers kept stay open
// until no connection is left and no caller has come for lingerQuiet, or until
// lingerTime has passed: longer than the time after which refused callers were told
// to come back, so that they learn on their own connection that the node is gone.
const (
	lingerQuiet = 300 * time.Millisecond
	lingerTime  = 3 * routing.DefaultDrainRetryAfter / 2
	// lingerPoll is how often the connections are counted meanwhile.
	lingerPoll = 20 * time.Millisecond
)

// linger refuses callers until they stay away.
func (n *Node) linger(bounded context.Context) {
	ctx, cancel := context.WithTimeout(bounded, lingerTime)
	defer cancel()
	ticker := time.NewTicker(lingerPoll)
	defer ticker.Stop()
	for n.connections.count() > 0 || n.Now().Sub(time.Unix(0, n.lastRefused.Load())) < lingerQuiet {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// dismissCallers closes the callers' listener and ends the connections that they
// kept by an answer that says so. A caller whose request crosses it takes it for the
// answer: the request was not run. Without it that caller would see a broken
// connection and could not know.
func (n *Node) dismissCallers(ctx context.Context) {
	_ = n.listener.Close()
	failure := verdict.New(verdict.NotRun, verdict.CodeNodeDraining,
		"this node has stopped; another one takes the request").After(routing.DefaultDrainRetryAfter)
	n.connections.dismiss(ctx, api.Dismissal(failure))
}

// lingering has connections closed after their answer while the node drains, so
// that callers open new ones elsewhere.
func (n *Node) lingering(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			n.lastRefused.Store(n.Now().UnixNano())
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// handOverKeys gives what the node knows of idempotency keys to another one, so
// that its stop does not count as a loss.
func (n *Node) handOverKeys() {
	bounded, cancel := context.WithTimeout(context.Background(), handoverTime)
	defer cancel()
	if err := n.keys.Handover(bounded); err != nil {
		n.logger.Warn("idempotency keys were not handed over", "error", err)
	}
}

// close ends listeners, transport and background work.
func (n *Node) close() {
	err := n.callers.Close()
	n.cancel()
	closing, stop := context.WithTimeout(context.Background(), shutdownGrace)
	defer stop()
	err = errors.Join(err, n.transport.Close(closing), n.admin.Close())
	if err != nil {
		n.logger.Warn("close failed", "error", err)
	}
	n.tasks.Wait()
	n.keyValuePool.wait.Wait()
	n.cancelCalls()
	n.enginePool.wait.Wait()
	n.platformPool.wait.Wait()
}
