package api

import (
	"net/http"
	"time"

	"github.com/valveslip/valveslip/verdict"
)

// relayedHeaders of an engine's answer reach the caller.
var relayedHeaders = []string{"Content-Type", "Cache-Control", "Openai-Processing-Ms"}

// sink writes an answer to the caller's connection.
type sink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	stream  bool
	// deadline is when the current write deadline expires.
	deadline time.Time
}

// newSink returns a sink. Each write may stall for at most the given time.
func newSink(w http.ResponseWriter, stall time.Duration, stream bool) *sink {
	return &sink{writer: w, control: http.NewResponseController(w), stall: stall, stream: stream}
}

// Start sends status and header.
func (s *sink) Start(status int, header http.Header) error {
	own := s.writer.Header()
	for _, name := range relayedHeaders {
		if values := header[name]; len(values) > 0 {
			own[name] = values
		}
	}
	s.writer.WriteHeader(status)
	return nil
}

// Write sends data, at once when the answer is a stream.
func (s *sink) Write(data []byte) error {
	s.extend()
	if _, err := s.writer.Write(data); err != nil {
		return err
	}
	if !s.stream {
		return nil
	}
	return s.control.Flush()
}

// extend moves the write deadline on when a quarter of it is used up.
func (s *sink) extend() {
	now := time.Now()
	if s.deadline.Sub(now) > s.stall*3/4 {
		return
	}
	s.deadline = now.Add(s.stall)
	_ = s.control.SetWriteDeadline(s.deadline)
}

// fail ends a stream with an error event.
func (s *sink) fail(failure *verdict.Error) {
	event := append([]byte("\n\ndata: "), encodeError(StatusOf(failure.Code), failure, "")...)
	_ = s.Write(append(event, "\n\n"...))
}
