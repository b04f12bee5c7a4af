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
	dialTimeout        = 2 * time.Second
	idleTimeout        = 60 * time.Second
	maxResponseBytes   = 16 << 20
	maxIdleConnections = 2
)

// Client reads JSON documents below one base URL. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the service at url.
func NewClient(url string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{url: strings.TrimSuffix(url, "/"), http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read decodes the document at path into the value. If tag is the entity tag of
// an earlier response and still current, changed is false and the value is not
// modified. The returned tag is empty if the service sends none.
func (c *Client) Read(ctx context.Context, path, tag string, into any) (newTag string, changed bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return "", false, eris.Wrap(err, "build the request")
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", false, eris.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return tag, false, nil
	case http.StatusOK:
		err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(into)
		return response.Header.Get("ETag"), true, eris.Wrap(err, "decode the response")
	default:
		return "", false, eris.Errorf("unexpected response status %d", response.StatusCode)
	}
}
