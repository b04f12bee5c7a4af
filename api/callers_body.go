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

// defaultMaxTokens is the estimate of output tokens for requests that state no maximum.
const defaultMaxTokens = 512

// bytesPerToken is used to estimate prompt tokens from the bytes of the prompt.
const bytesPerToken = 4

// inferenceBody holds the fields of a request body that the node reads. The engine receives the
// original body.
type inferenceBody struct {
	Model     string
	Stream    bool
	MaxTokens int
	// Prompt is the raw JSON of the messages or prompt field.
	Prompt json.RawMessage
}

// requestError is an error in a request, with the name of the body or header field at fault. The
// name is empty if the error concerns no single field.
type requestError struct {
	failure *verdict.Error
	param   string
}

// invalidField returns an error with status 400 for a body or header field.
func invalidField(param, format string, arguments ...any) *requestError {
	return &requestError{failure: verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, format, arguments...), param: param}
}

// readBody reads a request body within the limits on bytes and time. It fails early if the node
// stops.
func (c *callersHandler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *requestError) {
	if r.ContentLength > c.MaxBodyBytes {
		return nil, c.tooLarge()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(c.BodyReadTimeout))
	cancelInterrupt := context.AfterFunc(c.ShutdownContext, func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := readAll(http.MaxBytesReader(w, r.Body, c.MaxBodyBytes), r.ContentLength)
	stopped := !cancelInterrupt()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, c.tooLarge()
	case stopped:
		w.Header().Set("Connection", "close")
		return nil, &requestError{failure: verdict.New(verdict.NotRun, verdict.CodeNodeDraining,
			"this node stopped before the body came whole; another one takes the request").After(routing.DefaultDrainRetryAfter)}
	case err != nil:
		unreadable := invalidField("", "the body could not be read whole")
		unreadable.failure.Cause = err
		return nil, unreadable
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// tooLarge returns an error with status 413.
func (c *callersHandler) tooLarge() *requestError {
	return &requestError{failure: verdict.New(verdict.NotRun, verdict.CodeRequestTooLarge, "the body is larger than %d bytes", c.MaxBodyBytes)}
}

// readAll reads the whole body. length is its stated size, or -1 if none is stated.
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

// parseBody parses the fields that the node needs. Each of them may occur only once and only in
// its exact spelling, because otherwise the node and the engine could interpret the same body
// differently.
func parseBody(body []byte, promptField string) (inferenceBody, *requestError) {
	parsed := inferenceBody{MaxTokens: defaultMaxTokens}
	if !utf8.Valid(body) || !json.Valid(body) {
		return parsed, invalidField("", "the body is not valid JSON in UTF-8")
	}
	document := gjson.ParseBytes(body)
	if !document.IsObject() {
		return parsed, invalidField("", "the body is not a JSON object")
	}
	reader := fieldReader{body: &parsed, promptField: promptField}
	document.ForEach(reader.readField)
	if reader.fault != nil {
		return parsed, reader.fault
	}
	return parsed, parsed.check(promptField)
}

// Names of the fields that the node reads, apart from the prompt.
const (
	fieldModel               = "model"
	fieldStream              = "stream"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// fieldReader reads the top-level fields of a body one at a time.
type fieldReader struct {
	body        *inferenceBody
	promptField string
	seen        [5]bool
	fault       *requestError
}

// readField reads one field. It returns false to stop after an error.
func (r *fieldReader) readField(key, value gjson.Result) bool {
	name := key.String()
	names := [...]string{fieldModel, fieldStream, fieldMaxTokens, fieldMaxCompletionTokens, r.promptField}
	for i, known := range names {
		if !strings.EqualFold(name, known) {
			continue
		}
		switch {
		case name != known:
			r.fault = invalidField(known, "field %q must be written %q", name, known)
		case r.seen[i]:
			r.fault = invalidField(known, "field %q stands twice", name)
		case !r.setField(known, value):
			r.fault = invalidField(known, "field %q is not valid", name)
		}
		r.seen[i] = true
	}
	return r.fault == nil
}

// setField stores the value of a known field and reports whether it has the right type. Null
// counts as absent.
func (r *fieldReader) setField(name string, value gjson.Result) bool {
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

// check validates the fields that the node depends on.
func (b *inferenceBody) check(promptField string) *requestError {
	switch {
	case b.Model == "":
		return invalidField("model", "the model is missing")
	case len(b.Prompt) == 0:
		return invalidField(promptField, "field %q is missing", promptField)
	case b.MaxTokens < 0:
		return invalidField("max_tokens", "max_tokens is negative")
	}
	return nil
}
