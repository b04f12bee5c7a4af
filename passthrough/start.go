package passthrough

import (
	"net/http"
	"time"

	"github.com/valveslip/valveslip/catalog"
)

const (
	// longestStartWait bounds the wait of a caller who came before the first configuration
	// was known: twice what 75 nodes of a fifth of a core take that start together and read
	// 100 KB each over 10 Mbit/s (150 ms in the middle, 170 ms for 95 of 100). One sent back
	// returns after 300 ms at the soonest, and callers of some routes return but once.
	longestStartWait = 300 * time.Millisecond
	// startWaitShare of a caller's deadline is waited at most, so that one who is sent back
	// has time to be served elsewhere.
	startWaitShare = 4
	// leastStartRetry and longestStartRetry bound when a caller should come back who came
	// before the first configuration did: where all nodes start, another one is no further.
	leastStartRetry   = 300 * time.Millisecond
	longestStartRetry = 5 * time.Second
	// mostStartWaits is how many callers wait at a time: 16 KB each, their bodies unread.
	mostStartWaits = 512
)

// knownCatalog returns the configuration in force. Before the first one is known the caller
// waits for it a little; nil is for one who came too early.
func (h *Handler) knownCatalog(r *http.Request) *catalog.Compiled {
	if compiled := h.Catalog(); compiled != nil || h.Known == nil {
		return compiled
	}
	if h.startWaits.Add(1) > mostStartWaits {
		h.startWaits.Add(-1)
		return nil
	}
	defer h.startWaits.Add(-1)
	timer := time.NewTimer(h.startWait(r.Header))
	defer timer.Stop()
	select {
	case <-h.Known:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return h.Catalog()
}

// startRetryAfter is when a caller should come back who came too early. A start that has
// lasted for a while is expected to last as long again: callers who were told the least time
// whatever the start took came back too early once more, and many return but once.
func (h *Handler) startRetryAfter() time.Duration {
	return min(max(h.now().Sub(h.began), leastStartRetry), longestStartRetry)
}

// startWait is how long a caller waits at most.
func (h *Handler) startWait(header http.Header) time.Duration {
	deadline := h.Dialect.ReadCaller(header).Deadline
	if deadline <= 0 {
		return longestStartWait
	}
	return min(deadline/startWaitShare, longestStartWait)
}
