package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have been executed by an engine.
type Verdict uint8

const (
	// MayHaveRun is the zero value: an error without an explicit verdict must be
	// treated as if the request may have been executed.
	MayHaveRun Verdict = iota
	// NotRun means that no engine executed any part of the request: it was
	// refused before a byte was written to an engine, or the engine confirmed
	// that it had not started it.
	NotRun
	// Ran means that an engine executed the request, fully or in part.
	Ran
)

// String returns the form used in headers, logs and error bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict for a text written by String. Unknown text gives
// MayHaveRun.
func Parse(text string) Verdict {
	switch text {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Code classifies an error for callers, logs and metrics.
type Code string

// The codes that a caller can receive. Package api maps each to one HTTP status.
const (
	CodeInvalidRequest     Code = "invalid_request"
	CodeUnauthorized       Code = "unauthorized"
	CodeForbidden          Code = "forbidden"
	CodeModelNotFound      Code = "model_not_found"
	CodeRequestTooLarge    Code = "request_too_large"
	CodeConcurrencyLimit   Code = "concurrency_limit"
	CodeRequestRateLimit   Code = "request_rate_limit"
	CodeTokenRateLimit     Code = "token_rate_limit"
	CodeQueueFull          Code = "queue_full"
	CodeQueueTimeout       Code = "queue_timeout"
	CodeDeadlineUnmeetable Code = "deadline_unmeetable"
	CodeDeadlineExceeded   Code = "deadline_exceeded"
	CodeNoCapacity         Code = "no_capacity"
	CodeNodeDraining       Code = "node_draining"
	CodeOverloaded         Code = "overloaded"
	CodeEngineRefused      Code = "engine_refused"
	CodeEngineFailed       Code = "engine_failed"
	CodeStreamCut          Code = "stream_cut"
	CodeDuplicateKey       Code = "idempotency_key_in_use"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeCallerGone         Code = "caller_gone"
	CodeCallerStalled      Code = "caller_stalled"
	CodeConflict           Code = "conflict"
	CodeUnavailable        Code = "unavailable"
	CodeInternal           Code = "internal"
	// CodePoisonRequest rejects a request whose earlier runs ended the machines
	// that executed it.
	CodePoisonRequest Code = "poison_request"
)

// Error is a classified error with a verdict.
type Error struct {
	// Verdict says whether the request may have been executed.
	Verdict Verdict
	// Code classifies the error.
	Code Code
	// Message is one human-readable sentence; it never contains secrets or
	// prompts.
	Message string
	// RetryAfter is the time after which the caller may retry; zero means
	// unstated.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an Error without a cause.
func New(verdict Verdict, code Code, format string, arguments ...any) *Error {
	return &Error{Verdict: verdict, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Wrap returns an Error with the given cause.
func Wrap(cause error, verdict Verdict, code Code, message string) *Error {
	return &Error{Verdict: verdict, Code: code, Message: message, Cause: cause}
}

// After returns a copy of the error with RetryAfter set to wait.
func (e *Error) After(wait time.Duration) *Error {
	copied := *e
	copied.RetryAfter = wait
	return &copied
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s, %s): %v", e.Message, e.Code, e.Verdict, e.Cause)
	}
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Verdict)
}

// Reason returns the message and the cause, without code and verdict, for logs
// that have these in separate fields.
func (e *Error) Reason() string {
	if e.Cause == nil {
		return e.Message
	}
	return e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict of err. It is MayHaveRun if err carries none, which is
// the only safe assumption.
func Of(err error) Verdict {
	var classified *Error
	if errors.As(err, &classified) {
		return classified.Verdict
	}
	return MayHaveRun
}

// CodeOf returns the code of err, or CodeInternal if err carries none.
func CodeOf(err error) Code {
	var classified *Error
	if errors.As(err, &classified) {
		return classified.Code
	}
	return CodeInternal
}
