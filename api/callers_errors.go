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

// statuses maps the codes a caller can see to HTTP statuses.
var statuses = map[verdict.Code]int{
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
	verdict.CodeCallerGone:         statusCallerGone,
	verdict.CodeCallerStalled:      statusCallerGone,
	verdict.CodeConflict:           http.StatusConflict,
	verdict.CodeUnavailable:        http.StatusServiceUnavailable,
	verdict.CodeInternal:           http.StatusInternalServerError,
	verdict.CodePoisonRequest:      http.StatusServiceUnavailable,
}

// statusCallerGone is recorded for requests whose caller left; nobody sees it.
const statusCallerGone = 499

// StatusOf returns the HTTP status of a code.
func StatusOf(code verdict.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// errorBody is OpenAI's error object plus the verdict.
type errorBody struct {
	Error errorObject `json:"error"`
}

// errorObject is the object clients of OpenAI's API read.
type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Verdict string  `json:"verdict"`
}

// errorType returns OpenAI's error type for a status.
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

// encodeError returns the error body of a failure.
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

// headerShouldRetry keeps OpenAI's clients from repeating a request by
// themselves.
const headerShouldRetry = "X-Should-Retry"

// forbidRetry tells clients not to repeat a request that may have run and is not
// repeatable. A request with a key that is in progress is safe to ask for again.
func forbidRetry(header http.Header, failure *verdict.Error, repeatable bool) {
	inProgress := failure.Code == verdict.CodeDuplicateKey && failure.Verdict == verdict.MayHaveRun
	if failure.Verdict != verdict.NotRun && !repeatable && !inProgress {
		header.Set(headerShouldRetry, "false")
	}
}

// writeError answers with an error object. Param names the body field or
// header at fault, empty for none.
func writeError(w http.ResponseWriter, status int, failure *verdict.Error, param string) {
	setErrorHeader(w.Header(), status, failure)
	w.WriteHeader(status)
	_, _ = w.Write(append(encodeError(status, failure, param), '\n'))
}

// setErrorHeader sets the header fields of an error's answer.
func setErrorHeader(header http.Header, status int, failure *verdict.Error) {
	header.Set("Content-Type", "application/json")
	header.Set(engine.HeaderVerdict, failure.Verdict.String())
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(failure.RetryAfter))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
}

// Dismissal returns an answer that ends a connection on which no request is in
// progress. Its status 408 is the one that a server may send unasked (RFC 9110,
// 15.5.9): clients drop an idle connection on which they read it, and take it for
// the answer of a request that crossed it.
func Dismissal(failure *verdict.Error) []byte {
	body := append(encodeError(http.StatusRequestTimeout, failure, ""), '\n')
	answer := http.Response{
		StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Close: true, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	setErrorHeader(answer.Header, answer.StatusCode, failure)
	var written bytes.Buffer
	_ = answer.Write(&written)
	return written.Bytes()
}

// retryAfter returns a wait in whole seconds, rounded up.
func retryAfter(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
