package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/standin/fault"
)

// flushBytes is how much of a stream is written at once when many tokens are
// due.
const flushBytes = 32 << 10

// reader writes one attempt's answer to one connection.
type reader struct {
	server *Server
	key    Key
	wake   chan struct{}
	format *format
	view   View
	// cut ends the connection at that token of the answer; zero means never.
	cut int
}

// serve waits for the attempt to start and writes its answer from the byte
// offset on.
func (r *reader) serve(writer http.ResponseWriter, request *http.Request, offset int64) {
	defer r.leave()
	for r.view.Status == StatusQueued || (!r.format.stream && r.running()) {
		if !r.wait(request) {
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
		body := r.format.whole()
		body = body[min(offset, int64(len(body))):]
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = writer.Write(body)
	}
}

func (r *reader) running() bool {
	return r.view.Status == StatusPrefilling || r.view.Status == StatusDecoding
}

// leave says that this connection reads no more.
func (r *reader) leave() {
	if r.running() || r.view.Status == StatusQueued {
		r.server.Do(func(now time.Time, state *State) {
			if r.forget() {
				state.Detach(now, r.key)
			}
		})
		return
	}
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.forget()
}

// forget takes the reader off the list of those to wake. It answers false when
// another connection reads the attempt.
func (r *reader) forget() bool {
	current := r.server.waiting[r.key] == r.wake
	if current {
		delete(r.server.waiting, r.key)
	}
	return current
}

// wait sleeps until the attempt has changed or its next token is due. It
// answers false when the caller has gone.
func (r *reader) wait(request *http.Request) bool {
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
	r.look()
	return true
}

// look reads the attempt's state.
func (r *reader) look() {
	r.server.Do(func(now time.Time, state *State) { r.view = state.View(now, r.key) })
}

// serveStream writes tokens as they come. skip bytes of the answer were
// delivered before.
func (r *reader) serveStream(writer http.ResponseWriter, request *http.Request, skip int64) {
	writer.Header()["Content-Type"] = []string{"text/event-stream"}
	writer.Header()["Cache-Control"] = []string{"no-cache"}
	out := &skippingWriter{to: writer, skip: skip}
	flush := http.NewResponseController(writer).Flush
	written := int(skip / int64(r.format.chunkBytes()))
	written = min(written, r.format.tokens)
	out.skip -= int64(written * r.format.chunkBytes())
	if order, strikes := r.server.Trigger(fault.KindCutStream); strikes {
		r.cut = written + max(order.Tokens, 1)
	}
	pooled := buffers.Get().(*[]byte)
	buffer := (*pooled)[:0]
	defer func() {
		*pooled = buffer
		buffers.Put(pooled)
	}()
	for {
		for written < r.visible() {
			end := min(r.visible(), written+max(1, flushBytes/r.format.chunkBytes()))
			buffer = r.format.appendTokens(buffer[:0], written, end)
			if out.write(buffer) != nil {
				return
			}
			written = end
		}
		r.cutAfter(written, flush)
		switch {
		case r.view.Status == StatusFinished:
			_ = out.write(r.format.appendEnd(buffer[:0]))
			return
		case !r.running():
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		if flush() != nil || !r.wait(request) {
			return
		}
	}
}

// buffers hold the part of a stream that is written at once.
var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, flushBytes+flushBytes/8)
	return &buffer
}}

// visible is how many tokens may be written.
func (r *reader) visible() int {
	if r.cut > 0 {
		return min(r.view.Generated, r.cut)
	}
	return r.view.Generated
}

// cutAfter drops the connection when the fault says so.
func (r *reader) cutAfter(written int, flush func() error) {
	if r.cut > 0 && written >= r.cut {
		_ = flush()
		panic(http.ErrAbortHandler)
	}
}

// skippingWriter leaves out the first bytes.
type skippingWriter struct {
	to   http.ResponseWriter
	skip int64
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
	_, err := w.to.Write(data)
	return err
}

// resume serves the rest of an attempt's answer.
func (s *Server) resume(writer http.ResponseWriter, request *http.Request) {
	key, ok := pathKey(request)
	offset, err := strconv.ParseInt(request.URL.Query().Get("offset"), 10, 64)
	if !ok || err != nil || offset < 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	reader := &reader{server: s, key: key, wake: make(chan struct{}, 1)}
	s.Do(func(now time.Time, state *State) {
		reader.view = state.View(now, key)
		reader.format = s.formats.get(key)
		if reader.view.Status != StatusUnknown && reader.format != nil {
			s.waiting[key] = reader.wake
			state.Attach(now, key)
		}
	})
	if reader.view.Status == StatusUnknown || reader.format == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writer.Header()[engine.HeaderRequestID] = []string{string(key.Request)}
	writer.Header()[engine.HeaderAttempt] = []string{strconv.FormatUint(uint64(key.Attempt), 10)}
	reader.serve(writer, request, offset)
}
