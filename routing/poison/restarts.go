package poison

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// restartDelay is how long before it becomes known that a machine has started again its later start may have
	// answered: twice the time that an entry takes to be written and read.
	restartDelay = 2 * time.Second
	// maxClearances bounds the clearances that are kept.
	maxClearances = 1024
	// restartedSuffix marks the end of a machine that counts although an answer cleared it. Clearances are final.
	restartedSuffix = " (started again)"
)

// clearance is an end that was cleared in the record of a request because the machine answered.
type clearance struct {
	machine cluster.MachineID
	content Fingerprint
	at      time.Time
}

// noteClearance keeps a clearance for restartDelay.
func (t *Table) noteClearance(now time.Time, cleared clearance) {
	t.clearances = slices.DeleteFunc(t.clearances, func(c clearance) bool { return now.Sub(c.at) > restartDelay })
	if len(t.clearances) < maxClearances {
		t.clearances = append(t.clearances, cleared)
	}
}

// MachineRestarted records that a machine has started again. If it seemed not to have ended since it answered a moment
// ago, the later start may have given that answer, and the end counts.
func (t *Table) MachineRestarted(now time.Time, machine cluster.MachineID) {
	for _, cleared := range t.clearances {
		if cleared.machine == machine && now.Sub(cleared.at) <= restartDelay && !t.recentlyCompleted(now, cleared.content) {
			t.merge(now, &Record{Content: cleared.content, Ends: []cluster.MachineID{machine + restartedSuffix}})
		}
	}
	t.clearances = slices.DeleteFunc(t.clearances, func(c clearance) bool { return c.machine == machine })
}
