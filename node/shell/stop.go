package shell

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/node"
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
	began := time.Now()
	n.draining.Store(true)
	n.callers.SetKeepAlivesEnabled(false)
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
	closing, stop := context.WithTimeout(context.Background(), shutdownGrace)
	defer stop()
	if err := n.callers.Shutdown(closing); err != nil && failure == nil {
		failure = eris.Wrap(err, "connections were cut off at the end of the drain")
	}
	n.logger.Info("drain ended", "duration", time.Since(began), "whole", failure == nil)
	return failure
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
