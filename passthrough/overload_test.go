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
