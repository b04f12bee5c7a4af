package passthrough

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxDiscardedBytes and discardTimeout bound how much of a refused request's body is read, and for how long.
	maxDiscardedBytes = 1 << 20
	discardTimeout    = time.Second
)

// discardBody reads what is left of the body of a refused request, after the refusal was sent. The server may close
// the connection next, and closing it with unread bytes resets it: the caller may then lose the refusal. Beyond
// maxDiscardedBytes the server closes its half of the connection first and gives the caller time to read.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	connection := http.NewResponseController(w)
	if connection.Flush() != nil || connection.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxDiscardedBytes))
}
