package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/standin/fault"
)

// flushBytes limits the size of one write to a stream when many tokens are
// available.
const flushBytes = 32 << 10

// answerWriter writes the answer of one attempt to one connection.
type answerWriter struct {
	server *Server
	key    Key
	wake   chan struct{}
	format *answerFormat
	view   View
	// cutAtToken is the number of tokens after which a KindCutStream fault closes
	// the connection; zero means never.
	cutAtToken int
}

// serve waits until the attempt has started, or has ended if the answer isn't
// streamed, and writes the answer from the byte offset on.
func (r *answerWriter) serve(writer http.ResponseWriter, request *http.Request, offset int64) {
	defer r.detach()
	for r.view.Status == StatusQueued || (!r.format.stream && r.running()) {
		if !r.waitForChange(request) {
			return
		}
	}
	switch {
	case r.view.Status == StatusRefused:
		writeRefusal(writer, r.view.Refusal)
	case r.view.Status == StatusFailed || r.view.Status == StatusUnknown:
		panic(http.ErrAbortHandler)
	case r.format.stream:
		r.serveStream(writer, request, offset)
	default:
		body := r.format.completeBody()
		body = body[min(offset, int64(len(body))):]
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = writer.Write(body)
	}
}

func (r *answerWriter) running() bool {
	return r.view.Status == StatusPrefilling || r.view.Status == StatusDecoding
}

// detach unregisters the connection and, if the attempt has not ended and no
// other connection reads it, marks it as unread.
func (r *answerWriter) detach() {
	if r.running() || r.view.Status == StatusQueued {
		r.server.Do(func(now time.Time, state *State) {
			if r.unregister() {
				state.Detach(now, r.key)
			}
		})
		return
	}
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.unregister()
}

// unregister removes the wake-up channel of this connection. It returns false if
// another connection reads the attempt by now.
func (r *answerWriter) unregister() bool {
	current := r.server.wakeChannels[r.key] == r.wake
	if current {
		delete(r.server.wakeChannels, r.key)
	}
	return current
}

// waitForChange waits until the attempt has changed or its next token is
// available. It returns false if the caller disconnected.
func (r *answerWriter) waitForChange(request *http.Request) bool {
	var due <-chan time.Time
	if r.format.stream && r.view.Status == StatusDecoding && !r.view.NextToken.IsZero() {
		timer := time.NewTimer(time.Until(r.view.NextToken))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-r.wake:
	case <-due:
	case <-request.Context().Done():
		return false
	}
	r.refreshView()
	return true
}

// refreshView updates the view of the attempt.
func (r *answerWriter) refreshView() {
	r.server.Do(func(now time.Time, state *State) { r.view = state.View(now, r.key) })
}

// serveStream writes tokens as they are generated. It leaves out the first skip
// bytes of the stream, which the caller has received before.
func (r *answerWriter) serveStream(writer http.ResponseWriter, request *http.Request, skip int64) {
	writer.Header()["Content-Type"] = []string{"text/event-stream"}
	writer.Header()["Cache-Control"] = []string{"no-cache"}
	out := &skippingWriter{target: writer, skip: skip}
	flush := http.NewResponseController(writer).Flush
	written := int(skip / int64(r.format.chunkBytes()))
	written = min(written, r.format.tokens)
	out.skip -= int64(written * r.format.chunkBytes())
	if order, strikes := r.server.Trigger(fault.KindCutStream); strikes {
		r.cutAtToken = written + max(order.Tokens, 1)
	}
	pooled := streamBuffers.Get().(*[]byte)
	buffer := (*pooled)[:0]
	defer func() {
		*pooled = buffer
		streamBuffers.Put(pooled)
	}()
	for {
		for written < r.availableTokens() {
			end := min(r.availableTokens(), written+max(1, flushBytes/r.format.chunkBytes()))
			buffer = r.format.appendTokens(buffer[:0], written, end)
			if out.write(buffer) != nil {
				return
			}
			written = end
		}
		r.cutConnectionAfter(written, flush)
		switch {
		case r.view.Status == StatusFinished:
			_ = out.write(r.format.appendEnd(buffer[:0]))
			return
		case !r.running():
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		if flush() != nil || !r.waitForChange(request) {
			return
		}
	}
}

// streamBuffers are reused buffers for one write to a stream.
var streamBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, flushBytes+flushBytes/8)
	return &buffer
}}

// availableTokens returns the number of tokens that may be written.
func (r *answerWriter) availableTokens() int {
	if r.cutAtToken > 0 {
		return min(r.view.Generated, r.cutAtToken)
	}
	return r.view.Generated
}

// cutConnectionAfter closes the connection once the tokens before a cut are
// written.
func (r *answerWriter) cutConnectionAfter(written int, flush func() error) {
	if r.cutAtToken > 0 && written >= r.cutAtToken {
		_ = flush()
		panic(http.ErrAbortHandler)
	}
}

// skippingWriter writes to target without the first skip bytes.
type skippingWriter struct {
	target http.ResponseWriter
	skip   int64
}

func (w *skippingWriter) write(data []byte) error {
	if w.skip > 0 {
		left := min(w.skip, int64(len(data)))
		data = data[left:]
		w.skip -= left
	}
	if len(data) == 0 {
		return nil
	}
	_, err := w.target.Write(data)
	return err
}

// resume serves an attempt's answer from a byte offset on.
func (s *Server) resume(writer http.ResponseWriter, request *http.Request) {
	key, ok := pathKey(request)
	offset, err := strconv.ParseInt(request.URL.Query().Get("offset"), 10, 64)
	if !ok || err != nil || offset < 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	answer := &answerWriter{server: s, key: key, wake: make(chan struct{}, 1)}
	s.Do(func(now time.Time, state *State) {
		answer.view = state.View(now, key)
		answer.format = s.formats.get(key)
		if answer.view.Status != StatusUnknown && answer.format != nil {
			s.wakeChannels[key] = answer.wake
			state.Attach(now, key)
		}
	})
	if answer.view.Status == StatusUnknown || answer.format == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writer.Header()[engine.HeaderRequestID] = []string{string(key.Request)}
	writer.Header()[engine.HeaderAttempt] = []string{strconv.FormatUint(uint64(key.Attempt), 10)}
	answer.serve(writer, request, offset)
}
