package weights

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/internal/sleep"
)

// Client fetches checkpoints as an engine does: it retries refused loads after
// the delay that the store asks for. It is safe for concurrent use.
type Client struct {
	url string
}

// NewClient returns a client of the store at the base URL.
func NewClient(url string) *Client { return &Client{url: strings.TrimSuffix(url, "/")} }

// Fetch retries until the checkpoint is loaded completely, and then returns nil,
// or until ctx ends or the store reports an error that isn't retryable.
func (c *Client) Fetch(ctx context.Context, request LoadRequest) error {
	for {
		wait, err := c.tryFetch(ctx, request)
		if err != nil || wait == 0 {
			return err
		}
		if !sleep.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

// defaultRetryDelay applies when the store is unreachable or refuses a load
// without a valid retry delay.
const defaultRetryDelay = 500 * time.Millisecond

// tryFetch makes one attempt. A positive duration is the delay before the next
// attempt; zero without an error means that the load finished.
func (c *Client) tryFetch(ctx context.Context, request LoadRequest) (time.Duration, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, eris.Wrap(err, "encode load request")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+PathLoads, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "build load request")
	}
	answer, err := http.DefaultClient.Do(call)
	if err != nil {
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		return defaultRetryDelay, nil
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	switch answer.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		if millis, err := strconv.Atoi(answer.Header.Get(HeaderRetryAfterMillis)); err == nil {
			return time.Duration(millis) * time.Millisecond, nil
		}
		return defaultRetryDelay, nil
	default:
		return 0, eris.Errorf("load checkpoint: weight store answered status %d", answer.StatusCode)
	}
}
