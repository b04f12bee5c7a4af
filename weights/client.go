package weights

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/document"
)

// PathStatus of the weight store takes GET and answers Status as JSON.
const PathStatus = "/v1/status"

// Client reads the weight store's status over HTTP.
type Client struct{ document *document.Client }

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at url.
func NewClient(url string) *Client { return &Client{document: document.NewClient(url)} }

// Close drops idle connections.
func (c *Client) Close() { c.document.Close() }

// Status implements Store.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	_, _, err := c.document.Read(ctx, PathStatus, "", &status)
	return status, eris.Wrap(err, "read the weight store's status")
}
