package node

import (
	"errors"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// leaseState is the state of a leaseClient.
type leaseState uint8

const (
	leaseIdle leaseState = iota
	leaseGranting
	leaseWriting
	leaseHeld
	leaseRenewing
)

// leaseOutcome is what a leaseClient learned from an answer.
type leaseOutcome uint8

const (
	leaseNothing leaseOutcome = iota
	leaseWon
	leaseTaken
	leaseExtended
	leaseGone
	leaseNoAnswer
)

// leaseClient acquires, renews and releases one lease record in the key-value
// service. The record's key exists only while its lease lives; the revision at
// which it was created is the fencing token. A lost answer to the write is
// settled by the next write, whose failed compare shows the record.
type leaseClient struct {
	core  *Core
	key   string
	owner string
	ttl   time.Duration

	state leaseState
	lease int64
	token cluster.FencingToken
	// sentAt is when the grant or the last renewal was sent: the lease counts
	// from then, also when its record is written later.
	sentAt time.Time
	// promised is the TTL the service answered with.
	promised time.Duration
	// holder of the record when another has it.
	holder      cluster.NodeID
	holderToken cluster.FencingToken
}

// acquire begins to take the lease when nothing is under way.
func (s *leaseClient) acquire() {
	if s.state != leaseIdle {
		return
	}
	if s.lease != 0 {
		s.write()
		return
	}
	s.sentAt = s.core.now
	s.state = leaseGranting
	s.core.keyValueCall(KeyValueCall{Operation: KeyValueGrant, TTL: s.ttl}, callPurpose{lease: s})
}

func (s *leaseClient) write() {
	s.state = leaseWriting
	s.core.keyValueCall(KeyValueCall{Operation: KeyValueTxn, Txn: keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: s.key}},
		Operations: []keyvalue.Operation{{Key: s.key, Value: []byte(s.owner), Lease: s.lease}},
		Reads:      []string{s.key},
	}}, callPurpose{lease: s})
}

// renew keeps the held lease alive.
func (s *leaseClient) renew() {
	if s.state != leaseHeld {
		return
	}
	s.state = leaseRenewing
	s.sentAt = s.core.now
	s.core.keyValueCall(KeyValueCall{Operation: KeyValueKeepAlive, Lease: s.lease}, callPurpose{lease: s})
}

// release deletes the record, if it is still the own one, and revokes the lease.
func (s *leaseClient) release() {
	if s.lease != 0 && s.token != 0 {
		s.core.keyValueCall(KeyValueCall{Operation: KeyValueTxn, Txn: keyvalue.Transaction{
			Compares:   []keyvalue.Compare{{Key: s.key, ModRevision: int64(s.token)}},
			Operations: []keyvalue.Operation{{Key: s.key, Delete: true}},
		}}, callPurpose{})
		s.core.keyValueCall(KeyValueCall{Operation: KeyValueRevoke, Lease: s.lease}, callPurpose{})
	}
	s.reset()
}

// reset forgets the lease; answers still under way are ignored.
func (s *leaseClient) reset() {
	s.state, s.lease, s.token = leaseIdle, 0, 0
}

// answered takes the answer of the call under way.
func (s *leaseClient) answered(answer KeyValueAnswered) leaseOutcome {
	switch s.state {
	case leaseGranting:
		return s.granted(answer)
	case leaseWriting:
		return s.written(answer)
	case leaseRenewing:
		return s.renewed(answer)
	default:
		return leaseNothing
	}
}

func (s *leaseClient) granted(answer KeyValueAnswered) leaseOutcome {
	if answer.Err != nil {
		s.reset()
		return leaseNoAnswer
	}
	s.lease, s.promised = answer.Lease, answer.TTL
	if s.promised == 0 {
		s.promised = s.ttl
	}
	s.write()
	return leaseNothing
}

func (s *leaseClient) written(answer KeyValueAnswered) leaseOutcome {
	switch {
	case answer.Err != nil && verdict.Of(answer.Err) == verdict.NotRun:
		s.reset()
		return leaseNoAnswer
	case answer.Err != nil:
		// The write may have taken effect: keep the lease and write again.
		s.state = leaseIdle
		return leaseNoAnswer
	case answer.Txn.Succeeded:
		return s.won(cluster.FencingToken(answer.Txn.Revision))
	}
	for _, found := range answer.Txn.Found {
		if found.Key != s.key {
			continue
		}
		if string(found.Value) == s.owner && found.Lease == s.lease {
			return s.won(cluster.FencingToken(found.CreateRevision))
		}
		s.holder, s.holderToken = cluster.NodeID(found.Value), cluster.FencingToken(found.CreateRevision)
	}
	s.reset()
	return leaseTaken
}

func (s *leaseClient) won(token cluster.FencingToken) leaseOutcome {
	s.state, s.token = leaseHeld, token
	return leaseWon
}

func (s *leaseClient) renewed(answer KeyValueAnswered) leaseOutcome {
	if answer.Err == nil && answer.TTL <= 0 || errors.Is(answer.Err, keyvalue.ErrLeaseNotFound) {
		s.reset()
		return leaseGone
	}
	if answer.Err != nil {
		s.state = leaseHeld
		return leaseNoAnswer
	}
	s.state, s.promised = leaseHeld, answer.TTL
	return leaseExtended
}
