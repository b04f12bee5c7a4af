package machines

import (
	"context"

	"github.com/valveslip/valveslip/cluster"
)

// Lister reads the machine list.
type Lister interface {
	// List returns all live and leaving machines, sorted by ID, and a version
	// that increases with every change.
	List(ctx context.Context) (list []cluster.Machine, version uint64, err error)
}
