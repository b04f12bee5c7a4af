package api

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// infer serves a completion request: it checks the request, runs it and relays
// the answer.
func (c *callers) infer(w http.ResponseWriter, r *http.Request) {
	began, arrived := time.Now(), c.Now()
	id := c.newRequestID()
	w.Header().Set(engine.HeaderRequestID, string(id))
	outcome := Outcome{Request: id}
	call, token, fault := c.admit(w, r, id, began)
	if token != nil {
		outcome.Token = token.Name
	}
	if fault != nil {
		outcome.Status = StatusOf(fault.failure.Code)
		outcome.Result.Failure = fault.failure
		c.account(&outcome, began)
		writeError(w, outcome.Status, fault.failure, fault.param)
		return
	}
	// Callers state deadlines in time of day, or from now; they are kept by the clock.
	call.Request.Deadline = arrived.Add(call.Request.Deadline.Sub(began))
	outcome.Model = call.Request.Model
	outcome.Stream = call.Stream
	sink := newSink(w, c.StallTime, call.Stream)
	outcome.Result = c.Runner.Run(r.Context(), call, sink)
	outcome.Status = outcome.Result.Status
	if failure := outcome.Result.Failure; failure != nil && !outcome.Result.Started {
		outcome.Status = StatusOf(failure.Code)
	}
	c.account(&outcome, began)
	if failure := outcome.Result.Failure; failure != nil && !outcome.Result.Started {
		forbidRetry(w.Header(), failure, call.Request.Repeatable)
	}
	c.conclude(w, sink, &outcome)
}

// admit turns an HTTP request into a call, or says why not.
func (c *callers) admit(w http.ResponseWriter, r *http.Request, id cluster.RequestID, now time.Time) (relay.Call, *settings.Token, *bodyError) {
	snapshot := c.Settings()
	token, failure := authenticate(snapshot, r, now)
	if failure != nil {
		return relay.Call{}, nil, &bodyError{failure: failure}
	}
	if failure := authorizeCall(token); failure != nil {
		return relay.Call{}, token, &bodyError{failure: failure}
	}
	body, fault := c.readBody(w, r)
	if fault != nil {
		return relay.Call{}, token, fault
	}
	parsed, fault := parseBody(body, promptField(r.URL.Path))
	if fault != nil {
		return relay.Call{}, token, fault
	}
	model, failure := visibleModel(snapshot, token, parsed.Model)
	if failure != nil {
		return relay.Call{}, token, &bodyError{failure: failure, param: "model"}
	}
	stated, fault := c.readTerms(r.Header, &model.Policy, now)
	if fault != nil {
		return relay.Call{}, token, fault
	}
	call := relay.Call{Path: r.URL.Path, Body: body, Header: engineHeader(r.Header), Stream: parsed.Stream, Key: stated.key}
	call.Request = routing.Request{
		ID: id, Model: model.ID, TokenPath: token.Path, Team: snapshot.TeamOf(token.Path),
		Priority: stated.priority, Deadline: stated.deadline, Repeatable: stated.repeatable,
		BodyBytes: int64(len(body)), PromptTokens: len(parsed.Prompt) / bytesPerToken, MaxTokens: parsed.MaxTokens,
		Prefixes: promptPrefixes(parsed.Prompt, r.URL.Path),
	}
	return call, token, nil
}

// promptField names the body field that holds the prompt.
func promptField(path string) string {
	if path == pathChatCompletions {
		return "messages"
	}
	return "prompt"
}

// account logs and counts an ended request.
func (c *callers) account(outcome *Outcome, began time.Time) {
	outcome.Total = time.Since(began)
	c.Observe(*outcome)
	if failure := outcome.Result.Failure; failure != nil {
		c.Logger.Info("request failed", "request", outcome.Request, "model", outcome.Model, "token", outcome.Token,
			"status", outcome.Status, "code", failure.Code, "verdict", failure.Verdict, "attempts", outcome.Result.Attempts,
			"duration", outcome.Total, "cause", failure.Reason())
		return
	}
	if !c.Logger.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	c.Logger.Debug("request answered", "request", outcome.Request, "model", outcome.Model, "token", outcome.Token,
		"status", outcome.Status, "attempts", outcome.Result.Attempts, "machine", outcome.Result.Machine,
		"tokens", outcome.Result.Tokens, "waited", outcome.Result.Waited, "duration", outcome.Total)
}

// conclude answers a request that failed. When a part of the answer has gone
// out already, the connection is broken so that the caller cannot take the part
// for the whole.
func (c *callers) conclude(w http.ResponseWriter, sink *sink, outcome *Outcome) {
	failure := outcome.Result.Failure
	switch {
	case failure == nil:
		return
	case !outcome.Result.Started && failure.Code != verdict.CodeCallerGone:
		writeError(w, outcome.Status, failure, "")
	case outcome.Stream && failure.Code != verdict.CodeCallerGone:
		sink.fail(failure)
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}
