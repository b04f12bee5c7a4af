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

// The operations.
const (
	Grant Operation = iota + 1
	Txn
	KeepAlive
	Revoke
)

// Call is a call to the key-value service.
type Call struct {
	Operation Operation
	Txn       keyvalue.Transaction
	Lease     int64
	TTL       time.Duration
}

// Answer is the answer to the call under way. Err is nil or a *verdict.Error:
// MayHaveRun when the answer was lost.
type Answer struct {
	Txn   keyvalue.TransactionResult
	Lease int64
	TTL   time.Duration
	Err   error
}

// Store takes the calls that a Call stands for.
type Store interface {
	Txn(ctx context.Context, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error)
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepAlive extends a lease. When it has expired, the error's cause is
	// keyvalue.ErrLeaseNotFound.
	KeepAlive(ctx context.Context, lease int64) (ttl time.Duration, err error)
	Revoke(ctx context.Context, lease int64) error
}

// Caller makes a client's calls. The answers of Awaited calls go to
// Client.Answered, those of others are dropped.
type Caller interface {
	Now() time.Time
	Call(call Call)
	CallUnawaited(call Call)
}

// State is the state of a Client.
type State uint8

// The states.
const (
	Idle State = iota
	Granting
	Writing
	Held
	Renewing
)

// Outcome is what a client learned from an answer.
type Outcome uint8

// The outcomes.
const (
	Nothing Outcome = iota
	Won
	Taken
	Extended
	Gone
	NoAnswer
)

// Client acquires, renews and releases one lease record. A lost answer to the
// write is settled by the next write, whose failed compare shows the record.
type Client struct {
	caller Caller
	key    string
	// name is compared with the record's value, from which parse reads it.
	value []byte
	ttl   time.Duration
	// beside is written with the record, under a condition of its own.
	beside *Beside
	// replaces is the token of a record that the own one takes the place of, zero
	// when there must be none.
	replaces cluster.FencingToken

	state State
	lease int64
	token cluster.FencingToken
	// sentAt is when the grant or the last renewal that was answered was sent:
	// the lease counts from then, also when its record is written later.
	// renewedAt is when the renewal under way was sent.
	sentAt, renewedAt time.Time
	// promised is the TTL the service answered with.
	promised time.Duration
	// holder is the value of the record when another has it.
	holder      []byte
	holderToken cluster.FencingToken
}

// New returns a client of the record at key. Value tells its holder from others.
func New(caller Caller, key string, value []byte, ttl time.Duration) *Client {
	return &Client{caller: caller, key: key, value: value, ttl: ttl}
}

// Beside is a pair that is written in the same transaction as the record, if it
// has not changed since it was read. It outlives the lease.
type Beside struct {
	Key   string
	Value []byte
	// Revision of the pair when it was read, zero when it was absent.
	Revision int64
}

// WriteBeside has the next write of the record write a pair as well.
func (c *Client) WriteBeside(beside Beside) { c.beside = &beside }

// Replace has the next write take the place of the record with a token, of an
// earlier start of the same holder. Nobody sees the record absent in between.
func (c *Client) Replace(token cluster.FencingToken) { c.replaces = token }

// Holding reports whether the record is the client's own, as far as it knows.
func (c *Client) Holding() bool { return c.state == Held || c.state == Renewing }

// State returns the client's state.
func (c *Client) State() State { return c.state }

// Token is the fencing token of a held record.
func (c *Client) Token() cluster.FencingToken { return c.token }

// Lease is the lease's identifier, zero without one.
func (c *Client) Lease() int64 { return c.lease }

// SentAt is from when the lease counts, Promised for how long.
func (c *Client) SentAt() time.Time { return c.sentAt }

// Promised is for how long the lease counts.
func (c *Client) Promised() time.Duration { return c.promised }

// Holder returns the value and token of the record that another has.
func (c *Client) Holder() ([]byte, cluster.FencingToken) { return c.holder, c.holderToken }

// Acquire begins to take the lease when nothing is under way.
func (c *Client) Acquire() {
	if c.state != Idle {
		return
	}
	if c.lease != 0 {
		c.write()
		return
	}
	c.sentAt = c.caller.Now()
	c.state = Granting
	c.caller.Call(Call{Operation: Grant, TTL: c.ttl})
}

func (c *Client) write() {
	c.state = Writing
	transaction := keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: c.key, ModRevision: int64(c.replaces)}},
		Operations: []keyvalue.Operation{{Key: c.key, Value: c.value, Lease: c.lease}},
		Reads:      []string{c.key},
	}
	if c.beside != nil {
		transaction.Compares = append(transaction.Compares, keyvalue.Compare{Key: c.beside.Key, ModRevision: c.beside.Revision})
		transaction.Operations = append(transaction.Operations, keyvalue.Operation{Key: c.beside.Key, Value: c.beside.Value})
	}
	c.caller.Call(Call{Operation: Txn, Txn: transaction})
}

// Renew keeps the held lease alive.
func (c *Client) Renew() {
	if c.state != Held {
		return
	}
	c.state = Renewing
	c.renewedAt = c.caller.Now()
	c.caller.Call(Call{Operation: KeepAlive, Lease: c.lease})
}

// Release deletes the record, if it is still the own one, and revokes the lease.
func (c *Client) Release() {
	if c.lease != 0 && c.token != 0 {
		c.caller.CallUnawaited(Call{Operation: Txn, Txn: keyvalue.Transaction{
			Compares:   []keyvalue.Compare{{Key: c.key, ModRevision: int64(c.token)}},
			Operations: []keyvalue.Operation{{Key: c.key, Delete: true}},
		}})
		c.caller.CallUnawaited(Call{Operation: Revoke, Lease: c.lease})
	}
	c.Reset()
}

// Reset forgets the lease; answers still under way are ignored.
func (c *Client) Reset() { c.state, c.lease, c.token = Idle, 0, 0 }

// Answered takes the answer of the call under way.
func (c *Client) Answered(answer Answer) Outcome {
	switch c.state {
	case Granting:
		return c.granted(answer)
	case Writing:
		return c.written(answer)
	case Renewing:
		return c.renewed(answer)
	default:
		return Nothing
	}
}

func (c *Client) granted(answer Answer) Outcome {
	if answer.Err != nil {
		c.Reset()
		return NoAnswer
	}
	c.lease, c.promised = answer.Lease, answer.TTL
	if c.promised == 0 {
		c.promised = c.ttl
	}
	c.write()
	return Nothing
}

func (c *Client) written(answer Answer) Outcome {
	switch {
	case answer.Err != nil && verdict.Of(answer.Err) == verdict.NotRun:
		c.Reset()
		return NoAnswer
	case answer.Err != nil:
		// The write may have taken effect: keep the lease and write again.
		c.state = Idle
		return NoAnswer
	case answer.Txn.Succeeded:
		return c.won(cluster.FencingToken(answer.Txn.Revision))
	}
	c.holder, c.holderToken = nil, 0
	for _, found := range answer.Txn.Found {
		if found.Key != c.key {
			continue
		}
		if string(found.Value) == string(c.value) && found.Lease == c.lease {
			return c.won(cluster.FencingToken(found.ModRevision))
		}
		c.holder, c.holderToken = found.Value, cluster.FencingToken(found.ModRevision)
	}
	c.replaces = 0
	c.Reset()
	return Taken
}

func (c *Client) won(token cluster.FencingToken) Outcome {
	c.state, c.token, c.replaces = Held, token, 0
	return Won
}

func (c *Client) renewed(answer Answer) Outcome {
	if answer.Err == nil && answer.TTL <= 0 || errors.Is(answer.Err, keyvalue.ErrLeaseNotFound) {
		c.Reset()
		return Gone
	}
	if answer.Err != nil {
		c.state = Held
		return NoAnswer
	}
	c.state, c.promised, c.sentAt = Held, answer.TTL, c.renewedAt
	return Extended
}
