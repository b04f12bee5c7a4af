package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// Client calls the administration API of a node.
type Client struct {
	// URL is the base URL of the node, such as http://127.0.0.1:8081.
	URL string
	// Token is the secret of an access token.
	Token string
	// HTTP is the HTTP client to use; nil means http.DefaultClient.
	HTTP *http.Client
	// RetryWait is the delay before an edit with an unknown outcome is retried;
	// zero means DefaultRetryWait.
	RetryWait time.Duration
}

const (
	// DefaultRetryWait is the default delay before a Client retries an edit.
	DefaultRetryWait = time.Second
	// maxEditAttempts is the maximum number of times that a Client sends an edit
	// whose outcome remains unknown.
	maxEditAttempts = 4
	// maxResponseBytes is the maximum size of a response body that a Client reads.
	maxResponseBytes = 64 << 20
)

// RequestError is the error of a request that failed: an error response of the
// API, or no response at all.
type RequestError struct {
	// Status is the HTTP status, zero if there was no response.
	Status int
	Failure
}

// Error implements error.
func (e *RequestError) Error() string {
	text := e.Message
	for _, problem := range e.Problems {
		text += "\n  " + problem.Error()
	}
	return text
}

// codeUnreachable is the error code for a node that sent no complete response.
const codeUnreachable verdict.Code = "unreachable"

// unreachableError returns the error for a node that sent no complete response.
// Its verdict is NotRun if the connection could not be opened, because then no
// request was sent; otherwise it is MayHaveRun.
func unreachableError(err error) *RequestError {
	outcome := verdict.MayHaveRun
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		outcome = verdict.NotRun
	}
	return &RequestError{Failure: Failure{Code: codeUnreachable, Message: "the node did not answer: " + err.Error(), Verdict: outcome.String()}}
}

// do sends a request and decodes the JSON body of the response into target.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte, target any) error {
	response, err := c.send(ctx, method, path, query, header, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return unreachableError(err)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return eris.Wrapf(err, "the answer of %s is not readable", path)
	}
	return nil
}

// send sends a request and returns a successful response, whose body the caller
// must close. An error response is returned as a *RequestError.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) (*http.Response, error) {
	address := strings.TrimSuffix(c.URL, "/") + Prefix + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "the node's address is not usable")
	}
	for name := range header {
		request.Header.Set(name, header.Get(name))
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, unreachableError(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer response.Body.Close()
		return nil, readFailure(response)
	}
	return response, nil
}

// readFailure returns the *RequestError of an error response. If the body has no
// error object, the error states the HTTP status, and its verdict is MayHaveRun.
func readFailure(response *http.Response) error {
	var body failureBody
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error.Message == "" {
		body.Error = Failure{Code: verdict.CodeInternal, Message: "the node answered " + response.Status, Verdict: verdict.MayHaveRun.String()}
	}
	return &RequestError{Status: response.StatusCode, Failure: body.Error}
}

// get sends a GET request and returns the decoded response.
func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var value T
	err := c.do(ctx, http.MethodGet, path, query, nil, nil, &value)
	return value, err
}

// list reads all pages of a list and returns their items.
func list[T any](ctx context.Context, c *Client, path string, query url.Values) ([]T, error) {
	items := []T{}
	query.Set("limit", strconv.Itoa(maxPageLength))
	for {
		page, err := get[Page[T]](ctx, c, path, query)
		if err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, nil
		}
		query.Set("after", page.Next)
	}
}

// Tree returns the levels of the subtree at path, all of one revision; an empty
// path means the token's own subtree. If stored is true, the node reads the tree
// from the key-value service instead of the settings in force on the node, so
// that an edit can be based on the newest revision.
func (c *Client) Tree(ctx context.Context, path string, stored bool) ([]*settings.Level, Stamp, error) {
	query := url.Values{"limit": {strconv.Itoa(maxPageLength)}, "stored": {strconv.FormatBool(stored)}}
	if path != "" {
		query.Set("path", path)
	}
	var levels []*settings.Level
	var stamp Stamp
	for {
		page, err := get[TreePage](ctx, c, "/tree", query)
		if err != nil {
			return nil, Stamp{}, err
		}
		if query.Has("after") && page.Stamp != stamp {
			// The tree changed between two pages: start again at the first page.
			levels = nil
			query.Del("after")
			stamp = Stamp{}
			continue
		}
		stamp = page.Stamp
		levels = append(levels, page.Levels...)
		if page.Next == "" {
			return levels, stamp, nil
		}
		query.Set("after", page.Next)
	}
}

// Effective returns the effective values at a level.
func (c *Client) Effective(ctx context.Context, path string) (EffectiveLevel, error) {
	return get[EffectiveLevel](ctx, c, "/tree", url.Values{"effective": {path}})
}

// History returns up to limit accepted edits, newest first. If before is not
// zero, only edits of earlier revisions are returned.
func (c *Client) History(ctx context.Context, before int64, limit int) (HistoryPage, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if before > 0 {
		query.Set("before", strconv.FormatInt(before, 10))
	}
	return get[HistoryPage](ctx, c, "/tree/history", query)
}

// Difference returns the changes between two revisions. If to is zero, it is the
// newest revision.
func (c *Client) Difference(ctx context.Context, from, to int64) (Difference, error) {
	query := url.Values{"from": {strconv.FormatInt(from, 10)}}
	if to > 0 {
		query.Set("to", strconv.FormatInt(to, 10))
	}
	return get[Difference](ctx, c, "/tree/diff", query)
}

// FindEdit returns the accepted edit with an id.
func (c *Client) FindEdit(ctx context.Context, id string) (settings.Entry, error) {
	return get[settings.Entry](ctx, c, "/tree/edits/"+url.PathEscape(id), nil)
}

// DryRun returns the effects that an edit would have, without making it.
func (c *Client) DryRun(ctx context.Context, edit EditRequest, base Stamp) (DryRun, error) {
	var plan DryRun
	err := c.postEdit(ctx, edit, base, url.Values{"dry_run": {"true"}}, &plan)
	return plan, err
}

// Edit commits an edit that is based on the revision base. If the outcome is
// unknown, it retries the same edit. A retry is safe: the edit's id makes it
// idempotent, so that it has no further effect if it was already accepted.
func (c *Client) Edit(ctx context.Context, edit EditRequest, base Stamp) (settings.Entry, error) {
	for attempt := 1; ; attempt++ {
		var entry settings.Entry
		err := c.postEdit(ctx, edit, base, nil, &entry)
		var requestErr *RequestError
		if attempt == maxEditAttempts || !errors.As(err, &requestErr) || requestErr.Verdict != verdict.MayHaveRun.String() {
			return entry, err
		}
		select {
		case <-time.After(c.retryWait()):
		case <-ctx.Done():
			return entry, err
		}
	}
}

// retryWait returns the delay before an edit is retried.
func (c *Client) retryWait() time.Duration {
	if c.RetryWait == 0 {
		return DefaultRetryWait
	}
	return c.RetryWait
}

// postEdit sends an edit once and decodes the response into target.
func (c *Client) postEdit(ctx context.Context, edit EditRequest, base Stamp, query url.Values, target any) error {
	body, err := json.Marshal(edit)
	if err != nil {
		return eris.Wrap(err, "encode edit")
	}
	header := http.Header{"If-Match": {entityTag(base.Revision, base.History)}, "Content-Type": {"application/json"}}
	return c.do(ctx, http.MethodPost, "/tree/edits", query, header, body, target)
}

// Members returns the nodes of the cluster.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	return list[Member](ctx, c, "/members", url.Values{})
}

// Controllers returns the controllers of the zones.
func (c *Client) Controllers(ctx context.Context) ([]Controller, error) {
	return list[Controller](ctx, c, "/controllers", url.Values{})
}

// Machines returns the back-end machines.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	return list[Machine](ctx, c, "/machines", url.Values{})
}

// Replicas returns the replicas of the models that the token may see.
func (c *Client) Replicas(ctx context.Context) ([]Replica, error) {
	return list[Replica](ctx, c, "/replicas", url.Values{})
}

// Queues returns the queues of the models that the token may see.
func (c *Client) Queues(ctx context.Context) ([]Queue, error) {
	return list[Queue](ctx, c, "/queues", url.Values{})
}

// WhyModel returns the reasons why a model is or is not loaded.
func (c *Client) WhyModel(ctx context.Context, model cluster.ModelID) (ModelReasons, error) {
	return get[ModelReasons](ctx, c, "/why/models/"+url.PathEscape(string(model)), nil)
}

// WhyRequest returns the machines that a request was dispatched to, the reasons
// for their choice and the outcome.
func (c *Client) WhyRequest(ctx context.Context, id cluster.RequestID) (RequestReasons, error) {
	return get[RequestReasons](ctx, c, "/why/requests/"+url.PathEscape(string(id)), nil)
}

// Events calls handle for each event with a number larger than after, until the
// stream ends, ctx ends or handle returns an error. An empty kind means events of
// all kinds.
func (c *Client) Events(ctx context.Context, after uint64, kind EventKind, handle func(Event) error) error {
	query := url.Values{}
	if kind != "" {
		query.Set("kind", string(kind))
	}
	header := http.Header{"Last-Event-Id": {fmt.Sprint(after)}}
	response, err := c.send(ctx, http.MethodGet, "/events", query, header, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		var event Event
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return eris.Wrap(err, "an event is not readable")
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	return scanner.Err()
}
