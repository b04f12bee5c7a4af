package keyvalue

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
)

// Errors of State.
var (
	// ErrLeaseNotFound is a keyvalue.ErrLeaseNotFound.
	ErrLeaseNotFound = fmt.Errorf("requested %w", keyvalue.ErrLeaseNotFound)
	ErrDuplicateKey  = errors.New("duplicate key given in txn request")
	ErrEmptyKey      = errors.New("key is not provided")
	ErrFuture        = errors.New("required revision is a future revision")
	ErrLeaseExists   = errors.New("lease already exists")
	ErrLeaseTTL      = errors.New("too large lease TTL")
)

// Config of a State. The zero value has no rate limit.
type Config struct {
	// RequestsPerSecond limits requests; zero means unlimited.
	RequestsPerSecond float64
	// Burst is how many requests may come at once; at least 1 when limited.
	Burst int
	// HistoryLength bounds the changes kept for watches; older ones are
	// compacted. The default is 10,000.
	HistoryLength int
}

const defaultHistoryLength = 10_000

// lease is a granted lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// State is the whole service. It is not safe for concurrent use.
//
// Invariants: the revision grows by one with every transaction that changes
// something; history holds every change after compacted, in order; a key names
// a lease exactly when that lease lists the key.
type State struct {
	config    Config
	revision  int64
	compacted int64
	pairs     map[string]keyvalue.KeyValue
	history   []keyvalue.Event
	leases    map[int64]*lease
	nextLease int64
	allowance float64
	refilled  time.Time
}

// NewState returns an empty service at revision 1.
func NewState(config Config) *State {
	if config.HistoryLength <= 0 {
		config.HistoryLength = defaultHistoryLength
	}
	if config.Burst < 1 {
		config.Burst = 1
	}
	return &State{
		config: config, revision: 1, pairs: map[string]keyvalue.KeyValue{},
		leases: map[int64]*lease{}, nextLease: 1, allowance: float64(config.Burst),
	}
}

// Revision is the global revision.
func (s *State) Revision() int64 { return s.revision }

// CompactedRevision is the revision up to which the history is gone.
func (s *State) CompactedRevision() int64 { return s.compacted }

// Allow takes one request from the rate limit and reports whether it may pass.
func (s *State) Allow(now time.Time) bool {
	if s.config.RequestsPerSecond <= 0 {
		return true
	}
	if !s.refilled.IsZero() && now.After(s.refilled) {
		s.allowance += now.Sub(s.refilled).Seconds() * s.config.RequestsPerSecond
	}
	s.allowance = min(s.allowance, float64(s.config.Burst))
	s.refilled = now
	if s.allowance < 1 {
		return false
	}
	s.allowance--
	return true
}

// Range returns the pairs below prefix, sorted by key, and the revision.
func (s *State) Range(now time.Time, prefix string) ([]keyvalue.KeyValue, int64) {
	s.Expire(now)
	first, end := prefixBounds(prefix)
	return s.between(first, end), s.revision
}

// between returns the pairs with first <= key < end, sorted; an empty end
// means first alone and "\x00" no bound.
func (s *State) between(first, end string) []keyvalue.KeyValue {
	if end == "" {
		if pair, ok := s.pairs[first]; ok {
			return []keyvalue.KeyValue{pair}
		}
		return nil
	}
	var found []keyvalue.KeyValue
	for key, pair := range s.pairs {
		if inside(key, first, end) {
			found = append(found, pair)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// inside reports whether key lies in the range that the gateway writes as key
// and range end.
func inside(key, first, end string) bool {
	if end == "" {
		return key == first
	}
	return key >= first && (end == "\x00" || key < end)
}

// Grant creates a lease.
func (s *State) Grant(now time.Time, ttl time.Duration) int64 {
	id, _ := s.GrantID(now, ttl, 0)
	return id
}

// GrantID creates a lease with the given id, or a free one when id is zero.
func (s *State) GrantID(now time.Time, ttl time.Duration, id int64) (int64, error) {
	s.Expire(now)
	if id == 0 {
		for s.leases[s.nextLease] != nil {
			s.nextLease++
		}
		id = s.nextLease
		s.nextLease++
	}
	if s.leases[id] != nil {
		return 0, ErrLeaseExists
	}
	s.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]struct{}{}}
	return id, nil
}

// KeepAlive extends a lease by its TTL.
func (s *State) KeepAlive(now time.Time, id int64) (time.Duration, error) {
	s.Expire(now)
	granted := s.leases[id]
	if granted == nil {
		return 0, ErrLeaseNotFound
	}
	granted.expires = now.Add(granted.ttl)
	return granted.ttl, nil
}

// Revoke ends a lease and deletes its keys in one revision.
func (s *State) Revoke(now time.Time, id int64) error {
	s.Expire(now)
	if s.leases[id] == nil {
		return ErrLeaseNotFound
	}
	s.end(id)
	return nil
}

// NextExpiry returns when the next lease expires.
func (s *State) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, granted := range s.leases {
		if next.IsZero() || granted.expires.Before(next) {
			next = granted.expires
		}
	}
	return next, !next.IsZero()
}

// Expire ends the leases that are past their time, the earliest first.
func (s *State) Expire(now time.Time) {
	var due []int64
	for id, granted := range s.leases {
		if !granted.expires.After(now) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		left, right := s.leases[due[i]].expires, s.leases[due[j]].expires
		return left.Before(right) || left.Equal(right) && due[i] < due[j]
	})
	for _, id := range due {
		s.end(id)
	}
}

// end removes a lease and its keys.
func (s *State) end(id int64) {
	keys := make([]string, 0, len(s.leases[id].keys))
	for key := range s.leases[id].keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	delete(s.leases, id)
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.remove(key)
	}
}
