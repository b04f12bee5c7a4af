package main

import (
	"errors"
	"flag"
)

// Exit codes by cause.
const (
	exitOK          = 0
	exitFailure     = 1 // no code of its own
	exitUsage       = 2 // wrong command line
	exitInvalid     = 3 // input that is not valid
	exitConflict    = 4 // edit of what has changed meanwhile
	exitUnknown     = 5 // edit that may have taken effect
	exitDenied      = 6 // token that may not do this
	exitBroken      = 7 // promise found broken
	exitNotFound    = 8 // does not exist or may not be seen
	exitUnavailable = 9 // no answer; nothing was changed
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code of err: that of the exitError it wraps,
// exitUsage for a request for help, else exitFailure.
func exitCode(err error) int {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	return exitFailure
}
