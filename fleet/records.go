package fleet

import (
	"cmp"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/keyvalue"
)

// Keys in the store.
const (
	KeyRoot   = "valveslip/"
	KeyNodes  = KeyRoot + "nodes/"
	KeyHolder = KeyRoot + "holder"
	// KeyLastHolder holds the record of the machine that last gave orders. It is written together
	// with each holder's record and has no expiry.
	KeyLastHolder = KeyRoot + "last-holder"
	// KeyTickets is the prefix of the keys that mark, per tenant shard, that a lender has
	// recently been granted the amount that may be granted only once per window.
	KeyTickets = KeyRoot + "tickets/"
	// KeyStarters is the prefix of the keys that name, per zone, the last node to have read the
	// whole store on behalf of the nodes that start after it.
	KeyStarters = KeyRoot + "starters/"
)

// NodeEntry is a node's record in the store.
type NodeEntry struct {
	ID cluster.NodeID `json:"id"`
	// Machine is the host that the node runs on. It stays the same when the node restarts.
	Machine string `json:"machine"`
	// Acting is set in the last holder's record once the holder may give orders, after waiting
	// out the pause that separates it from the previous holder.
	Acting bool `json:"acting,omitempty"`
	// StoreLoads, in the last holder's record, is the learned number of concurrent loads that the
	// weight store sustains; zero if unknown.
	StoreLoads int `json:"bears,omitempty"`
	// Era, in the last holder's record, is the store's era in which it acquired the lease.
	Era keyvalue.Era `json:"era,omitempty"`
	// Address is the host:port that accepts messages of other nodes.
	Address string `json:"address"`
	// Zone is the zone of the machine, Capacity its processor cores.
	Zone     cluster.ZoneID `json:"zone,omitempty"`
	Capacity float64        `json:"capacity,omitempty"`
	// Revision is the store revision of the record.
	Revision keyvalue.Revision `json:"-"`
}

// lendingPeer returns the node as a peer of package lending.
func (e NodeEntry) lendingPeer() lending.Peer {
	return lending.Peer{
		ID: e.ID, Machine: cmp.Or(e.Machine, string(e.ID)), Address: e.Address, Zone: e.Zone, Capacity: e.Capacity,
	}
}

// Encode returns the stored form of the record.
func (e NodeEntry) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		return nil
	}
	return data
}

// DecodeNodeEntry decodes and validates a stored node record. On an error the returned entry is
// empty.
func DecodeNodeEntry(data []byte) (NodeEntry, error) {
	var entry NodeEntry
	err := json.Unmarshal(data, &entry)
	switch {
	case err != nil:
	case entry.ID == "":
		err = eris.New("id: must not be empty")
	case entry.Capacity < 0 || entry.StoreLoads < 0:
		err = eris.New("capacity, bears: must not be negative")
	}
	if err != nil {
		return NodeEntry{}, eris.Wrap(err, "decode node record")
	}
	return entry, nil
}
