package eventlog

import (
	"errors"
	"net"
	"sync"

	"github.com/valveslip/valveslip/verdict"
)

// maxTrackedNames limits the memory of Failures. It exceeds the 1,600 workers that a node
// may call. Beyond it all entries are discarded, which only causes repeated log lines.
const maxTrackedNames = 4096

// Failures distinguishes new failures from repeated ones, so that each cause is logged
// once. It is safe for concurrent use; the zero value is ready to use.
type Failures struct {
	mutex      sync.Mutex
	lastCauses map[string]string
}

// IsNew records the result of the call with the given name, and reports whether it failed
// with another cause than the previous call with that name.
func (f *Failures) IsNew(name string, err error) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err == nil {
		delete(f.lastCauses, name)
		return false
	}
	cause := CauseOf(err)
	if lastCause, failed := f.lastCauses[name]; failed && lastCause == cause {
		return false
	}
	if f.lastCauses == nil || len(f.lastCauses) >= maxTrackedNames {
		f.lastCauses = make(map[string]string)
	}
	f.lastCauses[name] = cause
	return true
}

// CauseOf returns the error's message without the parts that differ between calls, such as
// the local port of a connection; it is empty for a nil error.
func CauseOf(err error) string {
	var failure *verdict.Error
	var operation *net.OpError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &failure):
		return failure.Message
	case errors.As(err, &operation):
		return operation.Op + ": " + operation.Err.Error()
	}
	return err.Error()
}
