package wire

import (
	"context"
	"net"
	"time"
)

const (
	// parallelDialDelay is the time without a connection after which another dial is started in
	// parallel. It lies above a round trip between regions (24 ms) and far below the second
	// after which the kernel retransmits a SYN packet. A SYN to a machine that has no power yet
	// is lost. When all machines return within 0.3 s after a power failure, most of them lose a
	// SYN to some other machine.
	parallelDialDelay = 120 * time.Millisecond
	// maxParallelDials bounds the dials for one connection. When the last one is started, the
	// kernel is about to retransmit the first SYN.
	maxParallelDials = 8
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialResult is the result of one dial.
type dialResult struct {
	connection net.Conn
	err        error
}

// dialInParallel returns a dialFunc that starts another dial after each delay without a
// connection, and returns the first connection. It fails when all dials started so far have
// failed; an address that refuses connections is therefore dialed only once.
func dialInParallel(dial dialFunc, delay time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		results := make(chan dialResult, maxParallelDials)
		startDial := func() {
			connection, err := dial(ctx, network, address)
			results <- dialResult{connection: connection, err: err}
		}
		go startDial()
		ticker := time.NewTicker(delay)
		defer ticker.Stop()
		for started, ended := 1, 0; ; {
			select {
			case result := <-results:
				ended++
				if result.err != nil && ended < started {
					continue
				}
				go closeLateConnections(results, started-ended)
				return result.connection, result.err
			case <-ticker.C:
				if started < maxParallelDials {
					started++
					go startDial()
				}
			}
		}
	}
}

// closeLateConnections awaits the results of count dials and closes their connections.
func closeLateConnections(results <-chan dialResult, count int) {
	for range count {
		if late := <-results; late.err == nil {
			_ = late.connection.Close()
		}
	}
}
