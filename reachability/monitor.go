package reachability

import (
	"maps"
	"slices"
	"time"
)

// State is what a node believes of its path to the machines.
type State uint8

// The states.
const (
	// Connected: there is no reason to doubt the path.
	Connected State = iota
	// Suspected: connections to several machines failed and nothing was heard since.
	Suspected
	// Lost: the probes that followed the suspicion failed too.
	Lost
)

// String returns the name of the state in the log.
func (s State) String() string { return [...]string{"connected", "suspected", "lost"}[s] }

// Kind distinguishes failures by what disproves them.
type Kind uint8

// The kinds of failures.
const (
	// Silence: an established connection was closed or delivered nothing. Data on any connection
	// disproves it.
	Silence Kind = iota
	// NoConnection: a connection could not be opened, or a new one failed before its first byte.
	// Only data on a connection that was opened later disproves it.
	NoConnection
)

const (
	// suspicionThreshold is the number of machines that must fail before the path is suspected
	// instead of the machines.
	suspicionThreshold = 2
	// soleFailureTime is how long a single machine must fail, while nothing arrives from any other, until
	// the path is suspected too: a node may send to one machine only. It is longer than a restart keeps a
	// machine from answering on open connections, and a node learns of a lost path in time.
	soleFailureTime = 300 * time.Millisecond
	// failureExpiry is how long a failure counts towards a suspicion.
	failureExpiry = 5 * time.Second
	// establishedGrace is how long after data arrived established connections are still used while
	// new ones fail.
	establishedGrace = 500 * time.Millisecond
	// refutationHold is how long after an answered probe no suspicion arises: the machines that fail
	// are then at fault, and more of them may fail in a row.
	refutationHold = 250 * time.Millisecond
	// blameTime is how long after an answered probe further failures of the machines that had failed then say
	// nothing of the path. It is shorter than a node may take to find a lost path.
	blameTime = time.Second
)

// Failure is the latest failure at one machine.
type Failure struct {
	Kind  Kind
	At    time.Time
	Cause string
}

// Monitor holds the failures that nothing heard since has disproved. It is not safe for concurrent
// use.
type Monitor struct {
	state    State
	failures map[string]Failure
	// firstAt is when the first of the failures occurred. heard is set once data has arrived from any
	// machine since, the last at heardAt.
	firstAt, heardAt time.Time
	heard            bool
	// refutedAt is when a probe last refuted a suspicion, blamed the machines that had failed then.
	refutedAt time.Time
	blamed    map[string]bool
}

// New returns a Monitor in the state Connected.
func New() *Monitor { return &Monitor{failures: map[string]Failure{}, blamed: map[string]bool{}} }

// State returns the current state.
func (m *Monitor) State() State { return m.state }

// Doubtful reports whether there are failures that nothing has disproved yet.
func (m *Monitor) Doubtful() bool { return len(m.failures) > 0 }

// Failed lists the machines with such failures, in order.
func (m *Monitor) Failed() []string { return slices.Sorted(maps.Keys(m.failures)) }

// FirstAt returns when the first of these failures occurred.
func (m *Monitor) FirstAt() time.Time { return m.firstAt }

// NothingHeard reports whether no data has arrived from any machine since the first failure.
func (m *Monitor) NothingHeard() bool { return m.Doubtful() && !m.heard }

// AllowsEstablished reports whether an established connection may be used although the path is
// suspected.
func (m *Monitor) AllowsEstablished(now time.Time) bool {
	return m.state == Connected || m.heard && now.Sub(m.heardAt) < establishedGrace
}

// RecordFailure records a failure at one of the given number of known machines. It reports whether
// the state changed.
func (m *Monitor) RecordFailure(now time.Time, machine string, kind Kind, cause string, known int) bool {
	m.expire(now)
	if len(m.failures) == 0 {
		m.firstAt, m.heard = now, false
	}
	if before, failed := m.failures[machine]; failed && before.Kind == NoConnection {
		kind = NoConnection
	}
	m.failures[machine] = Failure{Kind: kind, At: now, Cause: cause}
	if m.state != Connected || !m.enoughFailures(now, known) || now.Sub(m.refutedAt) < refutationHold {
		return false
	}
	m.state = Suspected
	return true
}

// enoughFailures reports whether as many of the known machines failed as a suspicion takes, or one for long enough
// with nothing heard, and not only those that are blamed.
func (m *Monitor) enoughFailures(now time.Time, known int) bool {
	if now.Sub(m.refutedAt) >= blameTime {
		clear(m.blamed)
	}
	if len(m.failures) < min(suspicionThreshold, max(known, 1)) && now.Sub(m.silentSince()) < soleFailureTime {
		return false
	}
	for machine := range m.failures {
		if !m.blamed[machine] {
			return true
		}
	}
	return false
}

// silentSince returns since when machines failed and nothing was heard.
func (m *Monitor) silentSince() time.Time {
	if m.heardAt.After(m.firstAt) {
		return m.heardAt
	}
	return m.firstAt
}

// expire drops old failures unless the path is suspected: then only data disproves them.
func (m *Monitor) expire(now time.Time) {
	if m.state != Connected {
		return
	}
	maps.DeleteFunc(m.failures, func(_ string, f Failure) bool { return now.Sub(f.At) >= failureExpiry })
}

// RecordData records that data arrived on a connection that was opened at the given time. It
// reports whether the state changed.
func (m *Monitor) RecordData(now, opened time.Time) bool {
	if !m.Doubtful() {
		return false
	}
	m.heard, m.heardAt = true, now
	opensAgain := !opened.Before(m.firstAt)
	maps.DeleteFunc(m.failures, func(_ string, f Failure) bool { return f.Kind == Silence || opensAgain })
	if m.state == Connected || len(m.failures) >= suspicionThreshold {
		return false
	}
	m.state = Connected
	clear(m.failures)
	return true
}

// RecordProbe records that probes on new connections have ended. It reports whether the state
// changed.
func (m *Monitor) RecordProbe(now time.Time, answered bool) bool {
	switch {
	case m.state == Connected:
		return false
	case answered:
		m.state, m.refutedAt = Connected, now
		m.blameFailed()
		clear(m.failures)
		return true
	case m.state == Suspected:
		m.state = Lost
		return true
	}
	return false
}

// blameFailed makes the machines that failed the blamed ones.
func (m *Monitor) blameFailed() {
	clear(m.blamed)
	for machine := range m.failures {
		m.blamed[machine] = true
	}
}
