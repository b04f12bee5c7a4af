package fleet

import (
	"cmp"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/lending"
)

// Keys in the store.
const (
	KeyRoot   = "valveslip/"
	KeyNodes  = KeyRoot + "nodes/"
	KeyHolder = KeyRoot + "holder"
	// KeyLast names the machine that gave orders last. It is written with each
	// record of a holder and outlives it.
	KeyLast = KeyRoot + "last-holder"
	// KeyTickets holds a key for each shard of tenants whose lender has lately been given what
	// is lent once in a window.
	KeyTickets = KeyRoot + "tickets/"
	// KeyStarters holds for each zone the node that was last to read everything for those that
	// start after it.
	KeyStarters = KeyRoot + "starters/"
)

// NodeEntry is what a node's record says of it.
type NodeEntry struct {
	ID cluster.NodeID `json:"id"`
	// Machine that the node runs on; it stays the same when the node starts anew.
	Machine string `json:"machine"`
	// Acting is set in the record of the last holder once it gives orders, having
	// waited out the pause after another machine.
	Acting bool `json:"acting,omitempty"`
	// Bears, in the record of the last holder, is how many loads at once the weight
	// store was learned to bear; zero for not.
	Bears int `json:"bears,omitempty"`
	// Address, host:port, takes messages of other nodes.
	Address string `json:"address"`
	// Zone of the machine, and Capacity in processor cores.
	Zone     cluster.ZoneID `json:"zone,omitempty"`
	Capacity float64        `json:"capacity,omitempty"`
	// Revision at which the store took the record.
	Revision int64 `json:"-"`
}

// peer is the node as one that lends tokens.
func (e NodeEntry) peer() lending.Peer {
	return lending.Peer{
		ID: e.ID, Machine: cmp.Or(e.Machine, string(e.ID)), Address: e.Address, Zone: e.Zone, Capacity: e.Capacity,
	}
}

// Encode returns the record's form in the store.
func (e NodeEntry) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		return nil
	}
	return data
}

// DecodeNodeEntry reads a record; with an error, it says nothing of a node.
func DecodeNodeEntry(data []byte) (NodeEntry, error) {
	var entry NodeEntry
	err := json.Unmarshal(data, &entry)
	switch {
	case err != nil:
	case entry.ID == "":
		err = eris.New("id: must not be empty")
	case entry.Capacity < 0 || entry.Bears < 0:
		err = eris.New("capacity, bears: must not be negative")
	}
	if err != nil {
		return NodeEntry{}, eris.Wrap(err, "node record")
	}
	return entry, nil
}
