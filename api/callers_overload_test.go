package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestAdmissionHandlerRefusesWithoutServing guards against an overloaded node that still serves
// requests. A refused request must get the verdict not-run and a time to retry, and its connection
// must be closed. An admitted request must reach the next handler.
func TestAdmissionHandlerRefusesWithoutServing(t *testing.T) {
	for _, admitted := range []bool{true, false} {
		served := false
		next := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true })
		recorder := httptest.NewRecorder()
		AdmissionHandler(next, func() (time.Duration, bool) { return time.Second, admitted }).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/models", nil))
		if served != admitted {
			t.Errorf("admitted %t: served %t", admitted, served)
		}
		if admitted {
			continue
		}
		if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" || recorder.Header().Get("Connection") != "close" ||
			!strings.Contains(recorder.Body.String(), `"verdict":"not-run"`) {
			t.Errorf("refusal with status %d, header %v, body %s", recorder.Code, recorder.Header(), recorder.Body)
		}
	}
}
