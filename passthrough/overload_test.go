package passthrough

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
)

// TestOverloadedNodeRefusesRequests: while the process runs too late, a request is refused as not
// run before any of it is read or decided, with a Retry-After.
func TestOverloadedNodeRefusesRequests(t *testing.T) {
	compiled, err := catalog.Configuration{}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	for may, status := range map[bool]int{true: http.StatusNotFound, false: http.StatusServiceUnavailable} {
		h := NewHandler(Config{
			Dialect: testDialect{}, Catalog: func() *catalog.Compiled { return compiled }, MayAccept: func() (time.Duration, bool) { return time.Second, may },
		})
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h/r/", nil))
		if recorder.Code != status {
			t.Errorf("MayAccept %t: status %d, want %d", may, recorder.Code, status)
		}
		if refused := status == http.StatusServiceUnavailable; refused != (recorder.Header().Get("Retry-After") == "0.050") {
			t.Errorf("MayAccept %t: Retry-After %q", may, recorder.Header().Get("Retry-After"))
		}
	}
}

// TestActiveRequestsAreBounded: a request above the bound is refused at once, and requests are
// accepted again when others have ended.
func TestActiveRequestsAreBounded(t *testing.T) {
	compiled, err := catalog.Configuration{}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	entered, leave := make(chan struct{}), make(chan struct{})
	h := NewHandler(Config{Dialect: testDialect{}, MaxActiveRequests: 1, Catalog: func() *catalog.Compiled {
		entered <- struct{}{}
		<-leave
		return compiled
	}})
	serve := func() int {
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h/r/", nil))
		return recorder.Code
	}
	first := make(chan int)
	go func() { first <- serve() }()
	<-entered
	if status := serve(); status != http.StatusServiceUnavailable {
		t.Errorf("second request: status %d, want 503", status)
	}
	close(leave)
	if status := <-first; status != http.StatusNotFound {
		t.Errorf("first request: status %d, want 404", status)
	}
	go func() { first <- serve() }()
	<-entered
	if status := <-first; status != http.StatusNotFound {
		t.Errorf("request after the first has ended: status %d, want 404", status)
	}
}
