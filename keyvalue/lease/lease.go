package lease

import (
	"context"
	"errors"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// Operation is the kind of a Call.
type Operation uint8

// The operations of a Call.
const (
	Grant Operation = iota + 1
	Txn
	KeepAlive
	Revoke
)

// Call describes a call to the key-value service.
type Call struct {
	Operation Operation
	Txn       keyvalue.Transaction
	Lease     int64
	TTL       time.Duration
}

// Answer is the answer to the call in progress. Err is nil or a *verdict.Error, which is
// MayHaveRun if the answer was lost.
type Answer struct {
	Txn   keyvalue.TransactionResult
	Lease int64
	TTL   time.Duration
	Err   error
	// Era is the newest era that the store has stated.
	Era keyvalue.Era
}

// Store is the part of the key-value service that the calls need.
type Store interface {
	Txn(ctx context.Context, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error)
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepAlive renews a lease. If the lease has expired, the error's cause is
	// keyvalue.ErrLeaseNotFound.
	KeepAlive(ctx context.Context, lease int64) (ttl time.Duration, err error)
	Revoke(ctx context.Context, lease int64) error
}

// Caller makes the calls of a Client. The answer to a Call is passed to Client.Answered; that to
// a CallWithoutAnswer is dropped.
type Caller interface {
	Now() time.Time
	Call(call Call)
	CallWithoutAnswer(call Call)
}

// State is the state of a Client.
type State uint8

// The states of a Client.
const (
	// Idle means that no call is in progress and the record is not the client's own.
	Idle State = iota
	// Granting means that the grant of a lease is in progress.
	Granting
	// Writing means that the write of the record is in progress.
	Writing
	// Held means that the record is the client's own.
	Held
	// Renewing means that the record is the client's own and a renewal is in progress.
	Renewing
)

// Outcome is the effect of an answer on a client.
type Outcome uint8

// The outcomes of an answer.
const (
	// NoChange means that the lease was granted and the write of the record has begun, or that
	// no call was in progress.
	NoChange Outcome = iota
	// Acquired means that the record was written and is the client's own.
	Acquired
	// HeldByOther means that another holder has the record.
	HeldByOther
	// Renewed means that the lease was renewed.
	Renewed
	// Expired means that the lease has expired.
	Expired
	// NoAnswer means that the call failed or its answer was lost.
	NoAnswer
)

// Client acquires, renews and releases one lease record. If the answer to the write of the
// record is lost, the client writes again: the comparison of that write fails if the first one
// took effect, and its answer shows the record.
type Client struct {
	caller Caller
	key    string
	// value is the value of the client's own record, by which it recognises that record.
	value []byte
	ttl   time.Duration
	// extraPair is written in the same transaction as the record, nil for none.
	extraPair *ExtraPair
	// replacedToken is the token of the record that the client's own one replaces, zero
	// if no record may exist.
	replacedToken cluster.FencingToken

	state State
	lease int64
	token cluster.FencingToken
	// record is the revision of the client's own record in the store's present era. The token is that
	// of the era in which the record was written.
	record keyvalue.Revision
	// leaseStart is the time at which the grant or the last answered renewal was sent. The
	// lease counts from then, even if its record is written later. renewalSentAt is the
	// time at which the renewal in progress was sent.
	leaseStart, renewalSentAt time.Time
	// grantedTTL is the TTL in the answer to the grant or the last renewal.
	grantedTTL time.Duration
	// holder and holderToken are the value and token of another holder's record.
	holder      []byte
	holderToken cluster.FencingToken
}

// New returns a client of the record at key. The value must differ between holders.
func New(caller Caller, key string, value []byte, ttl time.Duration) *Client {
	return &Client{caller: caller, key: key, value: value, ttl: ttl}
}

// ExtraPair is a pair that is written in the same transaction as the record. The transaction fails
// if the pair has changed since it was read. The pair is not attached to the lease and outlives
// it.
type ExtraPair struct {
	Key   string
	Value []byte
	// Revision is the pair's ModRevision when it was read, zero if it was absent.
	Revision keyvalue.Revision
}

// SetExtraPair makes each later write of the record write a pair as well.
func (c *Client) SetExtraPair(beside ExtraPair) { c.extraPair = &beside }

// ReplaceRecord makes the next write replace the record with the given token, which an earlier
// process of the same holder wrote. The record is never absent in between.
func (c *Client) ReplaceRecord(token cluster.FencingToken) { c.replacedToken = token }

// IsHolder reports whether the record is the client's own, as far as the client knows.
func (c *Client) IsHolder() bool { return c.state == Held || c.state == Renewing }

// State returns the client's state.
func (c *Client) State() State { return c.state }

// Token returns the fencing token of the client's own record, zero if it holds none.
func (c *Client) Token() cluster.FencingToken { return c.token }

// Record returns the revision of the client's own record.
func (c *Client) Record() keyvalue.Revision { return c.record }

// EraBegan tells that the client's own record, unchanged, has the given revision in an era of the store
// that has begun. A renewal that is answered in an era without the record says nothing of it.
func (c *Client) EraBegan(record keyvalue.Revision) {
	if c.IsHolder() {
		c.record = record
	}
}

// Lease returns the identifier of the client's lease, zero if it has none.
func (c *Client) Lease() int64 { return c.lease }

// LeaseStart returns the time from which the lease counts: when the grant or the last answered
// renewal was sent.
func (c *Client) LeaseStart() time.Time { return c.leaseStart }

// GrantedTTL returns the TTL that the service granted, counted from LeaseStart.
func (c *Client) GrantedTTL() time.Duration { return c.grantedTTL }

// Holder returns the value and token of another holder's record, as found by the last write that
// failed.
func (c *Client) Holder() ([]byte, cluster.FencingToken) { return c.holder, c.holderToken }

// Acquire begins to acquire the lease and its record. It does nothing unless the client is Idle.
func (c *Client) Acquire() {
	if c.state != Idle {
		return
	}
	if c.lease != 0 {
		c.writeRecord()
		return
	}
	c.leaseStart = c.caller.Now()
	c.state = Granting
	c.caller.Call(Call{Operation: Grant, TTL: c.ttl})
}

func (c *Client) writeRecord() {
	c.state = Writing
	transaction := keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: c.key, ModRevision: keyvalue.Revision(c.replacedToken)}},
		Operations: []keyvalue.Operation{{Key: c.key, Value: c.value, Lease: c.lease}},
		Reads:      []string{c.key},
	}
	if c.extraPair != nil {
		transaction.Compares = append(transaction.Compares, keyvalue.Compare{Key: c.extraPair.Key, ModRevision: c.extraPair.Revision})
		transaction.Operations = append(transaction.Operations, keyvalue.Operation{Key: c.extraPair.Key, Value: c.extraPair.Value})
	}
	c.caller.Call(Call{Operation: Txn, Txn: transaction})
}

// Renew begins to renew the lease. It does nothing unless the client is in state Held.
func (c *Client) Renew() {
	if c.state != Held {
		return
	}
	c.state = Renewing
	c.renewalSentAt = c.caller.Now()
	c.caller.Call(Call{Operation: KeepAlive, Lease: c.lease})
}

// Release deletes the record, if it is still the client's own, and revokes the lease.
func (c *Client) Release() {
	if c.lease != 0 && c.token != 0 {
		c.caller.CallWithoutAnswer(Call{Operation: Txn, Txn: keyvalue.Transaction{
			Compares:   []keyvalue.Compare{{Key: c.key, ModRevision: c.record}},
			Operations: []keyvalue.Operation{{Key: c.key, Delete: true}},
		}})
		c.caller.CallWithoutAnswer(Call{Operation: Revoke, Lease: c.lease})
	}
	c.Reset()
}

// Reset makes the client Idle without a lease. Answers to calls in progress are ignored.
func (c *Client) Reset() { c.state, c.lease, c.token, c.record = Idle, 0, 0, 0 }

// Answered processes the answer to the call in progress.
func (c *Client) Answered(answer Answer) Outcome {
	switch c.state {
	case Granting:
		return c.handleGrant(answer)
	case Writing:
		return c.handleWrite(answer)
	case Renewing:
		return c.handleRenewal(answer)
	default:
		return NoChange
	}
}

func (c *Client) handleGrant(answer Answer) Outcome {
	if answer.Err != nil {
		c.Reset()
		return NoAnswer
	}
	c.lease, c.grantedTTL = answer.Lease, answer.TTL
	if c.grantedTTL == 0 {
		c.grantedTTL = c.ttl
	}
	c.writeRecord()
	return NoChange
}

func (c *Client) handleWrite(answer Answer) Outcome {
	switch {
	case answer.Err != nil && verdict.Of(answer.Err) == verdict.NotRun:
		c.Reset()
		return NoAnswer
	case answer.Err != nil:
		// The write may have taken effect, so the client keeps the lease and writes again.
		c.state = Idle
		return NoAnswer
	case answer.Txn.Succeeded:
		return c.becomeHolder(cluster.FencingToken(answer.Txn.Revision))
	}
	c.holder, c.holderToken = nil, 0
	for _, found := range answer.Txn.Found {
		if found.Key != c.key {
			continue
		}
		if string(found.Value) == string(c.value) {
			return c.ownRecordFound(&found)
		}
		c.holder, c.holderToken = found.Value, cluster.FencingToken(found.ModRevision)
	}
	c.replacedToken = 0
	c.Reset()
	return HeldByOther
}

func (c *Client) becomeHolder(token cluster.FencingToken) Outcome {
	c.state, c.token, c.record, c.replacedToken = Held, token, keyvalue.Revision(token), 0
	return Acquired
}

// ownRecordFound handles a record of this client that the store has already. One under another lease is
// of an earlier time that the store came back to, and is replaced.
func (c *Client) ownRecordFound(found *keyvalue.KeyValue) Outcome {
	if found.Lease == c.lease {
		return c.becomeHolder(cluster.FencingToken(found.ModRevision))
	}
	if c.replacedToken == cluster.FencingToken(found.ModRevision) {
		// The other keys of the transaction kept it from being written.
		c.replacedToken = 0
		c.Reset()
		return HeldByOther
	}
	c.replacedToken = cluster.FencingToken(found.ModRevision)
	c.writeRecord()
	return NoChange
}

func (c *Client) handleRenewal(answer Answer) Outcome {
	if answer.Err == nil && answer.TTL <= 0 || errors.Is(answer.Err, keyvalue.ErrLeaseNotFound) {
		c.Reset()
		return Expired
	}
	if answer.Err != nil {
		c.state = Held
		return NoAnswer
	}
	c.state = Held
	if answer.Era > c.record.Era() {
		// The store came back from a copy, which may lack the record.
		return NoAnswer
	}
	c.grantedTTL, c.leaseStart = answer.TTL, c.renewalSentAt
	return Renewed
}
