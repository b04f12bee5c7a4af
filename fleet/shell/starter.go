package shell

import (
	"context"
	"encoding/json"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/keyvalue"
)

// starterKey returns the key of the starter of the node's zone, the node that reads the whole
// store for the other nodes of the zone.
func (f *follower) starterKey() string {
	// The trailing slash keeps the key of one zone from being a prefix of another zone's key.
	return fleet.KeyStarters + string(f.options.Core.Zone) + "/"
}

// decodeStarter decodes a starter's record. A record that can't be decoded counts as absent, so
// that the next claim replaces it.
func decodeStarter(pair *keyvalue.KeyValue) feed.Starter {
	var starter feed.Starter
	if json.Unmarshal(pair.Value, &starter) != nil {
		return feed.Starter{}
	}
	return starter
}

// readStarter reads which node is the starter of the zone.
func (f *follower) readStarter() {
	began := f.Now()
	pairs, _, _, err := f.options.Store.FirstPage(f.context, f.starterKey())
	f.noteStoreCall(storeRead, 0, began, err)
	read := feed.StarterRead{Err: err}
	for i := range pairs {
		read.Starter, read.Revision = decodeStarter(&pairs[i]), pairs[i].ModRevision
	}
	f.deliverResult(read)
}

// claimStarter makes this node the starter of its zone unless another node has become the starter.
func (f *follower) claimStarter(claim feed.ClaimStarter) {
	began := f.Now()
	self := feed.Starter{ID: f.options.Core.Self.ID, Machine: f.options.Core.Self.Machine, Address: f.options.Core.Self.Address}
	claimed := feed.StarterClaimed{Starter: self}
	value, err := json.Marshal(self)
	if err == nil {
		ctx, cancel := context.WithTimeout(f.context, leaseTimeout)
		defer cancel()
		var result keyvalue.TransactionResult
		result, err = f.options.Store.Txn(ctx, keyvalue.Transaction{
			Compares:   []keyvalue.Compare{{Key: f.starterKey(), ModRevision: claim.Revision}},
			Operations: []keyvalue.Operation{{Key: f.starterKey(), Value: value}},
		})
		claimed.Won, claimed.Revision = result.Succeeded, result.Revision
		for i := range result.Found {
			claimed.Starter, claimed.Revision = decodeStarter(&result.Found[i]), result.Found[i].ModRevision
		}
	}
	claimed.Err = err
	f.noteStoreCall(storeWrite, 0, began, err)
	if err == nil {
		f.options.Log.Write(eventlog.StarterChosen{Starter: claimed.Starter.ID, Own: claimed.Won, Revision: claimed.Revision})
	}
	f.deliverResult(claimed)
}
