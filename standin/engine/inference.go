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
	// defaultMaxTokens is the length of an answer in tokens if the request doesn't
	// set one.
	defaultMaxTokens = 16
	// maxRequestedTokens limits the answer length that a request may ask for.
	maxRequestedTokens = 1 << 17
	// maxPrefixBlocks limits the blocks of a prompt that use the prefix cache.
	maxPrefixBlocks = 256
)

// errorObject is the error object of the OpenAI API.
type errorObject struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code,omitempty"`
}

type errorBody struct {
	Error errorObject `json:"error"`
}

// inferenceRequest has the fields that the engine uses of the OpenAI API's chat
// and completion requests.
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

// contentText returns the text of a JSON string, or joins an array of text parts
// or of strings. It returns false for other JSON, and the empty text for none.
func contentText(raw json.RawMessage) (string, bool) {
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

// promptText returns the text of the prompt, which determines the answer. It
// returns false if the prompt is invalid or a chat has no message.
func (r *inferenceRequest) promptText(chat bool) (string, bool) {
	if !chat {
		return contentText(r.Prompt)
	}
	messages := make([]engine.Message, 0, len(r.Messages))
	for _, message := range r.Messages {
		content, ok := contentText(message.Content)
		if !ok {
			return "", false
		}
		messages = append(messages, engine.Message{Role: message.Role, Content: content})
	}
	return engine.ChatPrompt(messages), len(messages) > 0
}

// maxTokens returns the number of tokens that the answer will have.
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

func (s *Server) serveChat(writer http.ResponseWriter, request *http.Request) {
	s.serveInference(writer, request, true)
}

func (s *Server) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	s.serveInference(writer, request, false)
}

// serveInference runs one request and writes its answer.
func (s *Server) serveInference(writer http.ResponseWriter, request *http.Request, chat bool) {
	key := s.attemptKey(request)
	writer.Header()[engine.HeaderRequestID] = []string{string(key.Request)}
	writer.Header()[engine.HeaderAttempt] = []string{strconv.FormatUint(uint64(key.Attempt), 10)}
	var body inferenceRequest
	if err := decodeInferenceBody(writer, request, &body); err != nil {
		writeNotRunError(writer, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	prompt, ok := body.promptText(chat)
	if tokens := body.maxTokens(); !ok || body.Model == "" || tokens < 1 || tokens > maxRequestedTokens {
		writeNotRunError(writer, http.StatusBadRequest, "invalid_request_error", "model, prompt or max_tokens is missing or invalid")
		return
	}
	answer := &answerWriter{server: s, key: key, wake: make(chan struct{}, 1), format: newAnswerFormat(key, &body, prompt, chat)}
	if refusal := s.submitAttempt(request, answer, prompt); refusal != "" {
		writeRefusal(writer, refusal)
		return
	}
	answer.serve(writer, request, 0)
}

// bodyBuffers are reused buffers for request bodies.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// decodeInferenceBody decodes a request body. The result doesn't share memory
// with the pooled buffer.
func decodeInferenceBody(writer http.ResponseWriter, request *http.Request, into *inferenceRequest) error {
	buffer := bodyBuffers.Get().(*bytes.Buffer)
	defer bodyBuffers.Put(buffer)
	buffer.Reset()
	if _, err := buffer.ReadFrom(http.MaxBytesReader(writer, request.Body, maxControlBytes)); err != nil {
		return err
	}
	return json.Unmarshal(buffer.Bytes(), into)
}

// submitAttempt submits an attempt to the state and, if it is accepted, registers
// its answer writer.
func (s *Server) submitAttempt(request *http.Request, answer *answerWriter, prompt string) (refusal Refusal) {
	submission := Submission{
		Key: answer.key, Model: answer.format.model, Seed: answer.format.seed,
		PromptTokens: answer.format.promptTokens, MaxTokens: answer.format.tokens,
	}
	submission.Priority, _ = strconv.Atoi(request.Header.Get(engine.HeaderPriority))
	submission.Deadline, _ = time.Parse(time.RFC3339Nano, request.Header.Get(engine.HeaderDeadline))
	if s.config.Engine.PrefixBlocks > 0 {
		submission.Prefixes = engine.PrefixChain(prompt, maxPrefixBlocks)
	}
	s.Do(func(now time.Time, state *State) {
		if refusal = state.Submit(now, submission); refusal == "" {
			s.wakeChannels[answer.key] = answer.wake
			s.formats.add(answer.key, answer.format)
			answer.view = state.View(now, answer.key)
		}
	})
	return refusal
}

// writeNotRunError answers with an error object and the not-run verdict.
func writeNotRunError(writer http.ResponseWriter, status int, kind, message string) {
	writer.Header().Set(engine.HeaderVerdict, verdict.NotRun.String())
	writeJSON(writer, status, errorBody{Error: errorObject{Message: message, Type: kind}})
}

// writeRefusal answers a request whose attempt was not started. A duplicate has
// no not-run verdict, because the first submission may have run.
func writeRefusal(writer http.ResponseWriter, refusal Refusal) {
	switch refusal {
	case RefusedModelMissing, RefusedUnloading:
		writeNotRunError(writer, http.StatusNotFound, "model_not_loaded", string(refusal))
	case RefusedDuplicate:
		writeJSON(writer, http.StatusConflict, errorBody{Error: errorObject{Message: string(refusal), Type: "conflict"}})
	case RefusedDeadline:
		writeNotRunError(writer, http.StatusGatewayTimeout, "deadline_exceeded", string(refusal))
	default:
		writer.Header().Set("Retry-After", "1")
		writeNotRunError(writer, http.StatusServiceUnavailable, "overloaded", string(refusal))
	}
}

// modelEntry is a model object of the OpenAI API.
type modelEntry struct {
	ID      cluster.ModelID `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	OwnedBy string          `json:"owned_by"`
}

func (s *Server) listModels(writer http.ResponseWriter, _ *http.Request) {
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
