package passthrough

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/verdict"
)

// minRetryAfter is the shortest Retry-After of a refusal.
const minRetryAfter = 50 * time.Millisecond

// refusalBody is the body of an answer that comes from the node, not from a machine.
type refusalBody struct {
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	Message string       `json:"message"`
}

// refuse answers a request with the failure and returns the status. It sets Retry-After if the
// request did not run or no machine had capacity in time.
func (h *Handler) refuse(w http.ResponseWriter, failure *verdict.Error) int {
	status := statusOf(failure)
	body, err := json.Marshal(refusalBody{Code: failure.Code, Verdict: failure.Verdict.String(), Message: failure.Message})
	if err != nil {
		body = nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || isCapacityFailure(failure.Code) {
		wait := max(failure.RetryAfter, minRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
	return status
}

// rejectRequest refuses a request that was not accepted, and logs it.
func (h *Handler) rejectRequest(w http.ResponseWriter, r *http.Request, failure *verdict.Error) {
	status := h.refuse(w, failure)
	h.Log.Write(eventlog.RequestRefused{
		Request: h.Dialect.ReadCaller(r.Header).RequestID, Status: status, Code: string(failure.Code), Cause: failure.Reason(),
	})
}

// isCapacityFailure reports whether the request failed because no machine had capacity in time. A
// retry before Retry-After would fail too.
func isCapacityFailure(code verdict.Code) bool {
	switch code {
	case verdict.CodeQueueFull, verdict.CodeQueueTimeout, verdict.CodeDeadlineUnmeetable:
		return true
	}
	return false
}

// statusOf returns the HTTP status for a failure. 503 and 429 promise that the request did not run
// and will not. If it may have run, the status is 502 or 504.
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
