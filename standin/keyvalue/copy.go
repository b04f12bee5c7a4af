package keyvalue

import (
	"maps"
	"slices"
	"time"
)

// Copy is the contents of a State at one time, from which a State can come back.
type Copy struct {
	state   *State
	takenAt time.Time
}

// Copy returns a copy of the store.
func (s *State) Copy(now time.Time) Copy {
	s.Expire(now)
	return Copy{state: s.clone(), takenAt: now}
}

// Restore replaces the store with a copy: revisions and lease identifiers that were given out since
// are given out again. Leases of the copy have the time left that they had when it was taken.
func (s *State) Restore(now time.Time, from Copy) {
	restored := from.state.clone()
	for _, granted := range restored.leases {
		granted.expiresAt = granted.expiresAt.Add(now.Sub(from.takenAt))
	}
	requestTokens, refilledAt := s.requestTokens, s.refilledAt
	*s = *restored
	s.requestTokens, s.refilledAt = requestTokens, refilledAt
}

// clone returns a State that shares nothing that changes with s.
func (s *State) clone() *State {
	cloned := *s
	cloned.pairs, cloned.history = maps.Clone(s.pairs), slices.Clone(s.history)
	cloned.leases = make(map[int64]*lease, len(s.leases))
	for id, granted := range s.leases {
		cloned.leases[id] = &lease{ttl: granted.ttl, expiresAt: granted.expiresAt, keys: maps.Clone(granted.keys)}
	}
	return &cloned
}
