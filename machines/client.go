package machines

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/document"
)

// PathMachines is the path of the machine list. A GET returns List as JSON with
// an entity tag, and status 304 if the request's tag is still current.
const PathMachines = "/v1/machines"

// List is the response body of PathMachines.
type List struct {
	Version  uint64
	Machines []cluster.Machine
}

// Client reads the machine list over HTTP. It keeps the last list, so that an
// unchanged list is not transferred again.
type Client struct {
	document *document.Client

	mu       sync.Mutex
	etag     string
	lastList List
}

var _ Lister = (*Client)(nil)

// NewClient returns a client for the machine list service at url.
func NewClient(url string) *Client { return &Client{document: document.NewClient(url)} }

// Close closes idle connections.
func (c *Client) Close() { c.document.Close() }

// List implements Lister. Callers must not modify the slice.
func (c *Client) List(ctx context.Context) ([]cluster.Machine, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list List
	tag, changed, err := c.document.Read(ctx, PathMachines, c.etag, &list)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read the machine list")
	}
	if changed {
		slices.SortFunc(list.Machines, func(a, b cluster.Machine) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
		c.etag, c.lastList = tag, list
	}
	return c.lastList.Machines, c.lastList.Version, nil
}
