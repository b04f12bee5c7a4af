package node

import (
	"time"

	"github.com/valveslip/valveslip/keyvalue/lease"
)

// leaseCaller makes the key-value calls of one lease client.
type leaseCaller struct {
	core   *Core
	client *lease.Client
}

// newLease returns a client for the lease record at key, with this node as candidate.
func newLease(core *Core, key string) *lease.Client {
	caller := &leaseCaller{core: core}
	caller.client = lease.New(caller, key, []byte(core.self.ID), leaseTTL)
	return caller.client
}

// Now implements lease.Caller.
func (c *leaseCaller) Now() time.Time { return c.core.now }

// Call implements lease.Caller.
func (c *leaseCaller) Call(call lease.Call) {
	c.core.keyValueCall(keyValueCallOf(call), callPurpose{lease: c.client})
}

// CallWithoutAnswer implements lease.Caller.
func (c *leaseCaller) CallWithoutAnswer(call lease.Call) {
	c.core.keyValueCall(keyValueCallOf(call), callPurpose{})
}

// keyValueCallOf converts a lease client's call to a KeyValueCall.
func keyValueCallOf(call lease.Call) KeyValueCall {
	operations := map[lease.Operation]KeyValueOperation{
		lease.Grant: KeyValueGrant, lease.Txn: KeyValueTxn, lease.KeepAlive: KeyValueKeepAlive, lease.Revoke: KeyValueRevoke,
	}
	return KeyValueCall{Operation: operations[call.Operation], Txn: call.Txn, Lease: call.Lease, TTL: call.TTL}
}

// leaseAnswerOf converts an answer to the lease client's type.
func leaseAnswerOf(answer KeyValueAnswered) lease.Answer {
	return lease.Answer{Txn: answer.Txn, Lease: answer.Lease, TTL: answer.TTL, Err: answer.Err}
}
