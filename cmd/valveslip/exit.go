package main

import (
	"errors"
	"flag"
)

// Exit codes by cause.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
	exitUnknown  = 5
	exitDenied   = 6
	exitBroken   = 7
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
