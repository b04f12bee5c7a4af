package admin

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/api"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// failureBody is the body of every error response.
type failureBody struct {
	Error Failure `json:"error"`
}

// Failure is the error object of a response. It states the error and whether the
// request may have taken effect.
type Failure struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	// Verdict is "not-run" if nothing was changed.
	Verdict string `json:"verdict"`
	// Problems are the validation errors of an edit, with status 422.
	Problems []*settings.ValidationError `json:"problems,omitempty"`
	// Conflicts are the conflicts with edits that were accepted after the edit's
	// base revision. CurrentRevision is the revision to base a new edit on. Both are
	// set with status 409.
	Conflicts       []settings.Conflict `json:"conflicts,omitempty"`
	CurrentRevision int64               `json:"current_revision,omitempty"`
	// OutcomePath is the path at which a client can read whether the edit took effect.
	// It is set if the outcome is unknown (verdict "may-have-run", status 503 or
	// 500).
	OutcomePath string `json:"settle,omitempty"`
}

// unavailableRetryAfter is the minimum Retry-After delay of a response to a request
// that failed because the key-value service was not available.
const unavailableRetryAfter = 2 * time.Second

// writeFailure writes an error response. A retryAfter of zero sets no Retry-After
// header.
func writeFailure(w http.ResponseWriter, status int, failure Failure, retryAfter time.Duration) {
	w.Header().Set(engine.HeaderVerdict, failure.Verdict)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, status, failureBody{Error: failure})
}

// writeVerdict writes the error response for a classified error.
func writeVerdict(w http.ResponseWriter, err *verdict.Error) {
	writeFailure(w, httpStatus(err.Code), Failure{
		Code: err.Code, Message: err.Message, Verdict: err.Verdict.String(),
	}, err.RetryAfter)
}

// httpStatus returns the HTTP status of an error code. An unknown outcome of an edit
// is a server error, because the request itself was not at fault.
func httpStatus(code verdict.Code) int {
	if code == verdict.CodeOutcomeUnknown {
		return http.StatusServiceUnavailable
	}
	return api.StatusOf(code)
}

// writeError writes the error response for a read that failed. Its verdict is
// always "not-run", because reads change nothing.
func writeError(w http.ResponseWriter, err error) {
	var verdictErr *verdict.Error
	switch {
	case errors.Is(err, ErrNotFound), errors.Is(err, settings.ErrRevisionGone):
		writeFailure(w, http.StatusNotFound, Failure{
			Code: codeNotFound, Message: err.Error(), Verdict: verdict.NotRun.String()}, 0)
	case errors.As(err, &verdictErr):
		writeFailure(w, httpStatus(verdictErr.Code), Failure{
			Code: verdictErr.Code, Message: verdictErr.Message, Verdict: verdict.NotRun.String(),
		}, max(verdictErr.RetryAfter, unavailableRetryAfter))
	default:
		writeFailure(w, http.StatusInternalServerError, Failure{
			Code: verdict.CodeInternal, Message: "the answer could not be made; the node's log says why", Verdict: verdict.NotRun.String()}, 0)
	}
}

// codeNotFound is the error code for an object that does not exist or that the
// token may not see.
const codeNotFound verdict.Code = "not_found"

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// badRequest returns the error for a request that is malformed.
func badRequest(format string, arguments ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, format, arguments...)
}
