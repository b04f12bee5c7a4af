package upstream

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCarried bounds the requests that a connection remembers, at 16 bytes each. A connection that would have to
// remember more is not used again.
const maxCarried = 1024

// carriedRequest is a request that a connection has carried.
type carriedRequest struct {
	idHash uint64
	// until is when the request can no longer be sent again, counted from the opening of the connection.
	until time.Duration
}

// RecordCarried records that the connection carries a request, which may be sent again within the given time. It
// must be called before Send.
func (c *Conn) RecordCarried(id string, within time.Duration) {
	age := c.Age()
	if len(c.carried) == cap(c.carried) || len(c.carried) >= maxCarried {
		c.carried = slices.DeleteFunc(c.carried, func(r carriedRequest) bool { return r.until < age })
	}
	if len(c.carried) >= maxCarried {
		c.MarkUnusable()
	}
	c.carried = append(c.carried, carriedRequest{idHash: xxhash.Sum64String(id), until: age + within})
}

// HasCarried reports whether the connection has carried a request that may still be sent again. It may report so
// for a request whose ID has the same hash.
func (c *Conn) HasCarried(id string) bool {
	hash := xxhash.Sum64String(id)
	return slices.ContainsFunc(c.carried, func(r carriedRequest) bool { return r.idHash == hash })
}

// Exchanges returns the number of exchanges that were begun on the connection.
func (c *Conn) Exchanges() int { return c.exchanges }
