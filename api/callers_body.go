package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"github.com/valveslip/valveslip/routing"
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
	forget := context.AfterFunc(c.Stopping, func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := readAll(http.MaxBytesReader(w, r.Body, c.MaxBodyBytes), r.ContentLength)
	stopped := !forget()
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, c.tooLarge()
	case stopped:
		w.Header().Set("Connection", "close")
		return nil, &bodyError{failure: verdict.New(verdict.NotRun, verdict.CodeNodeDraining,
			"this node stopped before the body came whole; another one takes the request").After(routing.DefaultDrainRetryAfter)}
	case err != nil:
		unread := invalid("", "the body could not be read whole")
		unread.failure.Cause = err
		return nil, unread
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

// parseBody reads the fields the node needs. A field it reads may stand only
// once and in no other case, so that node and engine cannot read a body
// differently.
func parseBody(body []byte, promptField string) (inferenceBody, *bodyError) {
	parsed := inferenceBody{MaxTokens: defaultMaxTokens}
	if !utf8.Valid(body) || !json.Valid(body) {
		return parsed, invalid("", "the body is not valid JSON in UTF-8")
	}
	document := gjson.ParseBytes(body)
	if !document.IsObject() {
		return parsed, invalid("", "the body is not a JSON object")
	}
	reader := fieldReader{body: &parsed, promptField: promptField}
	document.ForEach(reader.field)
	if reader.fault != nil {
		return parsed, reader.fault
	}
	return parsed, parsed.check(promptField)
}

// The fields the node reads besides the prompt.
const (
	fieldModel               = "model"
	fieldStream              = "stream"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// fieldReader takes the fields of a body one by one.
type fieldReader struct {
	body        *inferenceBody
	promptField string
	seen        [5]bool
	fault       *bodyError
}

// field reads one field; it returns false to stop.
func (r *fieldReader) field(key, value gjson.Result) bool {
	name := key.String()
	names := [...]string{fieldModel, fieldStream, fieldMaxTokens, fieldMaxCompletionTokens, r.promptField}
	for i, known := range names {
		if !strings.EqualFold(name, known) {
			continue
		}
		switch {
		case name != known:
			r.fault = invalid(known, "field %q must be written %q", name, known)
		case r.seen[i]:
			r.fault = invalid(known, "field %q stands twice", name)
		case !r.take(known, value):
			r.fault = invalid(known, "field %q is not valid", name)
		}
		r.seen[i] = true
	}
	return r.fault == nil
}

// take reads the value of a known field. Null counts as absent.
func (r *fieldReader) take(name string, value gjson.Result) bool {
	if value.Type == gjson.Null {
		return true
	}
	switch name {
	case fieldModel:
		r.body.Model = value.String()
		return value.Type == gjson.String
	case fieldStream:
		r.body.Stream = value.Bool()
		return value.IsBool()
	case fieldMaxTokens, fieldMaxCompletionTokens:
		tokens, err := strconv.Atoi(value.Raw)
		r.body.MaxTokens = tokens
		return err == nil
	default:
		r.body.Prompt = json.RawMessage(value.Raw)
		return true
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
