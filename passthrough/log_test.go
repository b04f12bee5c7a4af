package passthrough

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/routing"
)

// testDialect reads only the ID of the request.
type testDialect struct{ Dialect }

func (testDialect) ReadCaller(header http.Header) Attributes {
	return Attributes{RequestID: cluster.RequestID(header.Get("Id"))}
}

// captureLog returns the log output of a handler.
func captureLog(use func(h *Handler)) string {
	var text bytes.Buffer
	log := eventlog.New(&text, eventlog.Options{})
	use(NewHandler(Config{Log: log, Dialect: testDialect{}}))
	log.Close(10 * time.Second)
	return text.String()
}

// brokenBody is a request body that ends early.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestRefusalBeforeAcceptanceIsLogged: a request without a configuration or a route, or with a
// truncated body, gets one log line with the cause.
func TestRefusalBeforeAcceptanceIsLogged(t *testing.T) {
	routes, err := catalog.Configuration{
		Routes:   []catalog.Route{{Name: "r", Host: "h", PathPrefix: "/r/", Timeout: time.Minute, Targets: []catalog.Target{{Service: "s", Weight: 1}}}},
		Services: []catalog.Service{{Name: "s"}},
	}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		compiled *catalog.Compiled
		path     string
		status   int
		line     string
	}{
		{"no configuration", nil, "/r/", http.StatusServiceUnavailable, `code=unavailable cause="no configuration is known yet"`},
		{"no route", routes, "/x/", http.StatusNotFound, `code=model_not_found cause="there is no such route"`},
		{"truncated body", routes, "/r/", http.StatusBadRequest, `code=invalid_request cause="the body was cut: unexpected EOF"`},
	} {
		recorder := httptest.NewRecorder()
		text := captureLog(func(h *Handler) {
			h.Catalog = func() *catalog.Compiled { return c.compiled }
			request := httptest.NewRequest(http.MethodPost, "http://h"+c.path, brokenBody{})
			request.Header.Set("Id", "a")
			h.ServeHTTP(recorder, request)
		})
		if recorder.Code != c.status {
			t.Errorf("%s: status %d, want %d", c.name, recorder.Code, c.status)
		}
		if strings.Count(text, "\n") != 1 || !strings.Contains(text, "msg=request_refused request=a status=") || !strings.Contains(text, c.line) {
			t.Errorf("%s: log %q, want one line with %q", c.name, text, c.line)
		}
	}
}

// failingWriter is the connection of a caller that has left when the answer is sent.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// TestFailedWriteToCallerIsLogged: the log line at the end of a request states that the caller did
// not receive the complete answer, and only then.
func TestFailedWriteToCallerIsLogged(t *testing.T) {
	for _, written := range []bool{true, false} {
		text := captureLog(func(h *Handler) {
			var writer http.ResponseWriter = httptest.NewRecorder()
			if !written {
				writer = failingWriter{httptest.NewRecorder()}
			}
			current := &exchange{
				Handler: h, writer: writer, request: httptest.NewRequest(http.MethodPost, "/", nil),
				buffered: &machineAnswer{status: http.StatusOK, header: http.Header{}, body: []byte("whole")},
			}
			current.end(nil, routing.Explanation{})
		})
		if logged := strings.Contains(text, `untaken="connection reset"`); logged == written {
			t.Errorf("answer written %t: log %q", written, text)
		}
	}
}

// TestLongestPauseIsLoggedWithItsTime: the log line at the end of a stream states the longest
// pause and when it ended, so that it can be compared with other events on the machine.
func TestLongestPauseIsLoggedWithItsTime(t *testing.T) {
	arrived := time.Unix(1000, 0)
	at := arrived
	text := captureLog(func(h *Handler) {
		h.now = func() time.Time { return at }
		stream := &attempt{exchange: &exchange{
			Handler: h, writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/", nil), arrived: arrived, headSent: true,
		}}
		for _, event := range []time.Duration{100, 150, 950, 1000, 1300} {
			at = arrived.Add(event * time.Millisecond)
			stream.recordPause()
		}
		stream.end(nil, routing.Explanation{})
	})
	if !strings.Contains(text, " pause_ms=800 pause_end_ms=950") {
		t.Errorf("log %q, want a pause of 800 ms until 950 ms", text)
	}
}
