package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/internal/responsehead"
	"github.com/valveslip/valveslip/internal/sockopt"
	"github.com/valveslip/valveslip/verdict"
)

// Causes of a refusal by an engine that did not start the request.
var (
	// ErrModelMissing means that the engine has not loaded the model.
	ErrModelMissing = errors.New("the engine does not hold the model")
	// ErrEngineFull means that the engine has no free slot and no place in its queue.
	ErrEngineFull = errors.New("the engine is full")
	// ErrAttemptUnknown means that the engine neither runs the attempt nor holds its answer.
	ErrAttemptUnknown = errors.New("the engine does not know the attempt")
)

const (
	dialTimeout = 2 * time.Second
	// idleConnections is the number of idle connections to each engine: a node sends many small
	// requests to few engines.
	idleConnections = 1024
	idleTimeout     = 60 * time.Second
	bufferBytes     = 16 << 10
	maxDiscardBytes = 64 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxControlBytes bounds an answer of the control API.
	maxControlBytes = 16 << 20
)

// Client implements the OpenAI HTTP API and the control API for any number of engines over pooled
// connections. It is safe for concurrent use and never sends a request twice.
type Client struct {
	transport http.RoundTripper
	// http uses transport and doesn't follow redirects.
	http *http.Client
}

var (
	_ Inference = (*Client)(nil)
	_ Control   = (*Client)(nil)
)

// keepAliveProbes detects within about 14 s an engine that vanished without closing its
// connections. A running request may be silent for longer than that.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 3 * time.Second, Count: 3}

// userTimeout bounds how long sent bytes may stay unacknowledged. It does not end keep-alive probes before
// keepAliveProbes does.
const userTimeout = 14 * time.Second

// NewClient returns a Client.
func NewClient() *Client {
	transport := responsehead.Transport{Next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, Control: sockopt.UserTimeout(userTimeout), KeepAliveConfig: keepAliveProbes}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
	return &Client{transport: transport, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect returns redirects to the caller, so that a request stays at the engine it was sent
// to.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run implements Inference. A refusal is a NotRun error whose cause is ErrModelMissing,
// ErrEngineFull or nil. An answer with any other status, such as 400, comes from the engine and is
// returned as an Answer.
func (c *Client) Run(ctx context.Context, call Call) (*Answer, error) {
	body := &requestBody{content: call.Body}
	request := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: call.Address, Path: call.Path},
		Header: inferenceHeader(call), Body: body.newReader(), GetBody: body.getBody, ContentLength: int64(len(call.Body)),
	}).WithContext(ctx)
	answer, err := c.transport.RoundTrip(request)
	switch {
	case err == nil:
	case body.readStarted.Load():
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine did not answer")
	default:
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeEngineFailed, "the engine cannot be reached")
	}
	// Checked first: a surplus refusal of another attempt says nothing about this one.
	if err := checkRequestID(call, answer.Header); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	if refused := refusalError(answer); refused != nil {
		discard(answer.Body)
		return nil, refused
	}
	return &Answer{Status: answer.StatusCode, Header: answer.Header, Body: answer.Body}, nil
}

// inferenceHeader returns the header of a Run. It omits the caller's idempotency key, which would
// let the transport replay a request whose connection broke.
func inferenceHeader(call Call) http.Header {
	header := make(http.Header, len(call.Header)+4)
	for name, values := range call.Header {
		header[name] = values
	}
	header.Del("Idempotency-Key")
	header.Del("X-Idempotency-Key")
	values := [...]string{"application/json", string(call.Request), formatAttempt(call), strconv.Itoa(call.Priority), ""}
	header["Content-Type"] = values[0:1:1]
	header[HeaderRequestID] = values[1:2:2]
	header[HeaderAttempt] = values[2:3:3]
	header[HeaderPriority] = values[3:4:4]
	if !call.Deadline.IsZero() {
		values[4] = call.Deadline.UTC().Format(time.RFC3339Nano)
		header[HeaderDeadline] = values[4:5:5]
	}
	return header
}

func formatAttempt(call Call) string { return strconv.FormatUint(uint64(call.Attempt), 10) }

// checkRequestID returns an error if the answer states another request or attempt.
func checkRequestID(call Call, header http.Header) error {
	if header.Get(HeaderRequestID) == string(call.Request) && header.Get(HeaderAttempt) == formatAttempt(call) {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine's answer names another request")
}

// refusalError returns the error for an answer that refuses the request, and nil for any other
// answer. A server error without a verdict is MayHaveRun.
func refusalError(answer *http.Response) *verdict.Error {
	stated := answer.Header.Get(HeaderVerdict)
	switch {
	case answer.StatusCode < http.StatusBadRequest:
		return nil
	case stated == "" && answer.StatusCode < http.StatusInternalServerError:
		return nil
	case verdict.Parse(stated) != verdict.NotRun:
		return verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine answered %d", answer.StatusCode)
	}
	refused := verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "the engine refused the request with %d", answer.StatusCode)
	switch answer.StatusCode {
	case http.StatusNotFound:
		refused.Cause = ErrModelMissing
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		refused.Cause = ErrEngineFull
	case http.StatusGatewayTimeout:
		refused.Code = verdict.CodeDeadlineExceeded
		refused.Message = "the deadline passed before the engine started the request"
	}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		refused.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refused
}

// discard reads the rest of a small answer so that its connection can be reused.
func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
	_ = body.Close()
}

// streamURL returns the URL of the answer of one attempt.
func streamURL(call Call) string {
	return fmt.Sprintf("http://%s%s/%s/%d", call.Address, PathStreams, url.PathEscape(string(call.Request)), call.Attempt)
}

// Resume implements Inference. It starts nothing, so it may be repeated. Its errors are MayHaveRun
// because the attempt that it resumes may have run.
func (c *Client) Resume(ctx context.Context, call Call, offset int64) (*Answer, error) {
	target := streamURL(call) + "?offset=" + strconv.FormatInt(offset, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "the resume request cannot be built")
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeStreamCut, "the engine did not answer a resume")
	}
	if answer.StatusCode != http.StatusOK {
		discard(answer.Body)
		failure := verdict.New(verdict.MayHaveRun, verdict.CodeStreamCut, "the engine answered %d to a resume", answer.StatusCode)
		if answer.StatusCode == http.StatusNotFound {
			failure.Cause = ErrAttemptUnknown
		}
		return nil, failure
	}
	if err := checkRequestID(call, answer.Header); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	return &Answer{Status: answer.StatusCode, Header: answer.Header, Body: answer.Body}, nil
}

// Cancel implements Inference. It succeeds if the engine does not know the attempt.
func (c *Client) Cancel(ctx context.Context, call Call) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(call), nil)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "the cancel request cannot be built")
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine did not answer a cancel")
	}
	discard(answer.Body)
	if answer.StatusCode >= http.StatusMultipleChoices && answer.StatusCode != http.StatusNotFound {
		return verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine answered %d to a cancel", answer.StatusCode)
	}
	return nil
}
