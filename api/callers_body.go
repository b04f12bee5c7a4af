package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/verdict"
)

// defaultMaxTokens is the estimate for requests that state no maximum.
const defaultMaxTokens = 512

// bytesPerToken estimates prompt tokens from body bytes.
const bytesPerToken = 4

// inferenceBody is what the node reads of a request body; the engine gets the
// body unchanged.
type inferenceBody struct {
	Model     string
	Stream    bool
	MaxTokens int
	// Prompt is the raw JSON of messages or prompt.
	Prompt json.RawMessage
}

// bodyError is a fault of the body with the field it lies in.
type bodyError struct {
	failure *verdict.Error
	param   string
}

// invalid returns a 400 for a field.
func invalid(param, format string, arguments ...any) *bodyError {
	return &bodyError{failure: verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, format, arguments...), param: param}
}

// readBody reads a request body within the limits of bytes and time.
func (c *callers) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *bodyError) {
	if r.ContentLength > c.MaxBodyBytes {
		return nil, c.tooLarge()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(c.BodyTime))
	body, err := readAll(http.MaxBytesReader(w, r.Body, c.MaxBodyBytes), r.ContentLength)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, c.tooLarge()
	case err != nil:
		return nil, invalid("", "the body could not be read whole")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// tooLarge returns a 413.
func (c *callers) tooLarge() *bodyError {
	return &bodyError{failure: verdict.New(verdict.NotRun, verdict.CodeRequestTooLarge, "the body is larger than %d bytes", c.MaxBodyBytes)}
}

// readAll reads everything; length is the stated size or -1.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, err
	}
	return body, nil
}

// parseBody reads the fields the node needs. Field names are matched exactly
// and may stand only once, so that node and engine cannot read a body
// differently.
func parseBody(body []byte, promptField string) (inferenceBody, *bodyError) {
	parsed := inferenceBody{MaxTokens: defaultMaxTokens}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return parsed, invalid("", "the body is not a JSON object")
	}
	seen := make(map[string]struct{}, 8)
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return parsed, invalid("", "the body is not valid JSON")
		}
		name := key.(string)
		if _, twice := seen[name]; twice {
			return parsed, invalid(name, "field %q stands twice", name)
		}
		seen[name] = struct{}{}
		if err := decoder.Decode(parsed.target(name, promptField)); err != nil {
			return parsed, invalid(name, "field %q is not valid", name)
		}
	}
	if _, err := decoder.Token(); err != nil {
		return parsed, invalid("", "the body is not valid JSON")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return parsed, invalid("", "there is data after the JSON object")
	}
	return parsed, parsed.check(promptField)
}

// target returns where the value of a field goes.
func (b *inferenceBody) target(name, promptField string) any {
	switch name {
	case "model":
		return &b.Model
	case "stream":
		return &b.Stream
	case "max_tokens", "max_completion_tokens":
		return &b.MaxTokens
	case promptField:
		return &b.Prompt
	default:
		return new(json.RawMessage)
	}
}

// check validates the fields the node depends on.
func (b *inferenceBody) check(promptField string) *bodyError {
	switch {
	case b.Model == "":
		return invalid("model", "the model is missing")
	case len(b.Prompt) == 0:
		return invalid(promptField, "field %q is missing", promptField)
	case b.MaxTokens < 0:
		return invalid("max_tokens", "max_tokens is negative")
	}
	return nil
}
