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
	// eventKeepAliveInterval is the interval of the keep-alive comments on an event
	// stream, by which a client that has disconnected is detected.
	eventKeepAliveInterval = 15 * time.Second
	// eventWriteTimeout is the maximum time that a slow client may block a write.
	eventWriteTimeout = 10 * time.Second
)

// getEvents handles GET /events: it streams the retained events and then new ones as
// server-sent events. A client that reconnects sends the number of the last event
// that it received in the Last-Event-ID header.
func (s *server) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.Header.Get("Last-Event-ID"), 10, 64)
	stream := &eventStream{writer: w, controller: http.NewResponseController(w), token: requestToken(r), kind: EventKind(r.URL.Query().Get("kind"))}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	keepAlive := time.NewTicker(eventKeepAliveInterval)
	defer keepAlive.Stop()
	for {
		events, appended := s.Backend.EventsAfter(after)
		if len(events) > 0 {
			after = events[len(events)-1].Number
		}
		if stream.write(events) != nil {
			return
		}
		select {
		case <-appended:
		case <-keepAlive.C:
			if stream.writeKeepAlive() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
		if !s.isTokenStillValid(r, stream.token) {
			return
		}
	}
}

// isTokenStillValid reports whether the token that opened a stream is still valid.
// The token may have been removed or have expired since the stream was opened.
func (s *server) isTokenStillValid(r *http.Request, token *settings.Token) bool {
	current, verdictErr := s.authenticate(r)
	return verdictErr == nil && current.Path == token.Path && hasRole(current, settings.RoleRead)
}

// eventStream writes events to one client.
type eventStream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	token      *settings.Token
	// kind is the only kind of event to send; empty means all kinds.
	kind EventKind
}

// write sends those of the events that the token may see and that match the kind.
func (e *eventStream) write(events []Event) error {
	_ = e.controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
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

// writeKeepAlive sends a comment line, which clients ignore.
func (e *eventStream) writeKeepAlive() error {
	_ = e.controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if _, err := fmt.Fprint(e.writer, ": keep-alive\n\n"); err != nil {
		return err
	}
	return e.controller.Flush()
}
