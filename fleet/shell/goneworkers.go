package shell

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// goneMemory is how long a machine is remembered whose entry is gone: longer than a copy that the
	// store comes back from is old.
	goneMemory = 2 * time.Minute
	// maxGoneWorkers limits the remembered machines. A forgotten one is used again if a copy has it.
	maxGoneWorkers = 16384
)

// errGoneBefore: the entry of the machine was gone before the store came back from a copy that has it.
var errGoneBefore = eris.New("it was gone before the store came back from a copy")

// goneWorkers are the machines whose entries are gone, and since when.
type goneWorkers map[cluster.MachineID]time.Time

// add records that the entry of a machine is gone.
func (g goneWorkers) add(name cluster.MachineID, now time.Time) {
	if len(g) >= maxGoneWorkers {
		g.prune(now)
	}
	if len(g) < maxGoneWorkers {
		g[name] = now
	}
}

// prune forgets the machines that are gone for longer than goneMemory.
func (g goneWorkers) prune(now time.Time) {
	for name, since := range g {
		if now.Sub(since) >= goneMemory {
			delete(g, name)
		}
	}
}

// includes reports whether the entry of a machine is gone since a short time ago.
func (g goneWorkers) includes(name cluster.MachineID, now time.Time) bool {
	since, gone := g[name]
	return gone && now.Sub(since) < goneMemory
}
