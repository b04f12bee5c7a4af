package passthrough

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/internal/propertytest"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

func TestMain(m *testing.M) { propertytest.Main(m) }

var endCodes = []verdict.Code{
	verdict.CodeInvalidRequest, verdict.CodeModelNotFound, verdict.CodeRequestTooLarge, verdict.CodeQueueFull, verdict.CodeQueueTimeout,
	verdict.CodeDeadlineUnmeetable, verdict.CodeDeadlineExceeded, verdict.CodeNodeDraining, verdict.CodeOverloaded, verdict.CodeEngineRefused,
	verdict.CodeEngineFailed, verdict.CodeStreamCut, verdict.CodeUnavailable, verdict.CodeInternal,
}

// notRunStatuses are the statuses that promise that the request did not and will not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// endWith returns the response to a request that ends with the given failure, with or without a
// buffered answer of a machine.
func endWith(failure *verdict.Error, buffered *machineAnswer) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	current := &exchange{Handler: NewHandler(Config{}), writer: recorder, request: httptest.NewRequest(http.MethodPost, "/", nil), buffered: buffered}
	current.end(failure, routing.Explanation{})
	return recorder
}

// TestNotRunStatusOnlyIfNotRun: a status that promises that nothing ran is used only if that is
// true. It always comes with a Retry-After, which is the decided time but at least minRetryAfter.
func TestNotRunStatusOnlyIfNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stated := rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
		code := rapid.SampledFrom(endCodes).Draw(t, "code")
		after := time.Duration(rapid.IntRange(0, 10000).Draw(t, "after")) * time.Millisecond
		got := endWith(verdict.New(stated, code, "ended").After(after), nil)
		if notRunStatuses[got.Code] && stated != verdict.NotRun {
			t.Fatalf("%s %s: status %d promises that nothing ran", code, stated, got.Code)
		}
		retryAfter, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
		if notRunStatuses[got.Code] && (err != nil || int64(math.Round(1000*retryAfter)) != max(after, minRetryAfter).Milliseconds()) {
			t.Fatalf("%s %s, retry after %v: Retry-After %q", code, stated, after, got.Header().Get("Retry-After"))
		}
	})
}

// TestCapacityFailureHasRetryAfter: a repeatable request that found no capacity after an attempt
// that may have run gets a Retry-After, but not a status that promises that nothing ran.
func TestCapacityFailureHasRetryAfter(t *testing.T) {
	for code, want := range map[verdict.Code]string{
		verdict.CodeDeadlineUnmeetable: "4.300", verdict.CodeQueueTimeout: "4.300", verdict.CodeQueueFull: "4.300", verdict.CodeEngineFailed: "",
	} {
		got := endWith(verdict.New(verdict.MayHaveRun, code, "ended").After(4300*time.Millisecond), nil)
		if got.Code != http.StatusBadGateway || got.Header().Get("Retry-After") != want {
			t.Errorf("%s: status %d, Retry-After %q, want 502 and %q", code, got.Code, got.Header().Get("Retry-After"), want)
		}
	}
}

// TestBufferedAnswerIsDeliveredDespiteFailure: the caller gets a complete answer of a machine even
// if the request was late or failed by then.
func TestBufferedAnswerIsDeliveredDespiteFailure(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		for _, failure := range []*verdict.Error{
			nil, verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the deadline passed"),
			verdict.New(verdict.Ran, verdict.CodeEngineFailed, "the machine failed"),
			verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineUnmeetable, "no other machine in time"),
		} {
			got := endWith(failure, &machineAnswer{status: status, header: http.Header{"X-Stamp": {"s"}}, body: []byte("whole")})
			if got.Code != status || got.Body.String() != "whole" || got.Header().Get("X-Stamp") != "s" {
				t.Errorf("failure %v: got %d %q, want the buffered answer", failure, got.Code, got.Body)
			}
		}
	}
}
