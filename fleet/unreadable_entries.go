package fleet

import (
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
)

// The outcomes logged for a machine whose entry can't be decoded.
const (
	outcomeUnknown = "not known"
	outcomeKept    = "what was known holds"
	outcomeLeaving = "takes no new requests"
)

// markUndecodable handles an entry that can't be decoded, and returns the machine's entry if it
// has changed by that.
//
// An undecodable entry of an unknown machine is ignored. For a known machine, the last decoded
// entry stays valid until another one can be decoded or the entry is deleted. Removing the
// machine at once would lose all machines of a service to a single writer of a different format,
// although each of them still serves. Keeping it costs little: a request names its target
// machine, so that another machine at the same address does not run it, and an attempt at a
// machine that has ended fails without loss. A machine that leaves must be noticed, however. If
// the entry can be decoded far enough to show that, the machine takes no new requests. A machine
// that was known to be leaving remains so, since only a complete entry can revoke it.
func (v *machineView) markUndecodable(entry *UndecodableWorker, revision keyvalue.Revision) *catalog.Worker {
	line := eventlog.WorkerUnreadable{Machine: entry.ID, Revision: revision, Outcome: outcomeUnknown, Cause: entry.Cause}
	defer func() { v.core.log(line) }()
	known := v.machines[entry.ID]
	if known == nil {
		return nil
	}
	line.Outcome = outcomeKept
	if known.worker.Draining || entry.Leaving {
		line.Outcome = outcomeLeaving
	}
	if known.worker.Draining || !entry.Leaving {
		return nil
	}
	leaving := known.worker
	leaving.Draining = true
	v.put(&leaving, revision)
	return &leaving
}
