package api

import (
	"net/http"
	"time"

	"github.com/valveslip/valveslip/verdict"
)

// forwardedResponseHeaders are copied from the engine's response to the caller's.
var forwardedResponseHeaders = []string{"Content-Type", "Cache-Control", "Openai-Processing-Ms"}

// sink writes a response to the caller's connection.
type sink struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	stallTimeout time.Duration
	stream       bool
	// deadline is the current write deadline of the connection.
	deadline time.Time
}

// newSink returns a sink whose writes fail after waiting for the caller for stallTimeout.
func newSink(w http.ResponseWriter, stallTimeout time.Duration, stream bool) *sink {
	return &sink{writer: w, control: http.NewResponseController(w), stallTimeout: stallTimeout, stream: stream}
}

// Start sends the status and the header.
func (s *sink) Start(status int, header http.Header) error {
	responseHeader := s.writer.Header()
	for _, name := range forwardedResponseHeaders {
		if values := header[name]; len(values) > 0 {
			responseHeader[name] = values
		}
	}
	s.writer.WriteHeader(status)
	return nil
}

// Write sends data. In a stream it flushes after each write.
func (s *sink) Write(data []byte) error {
	s.extendWriteDeadline()
	if _, err := s.writer.Write(data); err != nil {
		return err
	}
	if !s.stream {
		return nil
	}
	return s.control.Flush()
}

// extendWriteDeadline moves the write deadline to stallTimeout from now once a quarter of that
// time has passed, so that not every write has to set it.
func (s *sink) extendWriteDeadline() {
	now := time.Now()
	if s.deadline.Sub(now) > s.stallTimeout*3/4 {
		return
	}
	s.deadline = now.Add(s.stallTimeout)
	_ = s.control.SetWriteDeadline(s.deadline)
}

// writeErrorEvent ends a stream with an error event.
func (s *sink) writeErrorEvent(failure *verdict.Error) {
	event := append([]byte("\n\ndata: "), encodeError(StatusOf(failure.Code), failure, "")...)
	_ = s.Write(append(event, "\n\n"...))
}
