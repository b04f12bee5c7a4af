package passthrough

import (
	"net/http"
	"time"

	"github.com/valveslip/valveslip/catalog"
)

const (
	// maxStartWait bounds the wait of a caller for the first configuration: twice the time in
	// which 75 nodes with a fifth of a core, started together, read 100 KB each over 10 Mbit/s
	// (median 150 ms, 95th percentile 170 ms). A refused caller retries after 300 ms at the
	// earliest, and the callers of some routes retry only once.
	maxStartWait = 300 * time.Millisecond
	// startWaitDivisor limits the wait to this fraction of the caller's deadline, so that a
	// refused caller has time to be served elsewhere.
	startWaitDivisor = 4
	// minStartRetry and maxStartRetry bound the Retry-After before the first configuration. When
	// all nodes start at the same time, no other node can serve the caller earlier.
	minStartRetry = 300 * time.Millisecond
	maxStartRetry = 5 * time.Second
	// maxStartWaiters bounds the callers that wait at the same time. Each takes 16 KB; its body is
	// not read yet.
	maxStartWaiters = 512
)

// awaitCatalog returns the current configuration. It waits for the first one for at most
// startWait, and returns nil if none is known by then.
func (h *Handler) awaitCatalog(r *http.Request) *catalog.Compiled {
	if compiled := h.Catalog(); compiled != nil || h.CatalogReady == nil {
		return compiled
	}
	if h.startWaiters.Add(1) > maxStartWaiters {
		h.startWaiters.Add(-1)
		return nil
	}
	defer h.startWaiters.Add(-1)
	timer := time.NewTimer(h.startWait(r.Header))
	defer timer.Stop()
	select {
	case <-h.CatalogReady:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return h.Catalog()
}

// startRetryAfter returns the Retry-After before the first configuration. It expects the start to
// take as long again as it has taken so far. With a fixed minimum, callers came back too early a
// second time, and many callers retry only once.
func (h *Handler) startRetryAfter() time.Duration {
	return min(max(h.now().Sub(h.createdAt), minStartRetry), maxStartRetry)
}

// startWait returns how long a caller may wait for the first configuration.
func (h *Handler) startWait(header http.Header) time.Duration {
	deadline := h.Dialect.ReadCaller(header).Deadline
	if deadline <= 0 {
		return maxStartWait
	}
	return min(deadline/startWaitDivisor, maxStartWait)
}
