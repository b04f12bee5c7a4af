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

// PathMachines of the machine list takes GET and answers List as JSON. It gives
// an entity tag and answers 304 to one that still holds.
const PathMachines = "/v1/machines"

// List is the body of the machine list's answer.
type List struct {
	Version  uint64
	Machines []cluster.Machine
}

// Client reads the machine list over HTTP and keeps the last one, so that an
// unchanged list costs no transfer.
type Client struct {
	document *document.Client

	mu   sync.Mutex
	tag  string
	last List
}

var _ Lister = (*Client)(nil)

// NewClient returns a client of the list at url.
func NewClient(url string) *Client { return &Client{document: document.NewClient(url)} }

// Close drops idle connections.
func (c *Client) Close() { c.document.Close() }

// List implements Lister. The slice must not be changed.
func (c *Client) List(ctx context.Context) ([]cluster.Machine, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list List
	tag, changed, err := c.document.Read(ctx, PathMachines, c.tag, &list)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read the machine list")
	}
	if changed {
		slices.SortFunc(list.Machines, func(a, b cluster.Machine) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
		c.tag, c.last = tag, list
	}
	return c.last.Machines, c.last.Version, nil
}
