package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestBoundedRefusesAtOnce: what may not be taken is refused as not run with the time to come
// back, on a connection that ends; all else passes.
func TestBoundedRefusesAtOnce(t *testing.T) {
	for _, may := range []bool{true, false} {
		served := false
		next := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true })
		recorder := httptest.NewRecorder()
		Bounded(next, func() (time.Duration, bool) { return time.Second, may }).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/models", nil))
		if served != may {
			t.Errorf("may be taken %t: served %t", may, served)
		}
		if may {
			continue
		}
		if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" || recorder.Header().Get("Connection") != "close" ||
			!strings.Contains(recorder.Body.String(), `"verdict":"not-run"`) {
			t.Errorf("%d, %v, %s", recorder.Code, recorder.Header(), recorder.Body)
		}
	}
}
