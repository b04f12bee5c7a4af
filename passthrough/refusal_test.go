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

// promises are the statuses that say that the request did not and will not run.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// ended returns what the caller gets when the request ends so, with or without a whole
// answer of a machine at hand.
func ended(failure *verdict.Error, held *answer) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	current := &exchange{Handler: NewHandler(Config{}), writer: recorder, request: httptest.NewRequest(http.MethodPost, "/", nil), held: held}
	current.end(failure, routing.Explanation{})
	return recorder
}

// TestRefusalIsTrue: a status that says that nothing ran is given only then, always with
// the time to come back; the time is the one decided, no less than the shortest.
func TestRefusalIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		said := rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
		code := rapid.SampledFrom(endCodes).Draw(t, "code")
		after := time.Duration(rapid.IntRange(0, 10000).Draw(t, "after")) * time.Millisecond
		got := ended(verdict.New(said, code, "ended").After(after), nil)
		if promises[got.Code] && said != verdict.NotRun {
			t.Fatalf("%s %s is answered %d", code, said, got.Code)
		}
		told, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
		if promises[got.Code] && (err != nil || int64(math.Round(1000*told)) != max(after, minRetryAfter).Milliseconds()) {
			t.Fatalf("%s %s, %v later, is told %q", code, said, after, got.Header().Get("Retry-After"))
		}
	})
}

// TestWhoFoundNoPlaceIsToldWhen: a repeatable request that found no place after an attempt
// that may have run is told when there is one, though not that nothing ran.
func TestWhoFoundNoPlaceIsToldWhen(t *testing.T) {
	for code, want := range map[verdict.Code]string{
		verdict.CodeDeadlineUnmeetable: "4.300", verdict.CodeQueueTimeout: "4.300", verdict.CodeQueueFull: "4.300", verdict.CodeEngineFailed: "",
	} {
		got := ended(verdict.New(verdict.MayHaveRun, code, "ended").After(4300*time.Millisecond), nil)
		if got.Code != http.StatusBadGateway || got.Header().Get("Retry-After") != want {
			t.Errorf("%s: status %d, told %q, want 502 and %q", code, got.Code, got.Header().Get("Retry-After"), want)
		}
	}
}

// TestReadyAnswerIsDelivered: a whole answer of a machine goes to the caller, also when the
// request ended late or failed by then.
func TestReadyAnswerIsDelivered(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		for _, failure := range []*verdict.Error{
			nil, verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the deadline passed"),
			verdict.New(verdict.Ran, verdict.CodeEngineFailed, "the machine failed"),
			verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineUnmeetable, "no other machine in time"),
		} {
			got := ended(failure, &answer{status: status, header: http.Header{"X-Stamp": {"s"}}, body: []byte("whole")})
			if got.Code != status || got.Body.String() != "whole" || got.Header().Get("X-Stamp") != "s" {
				t.Errorf("%v: got %d %q", failure, got.Code, got.Body)
			}
		}
	}
}
