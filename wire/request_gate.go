package wire

import (
	"net/http"
	"sync"
)

// requestGate refuses requests once it is closed and knows which are in progress.
type requestGate struct {
	mutex    sync.Mutex
	closed   bool
	requests sync.WaitGroup
}

// enter reports whether a request may begin. One that began must call requests.Done at its end.
func (g *requestGate) enter() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return false
	}
	g.requests.Add(1)
	return true
}

// wrap returns a handler that serves requests until the gate is closed.
func (g *requestGate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !g.enter() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer g.requests.Done()
		next.ServeHTTP(writer, request)
	})
}

// close refuses the requests that come later and waits for those in progress.
func (g *requestGate) close() {
	g.mutex.Lock()
	g.closed = true
	g.mutex.Unlock()
	g.requests.Wait()
}
