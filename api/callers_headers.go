package api

import (
	"net/http"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/settings"
)

// Header fields of the callers' API beyond OpenAI's. The deadline and priority
// use the engine API's names.
const (
	// HeaderRepeatable is "true" or "false": whether the request may run twice.
	HeaderRepeatable = "X-Valveslip-Repeatable"
	// HeaderIdempotencyKey marks a request whose repetition must not run again.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// passedHeaders go to the engine as the caller sent them.
var passedHeaders = []string{"Traceparent", "Tracestate"}

// terms are the conditions a caller states in header fields.
type terms struct {
	deadline   time.Time
	priority   int
	repeatable bool
	// key is the Idempotency-Key, empty for none.
	key string
}

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// readTerms reads the header fields; policy gives what they leave out.
func (c *callers) readTerms(header http.Header, policy *settings.Policy, now time.Time) (terms, *bodyError) {
	read := terms{priority: policy.Priority, repeatable: policy.Repeatable}
	if read.key = header.Get(HeaderIdempotencyKey); len(read.key) > maxKeyBytes {
		return read, invalid(HeaderIdempotencyKey, "the key is longer than %d bytes", maxKeyBytes)
	}
	var fault *bodyError
	if read.deadline, fault = c.readDeadline(header.Get(engine.HeaderDeadline), policy, now); fault != nil {
		return read, fault
	}
	if text := header.Get(engine.HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return read, invalid(engine.HeaderPriority, "the priority is not a whole number")
		}
		read.priority = min(priority, policy.Priority)
	}
	if text := header.Get(HeaderRepeatable); text != "" {
		repeatable, err := strconv.ParseBool(text)
		if err != nil {
			return read, invalid(HeaderRepeatable, "it is neither true nor false")
		}
		read.repeatable = repeatable
	}
	return read, nil
}

// readDeadline reads a duration from now or an RFC 3339 time.
func (c *callers) readDeadline(text string, policy *settings.Policy, now time.Time) (time.Time, *bodyError) {
	latest := now.Add(c.MaxDeadline)
	if text == "" {
		if policy.Deadline <= 0 {
			return latest, nil
		}
		return earlier(now.Add(policy.Deadline), latest), nil
	}
	if wait, err := time.ParseDuration(text); err == nil {
		if wait <= 0 {
			return latest, invalid(engine.HeaderDeadline, "the deadline is not in the future")
		}
		return earlier(now.Add(wait), latest), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return latest, invalid(engine.HeaderDeadline, "the deadline is neither a duration nor an RFC 3339 time")
	}
	if !deadline.After(now) {
		return latest, invalid(engine.HeaderDeadline, "the deadline is not in the future")
	}
	return earlier(deadline, latest), nil
}

// earlier returns the earlier time.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// engineHeader returns the fields to pass on to the engine.
func engineHeader(header http.Header) http.Header {
	var passed http.Header
	for _, name := range passedHeaders {
		if values := header[name]; len(values) > 0 {
			if passed == nil {
				passed = make(http.Header, len(passedHeaders))
			}
			passed[name] = values
		}
	}
	return passed
}
