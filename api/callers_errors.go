package api

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/verdict"
)

// statusByCode maps the error codes that a caller can receive to HTTP statuses.
var statusByCode = map[verdict.Code]int{
	verdict.CodeInvalidRequest:     http.StatusBadRequest,
	verdict.CodeUnauthorized:       http.StatusUnauthorized,
	verdict.CodeForbidden:          http.StatusForbidden,
	verdict.CodeModelNotFound:      http.StatusNotFound,
	verdict.CodeRequestTooLarge:    http.StatusRequestEntityTooLarge,
	verdict.CodeConcurrencyLimit:   http.StatusTooManyRequests,
	verdict.CodeRequestRateLimit:   http.StatusTooManyRequests,
	verdict.CodeTokenRateLimit:     http.StatusTooManyRequests,
	verdict.CodeQueueFull:          http.StatusServiceUnavailable,
	verdict.CodeQueueTimeout:       http.StatusServiceUnavailable,
	verdict.CodeDeadlineUnmeetable: http.StatusServiceUnavailable,
	verdict.CodeDeadlineExceeded:   http.StatusGatewayTimeout,
	verdict.CodeNoCapacity:         http.StatusServiceUnavailable,
	verdict.CodeNodeDraining:       http.StatusServiceUnavailable,
	verdict.CodeOverloaded:         http.StatusServiceUnavailable,
	verdict.CodeEngineRefused:      http.StatusServiceUnavailable,
	verdict.CodeEngineFailed:       http.StatusBadGateway,
	verdict.CodeStreamCut:          http.StatusBadGateway,
	verdict.CodeDuplicateKey:       http.StatusConflict,
	verdict.CodeOutcomeUnknown:     http.StatusConflict,
	verdict.CodeCallerGone:         statusClientClosedRequest,
	verdict.CodeCallerStalled:      statusClientClosedRequest,
	verdict.CodeConflict:           http.StatusConflict,
	verdict.CodeUnavailable:        http.StatusServiceUnavailable,
	verdict.CodeInternal:           http.StatusInternalServerError,
	verdict.CodePoisonRequest:      http.StatusServiceUnavailable,
}

// statusClientClosedRequest is recorded for requests whose caller has disconnected or stalled, so
// that nobody receives it.
const statusClientClosedRequest = 499

// StatusOf returns the HTTP status of an error code, and 500 for an unknown code.
func StatusOf(code verdict.Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// errorBody is the error response of OpenAI's API, extended by the verdict.
type errorBody struct {
	Error errorObject `json:"error"`
}

// errorObject is the error object that clients of OpenAI's API parse.
type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Verdict string  `json:"verdict"`
}

// errorType returns the error type that OpenAI's API has for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// encodeError returns the JSON error response for a failure.
func encodeError(status int, failure *verdict.Error, param string) []byte {
	object := errorObject{
		Message: failure.Message, Type: errorType(status),
		Code: string(failure.Code), Verdict: failure.Verdict.String(),
	}
	if param != "" {
		object.Param = &param
	}
	body, err := json.Marshal(errorBody{Error: object})
	if err != nil {
		return []byte(`{"error":{}}`)
	}
	return body
}

// headerShouldRetry is the header field by which a server turns off the automatic retries of
// OpenAI's clients.
const headerShouldRetry = "X-Should-Retry"

// forbidRetry tells clients not to retry a request that may have run and is not repeatable. A
// request with an idempotency key that is still in progress may be sent again safely.
func forbidRetry(header http.Header, failure *verdict.Error, repeatable bool) {
	inProgress := failure.Code == verdict.CodeDuplicateKey && failure.Verdict == verdict.MayHaveRun
	if failure.Verdict != verdict.NotRun && !repeatable && !inProgress {
		header.Set(headerShouldRetry, "false")
	}
}

// writeError responds with an error object. param names the body or header field at fault and is
// empty if there is none.
func writeError(w http.ResponseWriter, status int, failure *verdict.Error, param string) {
	setErrorHeader(w.Header(), status, failure)
	w.WriteHeader(status)
	_, _ = w.Write(append(encodeError(status, failure, param), '\n'))
}

// setErrorHeader sets the header fields of an error response.
func setErrorHeader(header http.Header, status int, failure *verdict.Error) {
	header.Set("Content-Type", "application/json")
	header.Set(engine.HeaderVerdict, failure.Verdict.String())
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", formatRetryAfter(failure.RetryAfter))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
}

// UnsolicitedTimeoutResponse returns a response that closes a connection without a request in
// progress. It has status 408, which a server may send without a request (RFC 9110, 15.5.9):
// clients drop an idle connection on which they receive it, and treat it as the response to a
// request that they sent at the same time.
func UnsolicitedTimeoutResponse(failure *verdict.Error) []byte {
	body := append(encodeError(http.StatusRequestTimeout, failure, ""), '\n')
	response := http.Response{
		StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Close: true, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	setErrorHeader(response.Header, response.StatusCode, failure)
	var encoded bytes.Buffer
	_ = response.Write(&encoded)
	return encoded.Bytes()
}

// formatRetryAfter returns the value of a Retry-After field: whole seconds, rounded up.
func formatRetryAfter(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
