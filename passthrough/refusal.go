package passthrough

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/verdict"
)

// minRetryAfter is the shortest wait that a refused caller is told.
const minRetryAfter = 50 * time.Millisecond

// refusalBody is the body of an answer that no machine gave.
type refusalBody struct {
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	Message string       `json:"message"`
}

// refuse answers a request at once with why it was given up, and when to come back if it
// did not run or found no place.
func (h *Handler) refuse(w http.ResponseWriter, failure *verdict.Error) int {
	status := statusOf(failure)
	body, err := json.Marshal(refusalBody{Code: failure.Code, Verdict: failure.Verdict.String(), Message: failure.Message})
	if err != nil {
		body = nil
	}
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || foundNoPlace(failure.Code) {
		wait := max(failure.RetryAfter, minRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
	return status
}

// turnAway refuses a request that was not accepted.
func (h *Handler) turnAway(w http.ResponseWriter, r *http.Request, failure *verdict.Error) {
	status := h.refuse(w, failure)
	h.Log.Write(eventlog.RequestRefused{
		Request: h.Dialect.ReadCaller(r.Header).RequestID, Status: status, Code: string(failure.Code), Cause: failure.Reason(),
	})
}

// foundNoPlace reports whether the request was given up since no machine would take it in
// time; a repetition before the time told would fare no better.
func foundNoPlace(code verdict.Code) bool {
	switch code {
	case verdict.CodeQueueFull, verdict.CodeQueueTimeout, verdict.CodeDeadlineUnmeetable:
		return true
	}
	return false
}

// statusOf maps a failure to a status. 503 and 429 promise that nothing ran and nothing
// will; after anything that may have run the answer is 502 or 504.
func statusOf(failure *verdict.Error) int {
	if failure.Verdict != verdict.NotRun {
		if failure.Code == verdict.CodeDeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch failure.Code {
	case verdict.CodeInvalidRequest:
		return http.StatusBadRequest
	case verdict.CodeRequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeTokenRateLimit, verdict.CodeRequestRateLimit:
		return http.StatusTooManyRequests
	case verdict.CodeModelNotFound:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
