package passthrough

import (
	"errors"
	"fmt"
	"time"

	"github.com/valveslip/valveslip/verdict"
)

// StalledError is the cause of a failed write to a caller that stopped reading the answer for too
// long, or until the node had no memory left to wait. The connections of a listener return it.
type StalledError struct {
	// Waiting is the number of unread bytes of the answer, For how long the caller has not read.
	Waiting int64
	For     time.Duration
	// Full is true if the node holds too many bytes to wait longer.
	Full bool
}

// Error implements error.
func (e *StalledError) Error() string {
	text := fmt.Sprintf("the caller took nothing of the answer for %d ms, %d bytes wait", e.For.Milliseconds(), e.Waiting)
	if e.Full {
		text += ", and the node keeps too many bytes"
	}
	return text
}

// stallError returns the failure for a write that failed with a StalledError, and nil for any
// other error.
func stallError(err error) *verdict.Error {
	var stalled *StalledError
	if !errors.As(err, &stalled) {
		return nil
	}
	return verdict.Wrap(errors.Join(errCallerSide, err), verdict.Ran, verdict.CodeCallerStalled, stalled.Error())
}
