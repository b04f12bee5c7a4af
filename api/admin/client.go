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
	// URL of the node, such as http://127.0.0.1:8081.
	URL string
	// Token is the secret of an access token.
	Token string
	// HTTP is the client to use; http.DefaultClient when nil.
	HTTP *http.Client
	// RetryWait is the wait before an edit with an unknown outcome is given
	// again; DefaultRetryWait when zero.
	RetryWait time.Duration
}

const (
	// DefaultRetryWait is a Client's wait before giving an edit again.
	DefaultRetryWait = time.Second
	// editAttempts bounds how often a Client gives an edit with an unknown
	// outcome.
	editAttempts = 4
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// RequestError is an answer of the API that is not a success.
type RequestError struct {
	// Status of HTTP, zero when there was no answer.
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

// codeUnreachable is the code for a node that did not answer.
const codeUnreachable verdict.Code = "unreachable"

// unreachable is the error for a node that did not answer. Without a connection
// nothing was sent.
func unreachable(err error) *RequestError {
	outcome := verdict.MayHaveRun
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		outcome = verdict.NotRun
	}
	return &RequestError{Failure: Failure{Code: codeUnreachable, Message: "the node did not answer: " + err.Error(), Verdict: outcome.String()}}
}

// do makes a request and decodes the answer into a value, nil for none.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte, into any) error {
	response, err := c.send(ctx, method, path, query, header, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unreachable(err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrapf(err, "the answer of %s is not readable", path)
	}
	return nil
}

// send makes a request and returns the answer when it is a success.
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
		return nil, unreachable(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer response.Body.Close()
		return nil, readFailure(response)
	}
	return response, nil
}

// readFailure reads the error object of an answer.
func readFailure(response *http.Response) error {
	var body failureBody
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error.Message == "" {
		body.Error = Failure{Code: verdict.CodeInternal, Message: "the node answered " + response.Status, Verdict: verdict.MayHaveRun.String()}
	}
	return &RequestError{Status: response.StatusCode, Failure: body.Error}
}

// get reads one value.
func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var value T
	err := c.do(ctx, http.MethodGet, path, query, nil, nil, &value)
	return value, err
}

// list reads all pages of a list.
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

// Tree reads the subtree at path, empty for the token's own, as one revision.
// With stored it reads the key-value service, so that an edit can be based on
// the newest revision.
func (c *Client) Tree(ctx context.Context, path string, stored bool) ([]*settings.Level, Stamp, error) {
	query := url.Values{"limit": {strconv.Itoa(maxPageLength)}, "stored": {strconv.FormatBool(stored)}}
	if path != "" {
		query.Set("path", path)
	}
	var levels []*settings.Level
	var first Stamp
	for {
		page, err := get[TreePage](ctx, c, "/tree", query)
		if err != nil {
			return nil, Stamp{}, err
		}
		if query.Has("after") && page.Stamp != first {
			// The tree changed between two pages: read it anew.
			levels = nil
			query.Del("after")
			first = Stamp{}
			continue
		}
		first = page.Stamp
		levels = append(levels, page.Levels...)
		if page.Next == "" {
			return levels, first, nil
		}
		query.Set("after", page.Next)
	}
}

// Effective reads what holds at a level.
func (c *Client) Effective(ctx context.Context, path string) (EffectiveLevel, error) {
	return get[EffectiveLevel](ctx, c, "/tree", url.Values{"effective": {path}})
}

// History reads accepted edits, newest first, those before a revision unless it
// is zero.
func (c *Client) History(ctx context.Context, before int64, limit int) (HistoryPage, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if before > 0 {
		query.Set("before", strconv.FormatInt(before, 10))
	}
	return get[HistoryPage](ctx, c, "/tree/history", query)
}

// Difference reads the changes between two revisions; to is the newest when
// zero.
func (c *Client) Difference(ctx context.Context, from, to int64) (Difference, error) {
	query := url.Values{"from": {strconv.FormatInt(from, 10)}}
	if to > 0 {
		query.Set("to", strconv.FormatInt(to, 10))
	}
	return get[Difference](ctx, c, "/tree/diff", query)
}

// FindEdit reads an accepted edit by its id.
func (c *Client) FindEdit(ctx context.Context, id string) (settings.Entry, error) {
	return get[settings.Entry](ctx, c, "/tree/edits/"+url.PathEscape(id), nil)
}

// DryRun says what an edit would do.
func (c *Client) DryRun(ctx context.Context, edit EditRequest, base Stamp) (DryRun, error) {
	var plan DryRun
	err := c.postEdit(ctx, edit, base, url.Values{"dry_run": {"true"}}, &plan)
	return plan, err
}

// Edit commits an edit made from the base. While the outcome is unknown it
// gives the same edit again, which has no further effect if it was accepted.
func (c *Client) Edit(ctx context.Context, edit EditRequest, base Stamp) (settings.Entry, error) {
	for attempt := 1; ; attempt++ {
		var entry settings.Entry
		err := c.postEdit(ctx, edit, base, nil, &entry)
		var failed *RequestError
		if attempt == editAttempts || !errors.As(err, &failed) || failed.Verdict != verdict.MayHaveRun.String() {
			return entry, err
		}
		select {
		case <-time.After(c.retryWait()):
		case <-ctx.Done():
			return entry, err
		}
	}
}

func (c *Client) retryWait() time.Duration {
	if c.RetryWait == 0 {
		return DefaultRetryWait
	}
	return c.RetryWait
}

func (c *Client) postEdit(ctx context.Context, edit EditRequest, base Stamp, query url.Values, into any) error {
	body, err := json.Marshal(edit)
	if err != nil {
		return eris.Wrap(err, "encode edit")
	}
	header := http.Header{"If-Match": {entityTag(base.Revision, base.History)}, "Content-Type": {"application/json"}}
	return c.do(ctx, http.MethodPost, "/tree/edits", query, header, body, into)
}

// Members reads the nodes.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	return list[Member](ctx, c, "/members", url.Values{})
}

// Controllers reads the zones' controllers.
func (c *Client) Controllers(ctx context.Context) ([]Controller, error) {
	return list[Controller](ctx, c, "/controllers", url.Values{})
}

// Machines reads the back-end machines.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	return list[Machine](ctx, c, "/machines", url.Values{})
}

// Replicas reads the replicas.
func (c *Client) Replicas(ctx context.Context) ([]Replica, error) {
	return list[Replica](ctx, c, "/replicas", url.Values{})
}

// Queues reads the queues.
func (c *Client) Queues(ctx context.Context) ([]Queue, error) {
	return list[Queue](ctx, c, "/queues", url.Values{})
}

// WhyModel reads why a model is loaded as it is.
func (c *Client) WhyModel(ctx context.Context, model cluster.ModelID) (ModelReasons, error) {
	return get[ModelReasons](ctx, c, "/why/models/"+url.PathEscape(string(model)), nil)
}

// WhyRequest reads where a request went and why.
func (c *Client) WhyRequest(ctx context.Context, id cluster.RequestID) (RequestReasons, error) {
	return get[RequestReasons](ctx, c, "/why/requests/"+url.PathEscape(string(id)), nil)
}

// Events calls handle for each event after a number, until the stream breaks or
// ctx ends. An empty kind means all.
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
