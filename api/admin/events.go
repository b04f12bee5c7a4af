package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/settings"
)

const (
	// eventKeepAlive is how often an idle event stream sends a comment, so that
	// a reader that left is noticed.
	eventKeepAlive = 15 * time.Second
	// eventWriteTime bounds how long a slow reader may block the stream.
	eventWriteTime = 10 * time.Second
)

// getEvents streams events as server-sent events, from those kept on. A reader
// that comes back sends the last number it saw in Last-Event-ID.
func (s *server) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.Header.Get("Last-Event-ID"), 10, 64)
	stream := &eventStream{writer: w, controller: http.NewResponseController(w), token: tokenOf(r), kind: EventKind(r.URL.Query().Get("kind"))}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	keepAlive := time.NewTicker(eventKeepAlive)
	defer keepAlive.Stop()
	for {
		events, more := s.Backend.EventsAfter(after)
		if len(events) > 0 {
			after = events[len(events)-1].Number
		}
		if stream.write(events) != nil {
			return
		}
		select {
		case <-more:
		case <-keepAlive.C:
			if stream.comment() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
		if !s.stillValid(r, stream.token) {
			return
		}
	}
}

// stillValid reports whether the token that opened a stream holds still: it
// may have been removed or have ended meanwhile.
func (s *server) stillValid(r *http.Request, token *settings.Token) bool {
	current, failed := s.authenticate(r)
	return failed == nil && current.Path == token.Path && allows(current, settings.RoleRead)
}

// eventStream writes to one reader.
type eventStream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	token      *settings.Token
	// kind to which the stream is narrowed, empty for all.
	kind EventKind
}

// write sends the events that the reader may see and asked for.
func (e *eventStream) write(events []Event) error {
	_ = e.controller.SetWriteDeadline(time.Now().Add(eventWriteTime))
	for i := range events {
		event := &events[i]
		if event.Path != "" && !settings.Contains(e.token.Path, event.Path) || e.kind != "" && e.kind != event.Kind {
			continue
		}
		data, err := json.Marshal(event)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(e.writer, "id: %d\nevent: %s\ndata: %s\n\n", event.Number, event.Kind, data); err != nil {
			return err
		}
	}
	return e.controller.Flush()
}

// comment sends a line that readers ignore.
func (e *eventStream) comment() error {
	_ = e.controller.SetWriteDeadline(time.Now().Add(eventWriteTime))
	if _, err := fmt.Fprint(e.writer, ": keep-alive\n\n"); err != nil {
		return err
	}
	return e.controller.Flush()
}
