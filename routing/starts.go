package routing

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// The entry of a machine describes the start that wrote it. Another start may answer at its address by the time
// a request is sent. Where that matters, a Dispatch names the start that must answer, and the connection is
// asked before anything is sent on it.

// startQueryInterval is the time after which a machine that did not state its start is tried again for
// requests that need it, 300 ms: a caller gives a stream up after a pause of 2 s, and each try costs a connection.
const startQueryInterval = 300 * time.Millisecond

// unlistedPrefix begins the release of a start whose entry is not known.
const unlistedPrefix = "unlisted start "

// UnlistedRelease returns the release that stands for that of a start whose entry is not known.
func UnlistedRelease(start cluster.MachineID) string { return unlistedPrefix + string(start) }

// IsUnlistedRelease reports whether a release stands for that of a start whose entry is not known.
func IsUnlistedRelease(release string) bool { return strings.HasPrefix(release, unlistedPrefix) }

// MachineStartFound reports the start of a machine that answered at its address, empty if it did not say.
type MachineStartFound struct{ Machine, Start cluster.MachineID }

func (MachineStartFound) routingEvent() {}

// machineStartFound records the start that answers at a machine's address.
func (r *Router) machineStartFound(event *MachineStartFound) {
	m := r.machines[event.Machine]
	if m == nil {
		return
	}
	r.recheckHeldBack = true
	if event.Start == "" {
		m.startUnknownUntil = r.nanos + int64(startQueryInterval)
		r.wakeAt(m, m.startUnknownUntil)
		return
	}
	if m.answeringStart() != event.Start {
		r.freedMachines = append(r.freedMachines, m)
	}
	m.startFound, m.startUnknownUntil = event.Start, 0
	m.endSeen = m.endSeen && event.Start != m.id
}

// answeringStart returns the start of the machine that answers at its address, as far as known.
func (m *machine) answeringStart() cluster.MachineID {
	if m.startFound != "" {
		return m.startFound
	}
	return m.id
}

// noteEnd records that the process of the machine may have ended: a connection broke, or its address refused one.
func (m *machine) noteEnd(event *AttemptEnded) {
	m.endSeen = m.endSeen || event.Broken || event.MachineEnded
}

// requiredStart returns the start that must answer an attempt, empty for any. Streams that may be continued need
// it where their machine may have another release than its entry states.
func (r *Router) requiredStart(ready *request, m *machine) cluster.MachineID {
	if !ready.Resumable {
		return ""
	}
	restartPossible := m.endSeen || m.startFound != "" && m.startFound != m.id
	mixed := r.config.MixedReleases != nil && r.config.MixedReleases(ready.Model)
	if ready.Pinned || restartPossible || mixed {
		return m.answeringStart()
	}
	return ""
}

// startUnknown reports whether the machine did not say a moment ago which of its starts answers, which a request
// that is pinned to a release needs.
func (r *Router) startUnknown(ready *request, m *machine) bool {
	return ready.Pinned && r.nanos < m.startUnknownUntil
}

// AttemptsDoubted reports that a machine has started again with another release. Streams that were sent to it
// without a check of its start may have begun at either.
type AttemptsDoubted struct{ Machine cluster.MachineID }

func (AttemptsDoubted) routingEvent() {}

// attemptsDoubted makes the release of streams unknown that run unchecked at a machine which has started again:
// no other attempt may continue them.
func (r *Router) attemptsDoubted(event *AttemptsDoubted) {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		doubted := r.requests[id]
		if !doubted.running || doubted.machine.id != event.Machine || !doubted.Resumable || doubted.attemptStart != "" {
			continue
		}
		began := doubted.firstByteSent && doubted.firstByteAttempt == doubted.attempt
		if doubted.Pinned && !began {
			continue
		}
		doubted.attemptRelease = UnlistedRelease(event.Machine + "?")
		if began {
			doubted.Release = doubted.attemptRelease
			r.emitBegan(doubted)
		}
	}
}
