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

// serveInference serves a completion request: it validates and runs the request and relays the
// response.
func (c *callersHandler) serveInference(w http.ResponseWriter, r *http.Request) {
	start, arrived := time.Now(), c.Now()
	id := c.newRequestID()
	w.Header().Set(engine.HeaderRequestID, string(id))
	outcome := Outcome{Request: id}
	call, token, fault := c.admit(w, r, id, start)
	if token != nil {
		outcome.Token = token.Name
	}
	if fault != nil {
		outcome.Status = StatusOf(fault.failure.Code)
		outcome.Result.Failure = fault.failure
		c.recordOutcome(&outcome, start)
		writeError(w, outcome.Status, fault.failure, fault.param)
		return
	}
	// The caller's deadline refers to the time of day. Convert it to the clock of decisions.
	call.Request.Deadline = arrived.Add(call.Request.Deadline.Sub(start))
	outcome.Model = call.Request.Model
	outcome.Stream = call.Stream
	sink := newSink(w, c.WriteStallTimeout, call.Stream)
	outcome.Result = c.Runner.Run(r.Context(), call, sink)
	outcome.Status = outcome.Result.Status
	if failure := outcome.Result.Failure; failure != nil && !outcome.Result.Started {
		outcome.Status = StatusOf(failure.Code)
	}
	c.recordOutcome(&outcome, start)
	if failure := outcome.Result.Failure; failure != nil && !outcome.Result.Started {
		forbidRetry(w.Header(), failure, call.Request.Repeatable)
	}
	c.finishFailedRequest(w, sink, &outcome)
}

// admit authenticates and validates an HTTP request and converts it to a call. It returns the
// token also with most errors, for the log.
func (c *callersHandler) admit(w http.ResponseWriter, r *http.Request, id cluster.RequestID, now time.Time) (relay.Call, *settings.Token, *requestError) {
	snapshot := c.Settings()
	token, failure := authenticate(snapshot, r, now)
	if failure != nil {
		return relay.Call{}, nil, &requestError{failure: failure}
	}
	if failure := authorizeCall(token); failure != nil {
		return relay.Call{}, token, &requestError{failure: failure}
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
		return relay.Call{}, token, &requestError{failure: failure, param: "model"}
	}
	options, fault := c.readOptions(r.Header, &model.Policy, now)
	if fault != nil {
		return relay.Call{}, token, fault
	}
	call := relay.Call{Path: r.URL.Path, Body: body, Header: engineHeader(r.Header), Stream: parsed.Stream, Key: options.idempotencyKey}
	call.Request = routing.Request{
		ID: id, Model: model.ID, TokenPath: token.Path, Team: snapshot.TeamOf(token.Path),
		Priority: options.priority, Deadline: options.deadline, Repeatable: options.repeatable,
		BodyBytes: int64(len(body)), PromptTokens: len(parsed.Prompt) / bytesPerToken, MaxTokens: parsed.MaxTokens,
		Prefixes: promptPrefixes(parsed.Prompt, r.URL.Path),
	}
	return call, token, nil
}

// promptField returns the name of the body field that contains the prompt.
func promptField(path string) string {
	if path == pathChatCompletions {
		return "messages"
	}
	return "prompt"
}

// recordOutcome logs an ended request and passes it to Observe.
func (c *callersHandler) recordOutcome(outcome *Outcome, start time.Time) {
	outcome.Total = time.Since(start)
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
		"tokens", outcome.Result.Tokens, "waited", outcome.Result.DecisionWait, "duration", outcome.Total)
}

// finishFailedRequest completes the response to a failed request. If a part of the response was sent
// already, it aborts the connection, because the caller would otherwise take the part for the
// whole.
func (c *callersHandler) finishFailedRequest(w http.ResponseWriter, sink *sink, outcome *Outcome) {
	failure := outcome.Result.Failure
	switch {
	case failure == nil:
		return
	case !outcome.Result.Started && failure.Code != verdict.CodeCallerGone:
		writeError(w, outcome.Status, failure, "")
	case outcome.Stream && failure.Code != verdict.CodeCallerGone:
		sink.writeErrorEvent(failure)
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}
