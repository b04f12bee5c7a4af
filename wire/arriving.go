package wire

import (
	"net/http"
	"sync"
)

// arrivingRequests counts the requests that are being received. A server that is closed without waiting leaves them
// running.
type arrivingRequests struct {
	mutex   sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// begin counts a request, and returns false if none is received any more.
func (a *arrivingRequests) begin() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return false
	}
	a.running.Add(1)
	return true
}

// close refuses further requests and waits until the others have ended.
func (a *arrivingRequests) close() {
	a.mutex.Lock()
	a.closed = true
	a.mutex.Unlock()
	a.running.Wait()
}

// handler counts the requests that next handles.
func (a *arrivingRequests) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !a.begin() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer a.running.Done()
		next.ServeHTTP(writer, request)
	})
}
