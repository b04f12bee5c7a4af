package api

import (
	"net/http"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/settings"
)

// Header fields that the callers' API adds to OpenAI's. The fields for deadline and priority have
// the names of the engine API.
const (
	// HeaderRepeatable states whether the request may run more than once, as "true" or "false".
	HeaderRepeatable = "X-Valveslip-Repeatable"
	// HeaderIdempotencyKey identifies a request. Another request with the same key does not run
	// again.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// forwardedRequestHeaders are copied unchanged from the caller's request to the engine's.
var forwardedRequestHeaders = []string{"Traceparent", "Tracestate"}

// requestOptions are the options that a caller sets by header fields.
type requestOptions struct {
	deadline   time.Time
	priority   int
	repeatable bool
	// idempotencyKey is the value of Idempotency-Key, empty if the request has none.
	idempotencyKey string
}

// maxIdempotencyKeyBytes limits the length of an Idempotency-Key.
const maxIdempotencyKeyBytes = 255

// readOptions parses the header fields. The policy provides the options that they omit, and the
// upper bound of the priority.
func (c *callersHandler) readOptions(header http.Header, policy *settings.Policy, now time.Time) (requestOptions, *requestError) {
	options := requestOptions{priority: policy.Priority, repeatable: policy.Repeatable}
	if options.idempotencyKey = header.Get(HeaderIdempotencyKey); len(options.idempotencyKey) > maxIdempotencyKeyBytes {
		return options, invalidField(HeaderIdempotencyKey, "the key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	var fault *requestError
	if options.deadline, fault = c.readDeadline(header.Get(engine.HeaderDeadline), policy, now); fault != nil {
		return options, fault
	}
	if text := header.Get(engine.HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return options, invalidField(engine.HeaderPriority, "the priority is not a whole number")
		}
		options.priority = min(priority, policy.Priority)
	}
	if text := header.Get(HeaderRepeatable); text != "" {
		repeatable, err := strconv.ParseBool(text)
		if err != nil {
			return options, invalidField(HeaderRepeatable, "it is neither true nor false")
		}
		options.repeatable = repeatable
	}
	return options, nil
}

// readDeadline parses a duration from now or an RFC 3339 time. The deadline is at most MaxDeadline
// from now.
func (c *callersHandler) readDeadline(text string, policy *settings.Policy, now time.Time) (time.Time, *requestError) {
	latest := now.Add(c.MaxDeadline)
	if text == "" {
		if policy.Deadline <= 0 {
			return latest, nil
		}
		return earlier(now.Add(policy.Deadline), latest), nil
	}
	if wait, err := time.ParseDuration(text); err == nil {
		if wait <= 0 {
			return latest, invalidField(engine.HeaderDeadline, "the deadline is not in the future")
		}
		return earlier(now.Add(wait), latest), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return latest, invalidField(engine.HeaderDeadline, "the deadline is neither a duration nor an RFC 3339 time")
	}
	if !deadline.After(now) {
		return latest, invalidField(engine.HeaderDeadline, "the deadline is not in the future")
	}
	return earlier(deadline, latest), nil
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// engineHeader returns the header fields to forward to the engine.
func engineHeader(header http.Header) http.Header {
	var forwarded http.Header
	for _, name := range forwardedRequestHeaders {
		if values := header[name]; len(values) > 0 {
			if forwarded == nil {
				forwarded = make(http.Header, len(forwardedRequestHeaders))
			}
			forwarded[name] = values
		}
	}
	return forwarded
}
