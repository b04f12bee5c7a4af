package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
)

// RefusedError means that an engine refused an order for a reason other than its fencing token.
// The order had no effect.
type RefusedError struct {
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "engine refused the order: " + e.Reason }

// Seal implements Control.
func (c *Client) Seal(ctx context.Context, address string, token cluster.FencingToken) (cluster.Inventory, error) {
	var inventory cluster.Inventory
	err := c.callControl(ctx, http.MethodPost, address, PathSeal, SealRequest{Token: token}, &inventory)
	return inventory, err
}

// Inventory implements Control.
func (c *Client) Inventory(ctx context.Context, address string) (cluster.Inventory, error) {
	var inventory cluster.Inventory
	err := c.callControl(ctx, http.MethodGet, address, PathInventory, nil, &inventory)
	return inventory, err
}

// Order implements Control. A refusal for a reason other than the token is a *RefusedError. After
// any other error the effect is unknown.
func (c *Client) Order(ctx context.Context, address string, order cluster.Order) (cluster.Inventory, error) {
	var inventory cluster.Inventory
	err := c.callControl(ctx, http.MethodPost, address, PathOrders, order, &inventory)
	return inventory, err
}

// Report implements Control.
func (c *Client) Report(ctx context.Context, address string) (cluster.LoadReport, error) {
	var report cluster.LoadReport
	err := c.callControl(ctx, http.MethodGet, address, PathReport, nil, &report)
	return report, err
}

// CacheEvents implements Control.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]cluster.CacheEvent, error) {
	var events []cluster.CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.callControl(ctx, http.MethodGet, address, path, nil, &events)
	return events, err
}

// callControl sends one request to the control API. answer may be nil.
func (c *Client) callControl(ctx context.Context, method, address, path string, body, answer any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return eris.Wrapf(err, "encode %s", path)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return eris.Wrapf(err, "build %s", path)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "call %s", path)
	}
	defer discard(response.Body)
	return decodeControlAnswer(response, path, answer)
}

// decodeControlAnswer decodes the answer of the control API, or returns the error that it states.
func decodeControlAnswer(response *http.Response, path string, answer any) error {
	limited := io.LimitReader(response.Body, maxControlBytes)
	switch {
	case response.StatusCode == http.StatusConflict:
		var refused OrderRefusal
		if err := json.NewDecoder(limited).Decode(&refused); err != nil {
			return eris.Wrapf(err, "decode the refusal of %s", path)
		}
		if refused.Reason == ReasonStaleToken {
			return &StaleTokenError{Held: refused.Token}
		}
		return &RefusedError{Reason: refused.Reason}
	case response.StatusCode >= http.StatusMultipleChoices:
		return eris.Errorf("%s answered %d", path, response.StatusCode)
	case answer == nil:
		return nil
	}
	return eris.Wrapf(json.NewDecoder(limited).Decode(answer), "decode the answer of %s", path)
}
