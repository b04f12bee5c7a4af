package document

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 60 * time.Second
	maxAnswerBytes  = 16 << 20
	idleConnections = 2
)

// Client reads documents below one base URL. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the service at url.
func NewClient(url string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{url: strings.TrimSuffix(url, "/"), http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read decodes the document at path into the value. With a tag of an earlier
// answer that still holds, changed is false and the value is left alone. The
// tag returned is empty when the service gives none.
func (c *Client) Read(ctx context.Context, path, tag string, into any) (newTag string, changed bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return "", false, eris.Wrap(err, "build the request")
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return "", false, eris.Wrap(err, "send the request")
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusNotModified:
		return tag, false, nil
	case http.StatusOK:
		err = json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(into)
		return answer.Header.Get("ETag"), true, eris.Wrap(err, "decode the answer")
	default:
		return "", false, eris.Errorf("the service answered %d", answer.StatusCode)
	}
}
