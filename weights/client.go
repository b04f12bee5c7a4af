package weights

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/document"
)

// PathStatus is the path of the weight store's status. GET returns a Status as JSON.
const PathStatus = "/v1/status"

// Client reads the weight store's status over HTTP.
type Client struct{ document *document.Client }

var _ Store = (*Client)(nil)

// NewClient returns a client of the weight store at url.
func NewClient(url string) *Client { return &Client{document: document.NewClient(url)} }

// Close closes idle connections.
func (c *Client) Close() { c.document.Close() }

// Status implements Store.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	_, _, err := c.document.Read(ctx, PathStatus, "", &status)
	return status, eris.Wrap(err, "read the weight store's status")
}
