package passthrough

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
)

// TestLateNodeSendsCallersElsewhere: while the process works too late a request is refused at
// once as not run, before anything of it is read or decided, with the time to come back.
func TestLateNodeSendsCallersElsewhere(t *testing.T) {
	compiled, err := catalog.Configuration{}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	for may, status := range map[bool]int{true: http.StatusNotFound, false: http.StatusServiceUnavailable} {
		h := NewHandler(Config{
			Dialect: testDialect{}, Catalog: func() *catalog.Compiled { return compiled }, MayTake: func() (time.Duration, bool) { return time.Second, may },
		})
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h/r/", nil))
		if recorder.Code != status {
			t.Errorf("may be taken %t: status %d, want %d", may, recorder.Code, status)
		}
		if refused := status == http.StatusServiceUnavailable; refused != (recorder.Header().Get("Retry-After") == "0.050") {
			t.Errorf("may be taken %t: come back after %q", may, recorder.Header().Get("Retry-After"))
		}
	}
}

// TestRequestsUnderWayAreBounded: what a node has no room for is refused at once, and taken
// again when others have ended.
func TestRequestsUnderWayAreBounded(t *testing.T) {
	compiled, err := catalog.Configuration{}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	entered, leave := make(chan struct{}), make(chan struct{})
	h := NewHandler(Config{Dialect: testDialect{}, MostUnderWay: 1, Catalog: func() *catalog.Compiled {
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
		t.Errorf("a second one gets %d", status)
	}
	close(leave)
	if status := <-first; status != http.StatusNotFound {
		t.Errorf("the first one gets %d", status)
	}
	go func() { first <- serve() }()
	<-entered
	if status := <-first; status != http.StatusNotFound {
		t.Errorf("one after that gets %d", status)
	}
}
