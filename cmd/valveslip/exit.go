package main

import (
	"errors"
	"flag"
)

// Exit codes by cause.
const (
	exitOK             = 0
	exitFailure        = 1 // any other failure
	exitUsage          = 2 // invalid command line
	exitInvalid        = 3 // invalid input
	exitConflict       = 4 // edit that conflicts with a later change
	exitOutcomeUnknown = 5 // edit that may have taken effect
	exitDenied         = 6 // token that is invalid or lacks the permission
	exitViolation      = 7 // violated promise
	exitNotFound       = 8 // object that does not exist or is not visible to the token
	exitUnavailable    = 9 // no response; nothing was changed
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code for an error: the code of the exitError in its
// chain, exitUsage for flag.ErrHelp, and exitFailure otherwise.
func exitCode(err error) int {
	var withCode *exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	return exitFailure
}
