package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// defaultMaxTokens of an answer when the request does not say.
	defaultMaxTokens = 16
	// maxMaxTokens bounds what a request may ask for.
	maxMaxTokens = 1 << 17
	// maxPrefixBlocks of a prompt that are looked up in the cache.
	maxPrefixBlocks = 256
)

// errorObject is OpenAI's error object.
type errorObject struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code,omitempty"`
}

type errorBody struct {
	Error errorObject `json:"error"`
}

// inferenceRequest is the part of OpenAI's request bodies that matters here.
type inferenceRequest struct {
	Model               cluster.ModelID `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text reads a string or the text parts of an array.
func text(raw json.RawMessage) (string, bool) {
	var plain string
	if len(raw) == 0 || json.Unmarshal(raw, &plain) == nil {
		return plain, true
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) == nil {
		var joined strings.Builder
		for _, part := range parts {
			joined.WriteString(part.Text)
		}
		return joined.String(), true
	}
	var list []string
	if json.Unmarshal(raw, &list) != nil {
		return "", false
	}
	return strings.Join(list, ""), true
}

// prompt is the text that the answer follows from.
func (r *inferenceRequest) prompt(chat bool) (string, bool) {
	if !chat {
		return text(r.Prompt)
	}
	messages := make([]engine.Message, 0, len(r.Messages))
	for _, message := range r.Messages {
		content, ok := text(message.Content)
		if !ok {
			return "", false
		}
		messages = append(messages, engine.Message{Role: message.Role, Content: content})
	}
	return engine.ChatPrompt(messages), len(messages) > 0
}

// maxTokens is how many tokens the answer will have.
func (r *inferenceRequest) maxTokens() int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	default:
		return defaultMaxTokens
	}
}

func (s *Server) chat(writer http.ResponseWriter, request *http.Request) {
	s.infer(writer, request, true)
}

func (s *Server) complete(writer http.ResponseWriter, request *http.Request) {
	s.infer(writer, request, false)
}

// infer runs one request.
func (s *Server) infer(writer http.ResponseWriter, request *http.Request, chat bool) {
	var body inferenceRequest
	if err := readBody(writer, request, &body); err != nil {
		refuse(writer, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	prompt, ok := body.prompt(chat)
	if tokens := body.maxTokens(); !ok || body.Model == "" || tokens < 1 || tokens > maxMaxTokens {
		refuse(writer, http.StatusBadRequest, "invalid_request_error", "model, prompt or max_tokens is missing or invalid")
		return
	}
	key := s.ownKey(request)
	writer.Header()[engine.HeaderRequestID] = []string{string(key.Request)}
	writer.Header()[engine.HeaderAttempt] = []string{strconv.FormatUint(uint64(key.Attempt), 10)}
	reader := &reader{server: s, key: key, wake: make(chan struct{}, 1), format: newFormat(key, &body, prompt, chat)}
	if refusal := s.submit(request, reader, prompt); refusal != "" {
		writeRefusal(writer, refusal)
		return
	}
	reader.serve(writer, request, 0)
}

// bodies are buffers for request bodies.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readBody decodes a request body. What it decodes into shares no memory with
// the buffer.
func readBody(writer http.ResponseWriter, request *http.Request, into *inferenceRequest) error {
	buffer := bodies.Get().(*bytes.Buffer)
	defer bodies.Put(buffer)
	buffer.Reset()
	if _, err := buffer.ReadFrom(http.MaxBytesReader(writer, request.Body, maxControlBytes)); err != nil {
		return err
	}
	return json.Unmarshal(buffer.Bytes(), into)
}

// submit hands an attempt to the state and registers its reader.
func (s *Server) submit(request *http.Request, reader *reader, prompt string) (refusal Refusal) {
	submission := Submission{
		Key: reader.key, Model: reader.format.model, Seed: reader.format.seed,
		PromptTokens: reader.format.promptTokens, MaxTokens: reader.format.tokens,
	}
	submission.Priority, _ = strconv.Atoi(request.Header.Get(engine.HeaderPriority))
	submission.Deadline, _ = time.Parse(time.RFC3339Nano, request.Header.Get(engine.HeaderDeadline))
	if s.config.Engine.PrefixBlocks > 0 {
		submission.Prefixes = engine.PrefixChain(prompt, maxPrefixBlocks)
	}
	s.Do(func(now time.Time, state *State) {
		if refusal = state.Submit(now, submission); refusal == "" {
			s.waiting[reader.key] = reader.wake
			s.formats.add(reader.key, reader.format)
			reader.view = state.View(now, reader.key)
		}
	})
	return refusal
}

// refuse answers with an error object and a not-run verdict.
func refuse(writer http.ResponseWriter, status int, kind, message string) {
	writer.Header().Set(engine.HeaderVerdict, verdict.NotRun.String())
	writeJSON(writer, status, errorBody{Error: errorObject{Message: message, Type: kind}})
}

// writeRefusal answers an attempt that was not started.
func writeRefusal(writer http.ResponseWriter, refusal Refusal) {
	switch refusal {
	case RefusedModelMissing, RefusedUnloading:
		refuse(writer, http.StatusNotFound, "model_not_loaded", string(refusal))
	case RefusedDuplicate:
		writeJSON(writer, http.StatusConflict, errorBody{Error: errorObject{Message: string(refusal), Type: "conflict"}})
	case RefusedDeadline:
		refuse(writer, http.StatusGatewayTimeout, "deadline_exceeded", string(refusal))
	default:
		writer.Header().Set("Retry-After", "1")
		refuse(writer, http.StatusServiceUnavailable, "overloaded", string(refusal))
	}
}

// modelEntry is one entry of the model list.
type modelEntry struct {
	ID      cluster.ModelID `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	OwnedBy string          `json:"owned_by"`
}

func (s *Server) models(writer http.ResponseWriter, _ *http.Request) {
	list := struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{Object: "list", Data: []modelEntry{}}
	inventory := s.Inventory()
	for _, replica := range inventory.Replicas {
		if replica.State == cluster.ReplicaLoaded {
			list.Data = append(list.Data, modelEntry{ID: replica.Model, Object: "model", Created: replica.Since.Unix(), OwnedBy: "valveslip"})
		}
	}
	writeJSON(writer, http.StatusOK, list)
}
