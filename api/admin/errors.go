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

// failureBody is the body of every error answer.
type failureBody struct {
	Error Failure `json:"error"`
}

// Failure says what is wrong and whether an edit may have taken effect.
type Failure struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	// Verdict is "not-run" when nothing was changed.
	Verdict string `json:"verdict"`
	// Problems of an edit, with status 422.
	Problems []*settings.ValidationError `json:"problems,omitempty"`
	// Conflicts of an edit and the revision to read anew, with status 409.
	Conflicts       []settings.Conflict `json:"conflicts,omitempty"`
	CurrentRevision int64               `json:"current_revision,omitempty"`
	// Settle is the path that tells whether the edit took effect, with status
	// 503 and the verdict "may-have-run".
	Settle string `json:"settle,omitempty"`
}

// retryUnavailable is when to come back after the key-value service failed.
const retryUnavailable = 2 * time.Second

// writeFailure answers with an error object.
func writeFailure(w http.ResponseWriter, status int, object Failure, retryAfter time.Duration) {
	w.Header().Set(engine.HeaderVerdict, object.Verdict)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, status, failureBody{Error: object})
}

// writeVerdict answers with a classified error.
func writeVerdict(w http.ResponseWriter, err *verdict.Error) {
	writeFailure(w, statusOf(err.Code), Failure{
		Code: err.Code, Message: err.Message, Verdict: err.Verdict.String(),
	}, err.RetryAfter)
}

// statusOf returns the HTTP status of a code. An edit whose outcome is unknown
// is not the caller's fault.
func statusOf(code verdict.Code) int {
	if code == verdict.CodeOutcomeUnknown {
		return http.StatusServiceUnavailable
	}
	return api.StatusOf(code)
}

// writeError answers a read that failed.
func writeError(w http.ResponseWriter, err error) {
	var classified *verdict.Error
	switch {
	case errors.Is(err, ErrNotFound), errors.Is(err, settings.ErrRevisionGone):
		writeFailure(w, http.StatusNotFound, Failure{
			Code: codeNotFound, Message: err.Error(), Verdict: verdict.NotRun.String()}, 0)
	case errors.As(err, &classified):
		writeFailure(w, statusOf(classified.Code), Failure{
			Code: classified.Code, Message: classified.Message, Verdict: verdict.NotRun.String(),
		}, max(classified.RetryAfter, retryUnavailable))
	default:
		writeFailure(w, http.StatusInternalServerError, Failure{
			Code: verdict.CodeInternal, Message: "the answer could not be made; the node's log says why", Verdict: verdict.NotRun.String()}, 0)
	}
}

// codeNotFound is the code of what does not exist or may not be seen.
const codeNotFound verdict.Code = "not_found"

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// badRequest is the error for a request that is not understood.
func badRequest(format string, arguments ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, format, arguments...)
}
