package shell

import (
	"context"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

const (
	// rejectionProofAge is the largest age of the key proof with which a caller's key may be
	// rejected as unknown. It is half of the shortest time within which an added key must be
	// accepted, so that a node in touch with the store rejects no key that was added before.
	rejectionProofAge = 1500 * time.Millisecond
	// findKeyTimeout limits how long a caller with an unknown key waits for such a proof, and
	// findKeyInterval is the time between two checks. Both are short because the caller waits
	// meanwhile.
	findKeyTimeout  = time.Second
	findKeyInterval = 25 * time.Millisecond
)

// verifyKey asks the store to confirm that a key still has the given revision, by a transaction
// that changes nothing.
func (f *follower) verifyKey(e feed.Verify) {
	began := f.Now()
	ctx, cancel := context.WithTimeout(f.context, leaseTimeout)
	defer cancel()
	result, err := f.options.Store.Txn(ctx, keyvalue.Transaction{Compares: []keyvalue.Compare{{Key: e.Key, ModRevision: e.Revision}}})
	f.countStoreCall(storeVerify, err)
	f.logNewFailure(string(storeVerify), "", err)
	done := feed.VerifyDone{Began: began, Revision: e.Revision, Err: err}
	if err == nil && !result.Succeeded {
		done.Found = &wire.StoreChange{}
		for i := range result.Found {
			if pair := &result.Found[i]; pair.Key == e.Key {
				done.Found = &wire.StoreChange{Key: pair.Key, Value: pair.Value, Revision: pair.ModRevision}
			}
		}
	}
	f.deliverResult(done)
}

// requestKeyProof has the feed verify that the configuration is the newest one if it contains
// callers' keys.
func (f *follower) requestKeyProof(compiled *catalog.Compiled) {
	key := ""
	if compiled.RequiresKeys() && f.options.Core.KeyProof > 0 {
		key = f.options.Codec.ConfigurationKey()
	}
	if key != f.provenKey {
		f.provenKey = key
		f.stepFeed(feed.KeyProven{Key: key})
	}
}

// reportKeyProof passes a proof to the core if the proven configuration, or a newer one, is in
// force. A configuration that can't be compiled never is.
func (f *follower) reportKeyProof(e feed.Proven) {
	if f.configurationRevision >= e.Revision {
		f.step(fleet.KeysProven{At: e.At})
	}
}

// servesKeyedRoutes reports whether the node can serve callers that need a key.
func (n *Node) servesKeyedRoutes() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core == nil || n.core.CanServe(n.Now())
}

// keyProofAge returns the age of the proof that the callers' keys are current; false if there is
// no proof.
func (n *Node) keyProofAge() (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.core == nil {
		return 0, false
	}
	return n.core.KeyProofAge(n.Now())
}

// checkSend is called right before a request is sent. It returns why the request must not be sent
// any more; nil if it may be.
func (n *Node) checkSend(id cluster.RequestID) *verdict.Error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.MaySend(n.Now(), id)
}

// findKey returns the tenant of a key that the configuration in force did not contain. It waits
// until the key appears or a recent proof shows that there is no such key, and returns nil in
// that case.
func (n *Node) findKey(ctx context.Context, hash string) (*catalog.Tenant, *verdict.Error) {
	if n.options.Core.KeyProof <= 0 {
		return n.compiled.Load().TenantByKeyHash(hash), nil
	}
	for deadline := n.Now().Add(findKeyTimeout); ; {
		age, proven := n.keyProofAge()
		if tenant := n.compiled.Load().TenantByKeyHash(hash); tenant != nil {
			return tenant, nil
		}
		if proven && age < min(rejectionProofAge, n.options.Core.KeyProof) {
			return nil, nil
		}
		if !n.Now().Before(deadline) {
			n.options.Log.Write(eventlog.KeyUndecided{Age: age})
			return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
				"this node can't tell whether there is such a key: what it knows of keys is %s old", age.Round(time.Millisecond)).After(fleet.UnprovenRetryAfter)
		}
		select {
		case <-ctx.Done():
			return nil, verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller left")
		case <-time.After(findKeyInterval):
		}
	}
}
