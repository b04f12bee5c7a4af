package keyvalue

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
)

// Errors of State, with the texts of etcd.
var (
	// ErrLeaseNotFound wraps keyvalue.ErrLeaseNotFound.
	ErrLeaseNotFound = fmt.Errorf("requested %w", keyvalue.ErrLeaseNotFound)
	ErrDuplicateKey  = errors.New("duplicate key given in txn request")
	ErrEmptyKey      = errors.New("key is not provided")
	ErrFuture        = errors.New("required revision is a future revision")
	ErrLeaseExists   = errors.New("lease already exists")
	ErrLeaseTTL      = errors.New("too large lease TTL")
)

// Config configures a State. The zero value has no rate limit.
type Config struct {
	// RequestsPerSecond is the rate limit; zero means unlimited.
	RequestsPerSecond float64
	// Burst is the size of the rate limiter's token bucket, at least 1.
	Burst int
	// HistoryLength is the number of events kept for watches. Older events are
	// compacted once there are twice as many. The default is 10,000.
	HistoryLength int
}

const defaultHistoryLength = 10_000

// lease is a granted lease with the keys attached to it.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]struct{}
}

// State is the in-memory store. It is not safe for concurrent use.
//
// Invariants: the revision grows by one with every transaction or lease end that
// changes a key; history holds every event from compactedRevision on, in order;
// a pair refers to a lease if and only if that lease lists the pair's key.
type State struct {
	config   Config
	revision keyvalue.Revision
	// compactedRevision is the oldest revision whose events are kept.
	compactedRevision keyvalue.Revision
	pairs             map[string]keyvalue.KeyValue
	history           []keyvalue.Event
	leases            map[int64]*lease
	nextLeaseID       int64
	// requestTokens are the tokens of the rate limiter's bucket, as of refilledAt.
	requestTokens float64
	refilledAt    time.Time
}

// NewState returns an empty store at revision 1.
func NewState(config Config) *State {
	if config.HistoryLength <= 0 {
		config.HistoryLength = defaultHistoryLength
	}
	if config.Burst < 1 {
		config.Burst = 1
	}
	return &State{
		config: config, revision: 1, pairs: map[string]keyvalue.KeyValue{},
		leases: map[int64]*lease{}, nextLeaseID: 1, requestTokens: float64(config.Burst),
	}
}

// Revision returns the global revision.
func (s *State) Revision() keyvalue.Revision { return s.revision }

// CompactedRevision returns the oldest revision whose events are kept, or zero
// if the history was never compacted.
func (s *State) CompactedRevision() keyvalue.Revision { return s.compactedRevision }

// Allow takes a token from the rate limiter's bucket and reports whether there
// was one.
func (s *State) Allow(now time.Time) bool {
	if s.config.RequestsPerSecond <= 0 {
		return true
	}
	if !s.refilledAt.IsZero() && now.After(s.refilledAt) {
		s.requestTokens += now.Sub(s.refilledAt).Seconds() * s.config.RequestsPerSecond
	}
	s.requestTokens = min(s.requestTokens, float64(s.config.Burst))
	s.refilledAt = now
	if s.requestTokens < 1 {
		return false
	}
	s.requestTokens--
	return true
}

// Range returns the pairs whose keys have the prefix, sorted by key, and the
// global revision.
func (s *State) Range(now time.Time, prefix string) ([]keyvalue.KeyValue, keyvalue.Revision) {
	s.Expire(now)
	first, end := prefixBounds(prefix)
	return s.pairsInRange(first, end), s.revision
}

// pairsInRange returns the pairs with first <= key < end, sorted by key. An empty
// end selects the key first alone, and "\x00" means no upper bound.
func (s *State) pairsInRange(first, end string) []keyvalue.KeyValue {
	if end == "" {
		if pair, ok := s.pairs[first]; ok {
			return []keyvalue.KeyValue{pair}
		}
		return nil
	}
	var found []keyvalue.KeyValue
	for key, pair := range s.pairs {
		if inRange(key, first, end) {
			found = append(found, pair)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// inRange reports whether key is in the range from first to end, with the
// special values of end that pairsInRange has.
func inRange(key, first, end string) bool {
	if end == "" {
		return key == first
	}
	return key >= first && (end == "\x00" || key < end)
}

// Grant creates a lease and returns its ID.
func (s *State) Grant(now time.Time, ttl time.Duration) int64 {
	id, _ := s.GrantID(now, ttl, 0)
	return id
}

// GrantID creates a lease with the given ID, or with an unused one if id is zero,
// and returns its ID.
func (s *State) GrantID(now time.Time, ttl time.Duration, id int64) (int64, error) {
	s.Expire(now)
	if id == 0 {
		for s.leases[s.nextLeaseID] != nil {
			s.nextLeaseID++
		}
		id = s.nextLeaseID
		s.nextLeaseID++
	}
	if s.leases[id] != nil {
		return 0, ErrLeaseExists
	}
	s.leases[id] = &lease{ttl: ttl, expiresAt: now.Add(ttl), keys: map[string]struct{}{}}
	return id, nil
}

// KeepAlive extends a lease to its full TTL from now and returns the TTL.
func (s *State) KeepAlive(now time.Time, id int64) (time.Duration, error) {
	s.Expire(now)
	granted := s.leases[id]
	if granted == nil {
		return 0, ErrLeaseNotFound
	}
	granted.expiresAt = now.Add(granted.ttl)
	return granted.ttl, nil
}

// Revoke ends a lease and deletes its keys in one revision.
func (s *State) Revoke(now time.Time, id int64) error {
	s.Expire(now)
	if s.leases[id] == nil {
		return ErrLeaseNotFound
	}
	s.endLease(id)
	return nil
}

// NextExpiry returns when the next lease expires, or false if there is no lease.
func (s *State) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, granted := range s.leases {
		if next.IsZero() || granted.expiresAt.Before(next) {
			next = granted.expiresAt
		}
	}
	return next, !next.IsZero()
}

// Expire ends the expired leases, the earliest first.
func (s *State) Expire(now time.Time) {
	var due []int64
	for id, granted := range s.leases {
		if !granted.expiresAt.After(now) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		left, right := s.leases[due[i]].expiresAt, s.leases[due[j]].expiresAt
		return left.Before(right) || left.Equal(right) && due[i] < due[j]
	})
	for _, id := range due {
		s.endLease(id)
	}
}

// endLease removes a lease and deletes its keys at one revision.
func (s *State) endLease(id int64) {
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
		s.removeKey(key)
	}
}
