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

	"github.com/valveslip/valveslip/verdict"
)

// Causes of a refusal by an engine that did not start the request.
var (
	// ErrModelMissing says that the engine does not hold the model.
	ErrModelMissing = errors.New("the engine does not hold the model")
	// ErrEngineFull says that the engine has no slot and no queue place.
	ErrEngineFull = errors.New("the engine is full")
	// ErrAttemptUnknown says that the engine holds no answer of the attempt, nor
	// runs it.
	ErrAttemptUnknown = errors.New("the engine does not know the attempt")
)

const (
	dialTimeout = 2 * time.Second
	// idleConnections an engine keeps open for reuse; a node sends many small
	// requests to few engines.
	idleConnections = 1024
	idleTimeout     = 60 * time.Second
	bufferBytes     = 16 << 10
	maxErrorBytes   = 64 << 10
	// maxControlBytes bounds an answer of the control API.
	maxControlBytes = 16 << 20
)

// Client speaks the OpenAI HTTP API and the control API to any number of
// engines over pooled connections. It is safe for concurrent use and never
// sends a request twice.
type Client struct {
	transport *http.Transport
	// http is transport with no redirects followed.
	http *http.Client
}

var (
	_ Inference = (*Client)(nil)
	_ Control   = (*Client)(nil)
)

// keepAlive finds an engine that vanished without closing its connections
// within some 14 s, while a request may rightly be silent for longer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 3 * time.Second, Count: 3}

// NewClient returns a Client.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
		DisableCompression:  true,
	}
	return &Client{transport: transport, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect keeps a request at the engine it was sent to.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run implements Inference. A refusal is a NotRun error whose cause is
// ErrModelMissing, ErrEngineFull or nil; an answer with any other status, such
// as 400, is the engine's and comes back as an Answer.
func (c *Client) Run(ctx context.Context, call Call) (*Answer, error) {
	body := &trackedBody{content: call.Body}
	request := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: call.Address, Path: call.Path},
		Header: runHeader(call), Body: body.reader(), GetBody: body.again, ContentLength: int64(len(call.Body)),
	}).WithContext(ctx)
	answer, err := c.transport.RoundTrip(request)
	switch {
	case err == nil:
	case body.read.Load():
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine did not answer")
	default:
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeEngineFailed, "the engine cannot be reached")
	}
	if refused := refusal(answer); refused != nil {
		discard(answer.Body)
		return nil, refused
	}
	if err := checkOwner(call, answer.Header); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	return &Answer{Status: answer.StatusCode, Header: answer.Header, Body: answer.Body}, nil
}

// runHeader is the header of a Run. The caller's idempotency key stays out: it
// would let the transport replay a request whose connection broke.
func runHeader(call Call) http.Header {
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

// checkOwner refuses an answer that names another request or attempt.
func checkOwner(call Call, header http.Header) error {
	if header.Get(HeaderRequestID) == string(call.Request) && header.Get(HeaderAttempt) == formatAttempt(call) {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "the engine's answer names another request")
}

// refusal reads a refusal. A server error without a verdict is MayHaveRun.
func refusal(answer *http.Response) *verdict.Error {
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

// discard reads the rest of a small answer so that its connection is reused.
func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
}

// streamURL is the address of one attempt's answer.
func streamURL(call Call) string {
	return fmt.Sprintf("http://%s%s/%s/%d", call.Address, PathStreams, url.PathEscape(string(call.Request)), call.Attempt)
}

// Resume implements Inference. Since it starts nothing, it may be repeated; its
// errors are MayHaveRun because the attempt it follows may have run.
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
	if err := checkOwner(call, answer.Header); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	return &Answer{Status: answer.StatusCode, Header: answer.Header, Body: answer.Body}, nil
}

// Cancel implements Inference. An attempt the engine does not know is cancelled
// already.
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
